// Checks the placement of voters over zones and regions for many layouts of
// storage nodes. Each group starts at the preferred node of its partition and
// grows until no change is planned.
#include "records/membership_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace heathtrestle::records {
namespace {

/// Regions with equally many zones; nodes are assigned to the zones
/// round-robin, or zone by zone.
struct layout {
  std::size_t regions = 1;
  std::size_t zones_each = 1;
  std::size_t nodes = 1;
  bool zone_after_zone = false;

  [[nodiscard]] std::size_t zones() const { return regions * zones_each; }
  [[nodiscard]] std::size_t zone_of(std::size_t node) const {
    return zone_after_zone ? node * zones() / nodes : node % zones();
  }
  [[nodiscard]] std::size_t region_of_zone(std::size_t zone) const {
    return zone / zones_each;
  }
};

constexpr std::size_t losses = 2;
constexpr std::size_t partitions = 4;
constexpr std::size_t majority = losses + 1;

class group_placement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(group_placement_test);
  CPPUNIT_TEST(no_zone_holds_more_voters_than_it_must);
  CPPUNIT_TEST(three_regions_of_two_zones_tolerate_the_loss_of_any);
  CPPUNIT_TEST(regions_of_more_zones_may_hold_a_majority);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<node_view> nodes_of(const layout &built,
                                         std::size_t partition) {
    std::vector<node_view> nodes;
    const std::size_t first = partition * built.nodes / partitions;
    for (std::size_t place = 0; place < built.nodes; ++place) {
      const std::size_t distance = (place + built.nodes - first) % built.nodes;
      nodes.push_back({.replica = {node_id{place + 1}, boot_id{1}},
                       .zone = std::to_string(built.zone_of(place)),
                       .preference = built.nodes - distance,
                       .votes = distance == 0,
                       .is_self = distance == 0,
                       .alive = true});
    }
    return nodes;
  }

  static node_view &find(std::vector<node_view> &nodes,
                         const replica_id &replica) {
    return *std::find_if(nodes.begin(), nodes.end(), [&](const auto &each) {
      return each.replica == replica;
    });
  }

  /// Number of voters of a partition in each zone once no more changes are
  /// planned.
  static std::map<std::size_t, std::size_t> voters_by_zone(const layout &built,
                                                           std::size_t number) {
    std::vector<node_view> nodes = nodes_of(built, number);
    std::vector<replica_id> learners;
    const group_size size = group_size::tolerating(losses, partitions);
    while (const auto change = next_membership_change(nodes, learners, size)) {
      if (const auto *learns = std::get_if<add_learner>(&*change)) {
        learners.push_back(learns->replica);
        find(nodes, learns->replica).caught_up = true;
      } else {
        const auto &votes = std::get<add_voter>(*change);
        std::erase(learners, votes.replica);
        find(nodes, votes.replica).votes = true;
      }
    }
    std::map<std::size_t, std::size_t> voters;
    for (const node_view &each : nodes) {
      voters[std::stoul(each.zone)] += each.votes ? 1 : 0;
    }
    return voters;
  }

  /// Maximum number of voters of one partition in any region.
  static std::size_t most_in_a_region(const layout &built) {
    std::size_t most = 0;
    for (std::size_t number = 0; number < partitions; ++number) {
      std::map<std::size_t, std::size_t> in_region;
      for (const auto &[zone, voters] : voters_by_zone(built, number)) {
        std::size_t &held = in_region[built.region_of_zone(zone)];
        held += voters;
        most = std::max(most, held);
      }
    }
    return most;
  }

  template <typename Check> static void for_each_layout(Check check) {
    constexpr std::size_t most_nodes = 36;
    constexpr std::size_t most_zones = 12;
    constexpr std::size_t most_regions = 4;
    for (std::size_t regions = 1; regions <= most_regions; ++regions) {
      for (std::size_t each = 1; regions * each <= most_zones; ++each) {
        for (std::size_t nodes = 5; nodes <= most_nodes; ++nodes) {
          check(layout{regions, each, nodes, false});
          check(layout{regions, each, nodes, true});
        }
      }
    }
  }

public:
  /// With this bound, voters in three zones tolerate the loss of any one zone.
  void no_zone_holds_more_voters_than_it_must() {
    for_each_layout([](const layout &built) {
      std::map<std::size_t, std::size_t> room;
      for (std::size_t node = 0; node < built.nodes; ++node) {
        ++room[built.zone_of(node)];
      }
      const std::size_t voters = 2 * losses + 1;
      const std::size_t share = (voters + room.size() - 1) / room.size();
      const bool fits = std::all_of(room.begin(), room.end(), [&](auto &zone) {
        return zone.second >= share;
      });
      if (!fits) {
        return; // other zones take the share of a zone with too few nodes
      }
      for (std::size_t number = 0; number < partitions; ++number) {
        for (const auto &[zone, held] : voters_by_zone(built, number)) {
          CPPUNIT_ASSERT(held <= share);
        }
      }
    });
  }

  /// Five voters are in five of six zones, so at most two are in one region.
  void three_regions_of_two_zones_tolerate_the_loss_of_any() {
    for_each_layout([](const layout &built) {
      const bool meant = built.regions == 3 && built.zones_each == 2 &&
                         built.nodes >= built.zones();
      CPPUNIT_ASSERT(!meant || most_in_a_region(built) < majority);
    });
  }

  /// Regions are not considered by the plan: with three zones each, one region
  /// may hold three of five voters, and its loss stops that partition.
  void regions_of_more_zones_may_hold_a_majority() {
    const layout three_by_three{3, 3, 18, true};
    CPPUNIT_ASSERT(most_in_a_region(three_by_three) >= majority);
    const layout four_by_three{4, 3, 36, true};
    CPPUNIT_ASSERT(most_in_a_region(four_by_three) >= majority);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_placement_test);

} // namespace
} // namespace heathtrestle::records
