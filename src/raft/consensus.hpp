// One replica of a partition's log: leader election with pre-vote, log
// replication, single-replica membership changes and leadership transfer.
//
// Pure: time and random numbers are passed in, messages come out of an outbox.
// The algorithm is Raft (Ongaro 2014). A replica that keeps no disk never
// returns under its old identity, since a replica id contains the boot number;
// it joins again through a logged change of the replica set. A replica that
// keeps a disk puts its identity there in place of the boot number, and writes
// what `take_unsaved` yields before anything else of the outbox leaves it.
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
  /// An election starts after a silence of one to two of these.
  duration_ms election_timeout{1500};
  /// A replica that returns with its disk stands for election after one to two
  /// of these when it hears of no leader; zero for the usual time. Those that
  /// follow a leader do not vote for it.
  duration_ms restart_election_timeout{0};
  /// Applied entries kept for followers that lag; older ones need a snapshot.
  std::size_t retained_entries = 256;
  /// A leader keeps up to so many applied entries while a peer that it hears of
  /// lacks them, or a snapshot is under way to one; zero to keep no more than
  /// `retained_entries` for them.
  std::size_t lagging_peer_entries = 0;
  /// Encoded size of the applied entries that are kept, and that a leader keeps
  /// at most for peers that lack them; zero for no limit but the numbers above.
  std::size_t retained_bytes = 0;
  std::size_t lagging_peer_bytes = 0;
  std::size_t entries_per_append = 128;
  /// A message of entries ends with the one that brings it to this size; zero
  /// for no limit.
  std::size_t bytes_per_append = 0;
  /// A follower that lacks more entries than this gets one message of them at a
  /// time, so that its backlog leaves the link to the others; zero for no
  /// limit.
  std::size_t backlog_threshold = 0;
  /// A follower that was silent for longer gets heartbeats only, so that
  /// nothing piles up on the way to it; zero for no limit.
  duration_ms silent_peer_timeout{0};
  /// While it is not known how far a follower's log reaches, it gets entries
  /// once in this long; zero to send them with every proposal.
  duration_ms probe_interval{0};
  /// Entries that were sent count as under way for so long before they are
  /// sent again unasked; zero to send them with every heartbeat's answer.
  duration_ms resend_after{0};
  /// Entries sent to a follower beyond those that it has acknowledged.
  std::size_t max_inflight_entries = 1024;
};

/// A message to one replica.
struct outgoing {
  replica_id to;
  wire::Envelope envelope;
};

/// A heartbeat to one follower; the sender joins them by peer.
struct outgoing_heartbeat {
  replica_id to;
  wire::Heartbeat heartbeat;
};

/// What a step of the algorithm wants sent.
struct outbox {
  std::vector<outgoing> messages;
  std::vector<outgoing_heartbeat> heartbeats;
  /// Followers whose next entry has been dropped: send them the state.
  std::vector<replica_id> snapshots_wanted;
};

/// What a replica must not forget, besides its log.
struct hard_state {
  std::uint64_t term = 0;
  std::optional<replica_id> voted_for;
  /// The last change of voters that was known to be committed, as the index of
  /// its entry. Without it a replica that returns would take a change that is
  /// long in force for one under way, and wait for voters that are gone.
  std::uint64_t settled_voters = 0;
  bool operator==(const hard_state &) const = default;
};

/// Where the log begins: the state up to here is in a snapshot.
struct log_base {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<replica_id> voters;
};

/// A replica as it was written to disk.
struct saved_replica {
  hard_state hard;
  log_base base;
  std::vector<wire::LogEntry> entries; // from base.index + 1 on
  /// What the state machine's snapshot holds; the entries up to here are kept
  /// for followers that lack them. At the base or behind it.
  std::uint64_t applied = 0;
};

/// What is to be written to disk, in one step that takes effect whole.
struct unsaved_changes {
  std::optional<hard_state> hard;
  /// The log was replaced by a snapshot that ends here.
  std::optional<log_base> installed;
  /// Everything at this index and behind it is void; 0 for nothing.
  std::uint64_t truncate_from = 0;
  /// To be added after the truncation.
  std::vector<const wire::LogEntry *> entries;

  [[nodiscard]] bool empty() const {
    return !hard && !installed && truncate_from == 0 && entries.empty();
  }
};

/// Why an entry was not proposed.
enum class propose_error : std::uint8_t {
  not_leader,
  change_in_progress,
  term_not_established,
};

class consensus {
public:
  /// @param initial voters at the partition's birth; empty for a replica that
  /// learns them from a leader's snapshot.
  consensus(partition_id partition, replica_id self,
            const std::vector<replica_id> &initial, options settings,
            timestamp now, std::uint64_t random);

  /// A replica that returns with its disk.
  consensus(partition_id partition, replica_id self, saved_replica saved,
            options settings, timestamp now, std::uint64_t random);

  void tick(timestamp now, std::uint64_t random, outbox &out);

  /// Changes since the last call. The entries stay valid until the next call
  /// of any other function.
  unsaved_changes take_unsaved();

  /// Has the base of a log that was made, not read, written as a whole.
  void mark_base_unsaved() { base_is_unsaved_ = true; }

  /// Tells that a replica has lost its disk: its node came back under another
  /// identity. It can never vote or acknowledge again, so elections need fewer
  /// votes, and its node's new identity may take its place in one change.
  void declare_dead(const replica_id &replica) { dead_.insert(replica); }

  void handle(const wire::VoteRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::VoteReply &reply, timestamp now, outbox &out);
  void handle(const wire::AppendRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::AppendReply &reply, timestamp now, outbox &out);
  /// @return the reply's term for the sender of the heartbeat.
  std::uint64_t handle(const replica_id &leader,
                       const wire::Heartbeat &heartbeat, timestamp now,
                       std::uint64_t random);
  void handle(const replica_id &follower, const wire::HeartbeatReply &reply,
              timestamp now, outbox &out);
  /// @return true when the snapshot's state must replace the state machine's.
  bool handle(const wire::SnapshotRequest &request, timestamp now,
              std::uint64_t random, outbox &out);
  void handle(const wire::TransferLeadership &request, timestamp now,
              std::uint64_t random, outbox &out);

  /// Appends a command. Its index is committed once `take_committed` yields
  /// it in the term of the proposal.
  result_or<log_index, propose_error> propose(wire::Command command,
                                              timestamp now, outbox &out);

  /// Tells that a snapshot is on its way to a follower, which has just
  /// acknowledged a part of it: another one is not wanted meanwhile, and the
  /// entries behind it are kept.
  /// @param last_index where that snapshot ends.
  void snapshot_progressed(const replica_id &follower, std::uint64_t last_index,
                           timestamp now);

  /// Starts sending the log to a replica that does not vote yet.
  void add_learner(replica_id learner, timestamp now, outbox &out);
  void drop_learner(const replica_id &learner);
  /// @return true when the learner holds nearly the whole log.
  [[nodiscard]] bool caught_up(const replica_id &learner) const;

  /// Replaces the replica set by one that differs in one replica, or in which
  /// a replica that was declared dead gives way to its node's new identity.
  std::optional<propose_error>
  change_replicas(const std::vector<replica_id> &voters, timestamp now,
                  outbox &out);

  /// Hands leadership to the most advanced voter for which `eligible` holds.
  /// @return false when no such voter is up to date.
  bool transfer_leadership(const std::set<replica_id> &eligible, outbox &out);

  /// Entries committed since the last call, in order.
  /// @param most no more than so many at once; the rest with the next call.
  std::vector<wire::LogEntry>
  take_committed(std::size_t most = std::numeric_limits<std::size_t>::max());
  /// True when committed entries wait to be taken.
  [[nodiscard]] bool has_committed() const { return applied_ < commit_; }

  /// The header of a snapshot of the applied state; the caller adds the state.
  [[nodiscard]] wire::SnapshotRequest snapshot_header() const;

  [[nodiscard]] role current_role() const { return role_; }
  [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
  /// True once an entry of the leader's own term is committed: only then does
  /// the leader know every entry that its predecessors committed.
  [[nodiscard]] bool established() const;
  /// True when the leader of the term before handed this replica the lead.
  [[nodiscard]] bool elected_by_transfer() const {
    return role_ == role::leader && stood_on_request_;
  }
  /// True when a majority answered within an election's time. A leader that
  /// stood still fails this on waking, before it has heard that it was deposed.
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
  /// The voters whose acknowledgements count: of the present set, and while a
  /// change is under way of the set before it.
  [[nodiscard]] std::vector<replica_id> counted_voters() const;
  [[nodiscard]] std::optional<replica_id> leader() const { return leader_; }
  [[nodiscard]] bool is_voter(const replica_id &replica) const;
  [[nodiscard]] bool is_learner(const replica_id &replica) const {
    return learners_.contains(replica);
  }
  [[nodiscard]] bool is_dead(const replica_id &replica) const {
    return dead_.contains(replica);
  }
  /// True while a change of the replica set is not committed.
  [[nodiscard]] bool change_in_progress() const {
    return voters_index_ > commit_;
  }
  /// The last index known to be held by a peer; 0 for an unknown one.
  [[nodiscard]] std::uint64_t match_index(const replica_id &peer) const;
  /// Where the log in memory begins.
  [[nodiscard]] log_base base() const;
  [[nodiscard]] std::uint64_t applied_index() const { return applied_; }
  /// The replica set as of the last applied entry.
  [[nodiscard]] log_base applied_base() const;
  /// True when this replica knows that it is out of the committed set. It
  /// keeps its log all the same: a candidate that has not heard of the removal
  /// could still ask for its vote, and only the log makes that vote safe.
  [[nodiscard]] bool retired() const;
  /// When the leader last heard from `replica`.
  [[nodiscard]] std::optional<timestamp>
  last_heard(const replica_id &replica) const;

private:
  struct progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    /// Where the peer's log ends, as its last refusal told.
    std::optional<std::uint64_t> told;
    timestamp last_heard{};
    timestamp snapshot_sent{};
    bool snapshot_pending = false;
    /// Where a snapshot that is under way ends; 0 for none.
    std::uint64_t snapshot_index = 0;
    /// Set until an acknowledgement tells how far the peer's log reaches.
    bool probing = true;
    timestamp probed{};
    /// When entries were last sent that nothing has been heard of.
    std::optional<timestamp> entries_sent{};
    /// What the peer held at the last heartbeat.
    std::uint64_t match_at_heartbeat = 0;
    /// Set when the peer is neither a voter nor a learner any more; it is told
    /// the commit of its removal for a while.
    std::optional<timestamp> removed_at{};
  };

  [[nodiscard]] std::uint64_t last() const { return base_index_ + log_.size(); }
  [[nodiscard]] std::uint64_t term_at(std::uint64_t index) const;
  [[nodiscard]] std::uint64_t last_term() const { return term_at(last()); }
  [[nodiscard]] const wire::LogEntry &entry(std::uint64_t index) const;
  [[nodiscard]] std::size_t majority() const { return voters_.size() / 2 + 1; }
  [[nodiscard]] std::size_t election_quorum() const;
  /// The last index that may be committed by counting; with a change of voters
  /// under way a majority of the old and one of the new ones hold it.
  [[nodiscard]] std::uint64_t held_by_majorities() const;
  /// @param exempt replicas that count as if they held everything.
  [[nodiscard]] std::uint64_t
  held_by_majority(const std::vector<replica_id> &voters,
                   const std::set<replica_id> &exempt) const;
  [[nodiscard]] bool heard_from_majority(timestamp now,
                                         duration_ms within) const;

  void become_follower(std::uint64_t term, timestamp now, std::uint64_t random);
  /// Accepts the leader of a term that is not older than the own.
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
  /// The first entry that a peer may lack, when nothing is under way to it.
  [[nodiscard]] std::uint64_t first_unsent(const progress &state) const;
  void replicate(timestamp now, outbox &out);
  void replicate_to(const replica_id &peer, timestamp now, outbox &out);
  void advance_commit(timestamp now);
  void compact();
  /// The last applied entry that is not among the latest that come to so many
  /// entries and bytes; zero bytes for no limit.
  [[nodiscard]] std::uint64_t applied_before_last(std::size_t entries,
                                                  std::size_t bytes) const;
  /// The last entry that may be dropped although peers lag.
  [[nodiscard]] std::uint64_t dropped_up_to() const;
  /// Marks peers that are out of the committed set, and forgets them later.
  void forget_removed(timestamp now);
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
  std::deque<std::size_t> entry_bytes_; // their encoded sizes
  std::size_t log_bytes_ = 0;           // the sum of these
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

  // What the disk holds.
  hard_state saved_hard_;
  std::uint64_t saved_through_ = 0;
  std::uint64_t truncated_from_ = 0;
  bool base_is_unsaved_ = false;

  bool pre_vote_round_ = false;
  /// The last election was asked for by the leader of that time.
  bool stood_on_request_ = false;
  std::set<replica_id> votes_;
  timestamp election_deadline_{};
  timestamp next_heartbeat_{};
  timestamp leader_heard_{};
  std::map<replica_id, progress> peers_;
  std::set<replica_id> learners_;
};

} // namespace heathtrestle::raft
