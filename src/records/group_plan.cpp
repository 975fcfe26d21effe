#include "records/group_plan.hpp"

#include <algorithm>
#include <map>

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

bool contains(const std::vector<replica_id> &replicas, const replica_id &id) {
  return std::find(replicas.begin(), replicas.end(), id) != replicas.end();
}

/// Of the nodes that fit, the preferred one in a zone with the fewest
/// `counted`.
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

bool may_serve(const node_view &each) {
  return each.alive && !each.retiring && !each.dead;
}

std::size_t count_voters(const std::vector<node_view> &nodes) {
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(),
                    [](const node_view &each) { return each.votes; }));
}

/// A voter that is there, or may be back before it is worth replacing.
bool is_sound_voter(const node_view &each) {
  return each.votes && !each.long_silent && !each.retiring && !each.dead;
}

/// A learner beyond the spares, when no voter is about to need it.
const node_view *surplus_learner(const std::vector<node_view> &nodes,
                                 const std::vector<replica_id> &learners,
                                 const group_size &size) {
  const auto sound = std::count_if(nodes.begin(), nodes.end(), is_sound_voter);
  const bool needed = static_cast<std::size_t>(sound) < size.voters ||
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

/// A node that is to follow the log, or none when enough do.
const node_view *next_learner(const std::vector<node_view> &nodes,
                              const std::vector<replica_id> &learners,
                              const group_size &size, bool recruit_spares) {
  const auto lacks_log = [&learners](const node_view &each) {
    return !each.votes && !contains(learners, each.replica) && may_serve(each);
  };
  for (const node_view &each : nodes) {
    if (each.votes && each.dead) {
      const node_view *successor = successor_of(each, nodes);
      if (successor != nullptr && lacks_log(*successor)) {
        return successor; // takes the dead one's place, however many follow
      }
    }
  }
  if (!recruit_spares && count_voters(nodes) >= size.voters) {
    return nullptr;
  }
  const auto follows = [&learners](const node_view &each) {
    const bool learns = may_serve(each) && contains(learners, each.replica);
    return learns || is_sound_voter(each);
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

group_size group_size::bearing(std::size_t losses, std::size_t partitions) {
  const std::size_t borne = std::max<std::size_t>(losses, 1);
  return {.voters = 2 * borne + 1, .spares = partitions > 1 ? 0 : borne + 1};
}

std::optional<group_change> next_change(const std::vector<node_view> &nodes,
                                        const std::vector<replica_id> &learners,
                                        const group_size &size,
                                        bool recruit_spares) {
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
  const node_view *leaving = first_leaving(nodes);
  const bool wanted = voters < size.voters || leaving != nullptr;
  if (spare != nullptr && wanted && voters <= size.voters) {
    return add_voter{spare->replica};
  }
  const bool too_many = voters > size.voters;
  const node_view *retiring = first_where(
      nodes, [](const node_view &each) { return each.votes && each.retiring; });
  const node_view *surplus = leaving != nullptr ? leaving : last_other(nodes);
  const node_view *removed = retiring != nullptr ? retiring
                             : too_many          ? surplus
                                                 : nullptr;
  if (removed == nullptr || voters <= 1) {
    const node_view *released = surplus_learner(nodes, learners, size);
    return released == nullptr ? std::nullopt
                               : std::optional<group_change>(
                                     release_learner{released->replica});
  }
  if (removed->is_self) {
    return hand_over{};
  }
  return remove_voter{removed->replica};
}

} // namespace heathtrestle::records
