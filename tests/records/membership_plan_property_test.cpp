// Applies random faults and operator requests while membership changes are
// planned. A planned change must never take the reachable voters below the
// number needed for the tolerated losses, and once the faults end, all retiring
// and dead voters must be replaced, as far as there are nodes for that.
#include "records/membership_plan.hpp"

#include <algorithm>
#include <random>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

/// The leader's view of the nodes; planned changes take effect at once.
class random_fleet {
public:
  random_fleet(std::uint64_t seed, std::size_t losses, std::uint64_t nodes)
      : random_(seed), size_(group_size::tolerating(losses, seed % 2 + 1)) {
    for (std::uint64_t node = 1; node <= nodes; ++node) {
      add_node(node, 1);
      nodes_.back().votes = node <= size_.voters;
    }
    nodes_.front().is_self = true;
  }

  /// Applies a random event to a random node.
  void disturb() {
    const std::uint64_t place = random_() % nodes_.size();
    constexpr std::uint64_t kinds = 7;
    switch (random_() % kinds) {
    case 0:
      retire(nodes_[place]);
      break;
    case 1:
      fall_silent(nodes_[place]);
      break;
    case 2:
      lose_disk(place);
      break;
    case 3:
      add_node(++newest_, 1);
      break;
    case 4:
      nodes_[place].lagging = nodes_[place].votes && !nodes_[place].is_self;
      break;
    default:
      recover(nodes_[place]);
    }
  }

  /// @return false when no change is planned.
  bool change_once(const std::string &message, bool recruits) {
    const auto change =
        next_membership_change(nodes_, learners_, size_, recruits);
    if (!change) {
      return false;
    }
    std::visit([&](const auto &each) { apply(each, message); }, *change);
    std::erase_if(learners_, [this](const replica_id &each) {
      return at(each).votes || at(each).dead;
    });
    return true;
  }

  /// Recovers all nodes that can return and applies planned changes until none
  /// is left.
  void settle(const std::string &message) {
    for (int round = 0; round < 200; ++round) {
      for (node_view &each : nodes_) {
        recover(each);
      }
      if (!change_once(message, true)) {
        break;
      }
    }
    const auto voters = std::ranges::count_if(
        nodes_, [](const node_view &each) { return each.votes; });
    const auto usable = std::ranges::count_if(nodes_, can_serve);
    const auto full = static_cast<std::ptrdiff_t>(size_.voters);
    const auto usable_voters =
        std::ranges::count_if(nodes_, [](const node_view &each) {
          return each.votes && can_serve(each);
        });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::min(usable, full),
                                 usable_voters);
    // Retiring voters stay where too few others are left.
    CPPUNIT_ASSERT_MESSAGE(message, usable < full ? voters <= full
                                                  : voters == usable_voters);
  }

private:
  static bool can_serve(const node_view &each) {
    return !each.dead && !each.retiring;
  }
  static bool holds_log(const node_view &each) {
    return each.votes && each.alive && !each.dead && !each.lagging;
  }

  node_view &at(const replica_id &replica) {
    return *std::ranges::find(nodes_, replica, &node_view::replica);
  }

  void add_node(std::uint64_t node, std::uint64_t identity) {
    nodes_.push_back({.replica = {node_id{node}, boot_id{identity}},
                      .zone = std::to_string(node % 3),
                      .alive = true});
    newest_ = std::max(newest_, node);
  }

  /// Retires a node unless three or fewer usable nodes are left.
  void retire(node_view &node) {
    const auto usable = std::ranges::count_if(nodes_, can_serve);
    node.retiring = node.retiring || usable > 3;
  }

  /// At most as many voters as the group tolerates are unreachable at once.
  [[nodiscard]] bool may_lose_another() const {
    const auto holders = std::ranges::count_if(nodes_, holds_log);
    return holders > static_cast<std::ptrdiff_t>(size_.voters / 2 + 1);
  }

  void fall_silent(node_view &node) {
    if (!node.is_self && may_lose_another()) {
      node.gone = node.long_silent;
      node.long_silent = !node.alive;
      node.alive = false;
    }
  }

  void lose_disk(std::size_t place) {
    if (nodes_[place].is_self || nodes_[place].dead || !may_lose_another()) {
      return;
    }
    nodes_[place].dead = true;
    nodes_[place].alive = false;
    const replica_id lost = nodes_[place].replica;
    const bool retiring = nodes_[place].retiring;
    add_node(lost.node.value(), lost.boot.value() + 1);
    nodes_.back().retiring = retiring;
  }

  void recover(node_view &node) {
    if (node.dead) {
      return;
    }
    const bool learns = std::ranges::count(learners_, node.replica) > 0;
    node.alive = true;
    node.long_silent = false;
    node.gone = false;
    node.lagging = false;
    node.caught_up = learns && !node.votes;
  }

  /// Checks the condition for removing a voter that holds the log.
  void check_leaving(const node_view &leaving, const std::string &message) {
    if (!holds_log(leaving)) {
      return;
    }
    std::size_t holders = 0;
    for (const node_view &each : nodes_) {
      const bool stays = each.replica != leaving.replica;
      holders += stays && holds_log(each) ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(message, holders >= size_.voters);
  }

  void apply(const add_learner &change, const std::string &) {
    learners_.push_back(change.replica);
  }
  void apply(const release_learner &change, const std::string &) {
    std::erase(learners_, change.replica);
  }
  void apply(const add_voter &change, const std::string &) {
    at(change.replica).votes = true;
    at(change.replica).caught_up = false;
  }
  void apply(const replace_voter &change, const std::string &) {
    at(change.dead).votes = false;
    at(change.successor).votes = true;
  }
  void apply(const remove_voter &change, const std::string &message) {
    check_leaving(at(change.replica), message);
    at(change.replica).votes = false;
  }
  void apply(const resign_leadership &, const std::string &message) {
    node_view &self = *std::ranges::find(nodes_, true, &node_view::is_self);
    check_leaving(self, message);
    const auto next = std::ranges::find_if(nodes_, [](const node_view &each) {
      return holds_log(each) && !each.is_self && !each.retiring;
    });
    if (next != nodes_.end()) {
      self.is_self = false;
      next->is_self = true;
    }
  }

  std::mt19937_64 random_;
  group_size size_;
  std::vector<node_view> nodes_;
  std::vector<replica_id> learners_;
  std::uint64_t newest_ = 0;
};

class membership_plan_property_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_plan_property_test);
  CPPUNIT_TEST(planned_changes_keep_the_tolerated_losses);
  CPPUNIT_TEST_SUITE_END();

public:
  void planned_changes_keep_the_tolerated_losses() {
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
      const std::string message = fmt::format("seed {}", seed);
      const std::size_t losses = 1 + seed % 3;
      random_fleet fleet(seed, losses, 2 * losses + 1 + seed % 4);
      for (int step = 0; step < 100; ++step) {
        fleet.disturb();
        fleet.change_once(message, step % 5 != 0);
      }
      fleet.settle(message);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_plan_property_test);

} // namespace
} // namespace heathtrestle::records
