#include "membership/member_table.hpp"

#include "support/step_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace heathtrestle::membership {
namespace {

using tests::make_member;

class member_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(member_table_test);
  CPPUNIT_TEST(worse_status_of_the_same_incarnation_wins);
  CPPUNIT_TEST(false_death_is_refuted);
  CPPUNIT_TEST(restarted_process_is_another_replica);
  CPPUNIT_TEST(an_older_leader_does_not_replace_a_newer);
  CPPUNIT_TEST(replicas_spread_over_zones);
  CPPUNIT_TEST(few_replicas_move_when_a_member_leaves);
  CPPUNIT_TEST_SUITE_END();

public:
  void worse_status_of_the_same_incarnation_wins() {
    member_table table(make_member("self", "z1"));
    tests::step_fixture fixture;
    wire::Member other = make_member("other", "z2");
    table.merge(other, fixture.step());
    other.set_status(wire::MEMBER_DEAD);
    table.merge(other, fixture.step());
    other.set_status(wire::MEMBER_ALIVE);
    table.merge(other, fixture.step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.running_count());
    other.set_incarnation(2);
    table.merge(other, fixture.step());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.running_count());
  }

  void false_death_is_refuted() {
    member_table table(make_member("self", "z1"));
    tests::step_fixture fixture;
    wire::Member rumor = table.self();
    rumor.set_status(wire::MEMBER_DEAD);
    rumor.set_incarnation(9);
    table.merge(rumor, fixture.step());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, table.self().incarnation());
    CPPUNIT_ASSERT(table.self().status() == wire::MEMBER_ALIVE);
  }

  void restarted_process_is_another_replica() {
    member_table table(make_member("self", "z1"));
    tests::step_fixture fixture;
    wire::Member other = make_member("other", "z2", 1);
    table.merge(other, fixture.step());
    const replica_id first = replica_of(other);
    other.set_boot(2);
    other.set_incarnation(2);
    table.merge(other, fixture.step());
    CPPUNIT_ASSERT(!table.is_running(first));
    CPPUNIT_ASSERT(table.is_running(replica_of(other)));
  }

  void an_older_leader_does_not_replace_a_newer() {
    member_table table(make_member("self", "z1"));
    wire::LeaderHint hint;
    hint.set_partition(3);
    hint.set_term(5);
    hint.set_node(50);
    CPPUNIT_ASSERT(table.merge(hint));
    hint.set_term(4);
    hint.set_node(40);
    CPPUNIT_ASSERT(!table.merge(hint));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50},
                         table.leader_of(partition_id{3})->node());
  }

  void replicas_spread_over_zones() {
    const std::vector<wire::Member> members = make_members(12, 3);
    for (std::uint32_t number = 0; number < 50; ++number) {
      std::set<std::string> zones;
      for (const wire::Member *chosen :
           rank_for_partition(partition_id{number}, pointers(members), {}, 3)) {
        zones.insert(chosen->zone());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, zones.size());
    }
  }

  void few_replicas_move_when_a_member_leaves() {
    std::vector<wire::Member> members = make_members(30, 3);
    std::size_t moved = 0;
    constexpr std::uint32_t partitions = 200;
    for (std::uint32_t number = 0; number < partitions; ++number) {
      const auto all = pointers(members);
      std::vector<const wire::Member *> fewer(all.begin() + 1, all.end());
      const auto before = rank_for_partition(partition_id{number}, all, {}, 3);
      const auto after = rank_for_partition(partition_id{number}, fewer, {}, 3);
      for (const wire::Member *holder : before) {
        const bool stays =
            std::find(after.begin(), after.end(), holder) != after.end();
        moved += stays ? 0 : 1;
      }
    }
    // Only the replicas of the removed member move: about a thirtieth of 600.
    CPPUNIT_ASSERT(moved < 60);
  }

private:
  static std::vector<wire::Member> make_members(std::size_t count,
                                                std::size_t zones) {
    std::vector<wire::Member> members;
    for (std::size_t index = 0; index < count; ++index) {
      members.push_back(make_member("m" + std::to_string(index),
                                    "z" + std::to_string(index % zones)));
    }
    return members;
  }

  static std::vector<const wire::Member *>
  pointers(const std::vector<wire::Member> &members) {
    std::vector<const wire::Member *> result;
    for (const wire::Member &member : members) {
      result.push_back(&member);
    }
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);

} // namespace
} // namespace heathtrestle::membership
