// The replicated state machine of one storage node: consensus, membership,
// snapshots and the record table, driven only by messages and the time passed
// in. It performs no I/O, reads no clock and draws no randomness; a step
// returns the effects that the caller carries out.
//
// Order of the effects of a step: send the early messages, write the changes to
// disk, then send the other messages. Only a leader's append requests are
// early, because entries count as committed only after others acknowledge them.
// Votes, acknowledgements and replies are sent after the state that they
// promise is durable.
#pragma once

#include "base/time.hpp"
#include "logging/event_catalogue.hpp"
#include "raft/consensus.hpp"
#include "records/load_reports.hpp"
#include "records/membership_plan.hpp"
#include "records/permit_allocator.hpp"
#include "records/quota_clock.hpp"
#include "records/record_table.hpp"
#include "records/recovered_state.hpp"
#include "records/request_counts.hpp"
#include "records/snapshot_transfer.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace heathtrestle::records {

struct record_node_options {
  raft::options raft{.heartbeat_interval = duration_ms{100},
                     .election_timeout = duration_ms{350},
                     .restart_election_timeout = duration_ms{150},
                     .retained_entries = 512,
                     .lagging_peer_entries = 2048,
                     .retained_bytes = std::size_t{2} << 20U,
                     .lagging_peer_bytes = std::size_t{8} << 20U,
                     .entries_per_append = 64,
                     .bytes_per_append = 96U << 10U,
                     .backlog_threshold = 64,
                     .silent_peer_timeout = duration_ms{700},
                     .probe_interval = duration_ms{50},
                     .resend_after = duration_ms{600},
                     .max_inflight_entries = 256};
  /// Maximum number of committed entries applied in one step. It keeps a
  /// restarted node responsive while it applies its whole log.
  std::size_t entries_per_step = 64;
  snapshot_transfer_options snapshots;
  group_size size;
  /// Index of this partition of the record group. Each partition prefers
  /// different nodes for its leader and its replicas.
  std::uint32_t partition = 0;
  std::uint32_t partitions = 1;
  /// Minimum time between two proposals of a leader; requests that arrive
  /// meanwhile share the next log entry. Zero proposes immediately.
  duration_ms batch_interval{0};
  /// A leader that is not the preferred voter attempts to transfer leadership
  /// after leading for this long.
  duration_ms transfer_delay{2000};
  /// A leader that received its leadership by transfer keeps it for at least
  /// this long. Nodes with different member lists prefer different leaders and
  /// would otherwise transfer leadership back and forth.
  duration_ms keep_received_leadership{20000};
  /// A node that has sent nothing for this long counts as unreachable.
  duration_ms liveness_timeout{800};
  /// A voter that has sent nothing for this long is replaced by a spare node.
  duration_ms replace_after{1500};
  /// A voter that has sent nothing for this long leaves the group if no node
  /// can take its place. Longer than `replace_after`, so that a node which is
  /// found meanwhile takes its place instead.
  duration_ms gone_after{3000};
  duration_ms hello_interval{300};
  /// Interval of hello messages of a node without a replica of this partition
  /// that has a valid leader hint; it sends them to the leader only, so that
  /// the leader knows it as a candidate.
  duration_ms idle_hello_interval{500};
  /// A new leader adds spare nodes only after leading for this long, so that
  /// restarting nodes with intact disks have time to return.
  duration_ms recruit_after{0};
};

/// A message and its destination address ("ip:port").
struct addressed_message {
  std::string address;
  wire::Envelope envelope;
};

/// An event to be written to the process log.
struct logged_event {
  logging::event number;
  std::string detail;
};

/// The I/O requested by one step.
struct record_effects {
  std::vector<addressed_message> early;
  raft::unsaved_changes write;
  /// Set when `write` installs a snapshot.
  std::optional<wire::RecordSnapshot> installed;
  /// Turns with their bodies. They must be stored before any message that names
  /// them is sent, and must outlive the log entries or the snapshot that
  /// carried them.
  std::vector<wire::RecordTurn> kept;
  /// Turns whose bodies can be deleted once the messages of this step are sent.
  std::vector<std::string> dropped;
  /// Set when the member list has changed and must be written.
  std::optional<wire::RecordMembers> members;
  /// Turns in these messages carry no bodies; the caller adds them from
  /// `turn_bodies`.
  std::vector<addressed_message> messages;
  std::vector<logged_event> log;
};

/// A message, and when it reached this process.
struct arrived_message {
  wire::Envelope envelope;
  timestamp arrived{};
};

class record_node {
public:
  /// @param self name, address and zone of this node; its replica id is
  /// replaced by the identity stored on disk.
  record_node(wire::RecordMember self, recovered_state recovered,
              record_node_options options, timestamp now, std::uint64_t random);

  /// Creates a new group with this node as its only voter. Only the one process
  /// that the object store names as founder may call this.
  void bootstrap(timestamp now, std::uint64_t random);
  [[nodiscard]] bool has_group() const {
    return log_.has_value() && !log_->voters().empty();
  }

  /// Queues a message for the next `step`.
  void receive(arrived_message message);
  /// Adds storage nodes listed by the object store or by a peer.
  void learn_members(const wire::RecordMembers &members);
  /// Sets the names of the nodes that the operator wants to remove.
  void set_retiring(std::set<std::string> names) {
    retiring_ = std::move(names);
  }

  /// Processes all queued messages and timers, up to the write to disk.
  /// @param wall_ms wall-clock time in milliseconds, recorded in proposed
  /// entries.
  record_effects step(timestamp now, std::uint64_t wall_ms,
                      std::uint64_t random);
  /// Second half of a step, to be called after the write is durable: applies
  /// committed entries and creates the replies.
  record_effects after_write(timestamp now);

  /// True when committed entries remain to be applied by another step.
  [[nodiscard]] bool has_more_to_apply() const { return log_->has_committed(); }
  /// Counts since the last call.
  request_counts take_request_counts() {
    return std::exchange(request_counts_, {});
  }
  /// Time at which a step is due to propose the queued requests; nothing when
  /// none are queued or they cannot be proposed now.
  [[nodiscard]] std::optional<timestamp> batch_due() const;

  /// Names of the retiring nodes that can be shut down while the group still
  /// tolerates the configured losses. Empty unless this node leads.
  [[nodiscard]] std::set<std::string> removable_nodes(timestamp now) const;
  [[nodiscard]] bool is_leader() const {
    return log_.has_value() && log_->is_leader();
  }
  /// True while this node leads, follows a leader, or has a valid leader hint.
  [[nodiscard]] bool knows_leader(timestamp now) const;
  [[nodiscard]] const record_table &table() const { return table_; }
  [[nodiscard]] const raft::consensus *log() const {
    return log_ ? &*log_ : nullptr;
  }
  [[nodiscard]] wire::RecordMembers members() const;
  [[nodiscard]] const wire::RecordMember &self() const { return self_; }
  [[nodiscard]] const replica_id &self_id() const { return self_id_; }

private:
  struct member {
    wire::RecordMember record;
    timestamp heard{};
  };
  /// The sender of a request item whose outcome is pending.
  struct request_origin {
    std::string reply_to;
    std::uint64_t id = 0;
    std::uint64_t members_hash = 0;
    timestamp received{};
    /// When its caller stops waiting; the epoch when nobody waits.
    timestamp answer_by{};

    [[nodiscard]] bool is_late(timestamp now) const {
      return answer_by != timestamp{} && now >= answer_by;
    }
  };

  void reduce(arrived_message &message, timestamp now, std::uint64_t random,
              raft::outbox &out);
  void on_request(const wire::RecordRequest &request, timestamp arrived,
                  timestamp now);
  /// Returns where and by when an item is to be answered.
  static request_origin origin_of(const wire::RecordRequest &request,
                                  const wire::RecordRequestItem &item,
                                  timestamp arrived);
  /// Marks a request item as pending.
  /// @return false when it is pending already, i.e. this is a retransmission.
  bool register_request(const std::string &reply_to, std::uint64_t id);
  void on_hello(const wire::RecordHello &hello, timestamp now);
  void on_snapshot(wire::SnapshotRequest &part, timestamp now,
                   std::uint64_t random, raft::outbox &out);
  void on_snapshot_progress(const wire::SnapshotProgress &progress,
                            timestamp now);
  /// Sends the next part of a snapshot when one is due.
  void send_snapshot(timestamp now);
  void update_last_heard(const replica_id &from, timestamp now);
  void learn_member(const wire::RecordMember &record, timestamp now);
  /// Drops requests for turns and histories whose callers have stopped
  /// waiting. A grant that nobody hears would hold its program's budget until
  /// its cancellation is recorded.
  void drop_late_proposals(timestamp now);
  void propose_batch(timestamp now, std::uint64_t wall_ms, raft::outbox &out);
  /// Proposes the quota reservations that the pending permit requests need.
  void propose_quota_reservations(timestamp now);
  /// True once this leader has applied all entries of earlier terms. Only then
  /// are its quota accounts and the quota time of the partition complete.
  [[nodiscard]] bool has_current_quotas() const;
  /// Drops the permits reserved in another term, refuses the permit requests
  /// that wait, and discards reservations not proposed yet.
  void clear_permit_requests(timestamp now);
  /// Sends the outcomes of permit requests.
  void send_permits(timestamp now, record_effects &effects);
  void refuse(const wire::RecordRequest &request, timestamp now);
  /// Stores the leader address reported by another node; empty when that node
  /// knows none.
  void on_leader_hint(const std::string &leader, const std::string &reported_by,
                      timestamp now);
  /// True while the last leader hint is recent enough to be used.
  [[nodiscard]] bool has_leader_hint(timestamp now) const;
  /// Replies to a request without items, by which a gateway checks that this
  /// leader is reachable.
  void answer_probe(const wire::RecordRequest &request);
  void send_hello(timestamp now);
  void maintain_membership(timestamp now, raft::outbox &out);
  void apply_change(const membership_change &change, timestamp now,
                    raft::outbox &out);
  /// Whether a learner holds enough of the log to become a voter.
  [[nodiscard]] bool may_become_voter(const replica_id &learner) const;
  [[nodiscard]] std::vector<node_view> node_views(timestamp now) const;
  /// The preference of this partition for each node. Nodes are ranked in the
  /// order of their ids, starting at an offset that differs by partition.
  [[nodiscard]] std::map<node_id, std::uint64_t> preferences() const;
  /// The available voter with the highest preference.
  [[nodiscard]] std::optional<replica_id> preferred_voter(timestamp now) const;
  /// Transfers leadership to the preferred voter when that is due.
  void transfer_to_preferred_voter(timestamp now);
  /// True while this new leader is likely to transfer leadership soon. It
  /// should not start a snapshot transfer that the next leader would restart.
  [[nodiscard]] bool may_transfer_soon(timestamp now) const;
  /// True while a learner or a lagging voter is being brought up to date.
  [[nodiscard]] bool has_incomplete_replica(timestamp now) const;
  /// Starts a leadership transfer: proposals stop until all entries are
  /// committed and one of `eligible` can be asked to start an election.
  void begin_transfer(std::set<replica_id> eligible, timestamp now);
  void continue_transfer(timestamp now, raft::outbox &out);
  /// Refuses the queued requests, naming the current leader to their senders.
  void redirect_proposals(timestamp now);
  void queue_messages(raft::outbox &out, record_effects &effects);
  void send_outcomes(std::uint64_t index,
                     const std::vector<wire::RecordReplyItem> &outcomes,
                     timestamp now, record_effects &effects);
  /// Sends a reply that needs no log entry.
  void send_reply(const std::string &address, std::uint64_t known_members,
                  wire::RecordReply reply, timestamp now);
  /// Adds the leader address, seen revisions, member list and load reports that
  /// replies to this address carry.
  void add_common_fields(wire::RecordReply &reply, const std::string &address,
                         std::uint64_t known_members, timestamp now);
  void update_leadership(timestamp now);
  /// Declares a replica dead when its node has come back with another identity,
  /// i.e. has lost its disk.
  void detect_dead_replicas(timestamp now);
  /// True when another identity of the replica's node was heard lately.
  [[nodiscard]] bool has_successor(const replica_id &id, timestamp now) const;
  /// Called after each change of `members_`.
  void on_members_changed();
  [[nodiscard]] std::uint64_t members_hash();
  /// Time of the last message from a replica; the start of this process for a
  /// voter that is not in the member list.
  [[nodiscard]] timestamp last_heard(const replica_id &id) const;
  /// Removes members without a vote that have been silent for long, so that no
  /// messages are sent to them.
  void forget_lost_members(timestamp now);
  [[nodiscard]] std::string address_of(const replica_id &replica) const;
  [[nodiscard]] std::string leader_address() const;
  void send(std::string address, wire::Envelope envelope);
  void log_event(logging::event number, std::string detail);

  wire::RecordMember self_;
  replica_id self_id_;
  record_node_options options_;
  record_table table_;
  std::optional<raft::consensus> log_;
  std::map<replica_id, member> members_;
  bool members_changed_ = false;
  /// Empty when `members_` has changed since it was computed.
  std::optional<std::uint64_t> members_hash_;
  std::set<std::string> retiring_;
  wire::SeenRevisions seen_;
  load_reports loads_;
  permit_allocator permits_;
  /// The term for which `permits_` is valid.
  term_id permits_term_{};
  quota_clock quota_clock_;
  /// Term of the last applied entry.
  term_id applied_term_{};
  /// Gateways that have sent a load report and are due one in return.
  std::set<std::string> pending_load_replies_;

  std::vector<arrived_message> inbox_;
  std::vector<std::pair<request_origin, wire::RecordChange>> proposals_;
  std::map<std::uint64_t, std::vector<request_origin>>
      requesters_; // by log index
  /// Hashes of the request items in `proposals_`, `requesters_` and `permits_`.
  std::unordered_set<std::uint64_t> pending_requests_;
  request_counts request_counts_;
  std::vector<addressed_message> outgoing_;
  std::vector<logged_event> events_;
  std::optional<wire::RecordSnapshot> installed_;
  std::vector<wire::RecordTurn> arrived_turns_; // from snapshot parts
  std::vector<replica_id> learners_;
  snapshot_sender sender_;
  snapshot_receiver receiver_;
  bool was_leader_ = false;
  timestamp started_;
  timestamp next_hello_{};
  timestamp leader_heard_{};
  /// The leader's address as reported by another node, for nodes that the
  /// leader does not replicate to.
  std::string leader_hint_;
  timestamp leader_hint_at_{};
  timestamp leading_since_{};
  timestamp next_transfer_{};
  /// Candidates of the leadership transfer in progress, and its deadline.
  std::set<replica_id> transfer_targets_;
  bool transfer_requested_ = false;
  timestamp transfer_deadline_{};
  timestamp proposed_{};
};

/// Hash of a member list; a list is sent only to peers that hold a different
/// one.
std::uint64_t hash_of(const wire::RecordMembers &members);

} // namespace heathtrestle::records
