#include "forwarding/client_request.hpp"

#include "support/header_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

using test_support::test_names;

class client_request_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(client_request_test);
  CPPUNIT_TEST(a_turn_is_recognised_by_program_and_budget);
  CPPUNIT_TEST(a_call_without_budget_is_no_turn);
  CPPUNIT_TEST(values_that_are_malformed_are_absent);
  CPPUNIT_TEST(a_program_may_be_past_its_time);
  CPPUNIT_TEST(prompts_are_read_up_to_what_is_malformed);
  CPPUNIT_TEST(fields_of_one_connection_are_not_passed_on);
  CPPUNIT_TEST_SUITE_END();

  using message = beast_http::request<beast_http::string_body>;

public:
  void a_turn_is_recognised_by_program_and_budget() {
    message incoming;
    incoming.set("Attempt", "a1");
    incoming.set("Program", "p1");
    incoming.set("Budget", "4600");
    incoming.set("Tokens", "1840,575");
    incoming.set("Previous", "a0");
    const auto request = interpret(incoming, timestamp_from(5), test_names());
    CPPUNIT_ASSERT(request.turn.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4600}, request.turn->budget);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{575}, request.turn->most_tokens);
    CPPUNIT_ASSERT_EQUAL(std::string("a0"), request.turn->previous);
  }

  void a_call_without_budget_is_no_turn() {
    message incoming;
    incoming.set("Program", "p1");
    CPPUNIT_ASSERT(
        !interpret(incoming, timestamp_from(5), test_names()).turn.has_value());
  }

  void values_that_are_malformed_are_absent() {
    message incoming;
    incoming.set("Deadline", "12x");
    const auto request = interpret(incoming, timestamp_from(5), test_names());
    CPPUNIT_ASSERT(!request.client_deadline.has_value());
    CPPUNIT_ASSERT(!parse_number("").has_value());
    CPPUNIT_ASSERT(!parse_number("-3").has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, *parse_number(" 3 "));
  }

  void a_program_may_be_past_its_time() {
    message incoming;
    incoming.set("Program-Deadline", "-250");
    const auto request = interpret(incoming, timestamp_from(5), test_names());
    CPPUNIT_ASSERT(request.program_deadline == duration_ms{-250});
  }

  void prompts_are_read_up_to_what_is_malformed() {
    const auto parts = parse_prompt("5c1e07a2:800,91bd3f06:410,zz:1,1:1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x5c1e07a2}, parts[0].id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{410}, parts[1].tokens);
    CPPUNIT_ASSERT(parse_prompt("").empty());
  }

  void fields_of_one_connection_are_not_passed_on() {
    CPPUNIT_ASSERT(is_hop_by_hop("Transfer-Encoding", ""));
    CPPUNIT_ASSERT(is_hop_by_hop("keep-alive", ""));
    CPPUNIT_ASSERT(is_hop_by_hop("X-Mine", "close, x-mine"));
    CPPUNIT_ASSERT(!is_hop_by_hop("X-Other", "close, x-mine"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_request_test);

} // namespace
} // namespace heathtrestle::forwarding
