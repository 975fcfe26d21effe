#include "records/group_plan.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// The node's other identity that is alive, when this one is dead.
const node_view *successor_of(const node_view &dead,
                              const std::vector<node_view> &nodes) {
  const auto found =
      std::find_if(nodes.begin(), nodes.end(), [&dead](const node_view &each) {
        return each.replica.node == dead.replica.node && !each.dead &&
               !each.votes && each.alive && !each.retiring;
      });
  return found == nodes.end() ? nullptr : &*found;
}

const node_view *first_where(const std::vector<node_view> &nodes,
                             bool (*fits)(const node_view &)) {
  const auto found = std::find_if(nodes.begin(), nodes.end(), fits);
  return found == nodes.end() ? nullptr : &*found;
}

bool is_ready_spare(const node_view &each) {
  return !each.votes && each.alive && each.caught_up && !each.retiring &&
         !each.dead;
}

/// A voter that gives way to a spare node. A dead one whose node is back waits
/// for that instead.
const node_view *first_leaving(const std::vector<node_view> &nodes) {
  const auto found =
      std::find_if(nodes.begin(), nodes.end(), [&nodes](const auto &each) {
        const bool comes_back =
            each.dead && successor_of(each, nodes) != nullptr;
        const bool has_to =
            each.retiring || ((each.long_silent || each.dead) && !comes_back);
        return each.votes && has_to;
      });
  return found == nodes.end() ? nullptr : &*found;
}

/// Any voter that the group can do without.
const node_view *last_other(const std::vector<node_view> &nodes) {
  const auto found =
      std::find_if(nodes.rbegin(), nodes.rend(), [](const auto &each) {
        return each.votes && !each.is_self;
      });
  return found == nodes.rend() ? nullptr : &*found;
}

} // namespace

std::optional<group_change> next_change(const std::vector<node_view> &nodes,
                                        const std::vector<replica_id> &learners,
                                        std::size_t desired_voters) {
  for (const node_view &each : nodes) {
    if (!each.votes || !each.dead) {
      continue;
    }
    const node_view *successor = successor_of(each, nodes);
    if (successor != nullptr && successor->caught_up) {
      return replace_voter{.dead = each.replica,
                           .successor = successor->replica};
    }
  }
  for (const node_view &each : nodes) {
    const bool known = std::find(learners.begin(), learners.end(),
                                 each.replica) != learners.end();
    if (!each.votes && !known && each.alive && !each.retiring && !each.dead) {
      return add_learner{each.replica};
    }
  }
  const auto voters = static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(),
                    [](const node_view &each) { return each.votes; }));
  const node_view *spare = first_where(nodes, is_ready_spare);
  const node_view *leaving = first_leaving(nodes);
  if (spare != nullptr && (voters < desired_voters || leaving != nullptr) &&
      voters <= desired_voters) {
    return add_voter{spare->replica};
  }
  const bool too_many = voters > desired_voters;
  const node_view *retiring = first_where(
      nodes, [](const node_view &each) { return each.votes && each.retiring; });
  const node_view *surplus = leaving != nullptr ? leaving : last_other(nodes);
  const node_view *removed = retiring != nullptr ? retiring
                             : too_many          ? surplus
                                                 : nullptr;
  if (removed == nullptr || voters <= 1) {
    return std::nullopt;
  }
  if (removed->is_self) {
    return hand_over{};
  }
  return remove_voter{removed->replica};
}

} // namespace heathtrestle::records
