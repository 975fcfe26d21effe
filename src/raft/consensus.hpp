// Raft consensus (Ongaro 2014) for one replica of a partition's log: leader
// election with pre-vote, log replication, single-server membership changes and
// leadership transfer. The algorithm is Raft (Ongaro, 2014).
//
// Performs no I/O: time and random numbers are arguments, and messages are
// returned in an outbox. A replica without a disk never returns under its old
// identity, since its id contains the boot number; it rejoins through a logged
// change of the replica set. A replica with a disk stores its identity there in
// place of the boot number. What `take_unsaved` returns must be written before
// the messages of the outbox are sent, except a leader's append requests: these
// may precede the write, because entries count as committed only after others
// acknowledge them. Votes, acknowledgements and replies must wait for it.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heathtrestle::raft {

enum class role : std::uint8_t { follower, candidate, leader };

struct options {
  duration_ms heartbeat_interval{300};
  /// An election starts after one to two times this long without a leader.
  duration_ms election_timeout{1500};
  /// Used in place of `election_timeout` for the first election deadline of a
  /// replica that restarts with its disk; zero to use `election_timeout`.
  /// Replicas that follow a leader do not vote for it.
  duration_ms restart_election_timeout{0};
  /// Applied entries kept for lagging followers; a follower that lacks older
  /// ones needs a snapshot.
  std::size_t retained_entries = 256;
  /// The leader keeps up to this many applied entries while a peer lacks them
  /// or a snapshot is being sent to one; zero to keep no more than
  /// `retained_entries`.
  std::size_t lagging_peer_entries = 0;
  /// Limits on the encoded size of the same entries as `retained_entries` and
  /// `lagging_peer_entries`; zero for no limit.
  std::size_t retained_bytes = 0;
  std::size_t lagging_peer_bytes = 0;
  std::size_t entries_per_append = 128;
  /// A message takes entries until it reaches this size; zero for no limit.
  std::size_t bytes_per_append = 0;
  /// A follower that lacks more entries than this gets one message of entries
  /// at a time, so that its backlog does not saturate the link to the others;
  /// zero for no limit.
  std::size_t backlog_threshold = 0;
  /// A follower that was silent for longer gets heartbeats only, so that
  /// entries do not queue up for it; zero for no limit.
  duration_ms silent_peer_timeout{0};
  /// Interval at which entries are sent to a follower whose log end is not
  /// known; zero to send them with every proposal.
  duration_ms probe_interval{0};
  /// Entries count as in flight for this long before a heartbeat reply causes
  /// them to be resent; zero to resend them on every heartbeat reply.
  duration_ms resend_after{0};
  /// Entries sent to a follower beyond those it has acknowledged.
  std::size_t max_inflight_entries = 1024;
};

/// A message to one replica.
struct outgoing {
  replica_id to;
  wire::Envelope envelope;
};

/// A heartbeat to one follower; the sender batches heartbeats by peer.
struct outgoing_heartbeat {
  replica_id to;
  wire::Heartbeat heartbeat;
};

/// Messages to send after a step of the algorithm.
struct outbox {
  std::vector<outgoing> messages;
  std::vector<outgoing_heartbeat> heartbeats;
  /// Followers that need a snapshot because their next entry was compacted.
  std::vector<replica_id> snapshots_wanted;
};

/// Raft's persistent state besides the log.
struct hard_state {
  std::uint64_t term = 0;
  std::optional<replica_id> voted_for;
  /// Index of the last change of voters known to be committed. Without it a
  /// restarted replica would take a committed change for one in progress and
  /// wait for the acknowledgements of voters that no longer exist.
  std::uint64_t settled_voters = 0;
  bool operator==(const hard_state &) const = default;
};

/// The position before the first log entry: a snapshot covers the state up to
/// and including `index`.
struct log_base {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<replica_id> voters;
};

/// The state of a replica as read from disk.
struct saved_replica {
  hard_state hard;
  log_base base;
  std::vector<wire::LogEntry> entries; // from base.index + 1 on
  /// Index of the last entry included in the state machine's snapshot, at or
  /// after the base. Entries up to it are kept for followers that lack them.
  std::uint64_t applied = 0;
};

/// Changes to write to disk in one atomic step.
struct unsaved_changes {
  std::optional<hard_state> hard;
  /// Set when a snapshot that ends here replaced the log.
  std::optional<log_base> installed;
  /// Entries from this index on are invalid; 0 for none.
  std::uint64_t truncate_from = 0;
  /// Entries to append after the truncation.
  std::vector<const wire::LogEntry *> entries;

  [[nodiscard]] bool empty() const {
    return !hard && !installed && truncate_from == 0 && entries.empty();
  }
};

/// Reasons why an entry is not proposed.
enum class propose_error : std::uint8_t {
  not_leader,
  change_in_progress,
  term_not_established,
};

class consensus {
public:
  /// @param initial voters when the partition is created; empty for a replica
  /// that learns them from a leader's snapshot.
  consensus(partition_id partition, replica_id self,
            const std::vector<replica_id> &initial, options settings,
            timestamp now, std::uint64_t random);

  /// Restores a replica from disk.
  consensus(partition_id partition, replica_id self, saved_replica saved,
            options settings, timestamp now, std::uint64_t random);

  void tick(timestamp now, std::uint64_t random, outbox &out);

  /// Returns the changes since the last call. The entry pointers stay valid
  /// until any other non-const function is called.
  unsaved_changes take_unsaved();

  /// Makes the next `take_unsaved` return the base, for a log that was created
  /// rather than read from disk.
  void mark_base_unsaved() { base_is_unsaved_ = true; }

  /// Declares that a replica has permanently lost its disk, because its node
  /// came back under another identity. A dead replica never votes or
  /// acknowledges again: elections need fewer votes, and the node's new
  /// identity may replace it in a single membership change.
  void declare_dead(const replica_id &replica) { dead_.insert(replica); }

  void handle(const wire::VoteRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::VoteReply &reply, timestamp now, outbox &out);
  void handle(const wire::AppendRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::AppendReply &reply, timestamp now, outbox &out);
  /// @return the term for the reply to the heartbeat's sender.
  std::uint64_t handle(const replica_id &leader,
                       const wire::Heartbeat &heartbeat, timestamp now,
                       std::uint64_t random);
  void handle(const replica_id &follower, const wire::HeartbeatReply &reply,
              timestamp now, outbox &out);
  /// @return true when the caller must replace the state machine's state by the
  /// snapshot's.
  bool handle(const wire::SnapshotRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::TransferLeadership &request, timestamp now,
              std::uint64_t random, outbox &out);

  /// Appends a command. It is committed once `take_committed` returns its index
  /// while the term is still that of the proposal.
  result_or<log_index, propose_error> propose(wire::Command command,
                                              timestamp now, outbox &out);

  /// Records that a follower has acknowledged a part of a snapshot. This
  /// postpones a retry of the snapshot and keeps the entries that follow it.
  /// @param last_index last log index that the snapshot covers.
  void snapshot_progressed(const replica_id &follower, std::uint64_t last_index,
                           timestamp now);

  /// Starts replicating the log to a non-voting replica.
  void add_learner(replica_id learner, timestamp now, outbox &out);
  void drop_learner(const replica_id &learner);
  /// @return true when the learner lacks only a few entries of the log.
  [[nodiscard]] bool caught_up(const replica_id &learner) const;

  /// Proposes a replica set that differs from the current one in one replica,
  /// or in which a replica declared dead is replaced by its node's new
  /// identity.
  std::optional<propose_error>
  change_replicas(const std::vector<replica_id> &voters, timestamp now,
                  outbox &out);

  /// Transfers leadership to a voter in `eligible` that holds the whole log.
  /// @return false when there is no such voter.
  bool transfer_leadership(const std::set<replica_id> &eligible, outbox &out);

  /// Returns the entries committed since the last call, in order.
  /// @param most maximum number of entries; the next call returns the rest.
  std::vector<wire::LogEntry>
  take_committed(std::size_t most = std::numeric_limits<std::size_t>::max());
  /// True when `take_committed` has entries to return.
  [[nodiscard]] bool has_committed() const { return applied_ < commit_; }

  /// Returns the header of a snapshot of the applied state, to which the caller
  /// adds the state.
  [[nodiscard]] wire::SnapshotRequest snapshot_header() const;

  [[nodiscard]] role current_role() const { return role_; }
  [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
  /// True once an entry of the leader's own term is committed. Only then does
  /// the leader know every entry that its predecessors committed.
  [[nodiscard]] bool established() const;
  /// True when this replica leads after a leadership transfer.
  [[nodiscard]] bool elected_by_transfer() const {
    return role_ == role::leader && elected_by_transfer_;
  }
  /// True when a majority answered within the election timeout. After a
  /// suspension this is false for a leader even before it learns that it was
  /// deposed.
  [[nodiscard]] bool has_recent_quorum(timestamp now) const {
    return heard_from_majority(now, options_.election_timeout);
  }
  [[nodiscard]] term_id term() const { return term_id{term_}; }
  [[nodiscard]] log_index commit_index() const { return log_index{commit_}; }
  [[nodiscard]] log_index last_index() const { return log_index{last()}; }
  [[nodiscard]] std::size_t log_entries() const { return log_.size(); }
  /// Encoded size of the entries in memory.
  [[nodiscard]] std::size_t log_bytes() const { return log_bytes_; }
  [[nodiscard]] const std::vector<replica_id> &voters() const {
    return voters_;
  }
  /// The voters whose acknowledgements count towards a commit: the current set,
  /// and the previous one while a membership change is in progress.
  [[nodiscard]] std::vector<replica_id> counted_voters() const;
  [[nodiscard]] std::optional<replica_id> leader() const { return leader_; }
  [[nodiscard]] bool is_voter(const replica_id &replica) const;
  [[nodiscard]] bool is_learner(const replica_id &replica) const {
    return learners_.contains(replica);
  }
  [[nodiscard]] bool is_dead(const replica_id &replica) const {
    return dead_.contains(replica);
  }
  /// True while a change of the replica set is uncommitted.
  [[nodiscard]] bool change_in_progress() const {
    return voters_index_ > commit_;
  }
  /// The last index known to be replicated to a peer; 0 for an unknown peer.
  [[nodiscard]] std::uint64_t match_index(const replica_id &peer) const;
  /// The position before the first entry in memory.
  [[nodiscard]] log_base base() const;
  [[nodiscard]] std::uint64_t applied_index() const { return applied_; }
  /// The index, term and replica set of the last applied entry.
  [[nodiscard]] log_base applied_base() const;
  /// True when the committed replica set no longer contains this replica. It
  /// still keeps its log: a candidate that does not know of the removal may ask
  /// for its vote, and the vote is only safe when compared with the log.
  [[nodiscard]] bool retired() const;
  /// When this leader last received a message from `replica`; nothing for a
  /// replica that is not a peer.
  [[nodiscard]] std::optional<timestamp>
  last_heard(const replica_id &replica) const;

private:
  struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    /// The end of the peer's log, as given by its last refusal.
    std::optional<std::uint64_t> reported_last_index;
    timestamp last_heard{};
    timestamp snapshot_sent{};
    bool snapshot_pending = false;
    /// Last index of a snapshot being sent; 0 for none.
    std::uint64_t snapshot_index = 0;
    /// True until an acknowledgement shows how much of the log the peer holds.
    bool probing = true;
    timestamp last_probe{};
    /// When the oldest entries without a reply were sent.
    std::optional<timestamp> entries_sent{};
    /// The value of `match` at the last heartbeat reply.
    std::uint64_t match_at_heartbeat = 0;
    /// When the peer ceased to be a voter or learner. It remains a peer for a
    /// while so that it learns that its removal is committed.
    std::optional<timestamp> removed_at{};
  };

  [[nodiscard]] std::uint64_t last() const { return base_index_ + log_.size(); }
  [[nodiscard]] std::uint64_t term_at(std::uint64_t index) const;
  [[nodiscard]] std::uint64_t last_term() const { return term_at(last()); }
  [[nodiscard]] const wire::LogEntry &entry(std::uint64_t index) const;
  [[nodiscard]] std::size_t election_quorum() const {
    return election_quorum(voters_);
  }
  /// The votes that an election needs among some voters. If any of them are
  /// dead, votes of the others alone count.
  [[nodiscard]] std::size_t
  election_quorum(const std::vector<replica_id> &voters) const;
  /// Whether the votes received suffice among some voters.
  [[nodiscard]] bool is_elected_by(const std::vector<replica_id> &voters) const;
  /// The last index held by a majority; while a membership change is in
  /// progress, by a majority of the old and one of the new voters.
  [[nodiscard]] std::uint64_t quorum_match_index() const;
  /// @param exempt replicas that count as holding every entry.
  [[nodiscard]] std::uint64_t
  majority_match_index(const std::vector<replica_id> &voters,
                       const std::set<replica_id> &exempt) const;
  [[nodiscard]] bool heard_from_majority(timestamp now,
                                         duration_ms within) const;

  void become_follower(std::uint64_t term, timestamp now, std::uint64_t random);
  /// Follows the leader of a term that is not older than the current one.
  void follow(const replica_id &leader, std::uint64_t term, timestamp now,
              std::uint64_t random);
  void become_leader(timestamp now, outbox &out);
  void start_election(bool pre_vote, bool transfer, timestamp now,
                      std::uint64_t random, outbox &out);
  void count_votes(timestamp now, outbox &out);
  void reset_election_deadline(timestamp now, std::uint64_t random);
  void append(wire::LogEntry entry);
  void truncate_after(std::uint64_t index);
  void push_back(wire::LogEntry entry);
  void refresh_voters();
  /// The first entry to send to a peer when nothing is in flight.
  [[nodiscard]] std::uint64_t first_unsent(const progress &state) const;
  void replicate(timestamp now, outbox &out);
  void replicate_to(const replica_id &peer, timestamp now, outbox &out);
  void advance_commit(timestamp now);
  void compact();
  /// The last applied entry older than the newest `entries` ones, or than the
  /// newest `bytes` bytes if that is fewer; zero bytes for no limit.
  [[nodiscard]] std::uint64_t
  index_before_newest_applied(std::size_t entries, std::size_t bytes) const;
  /// The last entry that compaction may drop.
  [[nodiscard]] std::uint64_t compaction_index() const;
  /// Marks peers that are no longer in the committed set, and drops them after
  /// a while.
  void drop_removed_peers(timestamp now);
  void send(const replica_id &to, wire::Envelope envelope, outbox &out) const;

  partition_id partition_;
  replica_id self_;
  options options_;

  role role_ = role::follower;
  std::uint64_t term_ = 0;
  std::optional<replica_id> voted_for_;
  std::optional<replica_id> leader_;

  // log_[i] has index base_index_ + 1 + i.
  std::deque<wire::LogEntry> log_;
  std::deque<std::size_t> entry_bytes_; // encoded sizes of the entries
  std::size_t log_bytes_ = 0;           // sum of entry_bytes_
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::vector<replica_id> base_voters_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::uint64_t term_start_index_ = 0;

  std::vector<replica_id> voters_;
  std::uint64_t voters_index_ = 0;
  /// The voters before the entry at voters_index_.
  std::vector<replica_id> previous_voters_;
  std::set<replica_id> dead_;

  // What is on disk.
  hard_state saved_hard_;
  std::uint64_t saved_through_ = 0;
  std::uint64_t truncated_from_ = 0;
  bool base_is_unsaved_ = false;

  bool pre_vote_round_ = false;
  /// True when a leadership transfer started the last election.
  bool elected_by_transfer_ = false;
  std::set<replica_id> votes_;
  timestamp election_deadline_{};
  timestamp next_heartbeat_{};
  timestamp leader_heard_{};
  std::map<replica_id, progress> peers_;
  std::set<replica_id> learners_;
};

} // namespace heathtrestle::raft
