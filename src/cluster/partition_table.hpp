// The partition replicas of this node. Each has a Raft log, the program records
// that the log produces, and a coordinator that acts while the replica leads.
#pragma once

#include "base/ids.hpp"
#include "config/configuration_store.hpp"
#include "effects/step.hpp"
#include "membership/member_table.hpp"
#include "programs/coordinator.hpp"
#include "programs/program_store.hpp"
#include "raft/consensus.hpp"
#include "wire/messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace heathtrestle::cluster {

struct partition_options {
  raft::options raft;
  programs::coordinator_options programs;
  duration_ms maintenance_interval{1000};
  /// How long a voter's process must be considered dead before it is replaced.
  duration_ms replacement_delay{4000};
  /// How long a dead voter is expected to return. Until then it is not replaced
  /// by a process in a zone that already holds a replica.
  duration_ms presumed_death_delay{30000};
};

/// The tables of the node that partitions use while they handle one event.
struct partition_view {
  effects::step &step;
  const config::configuration_store &configuration;
  membership::member_table &members;
};

class partition_table {
public:
  explicit partition_table(partition_options options);

  /// Creates the replicas that the founding record assigns to this process.
  void on_founded(partition_view &view);

  void handle_raft(partition_view &view, const wire::Envelope &envelope);
  void on_client_request(partition_view &view, node_id gateway,
                         const wire::ClientRequest &request);
  void on_dispatch_reply(partition_view &view,
                         const wire::DispatchReply &reply);
  void on_tool_finished(partition_view &view, const wire::ToolFinished &result);
  void on_memory_released(partition_view &view,
                          const wire::MemoryReleaseDone &done);
  void tick(partition_view &view);

  /// Starts a leadership transfer for each partition that this node leads, if a
  /// voter has the whole log and is not about to be replaced.
  void transfer_leaderships(partition_view &view);

  /// Returns the term in which this node is the established leader of the
  /// partition, that is, knows all committed entries. Returns nothing if it is
  /// not, or if it has lost contact with the quorum and may be superseded.
  [[nodiscard]] std::optional<term_id> led_term(partition_id partition,
                                                timestamp now) const;
  [[nodiscard]] std::uint32_t led_count() const;
  [[nodiscard]] std::uint32_t replica_count() const;
  /// Returns the number of local replicas that no committed voter set excludes.
  /// A new replica whose log has no voter set yet is counted.
  [[nodiscard]] std::uint32_t voting_count() const;
  void describe(timestamp now, std::uint32_t limit,
                wire::StatusReply &reply) const;

  /// Returns the records of the local replica, or null if there is none. For
  /// tests and checkers.
  [[nodiscard]] const programs::program_store *
  store_of(partition_id partition) const;
  [[nodiscard]] const raft::consensus *log_of(partition_id partition) const;

private:
  struct replica {
    raft::consensus log;
    programs::program_store store;
    programs::coordinator coordinator;
    bool established = false;
    term_id established_term{};
    timestamp last_maintenance{};
    std::optional<replica_id> learner{};
    timestamp learner_since{};
    /// Learners that did not catch up in time, and when they were dropped.
    std::map<replica_id, timestamp> failed_learners{};
  };

  replica *find(partition_id partition);
  replica *find_established(partition_id partition);
  replica &create(partition_view &view, partition_id partition,
                  const std::vector<replica_id> &voters);
  void handle_heartbeats(partition_view &view,
                         const wire::HeartbeatBatch &batch);
  void handle_heartbeat_replies(partition_view &view,
                                const wire::HeartbeatReplyBatch &batch);
  /// Applies committed entries, handles gained and lost leadership, appends the
  /// coordinator's proposals until there are none, and sends the messages.
  void advance_replica(partition_view &view, partition_id partition,
                       replica &target, raft::outbox &out);
  void append(partition_view &view, replica &target,
              std::vector<programs::proposal> &proposals, raft::outbox &out);
  void apply_committed(partition_view &view, partition_id partition,
                       replica &target,
                       std::vector<programs::proposal> &proposals);
  void update_leadership(partition_view &view, partition_id partition,
                         replica &target,
                         std::vector<programs::proposal> &proposals);
  void flush(partition_view &view, replica &target, raft::outbox &out);
  void maintain(partition_view &view, partition_id partition, replica &target,
                raft::outbox &out);
  std::optional<replica_id> select_voter_to_remove(partition_view &view,
                                                   const replica &target) const;
  /// Selects the voter to remove from an oversized set, other than this
  /// process. Prefers one that shares its zone with another voter.
  std::optional<replica_id> select_surplus_voter(const partition_view &view,
                                                 const replica &target) const;
  /// Returns true if the set has fewer voters than the replication factor, or
  /// if a voter's process has restarted, is leaving or is presumed dead.
  bool has_vacancy_or_lost_voter(const partition_view &view,
                                 const replica &target) const;
  static std::string zone_of(const partition_view &view,
                             const replica_id &voter);
  void add_replacement(partition_view &view, partition_id partition,
                       replica &target, raft::outbox &out);
  [[nodiscard]] bool should_replace(const partition_view &view,
                                    const replica_id &voter) const;

  /// Runs an action on the coordinator, then appends its proposals.
  template <typename Action>
  void with_coordinator(partition_view &view, partition_id partition,
                        replica &target, Action action) {
    std::vector<programs::proposal> proposals;
    auto inner = coordinator_view_of(view, partition, target, proposals);
    action(inner);
    raft::outbox out;
    append(view, target, proposals, out);
    advance_replica(view, partition, target, out);
  }

  programs::coordinator_view
  coordinator_view_of(partition_view &view, partition_id partition,
                      replica &target,
                      std::vector<programs::proposal> &proposals);

  partition_options options_;
  std::map<partition_id, std::unique_ptr<replica>> replicas_;
  std::map<replica_id, wire::HeartbeatBatch> heartbeats_;
};

} // namespace heathtrestle::cluster
