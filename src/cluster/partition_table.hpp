// The partition replicas of this node: their logs, their programs' records,
// and for those that it leads the coordinator of the programs.
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
  /// How long a voter's process must be gone before it is replaced.
  duration_ms replacement_delay{4000};
  /// How long a silent voter may still come back, when the only replacements
  /// are in zones that hold a replica already.
  duration_ms presumed_death_delay{30000};
};

/// The other tables that partitions look at during one reduction.
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

  /// Hands the leadership of all partitions to voters that stay.
  void transfer_leaderships(partition_view &view);

  /// @return the term in which this node leads the partition and knows all
  /// that is committed; nothing when it does not, or when it has lost touch
  /// with the majority and may have been replaced.
  [[nodiscard]] std::optional<term_id> led_term(partition_id partition,
                                                timestamp now) const;
  [[nodiscard]] std::uint32_t led_count() const;
  [[nodiscard]] std::uint32_t replica_count() const;
  /// Partitions in whose committed replica set this process stands.
  [[nodiscard]] std::uint32_t voting_count() const;
  void describe(timestamp now, std::uint32_t limit,
                wire::StatusReply &reply) const;

  /// The records of a partition's replica here, for tests and checkers.
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
    /// Processes that did not catch up in time, and when they were given up.
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
  /// Applies what is committed, follows changes of leadership, appends what
  /// the coordinator proposes, and sends the messages that result.
  void settle(partition_view &view, partition_id partition, replica &target,
              raft::outbox &out);
  void append(partition_view &view, replica &target,
              std::vector<programs::proposal> &proposals, raft::outbox &out);
  void apply_committed(partition_view &view, partition_id partition,
                       replica &target,
                       std::vector<programs::proposal> &proposals);
  void follow_leadership(partition_view &view, partition_id partition,
                         replica &target,
                         std::vector<programs::proposal> &proposals);
  void flush(partition_view &view, replica &target, raft::outbox &out);
  void maintain(partition_view &view, partition_id partition, replica &target,
                raft::outbox &out);
  std::optional<replica_id> voter_to_remove(partition_view &view,
                                            const replica &target) const;
  /// A voter that may go when there is one too many: one that shares its zone
  /// with another before any other.
  std::optional<replica_id> voter_in_shared_zone(const partition_view &view,
                                                 const replica &target) const;
  /// True when a voter's process surely or very probably never returns.
  bool some_voter_is_gone_for_good(const partition_view &view,
                                   const replica &target) const;
  static std::string zone_of(const partition_view &view,
                             const replica_id &voter);
  void add_replacement(partition_view &view, partition_id partition,
                       replica &target, raft::outbox &out);
  [[nodiscard]] bool should_replace(const partition_view &view,
                                    const replica_id &voter) const;

  /// Lets the coordinator act, then appends what it proposed.
  template <typename Action>
  void with_coordinator(partition_view &view, partition_id partition,
                        replica &target, Action action) {
    std::vector<programs::proposal> proposals;
    auto inner = coordinator_view_of(view, partition, target, proposals);
    action(inner);
    raft::outbox out;
    append(view, target, proposals, out);
    settle(view, partition, target, out);
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
