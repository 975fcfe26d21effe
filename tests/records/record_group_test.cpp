// Tests a simulated record group under faults: acknowledged changes are never
// lost, and the group recovers without intervention.
#include "support/record_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

using test_support::record_group;
using namespace std::chrono_literals;

class record_group_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_group_test);
  CPPUNIT_TEST(a_founder_adds_the_other_nodes);
  CPPUNIT_TEST(a_wiped_node_is_whole_again_within_two_seconds);
  CPPUNIT_TEST(wipes_one_after_the_other_lose_nothing);
  CPPUNIT_TEST(all_lose_power_and_one_its_disk);
  CPPUNIT_TEST(a_minority_that_was_behind_does_not_lead);
  CPPUNIT_TEST(of_two_either_may_be_wiped);
  CPPUNIT_TEST(a_node_lost_for_good_gives_way_to_a_spare);
  CPPUNIT_TEST(a_retired_node_becomes_removable);
  CPPUNIT_TEST(a_disk_is_lost_before_a_retirement);
  CPPUNIT_TEST(a_disk_is_lost_after_a_retirement_and_a_replacement);
  CPPUNIT_TEST(a_voter_that_was_gone_for_long_votes_again);
  CPPUNIT_TEST(a_machine_is_replaced_after_a_retirement);
  CPPUNIT_TEST(a_retired_leader_transfers_leadership);
  CPPUNIT_TEST(a_group_keeps_its_voters_while_machines_are_retired);
  CPPUNIT_TEST(two_disks_are_lost_as_soon_as_a_machine_is_removable);
  CPPUNIT_TEST(a_cut_leader_acknowledges_nothing);
  CPPUNIT_TEST(a_frozen_leader_wakes_as_follower);
  CPPUNIT_TEST(nothing_piles_up_for_a_node_that_is_cut_off);
  CPPUNIT_TEST(a_node_that_wakes_is_not_flooded);
  CPPUNIT_TEST(a_slow_node_is_not_sent_the_same_again);
  CPPUNIT_TEST(budgets_hold_over_a_change_of_leaders);
  CPPUNIT_TEST(random_losses_lose_nothing);
  CPPUNIT_TEST(a_group_that_tolerates_two_losses_has_five_voters);
  CPPUNIT_TEST(of_five_voters_two_lose_their_disks_at_once);
  CPPUNIT_TEST(random_pairs_of_losses_lose_nothing);
  CPPUNIT_TEST(partitions_are_led_by_different_nodes);
  CPPUNIT_TEST(requests_that_arrive_together_share_an_entry);
  CPPUNIT_TEST(a_repeated_request_is_recorded_once);
  CPPUNIT_TEST(a_request_with_a_late_reply_is_recorded_once);
  CPPUNIT_TEST(a_grant_that_nobody_waits_for_is_not_made);
  CPPUNIT_TEST(leadership_is_transferred_under_load);
  CPPUNIT_TEST(a_voter_that_is_back_soon_is_not_replaced);
  CPPUNIT_TEST(a_node_without_a_replica_contacts_only_the_leader);
  CPPUNIT_TEST(every_node_names_the_leader);
  CPPUNIT_TEST(a_node_that_is_back_leads_before_it_has_applied_all);
  CPPUNIT_TEST(a_group_of_two_restarts_after_a_replacement);
  CPPUNIT_TEST(all_restart_at_any_step_of_a_replacement);
  CPPUNIT_TEST(all_restart_at_any_step_of_a_removal);
  CPPUNIT_TEST(a_change_that_was_committed_needs_no_old_voter_after_a_restart);
  CPPUNIT_TEST(random_changes_of_voters_and_restarts_lose_nothing);
  CPPUNIT_TEST(a_tenant_stays_within_its_limit_over_changes_of_leaders);
  CPPUNIT_TEST(a_leader_that_is_cut_off_gives_no_more_than_it_has);
  CPPUNIT_TEST(all_restart_and_no_permit_is_forgotten);
  CPPUNIT_TEST(only_a_leader_reserves_quota);
  CPPUNIT_TEST(a_reservation_of_an_earlier_term_is_not_committed);
  CPPUNIT_TEST_SUITE_END();

  /// Upper bound of the quota of `request_permit` in 5 s: 60 x 1.1 + 20.
  static constexpr std::size_t permits_allowed = 86;

  static std::size_t most_in_window(const std::vector<timestamp> &used) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < used.size(); ++last) {
      while (used[first] + 5000ms <= used[last]) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  /// Requests far more permits from all nodes than the quota allows.
  static void request_permits(record_group &group, duration_ms span) {
    for (duration_ms passed{0}; passed < span; passed += 20ms) {
      for (const std::string &name : group.names()) {
        group.request_permit(name);
      }
      group.run(20ms);
    }
  }

  static void check_limit(const record_group &group, const std::string &what) {
    const std::size_t most = most_in_window(group.permits_used());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} used", what, most),
                           most <= permits_allowed);
  }

  static void start_group(record_group &group,
                          const std::vector<std::string> &names) {
    for (const std::string &name : names) {
      group.add(name);
    }
    group.bootstrap(names.front());
    group.run(4000ms);
  }

  /// Stores `count` turns; all must be acknowledged within `patience`.
  static void keep(record_group &group, const std::string &prefix, int count,
                   duration_ms patience) {
    std::vector<std::uint64_t> asked;
    for (int turn = 0; turn < count; ++turn) {
      asked.push_back(group.keep_turn(fmt::format("{}{}", prefix, turn)));
    }
    group.run(patience);
    for (const std::uint64_t id : asked) {
      CPPUNIT_ASSERT_MESSAGE(prefix, group.verdict(id) == wire::RECORD_DONE);
    }
  }

  /// Checks that every acknowledged turn can be continued.
  static void check_kept(record_group &group, const std::string &prefix,
                         int count) {
    std::vector<std::uint64_t> asked;
    for (int turn = 0; turn < count; ++turn) {
      const std::string id = fmt::format("{}{}", prefix, turn);
      asked.push_back(group.begin_turn(
          "reader", fmt::format("read-{}-{}", id, group.draw()), 0, 1, id));
    }
    group.run(4000ms);
    for (const std::uint64_t id : asked) {
      CPPUNIT_ASSERT_MESSAGE(prefix, group.verdict(id) == wire::RECORD_GRANTED);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.missing_turns());
    CPPUNIT_ASSERT(group.has_all_bodies(group.leader()));
  }

public:
  void a_founder_adds_the_other_nodes() {
    record_group group(1);
    start_group(group, {"a", "b", "c"});
    CPPUNIT_ASSERT(group.voters() == (std::set<std::string>{"a", "b", "c"}));
    keep(group, "t", 5, 500ms);
    check_kept(group, "t", 5);
  }

  void a_wiped_node_is_whole_again_within_two_seconds() {
    for (const char *wiped : {"a", "b"}) {
      record_group group(2);
      start_group(group, {"a", "b", "c"});
      keep(group, "t", 5, 500ms);
      group.wipe(wiped);
      group.run(1000ms);
      group.start(wiped);
      group.run(2000ms);
      CPPUNIT_ASSERT(group.voters() == (std::set<std::string>{"a", "b", "c"}));
      const std::string leader_name = group.leader();
      const auto *log = group.at(leader_name).log();
      CPPUNIT_ASSERT(!log->change_in_progress());
      for (const replica_id &voter : log->voters()) {
        CPPUNIT_ASSERT(!log->is_dead(voter));
      }
    }
  }

  void wipes_one_after_the_other_lose_nothing() {
    record_group group(3);
    start_group(group, {"a", "b", "c"});
    keep(group, "t", 20, 500ms);
    int wave = 0;
    for (const char *wiped : {"b", "a", "c", "b"}) {
      group.wipe(wiped);
      group.run(1000ms);
      group.start(wiped);
      group.run(4000ms);
      keep(group, fmt::format("w{}-", wave++), 5, 1000ms);
    }
    check_kept(group, "t", 20);
    check_kept(group, "w0-", 5);
  }

  void all_lose_power_and_one_its_disk() {
    for (const char *wiped : {"a", "b", "c"}) {
      record_group group(4);
      start_group(group, {"a", "b", "c"});
      keep(group, "t", 10, 500ms);
      for (const char *name : {"a", "b", "c"}) {
        group.kill(name);
      }
      group.wipe(wiped);
      for (const char *name : {"a", "b", "c"}) {
        group.start(name);
      }
      group.run(4000ms);
      check_kept(group, "t", 10);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    }
  }

  void a_minority_that_was_behind_does_not_lead() {
    record_group group(5);
    start_group(group, {"a", "b", "c"});
    group.isolate("c");
    keep(group, "t", 10, 1500ms);
    group.wipe("a");
    group.kill("b");
    group.heal();
    group.start("a");
    group.run(5000ms);
    // c is behind and a is empty: they must not elect a leader without b.
    CPPUNIT_ASSERT(group.leader().empty());
    group.start("b");
    group.run(3000ms);
    check_kept(group, "t", 10);
  }

  void of_two_either_may_be_wiped() {
    for (const char *wiped : {"a", "b"}) {
      record_group group(6);
      start_group(group, {"a", "b"});
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.voters().size());
      keep(group, "t", 10, 500ms);
      group.wipe(wiped);
      group.run(500ms);
      group.start(wiped);
      group.run(4000ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.voters().size());
      check_kept(group, "t", 10);
      keep(group, "u", 3, 1000ms);
    }
  }

  void a_node_lost_for_good_gives_way_to_a_spare() {
    record_group group(7);
    start_group(group, {"a", "b", "c"});
    keep(group, "t", 10, 500ms);
    group.kill("b");
    group.run(1000ms);
    group.add("d");
    group.run(4000ms);
    CPPUNIT_ASSERT(group.voters() == (std::set<std::string>{"a", "c", "d"}));
    group.kill("a");
    group.run(2000ms);
    check_kept(group, "t", 10);
  }

  void a_retired_node_becomes_removable() {
    record_group group(8);
    start_group(group, {"a", "b", "c"});
    keep(group, "t", 10, 500ms);
    const std::string leader_name = group.leader();
    const std::string retired = leader_name == "c" ? "b" : "c";
    group.retire(retired);
    group.run(4000ms);
    // Nobody can take its place.
    CPPUNIT_ASSERT(
        group.at(group.leader()).removable_nodes(group.now()).empty());
    CPPUNIT_ASSERT(group.voters().contains(retired));
    group.add("d");
    group.run(4000ms);
    CPPUNIT_ASSERT(group.at(group.leader())
                       .removable_nodes(group.now())
                       .contains(retired));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    group.wipe(retired);
    const std::string other = group.leader() == "a" ? "b" : "a";
    const std::string wiped = other == retired ? "c" : other;
    group.wipe(wiped);
    group.run(1000ms);
    group.start(wiped);
    group.run(4000ms);
    check_kept(group, "t", 10);
  }

  /// Guards against a change of voters that only the lost one could confirm, so
  /// that the group accepts nothing any more.
  void a_disk_is_lost_before_a_retirement() {
    for (int wait_ms = 0; wait_ms <= 1500; wait_ms += 50) {
      record_group group(10);
      start_group(group, {"a", "b", "c"});
      keep(group, "t", 10, 500ms);
      const std::string wiped = group.leader() == "a" ? "b" : "a";
      const std::string retired = group.leader() == "c" ? "b" : "c";
      group.wipe(wiped);
      group.run(duration_ms{wait_ms});
      group.retire(retired);
      group.run(1500ms);
      group.start(wiped);
      group.run(4000ms);
      keep(group, "u", 5, 500ms);
      check_kept(group, "t", 10);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    }
  }

  /// Guards against a group that a retirement has left with two voters, which
  /// can't go on without either.
  void a_machine_is_replaced_after_a_retirement() {
    record_group group(11);
    start_group(group, {"a", "b", "c"});
    keep(group, "t", 10, 500ms);
    const std::string retired = group.leader() == "c" ? "b" : "c";
    group.retire(retired);
    group.run(4000ms);
    std::string lost;
    for (const std::string &each : group.voters()) {
      lost = each != retired ? each : lost;
    }
    const bool removed =
        group.at(group.leader()).removable_nodes(group.now()).contains(retired);
    if (removed) {
      group.wipe(retired);
    }
    group.wipe(lost);
    group.add("d");
    group.run(4000ms);
    keep(group, "u", 5, 500ms);
    check_kept(group, "t", 10);
  }

  /// One of three machines is emptied, another one replaced as planned: two are
  /// left, of which one loses its disk.
  void a_disk_is_lost_after_a_retirement_and_a_replacement() {
    for (const std::uint64_t seed : {21, 22, 23, 24, 25}) {
      record_group group(seed);
      start_group(group, {"a", "b", "c"});
      keep(group, "t", 10, 500ms);
      const std::string retired = group.leader() == "c" ? "b" : "c";
      group.retire(retired);
      group.run(500ms);
      group.add("d");
      group.run(3000ms);
      CPPUNIT_ASSERT(!group.voters().contains(retired));
      group.kill(retired);
      std::set<std::string> left = group.voters();
      const std::string replaced = *left.begin();
      group.kill(replaced);
      left.erase(replaced);
      group.run(5000ms);
      keep(group, "u", 5, 500ms);
      for (const std::string &each : left) {
        group.kill(each);
      }
      group.wipe(*left.begin());
      for (const std::string &each : left) {
        group.start(each);
      }
      group.run(4000ms);
      keep(group, "v", 5, 500ms);
      check_kept(group, "t", 10);
      check_kept(group, "u", 5);
    }
  }

  /// A machine that was out of touch for long is a full member again.
  void a_voter_that_was_gone_for_long_votes_again() {
    record_group group(26);
    start_group(group, {"a", "b", "c"});
    keep(group, "t", 10, 500ms);
    const std::string cut = group.leader() == "c" ? "b" : "c";
    group.isolate(cut);
    group.run(6000ms);
    keep(group, "u", 5, 500ms);
    group.heal();
    group.run(4000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    group.kill(group.leader());
    group.run(2000ms);
    keep(group, "v", 5, 500ms);
    check_kept(group, "u", 5);
  }

  void a_retired_leader_transfers_leadership() {
    record_group group(9);
    start_group(group, {"a", "b", "c", "d"});
    keep(group, "t", 10, 500ms);
    const std::string retired = group.leader();
    group.retire(retired);
    group.run(3000ms);
    CPPUNIT_ASSERT(group.leader() != retired);
    CPPUNIT_ASSERT(!group.voters().contains(retired));
    CPPUNIT_ASSERT(group.at(group.leader())
                       .removable_nodes(group.now())
                       .contains(retired));
    group.kill(retired);
    check_kept(group, "t", 10);
  }

  static constexpr std::size_t five_voters = 5;

  /// Five voters on eight nodes, no spares.
  static void start_five_voters(record_group &group) {
    start_group(group, {"a", "b", "c", "d", "e", "f", "g", "h"});
    group.run(4000ms);
    CPPUNIT_ASSERT_EQUAL(five_voters, group.voters().size());
    keep(group, "t", 10, 500ms);
  }

  /// Runs until the leader reports the node as removable; the group must never
  /// have fewer voters than configured.
  static void run_until_removable(record_group &group,
                                  const std::string &name) {
    for (int step = 0; step < 400; ++step) {
      group.run(20ms);
      const std::string leader_name = group.leader();
      if (leader_name.empty()) {
        continue;
      }
      CPPUNIT_ASSERT(group.voters().size() >= five_voters);
      if (group.at(leader_name).removable_nodes(group.now()).contains(name)) {
        return;
      }
    }
    CPPUNIT_FAIL("the retiring node never became removable");
  }

  void a_group_keeps_its_voters_while_machines_are_retired() {
    for (std::uint64_t seed = 80; seed < 84; ++seed) {
      record_group group(seed, group_size::tolerating(2, 4), 0, 4);
      start_five_voters(group);
      // Retires the leader and another voter at the same time.
      const std::string leader_name = group.leader();
      const std::set<std::string> voters = group.voters();
      const std::string other =
          *voters.begin() == leader_name ? *voters.rbegin() : *voters.begin();
      group.retire(leader_name);
      group.retire(other);
      run_until_removable(group, leader_name);
      run_until_removable(group, other);
      group.kill(leader_name);
      group.kill(other);
      CPPUNIT_ASSERT_EQUAL(five_voters, group.voters().size());
      check_kept(group, "t", 10);
    }
  }

  void two_disks_are_lost_as_soon_as_a_machine_is_removable() {
    for (std::uint64_t seed = 90; seed < 94; ++seed) {
      record_group group(seed, group_size::tolerating(2, 4), 0, 4);
      start_five_voters(group);
      const std::set<std::string> before = group.voters();
      const std::string retired = *std::next(before.begin());
      group.retire(retired);
      run_until_removable(group, retired);
      group.wipe(retired); // the machine is removed with its disk
      std::vector<std::string> wiped;
      for (const std::string &each : before) {
        if (each != retired && wiped.size() < 2) {
          wiped.push_back(each);
          group.wipe(each);
        }
      }
      group.run(1000ms);
      keep(group, "u", 5, 3000ms);
      for (const std::string &each : wiped) {
        group.start(each);
      }
      group.run(4000ms);
      check_kept(group, "t", 10);
      check_kept(group, "u", 5);
      CPPUNIT_ASSERT_EQUAL(five_voters, group.voters().size());
    }
  }

  void a_cut_leader_acknowledges_nothing() {
    record_group group(10);
    start_group(group, {"a", "b", "c"});
    const std::string leader_name = group.leader();
    for (const std::string &name : group.names()) {
      if (name != leader_name) {
        group.cut(leader_name, name);
      }
    }
    // The client can still reach all nodes.
    keep(group, "t", 10, 3000ms);
    group.heal();
    group.run(2000ms);
    check_kept(group, "t", 10);
  }

  void a_frozen_leader_wakes_as_follower() {
    record_group group(11);
    start_group(group, {"a", "b", "c"});
    const std::string leader_name = group.leader();
    group.freeze(leader_name);
    keep(group, "t", 10, 3000ms);
    group.thaw(leader_name);
    group.run(1000ms);
    CPPUNIT_ASSERT(group.leader() != leader_name);
    check_kept(group, "t", 10);
  }

  void nothing_piles_up_for_a_node_that_is_cut_off() {
    record_group group(12);
    start_group(group, {"a", "b", "c"});
    const std::string cut_off = group.leader() == "c" ? "b" : "c";
    group.isolate(cut_off);
    group.run(1500ms);
    const std::size_t before = group.undeliverable_bytes();
    for (int wave = 0; wave < 20; ++wave) {
      keep(group, fmt::format("w{}-", wave), 20, 300ms);
    }
    // Only heartbeats and hello messages are sent, not the 80 KB of log
    // entries.
    CPPUNIT_ASSERT(group.undeliverable_bytes() - before < 40000);
  }

  void a_node_that_wakes_is_not_flooded() {
    // Rejections of entries in flight must not each cause the whole backlog to
    // be sent again, which would exhaust the memory of the leader.
    record_group group(14);
    start_group(group, {"a", "b", "c"});
    const std::string frozen = group.leader() == "c" ? "b" : "c";
    const std::size_t begin = group.bytes_to(frozen);
    group.freeze(frozen);
    for (int wave = 0; wave < 200; ++wave) {
      if (wave == 100) {
        group.thaw(frozen);
      }
      for (int turn = 0; turn < 4; ++turn) {
        group.keep_turn(fmt::format("w{}-{}", wave, turn));
      }
      group.run(30ms);
    }
    group.run(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
    constexpr std::size_t backlog = 200 * 4 * 260;
    CPPUNIT_ASSERT(group.bytes_to(frozen) - begin < 3 * backlog);
    CPPUNIT_ASSERT(group.at(group.leader()).log()->last_index() ==
                   group.at(frozen).log()->last_index());
  }

  void a_slow_node_is_not_sent_the_same_again() {
    // Entries that are sent and not yet acknowledged are in flight, not lost.
    record_group group(15);
    start_group(group, {"a", "b", "c"});
    const std::string slow = group.leader() == "c" ? "b" : "c";
    const std::size_t begin = group.bytes_to(slow);
    group.slow_down(slow, 250ms);
    for (int wave = 0; wave < 200; ++wave) {
      for (int turn = 0; turn < 4; ++turn) {
        group.keep_turn(fmt::format("w{}-{}", wave, turn));
      }
      group.run(30ms);
    }
    group.run(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
    constexpr std::size_t recorded = 200 * 4 * 260;
    CPPUNIT_ASSERT(group.bytes_to(slow) - begin < 3 * recorded);
    CPPUNIT_ASSERT(group.at(group.leader()).log()->last_index() ==
                   group.at(slow).log()->last_index());
  }

  void budgets_hold_over_a_change_of_leaders() {
    record_group group(13);
    start_group(group, {"a", "b", "c"});
    int granted = 0;
    for (int turn = 0; turn < 12; ++turn) {
      const auto id =
          group.begin_turn("p", fmt::format("attempt-{}", turn), 10, 55);
      if (turn % 3 == 0) {
        const std::string leader_name = group.leader();
        group.kill(leader_name);
        group.run(1500ms);
        group.start(leader_name);
      }
      group.run(1500ms);
      CPPUNIT_ASSERT(group.verdict(id).has_value());
      granted += group.verdict(id) == wire::RECORD_GRANTED ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(5, granted);
  }

  void random_losses_lose_nothing() {
    for (std::uint64_t seed = 100; seed < 130; ++seed) {
      run_random(seed);
    }
  }

private:
  void a_group_that_tolerates_two_losses_has_five_voters() {
    record_group group(5, records::group_size::tolerating(2));
    start_group(group, {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters().size());
    const auto *log = group.at(group.leader()).log();
    std::size_t following = 0;
    for (const std::string &name : group.names()) {
      following += log->is_learner(group.at(name).self_id()) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, following);
    keep(group, "t", 5, 500ms);
    check_kept(group, "t", 5);
  }

  void of_five_voters_two_lose_their_disks_at_once() {
    const std::vector<std::string> all{"a", "b", "c", "d", "e"};
    for (std::size_t first = 0; first + 1 < all.size(); ++first) {
      record_group group(6 + first, records::group_size::tolerating(2));
      start_group(group, all);
      keep(group, "t", 10, 500ms);
      for (const std::string &name : all) {
        group.kill(name);
      }
      group.wipe(all[first]);
      group.wipe(all[first + 1]);
      for (const std::string &name : all) {
        group.start(name);
      }
      group.run(5000ms);
      check_kept(group, "t", 10);
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters().size());
    }
  }

  void random_pairs_of_losses_lose_nothing() {
    for (std::uint64_t seed = 500; seed < 530; ++seed) {
      run_random(seed, {"a", "b", "c", "d", "e", "f"},
                 records::group_size::tolerating(2), 2);
    }
  }

  void partitions_are_led_by_different_nodes() {
    std::map<std::string, int> leads;
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
      record_group group(9, records::group_size::tolerating(2, 4), partition,
                         4);
      start_group(group, {"a", "b", "c", "d", "e", "f", "g", "h"});
      group.run(8000ms);
      ++leads[group.leader()];
      keep(group, "t", 5, 500ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, leads.size());
  }

  void requests_that_arrive_together_share_an_entry() {
    // Compares runs without and with batching.
    std::uint64_t entries[2] = {};
    for (const bool joined : {false, true}) {
      record_group group(10);
      group.options().batch_interval = joined ? 1000ms : 0ms;
      start_group(group, {"a", "b", "c"});
      const auto before = group.at(group.leader()).log()->last_index();
      for (int turn = 0; turn < 6; ++turn) {
        group.keep_turn(fmt::format("j{}", turn));
        group.run(250ms); // requests are sent every 200 ms
      }
      group.run(1500ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
      entries[joined ? 1 : 0] =
          group.at(group.leader()).log()->last_index().value() - before.value();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, entries[0]);
    CPPUNIT_ASSERT(entries[1] <= 3);
  }

  void a_repeated_request_is_recorded_once() {
    // The client repeats a request every 200 ms, and its reply takes 300 ms.
    record_group group(41);
    start_group(group, {"a", "b", "c"});
    for (const char *name : {"a", "b", "c"}) {
      group.slow_down(name, 150ms);
    }
    const auto before = group.at(group.leader()).log()->last_index();
    const std::uint64_t id = group.keep_turn("slow");
    group.run(3000ms);
    CPPUNIT_ASSERT(group.verdict(id) == wire::RECORD_DONE);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         group.at(group.leader()).log()->last_index().value() -
                             before.value());
  }

  // Guards against recording a retransmitted request again when its reply was
  // late.
  void a_request_with_a_late_reply_is_recorded_once() {
    record_group group(43);
    start_group(group, {"a", "b", "c"});
    const auto before = group.at(group.leader()).log()->last_index();
    group.lose_replies(true);
    const std::uint64_t id = group.keep_turn("late");
    group.run(2000ms); // repeated every 200 ms
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.unanswered());
    group.lose_replies(false);
    group.run(500ms);
    CPPUNIT_ASSERT(group.verdict(id) == wire::RECORD_DONE);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         group.at(group.leader()).log()->last_index().value() -
                             before.value());
  }

  /// A request that its caller has given up must not reserve tokens: the
  /// program's next turn would be refused until the cancellation is recorded.
  void a_grant_that_nobody_waits_for_is_not_made() {
    record_group group(5);
    start_group(group, {"a", "b", "c"});
    const std::string leader = group.leader();
    const auto begin = [](const std::string &attempt) {
      wire::RecordChange change;
      wire::BeginTurn &turn = *change.mutable_begin();
      turn.set_program("p");
      turn.set_attempt(attempt);
      turn.set_most(589);
      turn.set_budget(900);
      turn.set_keep_ms(60000);
      return change;
    };
    group.freeze(leader); // the transport goes on receiving
    group.send_once(leader, begin("given-up"), std::nullopt, 40ms);
    group.run(80ms); // shorter than an election timeout
    group.thaw(leader);
    group.run(200ms);
    CPPUNIT_ASSERT_EQUAL(leader, group.leader());
    const std::uint64_t next = group.submit(begin("next"));
    group.run(500ms);
    CPPUNIT_ASSERT(group.verdict(next) == wire::RECORD_GRANTED);
  }

  void leadership_is_transferred_under_load() {
    // Followers lag behind a leader that keeps proposing entries.
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
      std::string led_by[2];
      for (const bool busy : {false, true}) {
        record_group group(42, records::group_size::tolerating(2, 4), partition,
                           4);
        for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
          group.add(name);
          group.slow_down(name, 30ms);
        }
        group.bootstrap("a");
        for (int wave = 0; wave < 800; ++wave) {
          if (busy) {
            group.submit_once(wave);
          }
          group.run(10ms);
        }
        group.run(300ms); // an election may be in progress
        led_by[busy ? 1 : 0] = group.leader();
      }
      CPPUNIT_ASSERT_EQUAL(led_by[0], led_by[1]);
    }
  }

  void every_node_names_the_leader() {
    // A gateway of a large fleet may contact any node first; most have no
    // replica.
    record_group group(7, records::group_size::tolerating(2, 4), 0, 4);
    std::vector<std::string> names;
    for (char name = 'a'; name < 'a' + 20; ++name) {
      names.emplace_back(1, name);
    }
    start_group(group, names);
    const std::string leader = group.leader();
    CPPUNIT_ASSERT(!leader.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters().size());
    for (const std::string &name : names) {
      if (name != leader) {
        CPPUNIT_ASSERT_EQUAL(leader, group.leader_named_by(name));
      }
    }
    // A leader that has failed is not named for long.
    group.kill(leader);
    group.run(6000ms);
    for (const std::string &name : names) {
      if (name != leader && name != group.leader()) {
        CPPUNIT_ASSERT_EQUAL(group.leader(), group.leader_named_by(name));
      }
    }
  }

  void a_node_without_a_replica_contacts_only_the_leader() {
    // Three of eight nodes have no replica of this partition.
    record_group group(44, records::group_size::tolerating(2, 4), 0, 4);
    start_group(group, {"a", "b", "c", "d", "e", "f", "g", "h"});
    group.run(4000ms);
    const std::size_t before = group.hellos();
    group.run(3000ms);
    CPPUNIT_ASSERT(group.hellos() > before);
    CPPUNIT_ASSERT(group.hellos() - before <= 3 * 6);
    for (const std::string &name : group.names()) {
      CPPUNIT_ASSERT(group.at(name).knows_leader(group.now()));
    }
    // Such a node is still found when a voter is lost for good.
    const std::string leader_name = group.leader();
    const std::set<std::string> voters = group.voters();
    for (const std::string &name : voters) {
      if (name != leader_name) {
        group.kill(name);
        break;
      }
    }
    group.run(8000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters().size());
    CPPUNIT_ASSERT(group.voters() != voters);
  }

  void a_node_that_is_back_leads_before_it_has_applied_all() {
    // After a power loss of all nodes, the new leader has the whole log to
    // apply and must keep sending messages meanwhile.
    record_group group(45);
    group.options().entries_per_step = 4;
    start_group(group, {"a", "b", "c"});
    for (int turn = 0; turn < 60; ++turn) {
      group.keep_turn(fmt::format("t{}", turn));
      group.run(210ms); // one entry each
    }
    for (const char *name : {"a", "b", "c"}) {
      group.kill(name);
    }
    for (const char *name : {"a", "b", "c"}) {
      group.start(name);
    }
    while (group.leader().empty()) {
      group.run(5ms);
    }
    const std::string leader_name = group.leader();
    CPPUNIT_ASSERT(group.at(leader_name).has_more_to_apply());
    group.run(4000ms);
    CPPUNIT_ASSERT_EQUAL(leader_name, group.leader());
    CPPUNIT_ASSERT(!group.at(leader_name).has_more_to_apply());
    CPPUNIT_ASSERT_EQUAL(std::size_t{60},
                         group.at(leader_name).table().turns());
  }

  static void restart(record_group &group,
                      const std::vector<std::string> &names) {
    for (const std::string &name : names) {
      group.kill(name);
    }
    group.run(500ms);
    for (const std::string &name : names) {
      group.start(name);
    }
  }

  /// Starts a group of two voters.
  static std::vector<std::string> start_two(record_group &group) {
    start_group(group, {"a", "b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.voters().size());
    return {"a", "b"};
  }

  void a_group_of_two_restarts_after_a_replacement() {
    // Guards against a restarted leader counting the old voters, one of them
    // dead, for a change that is already committed, so that nothing can be
    // committed again.
    for (std::size_t wiped = 0; wiped < 2; ++wiped) {
      record_group group(60 + wiped);
      const std::vector<std::string> left = start_two(group);
      keep(group, "t", 10, 500ms);
      group.wipe(left[wiped]);
      group.run(1000ms);
      group.start(left[wiped]);
      group.run(3000ms);
      keep(group, "u", 10, 500ms);
      restart(group, left);
      group.run(3000ms);
      keep(group, "v", 3, 500ms);
      check_kept(group, "t", 10);
      check_kept(group, "u", 10);
    }
  }

  void all_restart_at_any_step_of_a_replacement() {
    // The contents of the disks differ from step to step: the dead identity
    // still votes, its successor follows, the change is proposed, and
    // committed.
    for (std::size_t wiped = 0; wiped < 2; ++wiped) {
      for (int step = 0; step < 100; ++step) {
        record_group group(70 + wiped);
        const std::vector<std::string> left = start_two(group);
        keep(group, "t", 5, 500ms);
        group.wipe(left[wiped]);
        group.run(1000ms);
        group.start(left[wiped]);
        group.run(duration_ms{20 * step});
        restart(group, left);
        group.run(4000ms);
        keep(group, fmt::format("step{}-", step), 2, 500ms);
        check_kept(group, "t", 5);
      }
    }
  }

  void all_restart_at_any_step_of_a_removal() {
    for (int step = 0; step < 60; ++step) {
      record_group group(75);
      start_group(group, {"a", "b", "c", "d"});
      keep(group, "t", 5, 500ms);
      group.retire(group.leader() == "c" ? "b" : "c");
      group.run(duration_ms{5 * step});
      restart(group, {"a", "b", "c", "d"});
      group.run(4000ms);
      keep(group, fmt::format("step{}-", step), 2, 500ms);
      check_kept(group, "t", 5);
    }
  }

  void a_change_that_was_committed_needs_no_old_voter_after_a_restart() {
    // A group of two adds a third voter. Then one of the first two is lost for
    // good, and the others restart before it is replaced.
    record_group group(77);
    start_group(group, {"a", "b"});
    keep(group, "t", 5, 500ms);
    group.add("c");
    group.run(4000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    const std::string lost = group.leader() == "a" ? "b" : "a";
    group.kill(lost);
    restart(group, {lost == "a" ? "b" : "a", "c"});
    group.run(4000ms);
    keep(group, "u", 3, 500ms);
    check_kept(group, "t", 5);
  }

  void random_changes_of_voters_and_restarts_lose_nothing() {
    for (std::uint64_t seed = 700; seed < 740; ++seed) {
      run_random_changes(seed);
    }
  }

  /// Machines are retired, wiped and added; between and during these changes
  /// one of the others, or all, restart with their disks.
  static void run_random_changes(std::uint64_t seed) {
    record_group group(seed);
    start_group(group, {"a", "b", "c"});
    const std::string message = fmt::format("seed {}", seed);
    std::set<std::string> there{"a", "b", "c"};
    std::set<std::string> retiring;
    std::vector<std::pair<std::uint64_t, std::string>> asked;
    for (int round = 0; round < 8; ++round) {
      for (int turn = 0; turn < 3; ++turn) {
        const std::string id = fmt::format("r{}-{}", round, turn);
        asked.emplace_back(group.keep_turn(id), id);
      }
      group.run(duration_ms{group.draw() % 40});
      const std::vector<std::string> names(there.begin(), there.end());
      const std::string victim = names[group.draw() % names.size()];
      constexpr std::uint64_t kinds = 3;
      const std::uint64_t kind = group.draw() % kinds;
      if (kind == 0 && there.size() > 2) {
        const bool voted = group.voters().contains(victim);
        group.retire(victim);
        retiring.insert(victim);
        group.run(duration_ms{2000});
        // It leaves once three others can vote.
        const bool leaves = there.size() - retiring.size() >= 3;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, voted && !leaves,
                                     group.voters().contains(victim));
        if (leaves) {
          group.kill(victim);
          there.erase(victim);
          retiring.erase(victim);
        }
      } else if (kind == 1) {
        const std::string added = fmt::format("n{}", round);
        group.add(added);
        there.insert(added);
      } else {
        group.wipe(victim);
        group.run(duration_ms{700});
        group.start(victim);
      }
      group.run(duration_ms{group.draw() % 2500});
      const bool all = group.draw() % 2 == 0;
      const std::vector<std::string> present(there.begin(), there.end());
      restart(group, all ? present
                         : std::vector{present[group.draw() % present.size()]});
      group.run(duration_ms{4500});
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0}, group.unanswered());
    for (const auto &[id, turn] : asked) {
      const auto read = group.begin_turn("reader", "read-" + turn, 0, 1, turn);
      group.run(500ms);
      CPPUNIT_ASSERT_MESSAGE(message + " turn " + turn,
                             group.verdict(read) == wire::RECORD_GRANTED);
    }
  }

  void a_voter_that_is_back_soon_is_not_replaced() {
    record_group group(43, records::group_size::tolerating(2, 4), 0, 4);
    group.options().replace_after = 3000ms;
    group.options().liveness_timeout = 1200ms;
    start_group(group, {"a", "b", "c", "d", "e", "f", "g", "h"});
    group.run(4000ms);
    const std::set<std::string> voters = group.voters();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, voters.size());
    const std::string leader_name = group.leader();
    const std::string lost = *std::find_if(
        voters.begin(), voters.end(),
        [&leader_name](const auto &each) { return each != leader_name; });
    const std::size_t added = group.logged(logging::event::record_member_added);
    group.kill(lost);
    group.run(2600ms);
    group.start(lost);
    group.run(4000ms);
    CPPUNIT_ASSERT(group.voters() == voters);
    CPPUNIT_ASSERT_EQUAL(added,
                         group.logged(logging::event::record_member_added));
  }

  /// @param losses number of machines that fail at once.
  static void
  run_random(std::uint64_t seed,
             const std::vector<std::string> &machines = {"a", "b", "c"},
             records::group_size size = {}, std::size_t losses = 1) {
    record_group group(seed, size);
    start_group(group, machines);
    const std::string message = fmt::format("seed {}", seed);
    std::vector<std::pair<std::uint64_t, std::string>> asked;
    for (int round = 0; round < 10; ++round) {
      for (int turn = 0; turn < 3; ++turn) {
        const std::string id = fmt::format("r{}-{}", round, turn);
        asked.emplace_back(group.keep_turn(id), id);
      }
      group.run(duration_ms{group.draw() % 40});
      const std::vector<std::string> names = group.names();
      const std::size_t first = group.draw() % names.size();
      std::vector<std::string> victims;
      for (std::size_t place = 0; place < losses; ++place) {
        victims.push_back(names[(first + place) % names.size()]);
      }
      disturb(group, victims, group.draw() % 5);
      group.run(duration_ms{2000});
    }
    group.run(3000ms);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0}, group.unanswered());
    for (const auto &[id, turn] : asked) {
      const auto read = group.begin_turn("reader", "read-" + turn, 0, 1, turn);
      group.run(50ms);
      if (!group.verdict(read)) {
        group.run(2000ms);
      }
      CPPUNIT_ASSERT_MESSAGE(message + " turn " + turn,
                             group.verdict(read) == wire::RECORD_GRANTED);
    }
  }

  static void disturb(record_group &group,
                      const std::vector<std::string> &victims,
                      std::uint64_t kind) {
    const auto for_each = [&group, &victims](auto act) {
      for (const std::string &victim : victims) {
        (group.*act)(victim);
      }
    };
    constexpr std::uint64_t wipe = 0;
    constexpr std::uint64_t power_all = 1;
    constexpr std::uint64_t isolate = 2;
    constexpr std::uint64_t freeze = 3;
    if (kind == wipe) {
      for_each(&record_group::wipe);
      group.run(700ms);
      for_each(&record_group::start);
    } else if (kind == power_all) {
      for (const std::string &name : group.names()) {
        group.kill(name);
      }
      for_each(&record_group::wipe);
      group.run(500ms);
      for (const std::string &name : group.names()) {
        group.start(name);
      }
    } else if (kind == isolate) {
      for_each(&record_group::isolate);
      group.run(3000ms);
      group.heal();
    } else if (kind == freeze) {
      for_each(&record_group::freeze);
      group.run(2000ms);
      for_each(&record_group::thaw);
    } else {
      for_each(&record_group::kill);
      group.run(800ms);
      for_each(&record_group::start);
    }
    group.run(2500ms);
  }

  void a_tenant_stays_within_its_limit_over_changes_of_leaders() {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      record_group group(seed);
      start_group(group, {"a", "b", "c"});
      for (int times = 0; times < 12; ++times) {
        const std::string leader_name = group.leader();
        const std::uint64_t trouble =
            leader_name.empty() ? 4 : group.draw() % 4;
        if (trouble == 0) {
          group.kill(leader_name);
        } else if (trouble == 1) {
          group.isolate(leader_name);
        } else if (trouble == 2) {
          group.freeze(leader_name);
        } else if (trouble == 3) {
          group.wipe(leader_name);
        }
        request_permits(group, duration_ms{200 + group.draw() % 1800});
        group.heal();
        for (const std::string &name : group.names()) {
          group.thaw(name);
          if (!group.is_up(name)) {
            group.start(name);
          }
        }
        request_permits(group, duration_ms{500 + group.draw() % 2500});
      }
      check_limit(group, fmt::format("seed {}", seed));
      CPPUNIT_ASSERT(group.permits_used().size() > 100);
    }
  }

  void a_leader_that_is_cut_off_gives_no_more_than_it_has() {
    record_group group(41);
    start_group(group, {"a", "b", "c"});
    request_permits(group, 3000ms);
    const std::string leader_name = group.leader();
    for (const std::string &name : group.names()) {
      if (name != leader_name) {
        group.cut(leader_name, name); // clients reach both sides
      }
    }
    request_permits(group, 8000ms);
    check_limit(group, "a cut leader");
  }

  void all_restart_and_no_permit_is_forgotten() {
    record_group group(42);
    start_group(group, {"a", "b", "c"});
    for (int times = 0; times < 5; ++times) {
      request_permits(group, 1500ms);
      for (const std::string &name : group.names()) {
        group.kill(name);
      }
      for (const std::string &name : group.names()) {
        group.start(name);
      }
    }
    request_permits(group, 6000ms);
    check_limit(group, "restarts");
    CPPUNIT_ASSERT(group.permits_used().size() > 50);
  }

  void only_a_leader_reserves_quota() {
    record_group group(43);
    start_group(group, {"a", "b", "c"});
    wire::RecordChange change;
    change.mutable_reserve_quota()->set_tenant("tenant");
    change.mutable_reserve_quota()->set_wanted(1000);
    const std::uint64_t id = group.submit(change);
    group.run(1000ms);
    CPPUNIT_ASSERT(!group.verdict(id).has_value());
  }

  /// Guards against committing a quota reservation of an earlier term after
  /// leadership was lost and regained while it waited for its batch.
  void a_reservation_of_an_earlier_term_is_not_committed() {
    record_group group(44);
    group.options().batch_interval = 3000ms;
    start_group(group, {"a"});
    group.keep_turn("t");
    group.run(100ms); // requests from now on wait for the next batch
    group.request_permit("a");
    group.run(100ms);
    group.claim_leadership("a", 1000);
    group.run(6000ms);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group.leader());
    CPPUNIT_ASSERT(group.at("a").log()->term().value() > 1000);
    CPPUNIT_ASSERT_EQUAL(0, group.at("a").table().snapshot().quotas_size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_group_test);

} // namespace
} // namespace heathtrestle::records
