// Which change of its membership the record group needs next: a pure policy
// over the leader's view of the storage nodes.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heathtrestle::records {

/// A storage node in the leader's eyes.
struct node_view {
  replica_id replica;
  std::string zone;
  /// Of nodes that are equal otherwise the one with the highest is taken; each
  /// partition gives other ones, so that its work is spread over the nodes.
  std::uint64_t preference = 0;
  bool votes = false;
  bool is_self = false;
  /// It was heard from lately.
  bool alive = false;
  /// It was silent long enough to be replaced by a spare node.
  bool long_silent = false;
  /// Another identity of its node has appeared: its disk is gone for good.
  bool dead = false;
  /// It is a learner that holds nearly the whole log.
  bool caught_up = false;
  /// It is a voter that lacks entries which were committed a while ago.
  bool lagging = false;
  /// The operator wants its machine emptied.
  bool retiring = false;
};

struct add_learner {
  replica_id replica;
};
struct add_voter {
  replica_id replica;
};
struct remove_voter {
  replica_id replica;
};
/// The node's new identity takes the place of the dead one.
struct replace_voter {
  replica_id dead;
  replica_id successor;
};
/// A follower that nobody needs any more: it costs the leader its link.
struct release_learner {
  replica_id replica;
};
/// The leader itself is to leave: another one has to remove it.
struct resign_leadership {};

using membership_change =
    std::variant<add_learner, add_voter, remove_voter, replace_voter,
                 release_learner, resign_leadership>;

struct group_size {
  /// How many voters the group has while nodes last.
  std::size_t voters = 3;
  /// How many nodes follow the log without a vote, ready to take the place of a
  /// voter. Others hold nothing: each follower costs the leader its link.
  std::size_t spares = 2;

  /// The size at which `losses` nodes may be lost at once, disks and all, with
  /// a majority left.
  /// @param partitions of the record group; where there are several, none has
  /// spares: their nodes are small, and each follower costs a fifth of what
  /// recording does. A voter that is lost is replaced by a copy made then.
  static group_size tolerating(std::size_t losses, std::size_t partitions = 1);
};

/// True when the group bears the losses that it is made for: its full number of
/// voters, or one on every node that there is, is in touch and holds the log.
bool tolerates_losses(const std::vector<node_view> &nodes,
                      const group_size &size);

/// Voters and spares are spread over the zones, as far as there are nodes.
/// @param learners nodes that already receive the log without a vote.
/// @param recruit_spares false while a new leader cannot know yet which nodes
/// are there: then a full set of voters takes in nobody but the successors of
/// dead ones, since whoever follows anew has to be sent the whole state, and
/// nobody leaves without a successor.
///
/// A voter in touch that holds the log leaves only once as many others do as
/// the group has voters: an operator who empties machines must not use up the
/// losses that the group is to bear. Where no node can take its place it leaves
/// all the same, as long as all that remain are in touch.
std::optional<membership_change>
next_membership_change(const std::vector<node_view> &nodes,
                       const std::vector<replica_id> &learners,
                       const group_size &size, bool recruit_spares = true);

} // namespace heathtrestle::records
