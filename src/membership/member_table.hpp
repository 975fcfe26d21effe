// The members of the region as this node sees them, the cluster's founding
// record, and the latest known leader of each partition.
//
// This state affects liveness only: an outdated view delays work until gossip
// corrects it, while safety rests on terms and quorums.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "effects/step.hpp"
#include "wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::membership {

/// A member, with information that is local to this node.
struct member_state {
  wire::Member member;
  timestamp status_since{};
  std::uint64_t configuration_revision = 0;
};

/// An update that is piggybacked on outgoing messages a limited number of
/// times.
template <typename Item> struct rumor {
  Item item;
  std::uint32_t transmissions_left = 0;
};

class member_table {
public:
  explicit member_table(wire::Member self);

  [[nodiscard]] const wire::Member &self() const;
  [[nodiscard]] node_id self_id() const { return self_id_; }
  [[nodiscard]] replica_id self_replica() const { return replica_of(self()); }

  /// Applies an update about a member: a later incarnation overrides an earlier
  /// one, and within an incarnation the worse status wins. Refutes a wrong
  /// status of this node with a higher incarnation.
  void merge(const wire::Member &update, effects::step &step);

  /// Changes a member's status in this node's view and gossips the change.
  void set_status(node_id node, wire::MemberStatus status, effects::step &step);
  void set_self_leaving(effects::step &step);
  void set_self_left(effects::step &step);

  void record_configuration_revision(node_id node, std::uint64_t revision);

  [[nodiscard]] const std::map<node_id, member_state> &members() const {
    return members_;
  }
  /// @return null when the node is not known.
  [[nodiscard]] const member_state *find(node_id node) const;
  /// True when `replica` is the member's present process and is alive or
  /// suspected.
  [[nodiscard]] bool is_running(const replica_id &replica) const;
  /// Members that are alive or suspected, including this node.
  [[nodiscard]] std::vector<const wire::Member *> running() const;
  [[nodiscard]] std::size_t running_count() const;
  /// Removes members that have been dead or left for longer than `age`.
  void remove_dead_members(duration_ms age, timestamp now);

  /// Applies a leader hint unless one of the same or a later term is known.
  /// @return true when the hint was applied.
  bool merge(const wire::LeaderHint &hint);
  [[nodiscard]] std::optional<wire::LeaderHint>
  leader_of(partition_id partition) const;

  void set_founding(const wire::Founding &founding);
  [[nodiscard]] const std::optional<wire::Founding> &founding() const {
    return founding_;
  }
  /// The founding partition count; 0 before the cluster is founded.
  [[nodiscard]] std::uint32_t partitions() const;
  [[nodiscard]] std::vector<replica_id>
  founding_voters(partition_id partition) const;

  /// Piggybacks pending gossip on an outgoing message and counts it as sent.
  void attach_gossip(wire::Envelope &envelope);
  /// The members, the leaders and the founding record, for a full sync.
  [[nodiscard]] wire::MembershipSync full_sync(bool reply_wanted) const;

private:
  void enqueue_gossip(const wire::Member &member);
  [[nodiscard]] std::uint32_t transmissions() const;

  node_id self_id_;
  std::map<node_id, member_state> members_;
  std::map<partition_id, wire::LeaderHint> leaders_;
  std::optional<wire::Founding> founding_;
  std::map<node_id, rumor<wire::Member>> member_rumors_;
  std::map<partition_id, rumor<wire::LeaderHint>> leader_rumors_;
};

/// Ranks the members that should hold a partition by rendezvous hashing;
/// members of zones without a replica come first.
/// @param taken zones that already hold a replica.
std::vector<const wire::Member *>
rank_for_partition(partition_id partition,
                   const std::vector<const wire::Member *> &candidates,
                   const std::vector<std::string> &taken, std::size_t count);

} // namespace heathtrestle::membership
