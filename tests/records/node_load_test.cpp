#include "records/node_load.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

using namespace std::chrono_literals;

constexpr timestamp start = timestamp{10s};

class node_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_load_test);
  CPPUNIT_TEST(a_report_has_what_came_since_the_last_one);
  CPPUNIT_TEST(a_node_without_requests_reports_nothing);
  CPPUNIT_TEST(messages_are_classified_by_kind);
  CPPUNIT_TEST_SUITE_END();

  node_load load_;

public:
  void a_report_has_what_came_since_the_last_one() {
    load_.on_disk({.bytes_written = 100, .syncs = 1});
    load_.take_report(start);
    load_.on_disk({.bytes_written = 170, .syncs = 4, .live_bytes = 9});
    load_.on_queue(3, start, start + 40ms);
    load_.on_queue(2, start, start + 90ms);
    load_.on_requests({.taken = 5, .repeated = 2, .settled = 3});
    load_.on_history(4, 1000);
    load_.on_spent(step_phase::write, 7us);
    load_.on_spent(step_phase::write, 3us);
    CPPUNIT_ASSERT(!load_.take_report(start + 999ms));
    const auto totals = load_.take_report(start + 1000ms);
    CPPUNIT_ASSERT(totals);
    load_totals expected;
    expected.longest_queue = 3;
    expected.longest_wait = 90ms;
    expected.requests = {.taken = 5, .repeated = 2, .settled = 3};
    expected.history_turns = 4;
    expected.history_bytes = 1000;
    expected.disk = {.bytes_written = 70, .syncs = 3, .live_bytes = 9};
    expected.spent[static_cast<std::size_t>(step_phase::write)] = 10us;
    CPPUNIT_ASSERT(*totals == expected);
    load_.on_requests({.taken = 1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         load_.take_report(start + 2000ms)->requests.taken);
  }

  void a_node_without_requests_reports_nothing() {
    load_.on_spent(step_phase::reduce, 5us);
    CPPUNIT_ASSERT(!load_.take_report(start));
  }

  void messages_are_classified_by_kind() {
    wire::Envelope envelope;
    envelope.mutable_record_request();
    CPPUNIT_ASSERT(kind_of(envelope) == message_kind::request);
    envelope.mutable_append_request();
    CPPUNIT_ASSERT(kind_of(envelope) == message_kind::append_request);
    envelope.mutable_record_hello();
    CPPUNIT_ASSERT(kind_of(envelope) == message_kind::other);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_load_test);

} // namespace
} // namespace heathtrestle::records
