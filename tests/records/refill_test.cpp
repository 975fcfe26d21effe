// After all machines had lost power and two of them their disks, two of four
// partitions had no leader to the end of the day: half of all programs were
// refused for 16 seconds, until they gave up.
//
// What happens: a node comes back without its disk, its partitions' leaders
// copy the state to it, and until it votes a partition bears fewer losses.
// Under load that took up to 15 s, as long as the group has. Causes, each in a
// play of its own: a leader that is not the preferred voter handed the lead
// over once it had led for 2 s, and the next one began the copy anew
// (`snapshot_sent` for partition 1 at 27.08 s and at 29.53 s,
// `record_snapshot_installed` at 40.53 s instead of 31 to 33 s); a node that
// came to lead three partitions and kept them copied three states at once
// (installed at 41.98 s and never); a node that held the state waited for its
// vote until it was within eight entries of a log that grew by forty a second
// (installed at 37.52 s, no `record_member_replaced` before 42.02 s, when two
// more disks were lost). None of these partitions has a
// `record_leadership_gained` afterwards.
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
  CPPUNIT_TEST(a_node_that_lags_behind_a_busy_group_votes);
  CPPUNIT_TEST(two_more_disks_may_go_while_it_lags);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t partitions = 4;
  static constexpr std::size_t large_parts = 4096;
  /// A promise of the group: a node that is back is whole within this long.
  static constexpr duration_ms catch_up = 15s;

  /// Eight nodes with a state that takes some seconds to copy.
  static void fill(record_group &group, std::size_t part_bytes = 256) {
    group.options().raft.retained_entries = 8;
    group.options().raft.lagging_peer_entries = 512;
    group.options().recruit_after = 2000ms;
    group.options().replace_after = 3000ms;
    group.options().snapshots.part_bytes = part_bytes;
    for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
      group.add(name);
    }
    group.found("a");
    group.run(8000ms);
    for (int turn = 0; turn < 100; ++turn) {
      group.keep_turn(fmt::format("t{}", turn));
      group.run(20ms);
    }
    group.run(1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
  }

  /// The leader loses its disk; all others stay.
  /// @return its name.
  static std::string wipe_leader(record_group &group) {
    const std::string lost = group.leader();
    group.wipe(lost);
    group.run(1000ms);
    group.start(lost);
    group.slow_down(lost, 60ms); // as long as a part takes on a busy machine
    return lost;
  }

  /// The leader loses its disk and comes back to a group that goes on recording
  /// faster than it follows, until it votes. @return its name.
  static std::string refill_under_load(record_group &group) {
    const std::string lost = wipe_leader(group);
    group.slow_down(lost, 400ms);
    const timestamp back = group.now();
    for (int turn = 0; !is_whole(group, lost); ++turn) {
      CPPUNIT_ASSERT(group.now() <= back + catch_up);
      group.ask_at_once(turn);
      group.run(20ms);
    }
    return lost;
  }

  static bool is_whole(const record_group &group, const std::string &name) {
    const std::string lead = group.leader();
    return !lead.empty() &&
           group.at(lead).log()->is_voter(group.at(name).self_id());
  }

public:
  void a_copy_of_the_state_is_sent_once() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        record_group group(seed, group_size::bearing(2, partitions), partition,
                           partitions);
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

  // In another play of the same day partition 1 had its state copied at 37.52
  // s, and no `record_member_replaced` until 42.02 s: the node was to be within
  // eight entries of a log that grew by forty a second.
  void a_node_that_lags_behind_a_busy_group_votes() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      record_group group(7, group_size::bearing(2, partitions), partition,
                         partitions);
      fill(group, large_parts);
      refill_under_load(group);
    }
  }

  void two_more_disks_may_go_while_it_lags() {
    for (std::uint32_t partition = 0; partition < partitions; ++partition) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        record_group group(seed, group_size::bearing(2, partitions), partition,
                           partitions);
        fill(group, large_parts);
        const std::string back = refill_under_load(group);
        group.run(500ms);
        lose_two_disks_and_all_power(group, back);
        group.slow_down(back, 0ms);
        group.run(catch_up);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
        const record_table &table = group.at(group.leader()).table();
        for (int turn = 0; turn < 100; ++turn) {
          wire::RecordChange question;
          question.mutable_read()->set_last(fmt::format("t{}", turn));
          CPPUNIT_ASSERT(table.settled(question));
        }
      }
    }
  }

  /// All machines lose power at once, and two voters other than `spared` their
  /// disks; all come back.
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
      record_group group(1, group_size::bearing(2, partitions), partition,
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
