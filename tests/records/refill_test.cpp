// Bringing a wiped node up to date under load must finish within the time in
// which the group tolerates fewer losses. Guards against restarting the
// snapshot transfer after a leadership transfer, sending the snapshots of
// several partitions from one node at once, and denying a vote to a successor
// that lags behind a busy log.
#include "support/record_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <iterator>

#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

using test_support::record_group;
using namespace std::chrono_literals;

class refill_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(refill_test);
  CPPUNIT_TEST(a_copy_of_the_state_is_sent_once);
  CPPUNIT_TEST(the_preferred_voter_leads_once_the_node_is_whole);
  CPPUNIT_TEST(a_successor_that_lags_becomes_a_voter);
  CPPUNIT_TEST(two_more_disks_may_be_lost_while_it_lags);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t partitions = 4;
  static constexpr std::size_t large_parts = 4096;
  /// Time within which a wiped node must be a voter again.
  static constexpr duration_ms catch_up = 15s;

  /// Starts eight nodes with a state that takes some seconds to transfer.
  static void fill(record_group &group, std::size_t part_bytes = 256) {
    group.options().raft.retained_entries = 8;
    group.options().raft.lagging_peer_entries = 512;
    group.options().recruit_after = 2000ms;
    group.options().replace_after = 3000ms;
    group.options().snapshots.part_bytes = part_bytes;
    for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
      group.add(name);
    }
    group.bootstrap("a");
    group.run(8000ms);
    for (int turn = 0; turn < 100; ++turn) {
      group.keep_turn(fmt::format("t{}", turn));
      group.run(20ms);
    }
    group.run(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
  }

  /// Wipes and restarts the leader; all others keep running.
  /// @return its name.
  static std::string wipe_leader(record_group &group) {
    const std::string lost = group.leader();
    group.wipe(lost);
    group.run(1000ms);
    group.start(lost);
    group.slow_down(lost, 60ms); // the delay of a part on a busy machine
    return lost;
  }

  /// Wipes the leader and restarts it slowly under load until it is a voter
  /// again.
  /// @return its name.
  static std::string refill_under_load(record_group &group) {
    const std::string lost = wipe_leader(group);
    group.slow_down(lost, 400ms);
    const timestamp back = group.now();
    for (int turn = 0; !is_whole(group, lost); ++turn) {
      CPPUNIT_ASSERT(group.now() <= back + catch_up);
      group.submit_once(turn);
      group.run(20ms);
    }
    return lost;
  }

  static bool is_whole(const record_group &group, const std::string &name) {
    const std::string leader_name = group.leader();
    return !leader_name.empty() &&
           group.at(leader_name).log()->is_voter(group.at(name).self_id());
  }

public:
  void a_copy_of_the_state_is_sent_once() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        record_group group(seed, group_size::tolerating(2, partitions),
                           partition, partitions);
        fill(group);
        const std::string lost = wipe_leader(group);
        const std::size_t before = group.logged(logging::event::snapshot_sent);
        const timestamp back = group.now();
        while (!is_whole(group, lost) && group.now() < back + 2 * catch_up) {
          group.run(50ms);
        }
        CPPUNIT_ASSERT(group.now() <= back + catch_up);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             group.logged(logging::event::snapshot_sent) -
                                 before);
      }
    }
  }

  // Guards against a successor of a dead voter never becoming a voter because
  // the log grows faster than it catches up.
  void a_successor_that_lags_becomes_a_voter() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      record_group group(7, group_size::tolerating(2, partitions), partition,
                         partitions);
      fill(group, large_parts);
      refill_under_load(group);
    }
  }

  void two_more_disks_may_be_lost_while_it_lags() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        record_group group(seed, group_size::tolerating(2, partitions),
                           partition, partitions);
        fill(group, large_parts);
        const std::string back = refill_under_load(group);
        group.run(500ms);
        lose_two_disks_and_all_power(group, back);
        group.slow_down(back, 0ms);
        group.run(catch_up);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
        const record_table &table = group.at(group.leader()).table();
        for (int turn = 0; turn < 100; ++turn) {
          wire::RecordChange change;
          change.mutable_read()->set_last(fmt::format("t{}", turn));
          CPPUNIT_ASSERT(table.decided_outcome(change));
        }
      }
    }
  }

  /// Kills all machines, wipes two voters other than `spared`, and restarts
  /// all.
  static void lose_two_disks_and_all_power(record_group &group,
                                           const std::string &spared) {
    std::set<std::string> voters = group.voters();
    voters.erase(spared);
    for (const std::string &name : group.names()) {
      group.kill(name);
    }
    group.wipe(*voters.begin());
    group.wipe(*std::next(voters.begin()));
    group.run(1000ms);
    for (const std::string &name : group.names()) {
      group.start(name);
    }
  }

  void the_preferred_voter_leads_once_the_node_is_whole() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      record_group group(1, group_size::tolerating(2, partitions), partition,
                         partitions);
      fill(group);
      const std::string preferred = group.leader();
      wipe_leader(group);
      group.run(catch_up + 10s);
      CPPUNIT_ASSERT_EQUAL(preferred, group.leader());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refill_test);

} // namespace
} // namespace heathtrestle::records
