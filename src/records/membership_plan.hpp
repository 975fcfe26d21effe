// Decides the next membership change of a record group. A pure policy over the
// leader's view of the storage nodes.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heathtrestle::records {

/// State of a storage node as known to the leader.
struct node_view {
  replica_id replica;
  std::string zone;
  /// Among otherwise equal nodes the one with the highest preference is chosen.
  /// Each partition ranks the nodes differently, which spreads its load.
  std::uint64_t preference = 0;
  bool votes = false;
  bool is_self = false;
  /// It was heard from within the liveness timeout.
  bool alive = false;
  /// It has been silent long enough to be replaced by a spare node.
  bool long_silent = false;
  /// It has been silent so long that it counts as lost for good.
  bool gone = false;
  /// Its node has come back with another identity, so its disk is lost.
  bool dead = false;
  /// It is a learner that is ready to become a voter.
  bool caught_up = false;
  /// It is a voter that lacks entries committed some time ago.
  bool lagging = false;
  /// The operator wants to remove its machine.
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
/// Replaces a dead identity by the new identity of the same node.
struct replace_voter {
  replica_id dead;
  replica_id successor;
};
/// Stops replicating to a learner that is not needed, which saves bandwidth of
/// the leader.
struct release_learner {
  replica_id replica;
};
/// The leader itself must leave; another leader has to remove it.
struct resign_leadership {};

using membership_change =
    std::variant<add_learner, add_voter, remove_voter, replace_voter,
                 release_learner, resign_leadership>;

struct group_size {
  /// Number of voters while enough nodes are available.
  std::size_t voters = 3;
  /// Number of learners kept ready to replace a voter. All other nodes hold
  /// nothing, since each follower costs the leader bandwidth.
  std::size_t spares = 2;

  /// The size at which `losses` nodes, including their disks, may be lost at
  /// once with a majority left.
  /// @param partitions number of partitions of the record group. With several
  /// there are no spares, because replicating to each follower is expensive for
  /// small nodes; a lost voter is replaced by a copy made at that time.
  static group_size tolerating(std::size_t losses, std::size_t partitions = 1);
};

/// True when the group tolerates the losses that it is sized for: its full
/// number of voters is reachable and holds the log.
bool tolerates_losses(const std::vector<node_view> &nodes,
                      const group_size &size);

/// Decides the next membership change, if any. Voters and spares are spread
/// over the zones as evenly as the nodes allow.
/// @param all the nodes that the leader knows.
/// @param learners nodes that already receive the log without a vote.
/// @param recruit_spares false while a new leader cannot know yet which nodes
/// are available. A full set of voters then adds only successors of dead
/// voters, since a new follower needs a transfer of the whole state.
///
/// A reachable voter that holds the log is removed only once as many others
/// hold it as the group has voters, so that removing machines does not use up
/// the tolerated losses. When no node can take its place, it stays, and is
/// replaced by its successor if it loses its disk.
///
/// A voter that is gone leaves also where no node can take its place, if it is
/// the only one that the group lacks then. Each commit needs the others anyway,
/// and without it they can bear the loss of a disk: the one that is left may
/// lead, since it holds all that was committed. If it comes back, it votes
/// again once it has caught up.
std::optional<membership_change>
next_membership_change(const std::vector<node_view> &all,
                       const std::vector<replica_id> &learners,
                       const group_size &size, bool recruit_spares = true);

} // namespace heathtrestle::records
