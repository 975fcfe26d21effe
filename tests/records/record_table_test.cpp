#include "records/record_table.hpp"
#include "records/turn_cache.hpp"
#include "support/turns_in_memory.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

constexpr std::uint64_t keep = 60000;

wire::RecordChange begin(const std::string &attempt, std::uint64_t most,
                         std::uint64_t budget,
                         const std::string &previous = {}) {
  wire::RecordChange change;
  wire::BeginTurn &turn = *change.mutable_begin();
  turn.set_program("p");
  turn.set_attempt(attempt);
  turn.set_most(most);
  turn.set_budget(budget);
  turn.set_previous(previous);
  turn.set_want_history(true);
  turn.set_keep_ms(keep);
  return change;
}

wire::RecordChange end(const std::string &attempt, std::uint64_t used,
                       const std::string &previous = {}, bool kept = false) {
  wire::RecordChange change;
  wire::EndTurn &turn = *change.mutable_end();
  turn.set_program("p");
  turn.set_attempt(attempt);
  turn.set_used(used);
  turn.set_keep_ms(keep);
  if (kept) {
    turn.mutable_kept()->set_id(attempt);
    turn.mutable_kept()->set_previous(previous);
    turn.mutable_kept()->set_input("in-" + attempt);
    turn.mutable_kept()->set_output("out-" + attempt);
  }
  return change;
}

class record_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_table_test);
  CPPUNIT_TEST(a_turn_that_fits_is_granted);
  CPPUNIT_TEST(what_is_reserved_counts_as_spent);
  CPPUNIT_TEST(the_same_attempt_is_granted_once);
  CPPUNIT_TEST(an_attempt_that_ended_cannot_begin);
  CPPUNIT_TEST(an_end_counts_once);
  CPPUNIT_TEST(history_comes_oldest_first);
  CPPUNIT_TEST(an_unknown_turn_is_reported_and_reserves_nothing);
  CPPUNIT_TEST(a_turn_is_kept_with_its_chain);
  CPPUNIT_TEST(expired_and_swept_look_alike);
  CPPUNIT_TEST(a_snapshot_holds_everything);
  CPPUNIT_TEST(time_does_not_run_backwards);
  CPPUNIT_TEST(a_grant_names_the_place_of_the_previous_turn);
  CPPUNIT_TEST(bodies_pass_through_and_are_dropped_with_their_turns);
  CPPUNIT_TEST(a_snapshot_that_brings_bodies_is_taken_in);
  CPPUNIT_TEST(a_history_that_lacks_a_turn_is_refused);
  CPPUNIT_TEST(a_turn_that_expires_while_a_snapshot_travels_still_decides);
  CPPUNIT_TEST(decided_changes_are_answered_as_by_the_log);
  CPPUNIT_TEST(undecided_changes_need_the_log);
  CPPUNIT_TEST(a_name_that_is_not_utf8_travels);
  CPPUNIT_TEST_SUITE_END();

  record_table table_;
  test_support::turns_in_memory bodies_;

  wire::RecordReplyItem apply(const wire::RecordChange &change,
                              std::uint64_t time_ms = 1000) {
    return apply_to(table_, change, time_ms);
  }

  /// Applies a change as a node does and adds the bodies to the history.
  wire::RecordReplyItem apply_to(record_table &table,
                                 const wire::RecordChange &change,
                                 std::uint64_t time_ms) {
    wire::RecordBatch batch;
    batch.set_time_ms(time_ms);
    *batch.add_changes() = change;
    wire::Envelope message;
    wire::RecordReplyItem &item = *message.mutable_record_reply()->add_items();
    item = table.apply(batch).at(0);
    bodies_.keep(table.take_kept());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fill_turn_bodies(message, bodies_));
    bodies_.drop(table.take_dropped());
    return item;
  }

  static wire::RecordChange read(const std::string &last) {
    wire::RecordChange change;
    change.mutable_read()->set_last(last);
    return change;
  }

public:
  /// A receiver would drop the whole message, with the requests of others.
  void a_name_that_is_not_utf8_travels() {
    const std::string name = "a\xff";
    wire::Envelope message;
    wire::RecordRequest &request = *message.mutable_record_request();
    for (wire::RecordChange change :
         {begin(name, 1, 10, name), end(name, 1, name, true), read(name)}) {
      if (change.has_begin()) {
        change.mutable_begin()->set_program(name);
        change.mutable_begin()->set_session(name);
        change.mutable_begin()->set_resumes(name);
      }
      *request.add_items()->mutable_change() = std::move(change);
    }
    wire::ReportCrashes &crashes =
        *request.add_items()->mutable_change()->mutable_report_crashes();
    crashes.set_account(name);
    crashes.set_attempt(name);
    wire::Envelope read_back;
    CPPUNIT_ASSERT(read_back.ParseFromString(message.SerializeAsString()));
    apply(end(name, 1, "", true));
    wire::RecordSnapshot restored;
    CPPUNIT_ASSERT(
        restored.ParseFromString(table_.snapshot().SerializeAsString()));
  }

  void decided_changes_are_answered_as_by_the_log() {
    apply(end("a", 5, "", true));
    apply(begin("b", 10, 100, "a"));
    for (const auto &change : {begin("b", 10, 100, "a"), end("a", 5, "", true),
                               end("a", 5), read("a")}) {
      const auto settled = table_.decided_outcome(change);
      CPPUNIT_ASSERT(settled);
      wire::RecordBatch batch;
      batch.set_time_ms(1000);
      *batch.add_changes() = change;
      CPPUNIT_ASSERT_EQUAL(table_.apply(batch).at(0).SerializeAsString(),
                           settled->SerializeAsString());
    }
  }

  void undecided_changes_need_the_log() {
    apply(end("a", 5, "", true));
    apply(end("cancelled", 0));
    for (const auto &change :
         {begin("b", 10, 100), begin("a", 10, 100), begin("b", 10, 100, "c"),
          end("b", 0), end("cancelled", 0, "", true), read("c")}) {
      CPPUNIT_ASSERT(!table_.decided_outcome(change));
    }
    // An expired turn is absent whether it was swept or not.
    wire::RecordBatch later;
    later.set_time_ms(1000 + 10 * keep);
    table_.apply(later);
    CPPUNIT_ASSERT(!table_.decided_outcome(read("a")));
    CPPUNIT_ASSERT(!table_.decided_outcome(end("a", 5, "", true)));
  }

  void a_turn_that_fits_is_granted() {
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         apply(begin("a", 100, 100)).verdict());
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         apply(begin("b", 1, 100)).verdict());
  }

  void what_is_reserved_counts_as_spent() {
    apply(begin("a", 60, 100));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         apply(begin("b", 60, 100)).verdict());
    apply(end("a", 10));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         apply(begin("c", 60, 100)).verdict());
  }

  void the_same_attempt_is_granted_once() {
    apply(begin("a", 60, 100));
    const auto again = apply(begin("a", 60, 100));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, again.verdict());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, again.reserved());
  }

  void an_attempt_that_ended_cannot_begin() {
    apply(end("a", 0));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_UNAVAILABLE,
                         apply(begin("a", 60, 100)).verdict());
  }

  void an_end_counts_once() {
    apply(begin("a", 60, 100));
    apply(end("a", 25));
    const auto again = apply(end("a", 25));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25}, again.spent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, again.reserved());
  }

  void history_comes_oldest_first() {
    apply(end("a", 0, "", true));
    apply(end("b", 0, "a", true));
    const auto reply = apply(begin("c", 1, 100, "b"));
    CPPUNIT_ASSERT_EQUAL(2, reply.history_size());
    CPPUNIT_ASSERT_EQUAL(std::string("in-a"), reply.history(0).input());
    CPPUNIT_ASSERT_EQUAL(std::string("out-b"), reply.history(1).output());
  }

  void an_unknown_turn_is_reported_and_reserves_nothing() {
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_UNKNOWN_TURN,
                         apply(begin("c", 90, 100, "nowhere")).verdict());
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         apply(begin("d", 100, 100)).verdict());
  }

  void a_turn_is_kept_with_its_chain() {
    apply(end("a", 0, "", true), 1000);
    apply(end("b", 0, "a", true), 50000);
    const auto reply = apply(begin("c", 1, 100, "b"), 100000);
    CPPUNIT_ASSERT_EQUAL(2, reply.history_size());
  }

  void expired_and_swept_look_alike() {
    record_table restored;
    apply(end("a", 0, "", true), 1000);
    restored.restore(table_.snapshot());
    // One of the tables has just been restored, the other has not swept for a
    // while.
    constexpr std::uint64_t later = 1000 + 10 * keep;
    CPPUNIT_ASSERT_EQUAL(
        apply(begin("c", 1, 100, "a"), later).verdict(),
        apply_to(restored, begin("c", 1, 100, "a"), later).verdict());
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_UNKNOWN_TURN,
                         apply(begin("d", 1, 100, "a"), later).verdict());
  }

  void a_snapshot_holds_everything() {
    apply(begin("a", 60, 100));
    apply(end("b", 30, "", true));
    record_table restored;
    restored.restore(table_.snapshot());
    const auto refused = apply_to(restored, begin("c", 20, 100), 1000);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT, refused.verdict());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, refused.spent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, refused.reserved());
    const auto granted = apply_to(restored, begin("d", 10, 100, "b"), 1000);
    CPPUNIT_ASSERT_EQUAL(1, granted.history_size());
  }

  void a_grant_names_the_place_of_the_previous_turn() {
    wire::RecordChange ended = end("t1", 3, {}, true);
    wire::TurnPlace &place =
        *ended.mutable_end()->mutable_kept()->mutable_place();
    place.set_instance("engine-7");
    place.set_tokens(1234);
    apply(begin("t1", 5, 100));
    apply(ended);
    const auto told = apply(begin("t2", 5, 100, "t1"));
    CPPUNIT_ASSERT_EQUAL(std::string("engine-7"),
                         told.previous_place().instance());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1234}, told.previous_place().tokens());
    CPPUNIT_ASSERT(!apply(begin("t3", 5, 100)).has_previous_place());
    // The place is included in a snapshot.
    record_table copy;
    copy.restore(table_.snapshot());
    wire::RecordBatch batch;
    batch.set_time_ms(1);
    *batch.add_changes() = begin("t4", 5, 100, "t1");
    CPPUNIT_ASSERT_EQUAL(std::string("engine-7"),
                         copy.apply(batch).at(0).previous_place().instance());
  }

  void bodies_pass_through_and_are_dropped_with_their_turns() {
    apply(end("a", 0, "", true));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bodies_.size());
    CPPUNIT_ASSERT(table_.turn_bytes() > 0);
    const wire::RecordSnapshot snapshot = table_.snapshot();
    CPPUNIT_ASSERT(snapshot.turns(0).turn().input().empty());
    constexpr std::uint64_t later = 1000 + 10 * keep;
    apply(begin("b", 1, 100), later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bodies_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.turn_bytes());
  }

  void a_snapshot_that_brings_bodies_is_taken_in() {
    apply(end("a", 0, "", true));
    wire::Envelope message;
    *message.mutable_snapshot_request()->mutable_records() = table_.snapshot();
    fill_turn_bodies(message, bodies_);
    record_table restored;
    restored.restore(message.snapshot_request().records());
    const std::vector<wire::RecordTurn> kept = restored.take_kept();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.size());
    CPPUNIT_ASSERT_EQUAL(std::string("in-a"), kept.front().input());
    CPPUNIT_ASSERT_EQUAL(table_.turn_bytes(), restored.turn_bytes());
  }

  void a_history_that_lacks_a_turn_is_refused() {
    apply(end("a", 0, "", true));
    apply(end("b", 0, "a", true));
    bodies_.drop({"a"});
    wire::RecordBatch batch;
    *batch.add_changes() = begin("c", 1, 100, "b");
    wire::Envelope message;
    *message.mutable_record_reply()->add_items() = table_.apply(batch).at(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fill_turn_bodies(message, bodies_));
    const wire::RecordReplyItem &item = message.record_reply().items(0);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_UNAVAILABLE, item.verdict());
    CPPUNIT_ASSERT_EQUAL(0, item.history_size());
  }

  void a_turn_that_expires_while_a_snapshot_travels_still_decides() {
    // The follower applies entries from before the expiry like the other nodes.
    apply(end("a", 0, "", true));
    wire::Envelope message;
    *message.mutable_snapshot_request()->mutable_records() = table_.snapshot();
    bodies_.drop({"a"}); // swept by the leader meanwhile
    fill_turn_bodies(message, bodies_);
    record_table restored;
    restored.restore(message.snapshot_request().records());
    CPPUNIT_ASSERT(restored.take_kept().empty());
    CPPUNIT_ASSERT_EQUAL(table_.turn_bytes(), restored.turn_bytes());
    wire::RecordBatch batch;
    *batch.add_changes() = begin("c", 1, 100, "a");
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         restored.apply(batch).at(0).verdict());
  }

  void time_does_not_run_backwards() {
    apply(end("a", 0, "", true), 100000);
    apply(end("b", 0, "", true), 1000);
    // With a lifetime counted from its own time the second turn would have
    // expired.
    CPPUNIT_ASSERT_EQUAL(
        wire::RECORD_GRANTED,
        apply(begin("c", 1, 100, "b"), 100000 + keep).verdict());
  }
};

class turn_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(turn_cache_test);
  CPPUNIT_TEST(a_chain_comes_whole_or_not_at_all);
  CPPUNIT_TEST(the_cache_stays_within_its_bytes);
  CPPUNIT_TEST(a_turn_that_names_itself_ends);
  CPPUNIT_TEST_SUITE_END();

public:
  void a_chain_comes_whole_or_not_at_all() {
    turn_cache cache(1000);
    cache.put({.id = "b", .previous = "a", .input = "2", .output = "y"});
    CPPUNIT_ASSERT(!cache.chain("b"));
    cache.put({.id = "a", .previous = "", .input = "1", .output = "x"});
    const auto chain = cache.chain("b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chain->size());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), chain->front()->input);
  }

  void the_cache_stays_within_its_bytes() {
    turn_cache cache(10);
    for (const char *id : {"a", "b", "c", "d"}) {
      cache.put({.id = id, .previous = "", .input = "1234", .output = ""});
    }
    CPPUNIT_ASSERT(cache.bytes() <= 10);
    CPPUNIT_ASSERT(cache.chain("d").has_value());
    CPPUNIT_ASSERT(!cache.chain("a").has_value());
  }

  void a_turn_that_names_itself_ends() {
    turn_cache cache(100);
    cache.put({.id = "a", .previous = "a", .input = "1", .output = ""});
    CPPUNIT_ASSERT(!cache.chain("a").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_table_test);
CPPUNIT_TEST_SUITE_REGISTRATION(turn_cache_test);

} // namespace
} // namespace heathtrestle::records
