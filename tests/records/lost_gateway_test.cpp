// Guards against a program whose turns are refused for good because an attempt
// that nobody will end holds its token budget: its gateway died, its grant was
// not heard, or its end could not be recorded. Each test forces one order of
// events. The budget must hold in all of them.
#include "records/ledger_client.hpp"
#include "records/record_table.hpp"
#include "support/ledger_ticks.hpp"
#include "support/record_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

using test_support::record_group;
using namespace std::chrono_literals;

constexpr std::uint64_t most = 60;
constexpr duration_ms keep{60000};
/// How long a reservation is kept when no turn of its session asks again.
constexpr duration_ms lifetime{10000};
/// How long a client may wait for the answer to a turn that it sends again.
constexpr duration_ms soon{1000};
/// How long it may take until a program hears that its budget is spent because
/// several attempts were lost: their gateways may report an end for some
/// seconds after the lifetime, and "spent" is final.
constexpr duration_ms until_lost_for_good = lifetime + duration_ms{5000};

/// Sets the fields of a request by which an earlier attempt is presumed lost.
void set_session(wire::BeginTurn &begin, const std::string &session) {
  begin.set_session(session);
  begin.set_lifetime_ms(static_cast<std::uint64_t>(lifetime.count()));
}

wire::RecordChange begin_of(const std::string &session,
                            const std::string &attempt, std::uint64_t budget) {
  wire::RecordChange change;
  wire::BeginTurn &begin = *change.mutable_begin();
  begin.set_program("p");
  begin.set_attempt(attempt);
  begin.set_most(most);
  begin.set_budget(budget);
  begin.set_keep_ms(static_cast<std::uint64_t>(keep.count()));
  set_session(begin, session);
  return change;
}

wire::RecordChange end_of(const std::string &attempt, std::uint64_t used) {
  wire::RecordChange change;
  wire::EndTurn &end = *change.mutable_end();
  end.set_program("p");
  end.set_attempt(attempt);
  end.set_used(used);
  end.set_keep_ms(static_cast<std::uint64_t>(keep.count()));
  return change;
}

/// The answer to a turn, as a gateway tells them apart.
enum class answer : std::uint8_t {
  granted,
  spent,    // 402
  reserved, // 503: tokens that other attempts hold may still be given back
  other,
};

answer answer_of(const wire::RecordReplyItem &reply, std::uint64_t budget) {
  if (reply.verdict() == wire::RECORD_GRANTED) {
    return answer::granted;
  }
  if (reply.verdict() != wire::RECORD_BUDGET_SPENT) {
    return answer::other;
  }
  const bool only_reserved =
      reply.reserved() > 0 && reply.spent() + most <= budget;
  return only_reserved ? answer::reserved : answer::spent;
}

std::string name_of(answer given) {
  switch (given) {
  case answer::granted:
    return "granted";
  case answer::spent:
    return "spent";
  case answer::reserved:
    return "reserved";
  case answer::other:
    return "other";
  }
  return "unknown";
}

/// The program "p" in a table.
wire::RecordProgram program_in(const record_table &table) {
  const wire::RecordSnapshot state = table.snapshot();
  for (const wire::RecordProgram &each : state.programs()) {
    if (each.id() == "p") {
      return each;
    }
  }
  return {};
}

/// The attempts of program "p" that hold a reservation.
std::string holders_in(const record_table &table) {
  std::string holders;
  const wire::RecordProgram program = program_in(table);
  for (const wire::RecordOpenTurn &open : program.open()) {
    holders += open.attempt() + ' ';
  }
  return holders;
}

void start_group(record_group &group) {
  for (const char *name : {"a", "b", "c"}) {
    group.add(name);
  }
  group.bootstrap("a");
  group.run(4000ms);
}

/// Runs the group until it has a leader that can commit.
std::string wait_for_leader(record_group &group) {
  for (duration_ms waited{0}; group.leader().empty() && waited < 5000ms;
       waited += 50ms) {
    group.run(50ms);
  }
  CPPUNIT_ASSERT(!group.leader().empty());
  return group.leader();
}

/// Replaces the disks of all nodes, one after the other, so that each is
/// restored from a snapshot. The group must keep few entries.
void restore_all_from_snapshots(record_group &group) {
  constexpr int entries = 10;
  for (const std::string &name : group.names()) {
    for (int entry = 0; entry < entries; ++entry) {
      group.keep_turn(fmt::format("filler-{}-{}", name, entry));
      group.run(250ms);
    }
    const std::size_t before =
        group.logged(logging::event::record_snapshot_installed);
    group.wipe(name);
    group.run(1000ms);
    group.start(name);
    group.run(4000ms);
    CPPUNIT_ASSERT_MESSAGE(
        name, group.logged(logging::event::record_snapshot_installed) > before);
  }
}

void restart_all(record_group &group) {
  for (const std::string &name : group.names()) {
    group.kill(name);
  }
  group.run(1000ms);
  for (const std::string &name : group.names()) {
    group.start(name);
  }
  group.run(2000ms);
}

/// The clients of program "p": their turns, and the tokens that they can have
/// received.
class program_clients {
public:
  program_clients(record_group &group, std::uint64_t budget)
      : group_(group), budget_(budget) {}

  /// Sends a turn through gateways, which ask again while the budget is only
  /// reserved.
  answer try_turn(const std::string &session, const std::string &attempt,
                  duration_ms patience = soon) {
    const timestamp patient = group_.now() + patience;
    answer given = answer::other;
    do {
      const auto id = group_.submit(begin_of(session, attempt, budget_));
      const timestamp give_up = group_.now() + soon;
      while (!group_.reply(id) && group_.now() < give_up) {
        group_.run(10ms);
      }
      const auto reply = group_.reply(id);
      given = reply ? answer_of(*reply, budget_) : answer::other;
      if (given == answer::reserved) {
        group_.run(100ms);
      }
    } while (given == answer::reserved && group_.now() < patient);
    return given;
  }
  /// The gateway of a granted attempt dies, after the client may have received
  /// all that the turn generates.
  void lose() { receive(most); }
  /// A granted attempt ends.
  void end(const std::string &attempt, std::uint64_t used) {
    receive(used);
    record_end(attempt, used);
  }
  void record_end(const std::string &attempt, std::uint64_t used) {
    const auto id = group_.submit(end_of(attempt, used));
    group_.run(500ms);
    CPPUNIT_ASSERT(group_.verdict(id) == wire::RECORD_DONE);
  }
  [[nodiscard]] std::uint64_t received() const { return received_; }

private:
  void receive(std::uint64_t tokens) {
    received_ += tokens;
    CPPUNIT_ASSERT_LESSEQUAL(budget_ + most, received_);
  }

  record_group &group_;
  std::uint64_t budget_;
  std::uint64_t received_ = 0;
};

void check(answer wanted, answer given, const std::string &what) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, name_of(wanted), name_of(given));
}

class lost_gateway_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(lost_gateway_test);
  CPPUNIT_TEST(a_turn_is_granted_again_after_its_gateway_died);
  CPPUNIT_TEST(a_turn_is_granted_again_over_a_change_of_leader);
  CPPUNIT_TEST(a_turn_is_granted_again_over_a_restart_of_all_nodes);
  CPPUNIT_TEST(a_turn_is_granted_again_by_nodes_restored_from_a_snapshot);
  CPPUNIT_TEST(two_gateways_die_one_after_the_other);
  CPPUNIT_TEST(three_gateways_die_one_after_the_other);
  CPPUNIT_TEST(gateways_die_and_all_nodes_restart_between);
  CPPUNIT_TEST(gateways_die_and_snapshots_are_installed_between);
  CPPUNIT_TEST(gateways_die_with_turns_of_different_sessions);
  CPPUNIT_TEST(asking_again_does_not_prolong_a_reservation);
  CPPUNIT_TEST(a_turn_under_way_in_another_session_keeps_its_reservation);
  CPPUNIT_TEST(an_end_that_comes_late_counts);
  CPPUNIT_TEST(a_cancel_that_comes_late_gives_the_tokens_back);
  CPPUNIT_TEST(a_repeated_begin_leaves_the_reservation_of_its_own_attempt);
  CPPUNIT_TEST_SUITE_END();

  /// A gateway dies with a granted turn; `disturbance` happens to the group;
  /// then the client tries again.
  template <typename Disturbance>
  static void check_granted_again(std::uint64_t seed,
                                  const Disturbance &disturbance) {
    constexpr std::uint64_t budget = 100;
    record_group group(seed);
    group.options().raft.retained_entries = 1;
    start_group(group);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s", "first"), "first");
    clients.lose();
    disturbance(group);
    const std::string leader = wait_for_leader(group);
    const answer again = clients.try_turn("s", "second");
    check(answer::granted, again,
          "second, held by " + holders_in(group.at(leader).table()));
    clients.end("second", most);
  }

  /// Gateways die one after the other, each with the turn of the same session;
  /// `disturbance` happens to the group after each.
  template <typename Disturbance>
  static void check_losses(std::uint64_t seed, std::uint64_t budget, int losses,
                           const Disturbance &disturbance) {
    record_group group(seed);
    group.options().raft.retained_entries = 1;
    start_group(group);
    program_clients clients(group, budget);
    for (int turn = 0; turn < losses; ++turn) {
      const answer given = clients.try_turn("s", fmt::format("try-{}", turn),
                                            until_lost_for_good);
      const std::string what = fmt::format("budget {}, try {}, {} received",
                                           budget, turn, clients.received());
      if (given != answer::granted) {
        check(answer::spent, given, what);
        // Even with all lost attempts counted in full, it must not fit.
        CPPUNIT_ASSERT_MESSAGE(what, clients.received() + most > budget);
        return;
      }
      clients.lose();
      disturbance(group);
      wait_for_leader(group);
    }
    const answer last = clients.try_turn("s", "last", until_lost_for_good);
    const std::string what = fmt::format("budget {}, last try, {} received",
                                         budget, clients.received());
    CPPUNIT_ASSERT_MESSAGE(what + ": " + name_of(last),
                           last == answer::granted || last == answer::spent);
    if (last == answer::granted) {
      clients.end("last", most);
    } else {
      CPPUNIT_ASSERT_MESSAGE(what, clients.received() + most > budget);
    }
  }

public:
  void a_turn_is_granted_again_after_its_gateway_died() {
    check_granted_again(1, [](record_group & /*group*/) {});
  }

  void a_turn_is_granted_again_over_a_change_of_leader() {
    check_granted_again(2, [](record_group &group) {
      const std::string old_leader = group.leader();
      group.kill(old_leader);
      group.run(2000ms);
      group.start(old_leader);
      CPPUNIT_ASSERT(wait_for_leader(group) != old_leader);
    });
  }

  void a_turn_is_granted_again_over_a_restart_of_all_nodes() {
    check_granted_again(3, restart_all);
  }

  void a_turn_is_granted_again_by_nodes_restored_from_a_snapshot() {
    check_granted_again(4, restore_all_from_snapshots);
  }

  void two_gateways_die_one_after_the_other() {
    for (const std::uint64_t budget : {60, 100, 119, 120, 200, 400}) {
      check_losses(5, budget, 2, [](record_group & /*group*/) {});
    }
  }

  void three_gateways_die_one_after_the_other() {
    for (const std::uint64_t budget : {60, 100, 179, 180, 200, 400}) {
      check_losses(6, budget, 3, [](record_group & /*group*/) {});
    }
  }

  void gateways_die_and_all_nodes_restart_between() {
    for (const std::uint64_t budget : {60, 100, 180}) {
      check_losses(12, budget, 3, restart_all);
    }
  }

  void gateways_die_and_snapshots_are_installed_between() {
    for (const std::uint64_t budget : {60, 100, 180}) {
      check_losses(13, budget, 3, restore_all_from_snapshots);
    }
  }

  // Each request prolongs the life of its program's account.
  void asking_again_does_not_prolong_a_reservation() {
    constexpr std::uint64_t budget = 100;
    constexpr int seconds = 300;
    record_table table;
    wire::RecordBatch batch;
    batch.set_time_ms(1000);
    batch.set_quota_time_ms(1000);
    *batch.add_changes() = begin_of("s1", "first", budget);
    table.apply(batch);
    answer given = answer::reserved;
    int asked = 0;
    while (asked < seconds && given == answer::reserved) {
      ++asked;
      batch.set_time_ms(batch.time_ms() + 1000);
      batch.set_quota_time_ms(batch.time_ms() + 1000);
      *batch.mutable_changes(0) =
          begin_of("s2", fmt::format("try-{}", asked), budget);
      given = answer_of(table.apply(batch).at(0), budget);
    }
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} after {} s", name_of(given), asked),
                           given == answer::granted || given == answer::spent);
  }

  // No later attempt of these sessions asks, but one of another session does.
  void gateways_die_with_turns_of_different_sessions() {
    constexpr std::uint64_t budget = 130;
    record_group group(7);
    start_group(group);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s1", "first"), "first");
    check(answer::granted, clients.try_turn("s2", "second"), "second");
    clients.lose();
    clients.lose();
    // The clocks of successive leaders may differ by less than this.
    constexpr duration_ms clock_slack = 15000ms;
    group.run(lifetime + clock_slack + soon);
    const answer third = clients.try_turn("s3", "third");
    CPPUNIT_ASSERT_MESSAGE(name_of(third),
                           third == answer::granted || third == answer::spent);
    if (third == answer::granted) {
      clients.end("third", most);
    }
  }

  void a_turn_under_way_in_another_session_keeps_its_reservation() {
    constexpr std::uint64_t budget = 100;
    record_group group(8);
    start_group(group);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s1", "first"), "first");
    check(answer::reserved, clients.try_turn("s2", "second"), "second");
    clients.end("first", 10);
    check(answer::granted, clients.try_turn("s2", "second"), "second again");
    clients.end("second", 30);
    check(answer::granted, clients.try_turn("s1", "third"), "third");
  }

  // The gateway was only cut off from the group.
  void an_end_that_comes_late_counts() {
    constexpr std::uint64_t budget = 100;
    record_group group(9);
    start_group(group);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s", "first"), "first");
    const answer second = clients.try_turn("s", "second");
    clients.end("first", most);
    if (second != answer::granted) {
      check(answer::reserved, second, "second");
    } else {
      clients.end("second", most);
    }
    check(answer::spent, clients.try_turn("s", "third"), "third");
    const wire::RecordProgram account =
        program_in(group.at(group.leader()).table());
    CPPUNIT_ASSERT_EQUAL(clients.received(), account.spent());
    CPPUNIT_ASSERT_EQUAL(0, account.open_size());
  }

  // The turn was granted, its gateway did not hear it, and nothing ran.
  void a_cancel_that_comes_late_gives_the_tokens_back() {
    // The second attempt fits beside the unheard one, or only instead of it.
    for (const std::uint64_t budget : {120, 119, 100}) {
      const std::string what = fmt::format("budget {}", budget);
      record_group group(10);
      start_group(group);
      program_clients clients(group, budget);
      check(answer::granted, clients.try_turn("s", "unheard"), what);
      const answer second = clients.try_turn("s", "second");
      clients.record_end("unheard", 0);
      if (second != answer::granted) {
        check(answer::granted, clients.try_turn("s", "second"), what);
      }
      clients.lose(); // of the second
      const answer third = clients.try_turn("s", "third");
      // The unheard attempt counts nothing, the second counts at its most.
      const bool fits = clients.received() + most <= budget;
      CPPUNIT_ASSERT_MESSAGE(what + ": third " + name_of(third),
                             third == answer::granted ||
                                 (third == answer::spent && !fits));
      if (third == answer::granted) {
        clients.end("third", 20);
      }
    }
  }

  // A gateway that asks again with the same attempt does not charge its program
  // twice.
  void a_repeated_begin_leaves_the_reservation_of_its_own_attempt() {
    constexpr std::uint64_t budget = 100;
    record_group group(11);
    start_group(group);
    program_clients clients(group, budget);
    for (int copy = 0; copy < 5; ++copy) {
      check(answer::granted, clients.try_turn("s", "first"), "first");
    }
    clients.end("first", 10);
    check(answer::granted, clients.try_turn("s", "second"), "second");
    clients.end("second", 30);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                         program_in(group.at(group.leader()).table()).spent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_gateway_test);

/// All sequences of a few turns in two sessions, and of what becomes of them.
class turn_sequences_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(turn_sequences_test);
  CPPUNIT_TEST(clients_never_receive_more_than_the_budget_and_a_turn);
  CPPUNIT_TEST(no_sequence_ends_with_a_budget_that_stays_reserved);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int turns = 5;

  /// What becomes of an attempt when its session tries again.
  enum class fate : std::uint8_t {
    lost,      // never ends
    cancelled, // was not heard
    ended,
    ends_late, // after the next attempt has begun
    repeated,  // a copy of its begin arrives after the next attempt has begun
  };

  struct sequence {
    record_table table;
    std::uint64_t budget = 0;
    std::uint64_t time_ms = 1000;
    /// The tokens that clients may receive of each granted attempt.
    std::map<std::string, std::uint64_t> tokens;
    std::set<std::string> ended;
    /// The last granted attempt of each session.
    std::map<std::string, std::string> last;
    std::string text;

    wire::RecordReplyItem apply(const wire::RecordChange &change) {
      wire::RecordBatch batch;
      batch.set_time_ms(time_ms);
      batch.set_quota_time_ms(time_ms);
      *batch.add_changes() = change;
      return table.apply(batch).at(0);
    }
    answer begin(const std::string &session, const std::string &attempt) {
      const answer given =
          answer_of(apply(begin_of(session, attempt, budget)), budget);
      text +=
          fmt::format(" begin {} {}: {},", session, attempt, name_of(given));
      if (given == answer::granted && !ended.contains(attempt)) {
        tokens[attempt] = most;
      }
      return given;
    }
    void end(const std::string &attempt, std::uint64_t used) {
      text += fmt::format(" end {} {},", attempt, used);
      apply(end_of(attempt, used));
      if (ended.insert(attempt).second) {
        tokens[attempt] = used;
      }
    }
    [[nodiscard]] std::uint64_t received() const {
      std::uint64_t sum = 0;
      for (const auto &[attempt, count] : tokens) {
        sum += count;
      }
      return sum;
    }
  };

  static void add_turn(sequence &run, const std::string &session,
                       fate of_last) {
    const std::string last = run.last[session];
    if (of_last == fate::cancelled || of_last == fate::ended) {
      constexpr std::uint64_t used = 10;
      run.end(last, of_last == fate::ended ? used : 0);
    }
    const std::string attempt = fmt::format("{}", run.text.size());
    if (run.begin(session, attempt) == answer::granted) {
      run.last[session] = attempt;
    }
    if (of_last == fate::ends_late) {
      run.end(last, most);
    } else if (of_last == fate::repeated) {
      run.begin(session, last);
    }
  }

  /// Visits the sequence and all that continue it.
  template <typename Check>
  static void visit(const sequence &before, int left, const Check &checked) {
    checked(before);
    if (left == 0) {
      return;
    }
    for (const char *session : {"s1", "s2"}) {
      for (const fate of_last : {fate::lost, fate::cancelled, fate::ended,
                                 fate::ends_late, fate::repeated}) {
        const bool first =
            !before.last.contains(session) || before.last.at(session).empty();
        if (first && of_last != fate::lost) {
          continue; // nothing to become of
        }
        sequence next = before;
        add_turn(next, session, of_last);
        visit(next, left - 1, checked);
      }
    }
  }

  template <typename Check> static void visit_all(const Check &checked) {
    for (const std::uint64_t budget : {60, 100, 120, 200}) {
      sequence empty;
      empty.budget = budget;
      empty.text = fmt::format("budget {}:", budget);
      visit(empty, turns, checked);
    }
  }

public:
  void clients_never_receive_more_than_the_budget_and_a_turn() {
    visit_all([](const sequence &run) {
      CPPUNIT_ASSERT_MESSAGE(run.text, run.received() <= run.budget + most);
    });
  }

  void no_sequence_ends_with_a_budget_that_stays_reserved() {
    int sequences = 0;
    int reserved = 0;
    std::string first_reserved;
    visit_all([&](const sequence &run) {
      sequence after = run;
      // The clocks of successive leaders may differ by less than this.
      constexpr duration_ms clock_slack = 15000ms;
      after.time_ms +=
          static_cast<std::uint64_t>((lifetime + clock_slack + soon).count());
      const std::uint64_t received = after.received();
      const answer given = after.begin("s3", "last");
      ++sequences;
      if (given == answer::reserved) {
        ++reserved;
        first_reserved = first_reserved.empty() ? after.text : first_reserved;
        return;
      }
      const bool fits = received + most <= after.budget;
      CPPUNIT_ASSERT_MESSAGE(after.text, given == answer::granted ||
                                             (given == answer::spent && !fits));
      CPPUNIT_ASSERT_MESSAGE(after.text,
                             after.received() <= after.budget + most);
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("of {} sequences, the first:{}", sequences, first_reserved),
        0, reserved);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_sequences_test);

/// A gateway gives up a begin that was not answered in time, and cancels it.
class given_up_begin_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(given_up_begin_test);
  CPPUNIT_TEST(begin_before_cancel);
  CPPUNIT_TEST(cancel_before_begin);
  CPPUNIT_TEST(both_in_one_entry);
  CPPUNIT_TEST(cancel_before_begin_with_a_restart_between);
  CPPUNIT_TEST(cancel_before_begin_with_a_snapshot_between);
  CPPUNIT_TEST(begin_at_the_old_leader_and_cancel_at_the_new_one);
  CPPUNIT_TEST(the_leader_dies_at_any_moment_after_the_begin);
  CPPUNIT_TEST(the_leader_dies_at_any_moment_after_the_cancel);
  CPPUNIT_TEST(a_leader_is_elected_again_with_old_proposals);
  CPPUNIT_TEST(copies_of_begin_and_cancel_in_any_order);
  CPPUNIT_TEST(a_late_copy_of_a_refused_begin);
  CPPUNIT_TEST(a_late_copy_of_a_begin_that_continued_an_unknown_turn);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t budget = 100;

  /// Cancels the attempt, and checks that no replica holds a reservation
  /// afterwards and that a turn of the whole budget is granted.
  static void check_released(record_group &group, const std::string &what) {
    const auto cancel = group.submit(end_of("given-up", 0));
    group.run(4000ms);
    CPPUNIT_ASSERT_MESSAGE(what, group.verdict(cancel) == wire::RECORD_DONE);
    check_no_holder(group, what);
  }
  static void check_no_holder(record_group &group, const std::string &what) {
    for (const std::string &name : group.names()) {
      if (group.is_up(name)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what + " at " + name, std::string(),
                                     holders_in(group.at(name).table()));
      }
    }
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s", "next"), what);
  }
  static wire::RecordChange begin() {
    return begin_of("s", "given-up", budget);
  }

public:
  void begin_before_cancel() {
    record_group group(21);
    start_group(group);
    group.lose_replies(true);
    group.send_once(group.leader(), begin());
    group.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("given-up "),
                         holders_in(group.at(group.leader()).table()));
    group.lose_replies(false);
    check_released(group, "begin before cancel");
  }

  void cancel_before_begin() {
    record_group group(22);
    start_group(group);
    group.send_once(group.leader(), end_of("given-up", 0));
    group.run(500ms);
    group.send_once(group.leader(), begin());
    group.run(500ms);
    check_no_holder(group, "cancel before begin");
  }

  void both_in_one_entry() {
    for (const bool cancel_first : {false, true}) {
      record_group group(23);
      start_group(group);
      const std::string leader = group.leader();
      const auto *log = group.at(leader).log();
      const auto before = log->last_index();
      if (cancel_first) {
        group.send_once(leader, end_of("given-up", 0));
      }
      group.send_once(leader, begin());
      if (!cancel_first) {
        group.send_once(leader, end_of("given-up", 0));
      }
      group.run(500ms);
      CPPUNIT_ASSERT(log->last_index().value() == before.value() + 1);
      check_no_holder(group, cancel_first ? "cancel first" : "begin first");
    }
  }

  void cancel_before_begin_with_a_restart_between() {
    record_group group(24);
    start_group(group);
    group.send_once(group.leader(), end_of("given-up", 0));
    group.run(500ms);
    restart_all(group);
    group.send_once(wait_for_leader(group), begin());
    group.run(500ms);
    check_no_holder(group, "cancel, restart, begin");
  }

  void cancel_before_begin_with_a_snapshot_between() {
    record_group group(25);
    group.options().raft.retained_entries = 1;
    start_group(group);
    group.send_once(group.leader(), end_of("given-up", 0));
    group.run(500ms);
    restore_all_from_snapshots(group);
    group.send_once(wait_for_leader(group), begin());
    group.run(500ms);
    check_no_holder(group, "cancel, snapshot, begin");
  }

  // The old leader is cut off from the others, but not from the gateway.
  void begin_at_the_old_leader_and_cancel_at_the_new_one() {
    for (std::uint64_t seed = 100; seed < 110; ++seed) {
      record_group group(seed);
      start_group(group);
      const std::string old_leader = group.leader();
      for (const std::string &name : group.names()) {
        group.cut(old_leader, name);
      }
      const auto id = group.send_once(old_leader, begin());
      group.run(3000ms);
      std::string leader;
      for (const std::string &name : group.names()) {
        const bool leads = group.at(name).is_leader() && name != old_leader;
        leader = leads ? name : leader;
      }
      CPPUNIT_ASSERT(!leader.empty());
      group.send_once(leader, end_of("given-up", 0));
      group.run(500ms);
      group.heal();
      // A copy of the begin reaches the new leader.
      group.send_once(leader, begin(), id);
      group.run(3000ms);
      check_no_holder(group, fmt::format("seed {}", seed));
    }
  }

  void the_leader_dies_at_any_moment_after_the_begin() {
    int held = 0;
    for (duration_ms moment = 5ms; moment <= 60ms; moment += 5ms) {
      record_group group(200);
      start_group(group);
      const std::string old_leader = group.leader();
      group.send_once(old_leader, begin());
      group.run(moment);
      group.kill(old_leader);
      group.run(2000ms);
      held +=
          holders_in(group.at(wait_for_leader(group)).table()).empty() ? 0 : 1;
      group.start(old_leader);
      check_released(group, fmt::format("died after {} ms", moment.count()));
    }
    CPPUNIT_ASSERT_GREATER(0, held); // some died after they had replicated it
  }

  void the_leader_dies_at_any_moment_after_the_cancel() {
    for (duration_ms moment = 5ms; moment <= 60ms; moment += 5ms) {
      record_group group(300);
      start_group(group);
      const std::string old_leader = group.leader();
      group.send_once(old_leader, begin());
      group.run(500ms);
      const auto cancel = group.send_once(old_leader, end_of("given-up", 0));
      group.run(moment);
      group.kill(old_leader);
      group.run(2000ms);
      // The gateway repeats its cancel at the new leader.
      group.send_once(wait_for_leader(group), end_of("given-up", 0), cancel);
      group.start(old_leader);
      group.run(2000ms);
      check_no_holder(group, fmt::format("died after {} ms", moment.count()));
    }
  }

  // A leader that loses its term with the same messages that bring a begin
  // keeps the begin until it knows a leader, which may be itself.
  void a_leader_is_elected_again_with_old_proposals() {
    int kept = 0;
    for (std::uint64_t seed = 400; seed < 430; ++seed) {
      record_group group(seed);
      start_group(group);
      const std::string old_leader = group.leader();
      // The others cannot elect one of themselves.
      for (const std::string &one : group.names()) {
        for (const std::string &other : group.names()) {
          if (one != old_leader && other != old_leader) {
            group.cut(one, other);
          }
        }
      }
      const auto id = group.send_once(old_leader, begin());
      group.claim_leadership(old_leader,
                             group.at(old_leader).log()->term().value() + 1);
      group.run(5ms);
      CPPUNIT_ASSERT(!group.at(old_leader).is_leader());
      group.run(4000ms);
      const bool again = group.at(old_leader).is_leader();
      const bool proposed =
          holders_in(group.at(wait_for_leader(group)).table()) == "given-up ";
      kept += again && proposed ? 1 : 0;
      group.heal();
      group.run(2000ms);
      const std::string what = fmt::format("seed {}", seed);
      check_released(group, what);
      group.send_once(wait_for_leader(group), begin(), id);
      group.run(500ms);
      const std::string holders =
          holders_in(group.at(wait_for_leader(group)).table());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("next "), holders);
    }
    CPPUNIT_ASSERT_GREATER(0, kept);
  }

  void copies_of_begin_and_cancel_in_any_order() {
    // 0 and 1 are copies of the begin, 2 and 3 of the cancel, 4 is the end of
    // another turn that holds the budget at first.
    std::vector<int> order{0, 1, 2, 3, 4};
    do {
      record_table table;
      std::string what;
      wire::RecordBatch batch;
      batch.set_time_ms(1000);
      batch.set_quota_time_ms(1000);
      *batch.add_changes() = begin_of("other", "holder", budget);
      for (const int each : order) {
        what += std::to_string(each);
        *batch.add_changes() = each < 2   ? begin()
                               : each < 4 ? end_of("given-up", 0)
                                          : end_of("holder", 0);
      }
      table.apply(batch);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(), holders_in(table));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, program_in(table).spent());
    } while (std::next_permutation(order.begin(), order.end()));
  }

  // A begin was sent twice. The first copy is refused, because another turn
  // holds the budget; the gateway hears it and answers its client. Then the
  // other turn ends, and the second copy is granted to nobody.
  void a_late_copy_of_a_refused_begin() {
    record_group group(27);
    start_group(group);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("other", "holder"), "holder");
    const auto id = group.submit(begin());
    group.run(500ms);
    CPPUNIT_ASSERT(group.verdict(id) == wire::RECORD_BUDGET_SPENT);
    clients.end("holder", 0);
    group.send_once(group.leader(), begin(), id);
    group.run(100ms);
    check(answer::granted, clients.try_turn("s", "next"),
          "held by " + holders_in(group.at(group.leader()).table()));
  }

  // The same with a turn whose chain another partition keeps: the first copy
  // finds no such turn, and the search in the other partitions has no answer in
  // time. The second copy arrives when another attempt has brought the chain.
  void a_late_copy_of_a_begin_that_continued_an_unknown_turn() {
    record_group group(28);
    start_group(group);
    wire::RecordChange continued = begin();
    continued.mutable_begin()->set_previous("elsewhere");
    const auto id = group.submit(continued);
    group.run(500ms);
    CPPUNIT_ASSERT(group.verdict(id) == wire::RECORD_UNKNOWN_TURN);
    wire::RecordChange copies;
    copies.mutable_keep()->set_keep_ms(60000);
    copies.mutable_keep()->add_turns()->set_id("elsewhere");
    group.submit(copies);
    group.run(500ms);
    group.send_once(group.leader(), continued, id);
    group.run(100ms);
    program_clients clients(group, budget);
    check(answer::granted, clients.try_turn("s", "next"),
          "held by " + holders_in(group.at(group.leader()).table()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(given_up_begin_test);

/// A leader that takes requests and answers them when the test says so.
class held_leader {
public:
  struct held_item {
    std::uint64_t id;
    wire::RecordChange change;
  };

  void receive(const wire::Envelope &envelope) {
    for (const auto &item : envelope.record_request().items()) {
      held.push_back({item.id(), item.change()});
    }
  }
  /// Applies an item; its reply is lost if `lost`.
  void apply(const held_item &item, bool lost) {
    wire::RecordBatch batch;
    batch.set_time_ms(1000);
    batch.set_quota_time_ms(1000);
    wire::RecordChange &change = *batch.add_changes();
    change = item.change;
    if (change.has_begin()) {
      set_session(*change.mutable_begin(), "s");
    }
    wire::Envelope answer;
    wire::RecordReply &reply = *answer.mutable_record_reply();
    reply.set_leader_address("leader:1");
    wire::RecordReplyItem &done = *reply.add_items();
    done = table.apply(batch).at(0);
    done.set_id(item.id);
    if (!lost) {
      asio::post(*io, [this, answer] { client->on_message(answer); });
    }
  }

  std::vector<held_item> held;
  record_table table;
  ledger_client *client = nullptr;
  asio::io_context *io = nullptr;
};

/// The gateway's part: what it sends for a begin that it gives up.
class given_up_begin_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(given_up_begin_client_test);
  CPPUNIT_TEST(a_begin_that_is_given_up_is_cancelled);
  CPPUNIT_TEST(a_cancel_that_overtakes_its_begin);
  CPPUNIT_TEST(a_lost_cancel_is_repeated);
  CPPUNIT_TEST(a_cancel_that_is_given_up);
  CPPUNIT_TEST(a_begin_that_was_sent_twice_and_refused);
  CPPUNIT_TEST(a_begin_that_a_later_attempt_has_replaced);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t budget = 100;
  static constexpr duration_ms retry{40};

  asio::io_context io_;
  held_leader leader_;
  std::unique_ptr<ledger_client> client_;

  void make_client(duration_ms settle_timeout) {
    client_ = std::make_unique<ledger_client>(
        io_,
        ledger_options{.address = "gateway:1",
                       .min_retry_timeout = retry,
                       .max_retry_timeout = retry,
                       .settle_delay = duration_ms{10},
                       .settle_timeout = settle_timeout,
                       .unserved_after = duration_ms{3600000}},
        [this](const std::string & /*address*/,
               const wire::Envelope &envelope) { leader_.receive(envelope); });
    leader_.client = client_.get();
    leader_.io = &io_;
    wire::RecordMembers members;
    members.add_members()->set_address("leader:1");
    client_->learn_members(members);
    asio::co_spawn(io_, test_support::tick_forever(io_, *client_),
                   asio::detached);
  }

  void begin(const std::string &attempt, duration_ms patience,
             std::optional<turn_grant> &outcome,
             std::uint64_t of_budget = budget) {
    asio::co_spawn(io_,
                   client_->begin({.program = "p",
                                   .attempt = attempt,
                                   .budget = of_budget,
                                   .most = most,
                                   .previous = "",
                                   .keep = keep},
                                  steady_now() + patience),
                   [&outcome](std::exception_ptr, turn_grant grant) {
                     outcome = std::move(grant);
                   });
  }

  /// Runs the gateway until the condition holds.
  template <typename Condition> void run_until(const Condition &holds) {
    io_.restart();
    while (!holds()) {
      io_.run_one();
    }
  }

  /// Waits for the next copy of an end and takes it.
  held_leader::held_item next_end() {
    leader_.held.clear();
    run_until([this] {
      return !leader_.held.empty() && leader_.held.back().change.has_end();
    });
    return leader_.held.back();
  }

  /// Lets the gateway run, and applies the ends that it has sent meanwhile.
  void apply_ends_for(duration_ms span) {
    asio::steady_timer timer(io_, span);
    bool waited = false;
    timer.async_wait([&waited](boost::system::error_code) { waited = true; });
    run_until([&waited] { return waited; });
    for (const held_leader::held_item &each : leader_.held) {
      if (each.change.has_end()) {
        leader_.apply(each, false);
      }
    }
  }

  /// The leader has one copy of the begin when the cancel arrives, or none; one
  /// more comes after it.
  void check_cancelled(bool begin_first) {
    make_client(duration_ms{60000});
    std::optional<turn_grant> outcome;
    begin("given-up", duration_ms{100}, outcome);
    run_until([&outcome] { return outcome.has_value(); });
    CPPUNIT_ASSERT(outcome->verdict == turn_verdict::unavailable);
    const held_leader::held_item begun = leader_.held.at(0);
    CPPUNIT_ASSERT(begun.change.has_begin());
    const held_leader::held_item cancel = next_end();
    CPPUNIT_ASSERT_EQUAL(std::string("given-up"),
                         cancel.change.end().attempt());
    if (begin_first) {
      leader_.apply(begun, false);
      CPPUNIT_ASSERT_EQUAL(std::string("given-up "), holders_in(leader_.table));
    }
    leader_.apply(cancel, false);
    leader_.apply(begun, false);
    run_until([this] { return client_->unsettled() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::string(), holders_in(leader_.table));
    check(answer::granted, try_next(), "next");
  }

  [[nodiscard]] bool has_begin_of(const std::string &attempt) const {
    return !leader_.held.empty() &&
           leader_.held.back().change.begin().attempt() == attempt;
  }

  /// Asks for a turn of the same session at the leader, as another gateway,
  /// with a budget of one turn.
  answer try_other(const std::string &attempt) {
    wire::RecordBatch batch;
    batch.set_time_ms(1000);
    batch.set_quota_time_ms(1000);
    *batch.add_changes() = begin_of("s", attempt, most);
    return answer_of(leader_.table.apply(batch).at(0), most);
  }

  /// Asks for a turn of the same session at the leader, as another gateway.
  answer try_next() {
    wire::RecordBatch batch;
    batch.set_time_ms(2000);
    batch.set_quota_time_ms(2000);
    *batch.add_changes() = begin_of("s", "next", budget);
    return answer_of(leader_.table.apply(batch).at(0), budget);
  }

public:
  void tearDown() override {
    io_.stop();
    client_.reset();
  }

  void a_begin_that_is_given_up_is_cancelled() { check_cancelled(true); }

  void a_cancel_that_overtakes_its_begin() { check_cancelled(false); }

  void a_lost_cancel_is_repeated() {
    make_client(duration_ms{60000});
    std::optional<turn_grant> outcome;
    begin("given-up", duration_ms{50}, outcome);
    run_until([&outcome] { return outcome.has_value(); });
    leader_.apply(leader_.held[0], true);
    const held_leader::held_item lost = next_end();
    const held_leader::held_item unconfirmed = next_end();
    CPPUNIT_ASSERT_EQUAL(lost.id, unconfirmed.id);
    leader_.apply(unconfirmed, true);
    leader_.apply(next_end(), false);
    run_until([this] { return client_->unsettled() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::string(), holders_in(leader_.table));
  }

  // The leader answers nothing for longer than the gateway retries an end.
  void a_cancel_that_is_given_up() {
    make_client(duration_ms{200});
    std::optional<turn_grant> outcome;
    begin("given-up", duration_ms{50}, outcome);
    run_until([&outcome] { return outcome.has_value(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_->unsettled());
    leader_.apply(leader_.held[0], true);
    run_until([this] { return client_->unsettled() == 0; });
    check(answer::granted, try_next(), "held by " + holders_in(leader_.table));
  }

  // Another turn holds the budget when the first copy is applied, and no longer
  // when the second is.
  void a_begin_that_was_sent_twice_and_refused() {
    make_client(duration_ms{60000});
    wire::RecordBatch batch;
    batch.set_time_ms(1000);
    batch.set_quota_time_ms(1000);
    *batch.add_changes() = begin_of("other", "holder", budget);
    leader_.table.apply(batch);
    std::optional<turn_grant> outcome;
    begin("given-up", duration_ms{60000}, outcome);
    run_until([this] { return leader_.held.size() >= 2; });
    const std::vector<held_leader::held_item> begins = leader_.held;
    CPPUNIT_ASSERT_EQUAL(begins[0].id, begins[1].id);
    leader_.apply(begins[0], false);
    run_until([&outcome] { return outcome.has_value(); });
    CPPUNIT_ASSERT(outcome->verdict == turn_verdict::budget_spent);
    wire::RecordBatch ended;
    ended.set_time_ms(1000);
    *ended.add_changes() = end_of("holder", 0);
    leader_.table.apply(ended);
    leader_.apply(begins[1], false);
    leader_.held.clear();
    apply_ends_for(duration_ms{500});
    check(answer::granted, try_next(), "held by " + holders_in(leader_.table));
  }

  // A client leaves its gateway, which does not notice it and still waits for
  // its grant, and tries again through another one; twice. Whatever the waiting
  // gateway is told, its attempts reach no replica and count nothing.
  void a_begin_that_a_later_attempt_has_replaced() {
    make_client(duration_ms{60000});
    std::array<std::optional<turn_grant>, 2> outcomes;
    std::vector<held_leader::held_item> begun;
    for (const std::size_t attempt : {0, 1}) {
      leader_.held.clear();
      begin(fmt::format("left-{}", attempt), duration_ms{60000},
            outcomes.at(attempt), most);
      run_until([&] { return has_begin_of(fmt::format("left-{}", attempt)); });
      begun.push_back(leader_.held.back());
      leader_.apply(begun.back(), true);
    }
    try_other("third");
    for (const std::size_t attempt : {0, 1}) {
      std::optional<turn_grant> &outcome = outcomes.at(attempt);
      leader_.held.clear();
      leader_.apply(begun.at(attempt), false);
      run_until([&outcome] { return outcome.has_value(); });
      if (outcome->verdict == turn_verdict::granted) {
        client_->settle({.program = "p",
                         .attempt = fmt::format("left-{}", attempt),
                         .keep = keep});
      }
      apply_ends_for(duration_ms{500});
    }
    wire::RecordBatch cancelled;
    cancelled.set_time_ms(1000);
    *cancelled.add_changes() = end_of("third", 0);
    leader_.table.apply(cancelled);
    check(answer::granted, try_other("fourth"),
          "held by " + holders_in(leader_.table));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(given_up_begin_client_test);

} // namespace
} // namespace heathtrestle::records
