#include "query/rows.hpp"
#include "query/statement.hpp"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::query {
namespace {

class statement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(statement_test);
  CPPUNIT_TEST(show_statements_are_parsed);
  CPPUNIT_TEST(write_statements_are_parsed);
  CPPUNIT_TEST(syntax_errors_report_the_column);
  CPPUNIT_TEST(rows_are_filtered_ordered_and_limited);
  CPPUNIT_TEST_SUITE_END();

public:
  void show_statements_are_parsed() {
    const auto parsed =
        parse_statement("SHOW calls WHERE state = stalled AND age_ms >= 500 "
                        "ORDER BY age_ms DESC LIMIT 3;");
    CPPUNIT_ASSERT(parsed.has_value());
    const auto &show = std::get<show_statement>(parsed.value());
    CPPUNIT_ASSERT_EQUAL(std::string("calls"), show.table);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, show.conditions.size());
    CPPUNIT_ASSERT(show.conditions[1].operation ==
                   comparison::greater_or_equal);
    CPPUNIT_ASSERT(show.order->descending);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, *show.limit);
  }

  void write_statements_are_parsed() {
    const auto set = parse_statement(
        "set class counter price = 12, programs = [draft, \"meter check\"] "
        "if version 7");
    const auto &write = std::get<write_statement>(set.value());
    CPPUNIT_ASSERT(!write.creates);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, write.assignments.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, *write.version);
    CPPUNIT_ASSERT(std::get<write_statement>(
                       parse_statement("add tenant t weight = 1").value())
                       .creates);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-1"),
                         std::get<drain_statement>(
                             parse_statement("drain backend engine-1").value())
                             .name);
    CPPUNIT_ASSERT_EQUAL(
        std::string("p-12"),
        std::get<end_statement>(parse_statement("end program p-12").value())
            .program);
    CPPUNIT_ASSERT(std::holds_alternative<remove_statement>(
        parse_statement("remove tenant t").value()));
  }

  void syntax_errors_report_the_column() {
    expect("explode", "column 1: expected show, add, set, remove, drain or "
                      "end before \"explode\"");
    expect("show calls where state ~ x", "column 24: expected");
    expect("set class c price", "column 18: expected");
    expect("show calls limit many", "column 18: expected a number");
    expect("show calls nonsense", "column 12: expected");
    expect("", "column 1: expected");
  }

  void rows_are_filtered_ordered_and_limited() {
    const std::vector<std::string> fields{"name", "age"};
    const auto rows = [] {
      return std::vector<boost::json::object>{{{"name", "a"}, {"age", 5}},
                                              {{"name", "b"}, {"age", 50}},
                                              {{"name", "c"}, {"age", 7}}};
    };
    const auto run = [&](const char *text) {
      return select_rows(
          rows(), fields,
          std::get<show_statement>(parse_statement(text).value()));
    };
    // Guards against comparing numbers as text, where 50 is less than 7.
    const auto selected = run("show t where age > 6 order by age desc limit 1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, selected.value().size());
    CPPUNIT_ASSERT(selected.value()[0].at("name") == "b");
    CPPUNIT_ASSERT_EQUAL(std::string("t has no field size; it has name, age"),
                         run("show t where size = 1").error().message);
    CPPUNIT_ASSERT(!run("show t limit -1").has_value());
  }

private:
  static void expect(std::string_view text, const std::string &beginning) {
    const auto parsed = parse_statement(text);
    CPPUNIT_ASSERT_MESSAGE(std::string(text), !parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(beginning,
                         parsed.error().message.substr(0, beginning.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_test);

} // namespace
} // namespace heathtrestle::query
