// The replicas that crash under a request, in the record group's state machine.
#include "records/record_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

constexpr std::uint64_t keep_ms = 60000;
constexpr std::uint64_t suspect = 7;

/// A report, as a gateway makes it.
struct report {
  std::string attempt = "a";
  std::uint32_t number = 1;
  std::vector<std::string> crashed{};
  bool wants_send = false;
  bool completed = false;
  std::uint64_t request = suspect;
};

wire::RecordChange change_of(const report &made) {
  wire::RecordChange change;
  wire::ReportCrashes &message = *change.mutable_report_crashes();
  message.set_account("p");
  message.set_request(made.request);
  message.set_attempt(made.attempt);
  message.set_number(made.number);
  message.mutable_crashed()->Assign(made.crashed.begin(), made.crashed.end());
  message.set_wants_send(made.wants_send);
  message.set_completed(made.completed);
  message.set_keep_ms(keep_ms);
  return change;
}

class crash_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_history_test);
  CPPUNIT_TEST(a_request_is_sent_until_three_replicas_have_crashed);
  CPPUNIT_TEST(attempts_of_several_gateways_count_together);
  CPPUNIT_TEST(an_attempt_that_never_reports_counts_as_a_crash);
  CPPUNIT_TEST(an_attempt_that_survives_does_not_count);
  CPPUNIT_TEST(a_complete_answer_clears_the_request);
  CPPUNIT_TEST(a_late_copy_of_a_report_changes_nothing);
  CPPUNIT_TEST(requests_are_counted_apart);
  CPPUNIT_TEST(crashes_are_forgotten_after_their_time);
  CPPUNIT_TEST(a_refused_attempt_needs_no_log_entry);
  CPPUNIT_TEST(a_snapshot_holds_the_crashes);
  CPPUNIT_TEST(a_grant_carries_the_programs_crashes);
  CPPUNIT_TEST_SUITE_END();

  record_table table_;

  static wire::RecordReplyItem apply_to(record_table &table,
                                        const wire::RecordChange &change,
                                        std::uint64_t time_ms = 1000) {
    wire::RecordBatch batch;
    batch.set_time_ms(time_ms);
    batch.set_quota_time_ms(time_ms);
    *batch.add_changes() = change;
    return table.apply(batch).at(0);
  }
  wire::RecordReplyItem apply(const report &made,
                              std::uint64_t time_ms = 1000) {
    return apply_to(table_, change_of(made), time_ms);
  }
  bool may_send(const report &made, std::uint64_t time_ms = 1000) {
    return apply(made, time_ms).verdict() == wire::RECORD_GRANTED;
  }
  /// Lets three replicas crash under the request.
  void crash_three() { apply({.crashed = {"r1", "r2", "r3"}}); }

public:
  void a_request_is_sent_until_three_replicas_have_crashed() {
    CPPUNIT_ASSERT(
        may_send({.number = 1, .crashed = {"r1"}, .wants_send = true}));
    CPPUNIT_ASSERT(
        may_send({.number = 2, .crashed = {"r2"}, .wants_send = true}));
    CPPUNIT_ASSERT(
        !may_send({.number = 3, .crashed = {"r3"}, .wants_send = true}));
  }

  void attempts_of_several_gateways_count_together() {
    apply({.attempt = "a", .crashed = {"r1", "r2"}});
    CPPUNIT_ASSERT(may_send({.attempt = "b", .wants_send = true}));
    CPPUNIT_ASSERT(!may_send({.attempt = "c", .wants_send = true}));
    apply({.attempt = "b", .number = 2, .crashed = {"r3"}});
    CPPUNIT_ASSERT(!may_send({.attempt = "d", .wants_send = true}));
    // The same replica is counted once.
    const auto reply = apply({.attempt = "e", .crashed = {"r3"}});
    CPPUNIT_ASSERT_EQUAL(3U, reply.crash_counts(0).crashed());
  }

  void an_attempt_that_never_reports_counts_as_a_crash() {
    CPPUNIT_ASSERT(
        may_send({.attempt = "a", .crashed = {"r1"}, .wants_send = true}));
    // Its gateway is killed; the client tries again.
    CPPUNIT_ASSERT(may_send({.attempt = "b", .wants_send = true}));
    const auto reply = apply({.attempt = "c", .wants_send = true});
    CPPUNIT_ASSERT(reply.verdict() == wire::RECORD_DONE);
    CPPUNIT_ASSERT_EQUAL(1U, reply.crash_counts(0).crashed());
    CPPUNIT_ASSERT_EQUAL(2U, reply.crash_counts(0).at_risk());
  }

  void an_attempt_that_survives_does_not_count() {
    CPPUNIT_ASSERT(may_send(
        {.attempt = "a", .crashed = {"r1", "r2"}, .wants_send = true}));
    apply({.attempt = "a", .number = 2});
    CPPUNIT_ASSERT(may_send({.attempt = "b", .wants_send = true}));
  }

  void a_complete_answer_clears_the_request() {
    CPPUNIT_ASSERT(may_send(
        {.attempt = "a", .crashed = {"r1", "r2"}, .wants_send = true}));
    apply({.attempt = "a", .number = 2, .completed = true});
    const auto reply = apply({.attempt = "b", .crashed = {"r4"}});
    CPPUNIT_ASSERT_EQUAL(1U, reply.crash_counts(0).crashed());
  }

  void a_late_copy_of_a_report_changes_nothing() {
    const report first{.attempt = "a", .crashed = {"r1"}, .wants_send = true};
    CPPUNIT_ASSERT(may_send(first));
    CPPUNIT_ASSERT(may_send(first)); // a copy: the same outcome
    apply({.attempt = "a", .number = 2, .completed = true});
    CPPUNIT_ASSERT(!may_send(first));
    const auto reply = apply({.attempt = "b"});
    CPPUNIT_ASSERT_EQUAL(0U, reply.crash_counts(0).crashed());
    CPPUNIT_ASSERT_EQUAL(0U, reply.crash_counts(0).at_risk());
  }

  void requests_are_counted_apart() {
    crash_three();
    CPPUNIT_ASSERT(
        may_send({.attempt = "b", .wants_send = true, .request = suspect + 1}));
  }

  void crashes_are_forgotten_after_their_time() {
    crash_three();
    const std::uint64_t last = 1000 + keep_ms;
    CPPUNIT_ASSERT(!may_send({.attempt = "b", .wants_send = true}, last - 1));
    const std::uint64_t later = last - 1 + keep_ms;
    CPPUNIT_ASSERT(may_send({.attempt = "c", .wants_send = true}, later));
  }

  void a_refused_attempt_needs_no_log_entry() {
    const report asked{.attempt = "b", .wants_send = true};
    CPPUNIT_ASSERT(!table_.decided_outcome(change_of(asked)).has_value());
    crash_three();
    const auto decided = table_.decided_outcome(change_of(asked));
    CPPUNIT_ASSERT(decided.has_value());
    CPPUNIT_ASSERT(decided->verdict() == wire::RECORD_DONE);
    CPPUNIT_ASSERT_EQUAL(3U, decided->crash_counts(0).crashed());
    const report with_news{.attempt = "b", .crashed = {"r4"}};
    CPPUNIT_ASSERT(!table_.decided_outcome(change_of(with_news)).has_value());
  }

  void a_snapshot_holds_the_crashes() {
    apply({.attempt = "a", .crashed = {"r1", "r2"}, .wants_send = true});
    record_table restored;
    restored.restore(table_.snapshot());
    const auto reply =
        apply_to(restored, change_of({.attempt = "b", .wants_send = true}));
    CPPUNIT_ASSERT(reply.verdict() == wire::RECORD_DONE);
    CPPUNIT_ASSERT_EQUAL(2U, reply.crash_counts(0).crashed());
    CPPUNIT_ASSERT_EQUAL(1U, reply.crash_counts(0).at_risk());
    // The number of the last report is kept as well.
    const auto late =
        apply_to(restored, change_of({.attempt = "a", .crashed = {"r3"}}));
    CPPUNIT_ASSERT_EQUAL(2U, late.crash_counts(0).crashed());
  }

  void a_grant_carries_the_programs_crashes() {
    wire::RecordChange change;
    wire::BeginTurn &turn = *change.mutable_begin();
    turn.set_program("p");
    turn.set_attempt("t1");
    turn.set_budget(100);
    turn.set_keep_ms(keep_ms);
    CPPUNIT_ASSERT_EQUAL(0, apply_to(table_, change).crash_counts_size());
    apply({.crashed = {"r1"}});
    turn.set_attempt("t2");
    const auto granted = apply_to(table_, change);
    CPPUNIT_ASSERT_EQUAL(1, granted.crash_counts_size());
    CPPUNIT_ASSERT_EQUAL(suspect, granted.crash_counts(0).request());
    CPPUNIT_ASSERT_EQUAL(1U, granted.crash_counts(0).crashed());
    apply({.number = 2, .completed = true});
    turn.set_attempt("t3");
    CPPUNIT_ASSERT_EQUAL(0, apply_to(table_, change).crash_counts_size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_history_test);

} // namespace
} // namespace heathtrestle::records
