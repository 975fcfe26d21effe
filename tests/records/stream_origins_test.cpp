// The versions of streams in the record group's state machine.
#include "records/record_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

constexpr std::uint64_t lifetime_ms = 1000;
constexpr std::uint64_t long_ms = 3600000;

wire::RecordChange begin(const std::string &attempt, const std::string &version,
                         const std::string &resumes = {},
                         std::uint32_t choice = 0) {
  wire::RecordChange change;
  wire::BeginTurn &turn = *change.mutable_begin();
  turn.set_program("p");
  turn.set_attempt(attempt);
  turn.set_budget(100);
  turn.set_keep_ms(2 * long_ms);
  turn.set_lifetime_ms(lifetime_ms);
  turn.set_software_version(version);
  turn.set_version_choice(choice);
  turn.set_resumes(resumes);
  return change;
}

wire::RecordChange end(const std::string &attempt) {
  wire::RecordChange change;
  wire::EndTurn &turn = *change.mutable_end();
  turn.set_program("p");
  turn.set_attempt(attempt);
  turn.set_keep_ms(2 * long_ms);
  return change;
}

class stream_origins_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_origins_test);
  CPPUNIT_TEST(a_resumed_stream_takes_the_version_that_began_it);
  CPPUNIT_TEST(the_version_outlasts_the_end_of_its_attempt);
  CPPUNIT_TEST(an_unknown_attempt_is_told_apart);
  CPPUNIT_TEST(a_later_choice_goes_before_an_earlier_one);
  CPPUNIT_TEST(a_resumed_stream_cannot_change_its_version);
  CPPUNIT_TEST(a_turn_without_a_version_records_none);
  CPPUNIT_TEST(a_refused_turn_records_none);
  CPPUNIT_TEST(a_snapshot_holds_the_versions);
  CPPUNIT_TEST(versions_are_dropped_after_their_time);
  CPPUNIT_TEST(decided_versions_are_answered_as_by_the_log);
  CPPUNIT_TEST(an_unnamed_resumption_takes_the_only_version);
  CPPUNIT_TEST(an_unnamed_resumption_of_two_versions_records_none);
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
  wire::RecordReplyItem apply(const wire::RecordChange &change,
                              std::uint64_t time_ms = 1000) {
    return apply_to(table_, change, time_ms);
  }
  std::string version_of(const wire::RecordChange &change) {
    return apply(change).origin().version();
  }

public:
  void a_resumed_stream_takes_the_version_that_began_it() {
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), version_of(begin("a", "v1")));
    const auto resumed = apply(begin("b", "v2", "a"));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), resumed.origin().version());
    CPPUNIT_ASSERT(resumed.origin().is_continuation());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), version_of(begin("c", "v2", "b")));
  }

  void the_version_outlasts_the_end_of_its_attempt() {
    apply(begin("a", "v1"));
    apply(end("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), version_of(begin("b", "v2", "a")));
  }

  void an_unknown_attempt_is_told_apart() {
    const auto resumed = apply(begin("b", "v2", "a"));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), resumed.origin().version());
    CPPUNIT_ASSERT(!resumed.origin().is_continuation());
  }

  void a_later_choice_goes_before_an_earlier_one() {
    apply(begin("a", "v1"));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                         version_of(begin("a", "v2", "", 1)));
    // A late copy of the first request.
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), version_of(begin("a", "v1")));
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), version_of(begin("b", "v1", "a")));
  }

  void a_resumed_stream_cannot_change_its_version() {
    apply(begin("a", "v1"));
    apply(begin("b", "v2", "a"));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         version_of(begin("b", "v2", "a", 1)));
  }

  void a_turn_without_a_version_records_none() {
    CPPUNIT_ASSERT(!apply(begin("a", "")).has_origin());
    CPPUNIT_ASSERT(!apply(begin("b", "v2", "a")).origin().is_continuation());
  }

  void a_refused_turn_records_none() {
    wire::RecordChange refused = begin("a", "v1");
    refused.mutable_begin()->set_most(1000);
    CPPUNIT_ASSERT(!apply(refused).has_origin());
    CPPUNIT_ASSERT(!apply(begin("b", "v2", "a")).origin().is_continuation());
  }

  void a_snapshot_holds_the_versions() {
    apply(begin("a", "v1"));
    apply(begin("a", "v2", "", 1));
    record_table restored;
    restored.restore(table_.snapshot());
    CPPUNIT_ASSERT_EQUAL(
        std::string("v2"),
        apply_to(restored, begin("b", "v1", "a")).origin().version());
    CPPUNIT_ASSERT_EQUAL(
        std::string("v2"),
        apply_to(restored, begin("a", "v1")).origin().version());
  }

  void versions_are_dropped_after_their_time() {
    apply(begin("a", "v1"));
    apply(begin("b", "v2"), 1000 + long_ms);
    const wire::RecordSnapshot snapshot = table_.snapshot();
    CPPUNIT_ASSERT_EQUAL(1, snapshot.programs(0).origins_size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         snapshot.programs(0).origins(0).attempt());
  }

  /// Its client does not say which attempt began the stream.
  static wire::RecordChange begin_unnamed(const std::string &attempt,
                                          const std::string &version = {}) {
    wire::RecordChange change = begin(attempt, version);
    change.mutable_begin()->set_resumes_unnamed(true);
    return change;
  }

  void an_unnamed_resumption_takes_the_only_version() {
    apply(begin("a", "v1"));
    apply(begin("b", "v1", "a"));
    for (const char *asked : {"", "v2"}) {
      const auto resumed =
          apply(begin_unnamed(asked[0] == 0 ? "c" : "d", asked));
      CPPUNIT_ASSERT_EQUAL(std::string("v1"), resumed.origin().version());
      CPPUNIT_ASSERT(resumed.origin().is_continuation());
    }
    const auto copy = table_.decided_outcome(begin_unnamed("c"));
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), copy->origin().version());
  }

  void an_unnamed_resumption_of_two_versions_records_none() {
    CPPUNIT_ASSERT(!apply(begin_unnamed("first")).has_origin());
    apply(begin("a", "v1"));
    apply(begin("b", "v2"));
    CPPUNIT_ASSERT(!apply(begin_unnamed("c")).has_origin());
    CPPUNIT_ASSERT(!apply(begin_unnamed("d", "v2")).origin().is_continuation());
  }

  void decided_versions_are_answered_as_by_the_log() {
    apply(begin("a", "v1"));
    apply(begin("b", "v2", "a"));
    for (const auto &change : {begin("a", "v1"), begin("b", "v2", "a")}) {
      const auto settled = table_.decided_outcome(change);
      CPPUNIT_ASSERT(settled.has_value());
      CPPUNIT_ASSERT_EQUAL(apply(change).SerializeAsString(),
                           settled->SerializeAsString());
    }
    CPPUNIT_ASSERT(!table_.decided_outcome(begin("a", "v2", "", 1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origins_test);

} // namespace
} // namespace heathtrestle::records
