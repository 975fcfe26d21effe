// One storage node of the record group: a reducer over messages and time. What
// is to be done comes out as effects; it does no I/O, reads no clock and draws
// no randomness.
//
// A step is carried out in this order: send the early messages, write the
// changes to disk, then send the rest. Early are only a leader's entries, which
// count for nothing until others acknowledge them; votes, acknowledgements and
// answers leave after the disk has what they promise.
#pragma once

#include "base/time.hpp"
#include "logging/event_catalogue.hpp"
#include "raft/consensus.hpp"
#include "records/group_plan.hpp"
#include "records/load_reports.hpp"
#include "records/permit_allocator.hpp"
#include "records/quota_clock.hpp"
#include "records/record_table.hpp"
#include "records/snapshot_transfer.hpp"
#include "storage/log_storage.hpp"
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
  /// Committed entries that one step applies at the most: a node that is back
  /// has its whole log to apply, and must speak to the others meanwhile.
  std::size_t entries_per_step = 64;
  snapshot_transfer_options snapshots;
  group_size size;
  /// Which partition of the record group this is. Where there are several, the
  /// leaderships and replicas of each prefer other nodes.
  std::uint32_t partition = 0;
  std::uint32_t partitions = 1;
  /// Questions that come within this long of the last entry are joined into the
  /// next one; zero proposes at once.
  duration_ms join_interval{0};
  /// A leader leaves the lead to the preferred voter after this long.
  duration_ms yield_after{2000};
  /// One that was handed the lead keeps it for this long: nodes that know other
  /// members prefer other leaders, and would hand it to and fro.
  duration_ms keep_handed_lead{20000};
  /// A node not heard from for this long is not counted as alive.
  duration_ms alive_for{800};
  /// A voter silent for this long gives way to a spare node.
  duration_ms replace_after{1500};
  duration_ms hello_interval{300};
  /// A node that is told who leads, but is not sent to, says hello to the
  /// leader alone, this often: he may need it one day.
  duration_ms idle_hello_interval{500};
  /// A new leader looks for spare nodes only after this long, so that those
  /// which are coming back with their disks are not taken for lost.
  duration_ms recruit_after{0};
};

/// A message to an address ("ip:port").
struct addressed_message {
  std::string address;
  wire::Envelope envelope;
};

/// A line for the log.
struct logged_event {
  logging::event number;
  std::string detail;
};

/// What one step wants done.
struct record_effects {
  std::vector<addressed_message> early;
  raft::unsaved_changes write;
  /// Set when `write` installs a snapshot.
  std::optional<wire::RecordSnapshot> installed;
  /// Whole turns that are to be kept on the disk, before any message that names
  /// them is sent; they have to last when the log or a snapshot that brought
  /// them is dropped.
  std::vector<wire::RecordTurn> kept;
  /// Turns that no message names any more once those of this step are sent.
  std::vector<std::string> dropped;
  /// Set when the member list is to be written.
  std::optional<wire::RecordMembers> members;
  /// Turns that they name are filled in from `turn_bodies`.
  std::vector<addressed_message> messages;
  std::vector<logged_event> log;
};

/// Questions that a leader was asked.
struct question_counts {
  std::uint64_t taken = 0;
  /// Copies of questions that are being answered already.
  std::uint64_t repeated = 0;
  /// Those of `taken` that needed no entry of the log.
  std::uint64_t settled = 0;
};

class record_node {
public:
  /// @param self how others know this node; its replica carries the identity
  /// that its disk has.
  record_node(wire::RecordMember self, storage::recovered_state recovered,
              record_node_options options, timestamp now, std::uint64_t random);

  /// Makes this node the group's first voter. Only for the one process that
  /// the object store has named as founder.
  void found(timestamp now, std::uint64_t random);
  [[nodiscard]] bool has_group() const {
    return log_.has_value() && !log_->voters().empty();
  }

  /// Takes in messages; the time is given by the next `step`.
  void receive(wire::Envelope envelope);
  /// Storage nodes that the object store or a peer knows of.
  void learn_members(const wire::RecordMembers &members);
  /// Names of the nodes whose machines are to be emptied.
  void set_retiring(std::set<std::string> names) {
    retiring_ = std::move(names);
  }

  /// Reduces all that has come in, up to the write.
  /// @param wall_ms time of day, stamped on what is proposed.
  record_effects step(timestamp now, std::uint64_t wall_ms,
                      std::uint64_t random);
  /// Goes on when the write is durable: applies what is committed.
  record_effects after_write(timestamp now);

  /// True when committed entries wait to be applied by another step.
  [[nodiscard]] bool has_more_to_apply() const { return log_->has_committed(); }
  /// Questions since the last call.
  question_counts take_question_counts() {
    return std::exchange(question_counts_, {});
  }
  /// When questions that wait to be joined are to be proposed by a step.
  [[nodiscard]] std::optional<timestamp> joined_due() const;

  /// Retiring nodes without which the group bears all that it promises to bear;
  /// known to its leader alone.
  [[nodiscard]] std::set<std::string> emptied(timestamp now) const;
  [[nodiscard]] bool is_leader() const {
    return log_.has_value() && log_->is_leader();
  }
  /// True while this node leads, follows, or has been told lately who leads.
  [[nodiscard]] bool in_touch(timestamp now) const;
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
  /// Who asked for a change that is in the log.
  struct asker {
    std::string reply_to;
    std::uint64_t id = 0;
    std::uint64_t members_hash = 0;
  };

  void reduce(wire::Envelope &envelope, timestamp now, std::uint64_t random,
              raft::outbox &out);
  void on_request(const wire::RecordRequest &request, timestamp now);
  /// @return false when the question is being answered already: whoever asks
  /// again is only impatient.
  bool take_up(const std::string &reply_to, std::uint64_t id);
  void on_hello(const wire::RecordHello &hello, timestamp now);
  void on_snapshot(wire::SnapshotRequest &part, timestamp now,
                   std::uint64_t random, raft::outbox &out);
  void on_snapshot_progress(const wire::SnapshotProgress &progress,
                            timestamp now);
  /// Sends the part of a snapshot that is due, if any.
  void send_snapshot(timestamp now);
  void note_heard(const replica_id &from, timestamp now);
  void learn(const wire::RecordMember &record, timestamp now);
  void propose_batch(timestamp now, std::uint64_t wall_ms, raft::outbox &out);
  /// Asks the partition for the permits that the desk wants to give.
  void reserve_quotas(timestamp now);
  /// True once this leader has applied every entry of earlier terms: only then
  /// it knows what is out, and the partition's time.
  [[nodiscard]] bool knows_quotas() const;
  /// Empties the desk: what it has is another term's. Questions that wait are
  /// refused, and what it wanted and has not been proposed is dropped.
  void clear_desk(timestamp now);
  /// Sends what the desk has decided.
  void send_permits(timestamp now, record_effects &effects);
  void refuse(const wire::RecordRequest &request, timestamp now);
  /// Takes in whom another node takes for the leader; empty for nobody.
  void take_told_leader(const std::string &leader, const std::string &told_by,
                        timestamp now);
  /// True when another node has named a leader a short while ago.
  [[nodiscard]] bool told_lately(timestamp now) const;
  /// A request without items asks whether this node is reached.
  void answer_probe(const wire::RecordRequest &request);
  void say_hello(timestamp now);
  void maintain(timestamp now, raft::outbox &out);
  void carry_out(const group_change &change, timestamp now, raft::outbox &out);
  /// Whether a learner may take a voter's place.
  [[nodiscard]] bool may_vote(const replica_id &learner) const;
  [[nodiscard]] std::vector<node_view> view(timestamp now) const;
  /// How much this partition prefers each node: the nodes in order of their
  /// ids, beginning where this partition's share of them begins.
  [[nodiscard]] std::map<node_id, std::uint64_t> preferences() const;
  /// Of the voters that are there the one that this partition prefers.
  [[nodiscard]] std::optional<replica_id> preferred_voter(timestamp now) const;
  /// Hands the lead to the voter that this partition prefers.
  void yield_lead(timestamp now);
  /// True while a new leader may soon hand the lead over, so that it had better
  /// begin no copy of the state.
  [[nodiscard]] bool may_yield_first(timestamp now) const;
  /// True while a node is sent what it lacks.
  [[nodiscard]] bool fills_a_node(timestamp now) const;
  /// Begins to hand the lead over: nothing is proposed until the others hold
  /// everything and one of `eligible` can be told to stand for election.
  void begin_hand_over(std::set<replica_id> eligible, timestamp now);
  void go_on_handing_over(timestamp now, raft::outbox &out);
  /// Tells those whose questions wait here who leads now.
  void pass_on_proposals(timestamp now);
  void flush(raft::outbox &out, record_effects &effects);
  void answer(std::uint64_t index,
              const std::vector<wire::RecordReplyItem> &outcomes, timestamp now,
              record_effects &effects);
  /// Sends an answer that needs no entry of the log.
  void reply_to(const std::string &address, std::uint64_t known_members,
                wire::RecordReply reply, timestamp now);
  /// Adds to an answer what every answer to this address carries.
  void complete(wire::RecordReply &reply, const std::string &address,
                std::uint64_t known_members, timestamp now);
  void follow_leadership(timestamp now);
  /// Declares identities dead whose node speaks under another one.
  void detect_dead(timestamp now);
  /// When an identity was last heard; of one that is in the log's voters only,
  /// since before this process began.
  [[nodiscard]] timestamp last_heard(const replica_id &id) const;
  /// Drops members that are gone for good, so that nobody asks them any more.
  void forget_gone(timestamp now);
  [[nodiscard]] std::string address_of(const replica_id &replica) const;
  [[nodiscard]] std::string leader_address() const;
  void send(std::string address, wire::Envelope envelope);
  void note(logging::event number, std::string detail);

  wire::RecordMember self_;
  replica_id self_id_;
  record_node_options options_;
  record_table table_;
  std::optional<raft::consensus> log_;
  std::map<replica_id, member> members_;
  bool members_changed_ = false;
  std::set<std::string> retiring_;
  wire::SeenRevisions seen_;
  load_reports loads_;
  permit_allocator desk_;
  /// The term in which the desk was last empty.
  term_id desk_term_{};
  quota_clock quota_clock_;
  /// Of the last entry that was applied.
  term_id applied_term_{};
  /// Those that have told their loads and are to be told the others'.
  std::set<std::string> owed_loads_;

  std::vector<wire::Envelope> inbox_;
  std::vector<std::pair<asker, wire::RecordChange>> proposals_;
  std::map<std::uint64_t, std::vector<asker>> askers_; // by log index
  /// Hashes of the questions in the two above.
  std::unordered_set<std::uint64_t> taken_up_;
  question_counts question_counts_;
  std::vector<addressed_message> outgoing_;
  std::vector<logged_event> events_;
  std::optional<wire::RecordSnapshot> installed_;
  std::vector<wire::RecordTurn> arrived_turns_; // with parts of snapshots
  std::vector<replica_id> learners_;
  snapshot_sender sender_;
  snapshot_receiver receiver_;
  bool was_leader_ = false;
  timestamp started_;
  timestamp next_hello_{};
  timestamp leader_heard_{};
  /// The leader's address as another node told it; of a node that the leader
  /// does not send to.
  std::string told_leader_;
  timestamp leader_told_{};
  timestamp leading_since_{};
  timestamp next_yield_{};
  /// To whom the lead is being handed, and until when that is tried.
  std::set<replica_id> successors_;
  bool successor_told_ = false;
  timestamp hand_over_ends_{};
  timestamp proposed_{};
};

/// Identifies a member list, so that it is sent only to those that lack it.
std::uint64_t hash_of(const wire::RecordMembers &members);

} // namespace heathtrestle::records
