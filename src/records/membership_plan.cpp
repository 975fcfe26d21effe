#include "records/membership_plan.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace heathtrestle::records {

namespace {

/// A node that can hold a copy of the log for as long as it takes. Briefly
/// silent nodes are included: only the silence after which a voter is replaced
/// counts.
bool is_usable(const node_view &each) {
  return !each.long_silent && !each.retiring && !each.dead;
}

/// Clears the wish to remove the machines that the group needs for its full
/// number of voters, those of voters first. Until others take their place they
/// are nodes like all others.
std::vector<node_view> keep_needed(std::vector<node_view> nodes,
                                   const group_size &size) {
  auto usable = static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), is_usable));
  for (const bool votes : {true, false}) {
    for (node_view &each : nodes) {
      const bool is_needed = usable < size.voters && each.retiring &&
                             !each.dead && each.votes == votes;
      if (is_needed) {
        each.retiring = false;
        usable += is_usable(each) ? 1 : 0;
      }
    }
  }
  return nodes;
}

/// The live identity of the node of a dead replica; null if there is none.
const node_view *successor_of(const node_view &dead,
                              const std::vector<node_view> &nodes) {
  const auto found =
      std::find_if(nodes.begin(), nodes.end(), [&dead](const node_view &each) {
        return each.replica.node == dead.replica.node && !each.dead &&
               !each.votes && each.alive && !each.retiring;
      });
  return found == nodes.end() ? nullptr : &*found;
}

bool contains(const std::vector<replica_id> &replicas, const replica_id &id) {
  return std::find(replicas.begin(), replicas.end(), id) != replicas.end();
}

/// Of the nodes that fit, the preferred one in a zone with the fewest nodes
/// matched by `counted`.
template <typename Fits, typename Counted>
const node_view *first_in_emptiest_zone(const std::vector<node_view> &nodes,
                                        Fits fits, Counted counted) {
  std::map<std::string, std::size_t> in_zone;
  for (const node_view &each : nodes) {
    in_zone[each.zone] += counted(each) ? 1 : 0;
  }
  const node_view *best = nullptr;
  for (const node_view &each : nodes) {
    if (!fits(each)) {
      continue;
    }
    const auto rank = [&in_zone](const node_view &node) {
      return std::pair(in_zone[node.zone], ~node.preference);
    };
    if (best == nullptr || rank(each) < rank(*best)) {
      best = &each;
    }
  }
  return best;
}

bool is_available(const node_view &each) {
  return each.alive && !each.retiring && !each.dead;
}

std::size_t count_voters(const std::vector<node_view> &nodes) {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(),
                    [](const node_view &each) { return each.votes; }));
}

/// A voter whose copy of the log is complete and reachable.
bool holds_log(const node_view &each) {
  return each.votes && each.alive && !each.dead && !each.lagging;
}

std::size_t count_log_holders(const std::vector<node_view> &nodes) {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), holds_log));
}

/// A voter that is reachable or may return before it is worth replacing.
bool is_healthy_voter(const node_view &each) {
  return each.votes && is_usable(each);
}

/// A learner in excess of the spares, unless a voter is about to be replaced.
const node_view *surplus_learner(const std::vector<node_view> &nodes,
                                 const std::vector<replica_id> &learners,
                                 const group_size &size) {
  const auto healthy =
      std::count_if(nodes.begin(), nodes.end(), is_healthy_voter);
  const bool needed = static_cast<std::size_t>(healthy) < size.voters ||
                      learners.size() <= size.spares;
  if (needed) {
    return nullptr;
  }
  const auto found =
      std::find_if(nodes.rbegin(), nodes.rend(), [&](const auto &each) {
        return !each.votes && contains(learners, each.replica);
      });
  return found == nodes.rend() ? nullptr : &*found;
}

/// The node to add as a learner; null when there are enough followers.
const node_view *next_learner(const std::vector<node_view> &nodes,
                              const std::vector<replica_id> &learners,
                              const group_size &size, bool recruit_spares) {
  const auto lacks_log = [&learners](const node_view &each) {
    return !each.votes && !contains(learners, each.replica) &&
           is_available(each);
  };
  for (const node_view &each : nodes) {
    if (each.votes && each.dead) {
      const node_view *successor = successor_of(each, nodes);
      if (successor != nullptr && lacks_log(*successor)) {
        return successor; // replaces the dead voter, however many learners
                          // there are
      }
    }
  }
  if (!recruit_spares && count_voters(nodes) >= size.voters) {
    return nullptr;
  }
  const auto follows = [&learners](const node_view &each) {
    const bool learns = is_available(each) && contains(learners, each.replica);
    return learns || is_healthy_voter(each);
  };
  const auto following = std::count_if(nodes.begin(), nodes.end(), follows);
  const bool enough =
      static_cast<std::size_t>(following) >= size.voters + size.spares;
  return enough ? nullptr : first_in_emptiest_zone(nodes, lacks_log, follows);
}

bool is_ready_spare(const node_view &each) {
  return !each.votes && each.alive && each.caught_up && !each.retiring &&
         !each.dead;
}

/// A voter to be replaced by a spare node. A dead voter whose node has come
/// back is replaced by its successor instead.
const node_view *first_voter_to_replace(const std::vector<node_view> &nodes) {
  const auto found =
      std::find_if(nodes.begin(), nodes.end(), [&nodes](const auto &each) {
        const bool has_successor =
            each.dead && successor_of(each, nodes) != nullptr;
        const bool must_leave =
            each.retiring ||
            ((each.long_silent || each.dead) && !has_successor);
        return each.votes && must_leave;
      });
  return found == nodes.end() ? nullptr : &*found;
}

/// Of the voters that fit, the one to remove first: lost ones, then retiring
/// ones, and the leader last because it has to transfer leadership before.
template <typename Fits>
const node_view *least_needed(const std::vector<node_view> &nodes, Fits fits) {
  const auto rank = [](const node_view &each) {
    const bool lost = each.dead || each.long_silent;
    return std::tuple(!lost, !each.retiring, each.is_self);
  };
  const node_view *least = nullptr;
  for (const node_view &each : nodes) {
    if (!each.votes || !fits(each)) {
      continue;
    }
    // Among equals, the first retiring voter, otherwise the last voter.
    const bool less = least == nullptr || rank(each) < rank(*least) ||
                      (!each.retiring && rank(each) == rank(*least));
    least = less ? &each : least;
  }
  return least;
}

/// A voter that is gone and that no node can replace, if the group can do
/// without it: all others hold the log.
const node_view *unneeded_gone_voter(const std::vector<node_view> &nodes,
                                     const group_size &size) {
  const bool is_full = count_voters(nodes) == size.voters;
  const bool others_hold_log = count_log_holders(nodes) + 1 == size.voters;
  const bool has_replacement =
      std::ranges::any_of(nodes, [](const node_view &each) {
        return !each.votes && is_usable(each);
      });
  if (!is_full || !others_hold_log || has_replacement) {
    return nullptr;
  }
  return least_needed(nodes, [](const node_view &each) { return each.gone; });
}

/// The voter to remove now: a surplus one, or a retiring one that is lost
/// anyway. A smaller group could not bear the losses that it is sized for, so a
/// retiring voter waits for a node that takes its place.
const node_view *next_voter_to_remove(const std::vector<node_view> &nodes,
                                      const group_size &size) {
  const std::size_t voters = count_voters(nodes);
  if (voters <= 1) {
    return nullptr;
  }
  if (voters > size.voters) {
    const node_view *least = least_needed(nodes, [](const node_view &each) {
      return !each.is_self || each.retiring;
    });
    const bool enough = count_log_holders(nodes) > size.voters;
    return least != nullptr && holds_log(*least) && !enough ? nullptr : least;
  }
  const node_view *leaving =
      least_needed(nodes, [](const node_view &each) { return each.retiring; });
  return leaving != nullptr && leaving->dead ? leaving : nullptr;
}

} // namespace

group_size group_size::tolerating(std::size_t losses, std::size_t partitions) {
  const std::size_t tolerated = std::max<std::size_t>(losses, 1);
  return {.voters = 2 * tolerated + 1,
          .spares = partitions > 1 ? 0 : tolerated + 1};
}

std::optional<membership_change>
next_membership_change(const std::vector<node_view> &all,
                       const std::vector<replica_id> &learners,
                       const group_size &size, bool recruit_spares) {
  const std::vector<node_view> nodes = keep_needed(all, size);
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
  const node_view *learner =
      next_learner(nodes, learners, size, recruit_spares);
  if (learner != nullptr) {
    return add_learner{learner->replica};
  }
  const std::size_t voters = count_voters(nodes);
  const node_view *spare =
      first_in_emptiest_zone(nodes, is_ready_spare, [](const node_view &each) {
        return each.votes && !each.dead;
      });
  const node_view *leaving = first_voter_to_replace(nodes);
  const bool wanted = voters < size.voters || leaving != nullptr;
  if (spare != nullptr && wanted && voters <= size.voters) {
    return add_voter{spare->replica};
  }
  const node_view *removed = next_voter_to_remove(nodes, size);
  if (removed == nullptr && recruit_spares) {
    removed = unneeded_gone_voter(nodes, size);
  }
  if (removed == nullptr) {
    const node_view *released = surplus_learner(nodes, learners, size);
    return released == nullptr ? std::nullopt
                               : std::optional<membership_change>(
                                     release_learner{released->replica});
  }
  if (removed->is_self) {
    return resign_leadership{};
  }
  return remove_voter{removed->replica};
}

bool tolerates_losses(const std::vector<node_view> &nodes,
                      const group_size &size) {
  return count_log_holders(nodes) >= size.voters;
}

} // namespace heathtrestle::records
