#include "query/rows.hpp"

#include <boost/json.hpp>

#include <algorithm>

#include <fmt/ranges.h>

namespace heathtrestle::query {

namespace json = boost::json;

namespace {

/// A value in comparable form: two numbers compare by value, others as text.
struct comparable {
  bool is_number = false;
  std::int64_t number = 0;
  std::string text;

  bool operator<(const comparable &other) const {
    if (is_number && other.is_number) {
      return number < other.number;
    }
    return text < other.text;
  }
  bool operator==(const comparable &other) const {
    return !(*this < other) && !(other < *this);
  }
};

comparable comparable_from_cell(const json::object &row,
                                const std::string &field) {
  const json::value *cell = row.if_contains(field);
  comparable result;
  if (cell == nullptr) {
    return result;
  }
  if (cell->is_number()) {
    boost::system::error_code failure;
    result.is_number = true;
    result.number = cell->to_number<std::int64_t>(failure);
    result.text = std::to_string(result.number);
  } else if (cell->is_string()) {
    result.text = std::string(cell->as_string());
  } else {
    result.text = json::serialize(*cell);
  }
  return result;
}

comparable comparable_from_literal(const literal &value) {
  comparable result;
  if (const auto *number = std::get_if<std::int64_t>(&value)) {
    result.is_number = true;
    result.number = *number;
    result.text = std::to_string(*number);
  } else if (const auto *text = std::get_if<std::string>(&value)) {
    result.text = *text;
  }
  return result;
}

bool matches(const json::object &row, const condition &condition) {
  const comparable cell = comparable_from_cell(row, condition.field);
  const comparable wanted = comparable_from_literal(condition.value);
  switch (condition.operation) {
  case comparison::equal:
    return cell == wanted;
  case comparison::not_equal:
    return !(cell == wanted);
  case comparison::less:
    return cell < wanted;
  case comparison::less_or_equal:
    return !(wanted < cell);
  case comparison::greater:
    return wanted < cell;
  case comparison::greater_or_equal:
    return !(cell < wanted);
  }
  return false;
}

result<void> check_field(const std::vector<std::string> &fields,
                         const std::string &field, const std::string &table) {
  if (std::find(fields.begin(), fields.end(), field) != fields.end()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return fail(error_code::invalid_request,
              fmt::format("{} has no field {}; it has {}", table, field,
                          fmt::join(fields, ", ")),
              "run statement");
}

} // namespace

result<std::vector<json::object>>
select_rows(std::vector<json::object> rows,
            const std::vector<std::string> &fields,
            const show_statement &show) {
  for (const condition &each : show.conditions) {
    BOOST_OUTCOME_TRYV(check_field(fields, each.field, show.table));
  }
  std::erase_if(rows, [&show](const json::object &row) {
    return !std::all_of(
        show.conditions.begin(), show.conditions.end(),
        [&row](const condition &each) { return matches(row, each); });
  });
  if (show.order.has_value()) {
    const ordering &order = *show.order;
    BOOST_OUTCOME_TRYV(check_field(fields, order.field, show.table));
    std::stable_sort(
        rows.begin(), rows.end(),
        [&order](const json::object &left, const json::object &right) {
          const comparable first = comparable_from_cell(left, order.field);
          const comparable second = comparable_from_cell(right, order.field);
          return order.descending ? second < first : first < second;
        });
  }
  if (show.limit.has_value() && *show.limit < 0) {
    return fail(error_code::invalid_request, "the limit is negative",
                "run statement");
  }
  if (show.limit.has_value() &&
      rows.size() > static_cast<std::size_t>(*show.limit)) {
    rows.resize(static_cast<std::size_t>(*show.limit));
  }
  return rows;
}

} // namespace heathtrestle::query
