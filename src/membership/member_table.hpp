// The members of the region as this node believes them to be, the founding
// record and the latest known leader of every partition.
//
// All of it serves liveness only: a wrong belief delays work and is corrected
// by gossip; safety rests on terms and quorums.
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

/// A member with what only this node knows of it.
struct member_state {
  wire::Member member;
  timestamp status_since{};
  std::uint64_t configuration_revision = 0;
};

/// News that travels along with other messages until it was sent often enough.
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

  /// Takes in news of a member; a later incarnation beats an earlier one, and
  /// of the same incarnation the worse status wins.
  void merge(const wire::Member &news, effects::step &step);

  /// Changes a member's status as seen from here and spreads the news.
  void set_status(node_id node, wire::MemberStatus status, effects::step &step);
  void set_self_leaving(effects::step &step);
  void set_self_left(effects::step &step);

  void record_configuration_revision(node_id node, std::uint64_t revision);

  [[nodiscard]] const std::map<node_id, member_state> &members() const {
    return members_;
  }
  /// @return null when the node is not known.
  [[nodiscard]] const member_state *find(node_id node) const;
  /// True when this very process is believed to run.
  [[nodiscard]] bool is_running(const replica_id &replica) const;
  /// Members alive or suspected, this node among them.
  [[nodiscard]] std::vector<const wire::Member *> running() const;
  [[nodiscard]] std::size_t running_count() const;
  /// Forgets members that have been dead or gone for longer than `age`.
  void remove_dead_members(duration_ms age, timestamp now);

  /// @return true when the hint was news.
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

  /// Adds news to an outgoing message and counts it as sent.
  void attach_gossip(wire::Envelope &envelope);
  /// Everything, for a member that joins.
  [[nodiscard]] wire::MembershipSync full_sync(bool reply_wanted) const;

private:
  void spread(const wire::Member &member);
  [[nodiscard]] std::uint32_t transmissions() const;

  node_id self_id_;
  std::map<node_id, member_state> members_;
  std::map<partition_id, wire::LeaderHint> leaders_;
  std::optional<wire::Founding> founding_;
  std::map<node_id, rumor<wire::Member>> member_rumors_;
  std::map<partition_id, rumor<wire::LeaderHint>> leader_rumors_;
};

/// The members that should hold a partition, best first: rendezvous hashing,
/// members of zones not yet taken before others.
/// @param taken zones that already hold a replica.
std::vector<const wire::Member *>
rank_for_partition(partition_id partition,
                   const std::vector<const wire::Member *> &candidates,
                   const std::vector<std::string> &taken, std::size_t count);

} // namespace heathtrestle::membership
