#include "ctl/table.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace heathtrestle::ctl {

namespace json = boost::json;

namespace {

std::string cell_text(const json::value *cell) {
  if (cell == nullptr || cell->is_null()) {
    return "-";
  }
  if (cell->is_string()) {
    return std::string(cell->as_string());
  }
  return json::serialize(*cell);
}

std::string format_rows(const json::object &table) {
  std::vector<std::string> columns;
  for (const json::value &column : table.at("columns").as_array()) {
    columns.emplace_back(column.as_string());
  }
  std::vector<std::vector<std::string>> lines{columns};
  for (const json::value &row : table.at("rows").as_array()) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const std::string &column : columns) {
      cells.push_back(cell_text(row.as_object().if_contains(column)));
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto &line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  std::string text;
  for (const auto &line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      text += fmt::format("{:<{}}  ", line[index], widths[index]);
    }
    text.erase(text.find_last_not_of(' ') + 1);
    text += '\n';
  }
  return text;
}

std::string format_fields(const json::object &fields) {
  std::string text;
  for (const json::key_value_pair &field : fields) {
    text += fmt::format("{}: {}\n", std::string_view(field.key()),
                        cell_text(&field.value()));
  }
  return text;
}

} // namespace

std::string format_answer(const std::string &answer) {
  boost::system::error_code failure;
  const json::value value = json::parse(answer, failure);
  if (failure || !value.is_object()) {
    return answer;
  }
  const json::object &fields = value.as_object();
  if (fields.contains("columns") && fields.contains("rows")) {
    return format_rows(fields);
  }
  if (const json::value *error = fields.if_contains("error")) {
    return error->is_object() ? format_fields(error->as_object()) : answer;
  }
  return format_fields(fields);
}

} // namespace heathtrestle::ctl
