// The log of a replica: appending, replicating and committing entries,
// compaction, and changes of the replica set.
#include "raft/consensus.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heathtrestle::raft {

namespace {

/// A learner that lacks no more entries than this may become a voter.
constexpr std::uint64_t learner_lag_limit = 8;
/// A snapshot without an acknowledgement is sent again after this long.
constexpr duration_ms snapshot_retry{2000};
/// The log may exceed `retained_bytes` by this fraction before it is compacted,
/// so that compaction does not run for every entry.
constexpr std::size_t slack_divisor = 8;

bool contains(const std::vector<replica_id> &replicas,
              const replica_id &replica) {
  return std::find(replicas.begin(), replicas.end(), replica) != replicas.end();
}

std::vector<replica_id> from_wire_set(const wire::ReplicaSet &replicas) {
  std::vector<replica_id> voters;
  for (const wire::ReplicaId &voter : replicas.voters()) {
    voters.push_back(from_wire(voter));
  }
  return voters;
}

wire::ReplicaSet to_wire_set(const std::vector<replica_id> &voters) {
  wire::ReplicaSet replicas;
  for (const replica_id &voter : voters) {
    *replicas.add_voters() = to_wire(voter);
  }
  return replicas;
}

/// @return true when the sets differ in one replica, which is dead and is
/// replaced by another identity of the same node.
bool replaces_dead(const std::vector<replica_id> &before,
                   const std::vector<replica_id> &after,
                   const std::set<replica_id> &dead) {
  std::vector<replica_id> added;
  std::vector<replica_id> removed;
  std::copy_if(after.begin(), after.end(), std::back_inserter(added),
               [&before](const auto &each) { return !contains(before, each); });
  std::copy_if(before.begin(), before.end(), std::back_inserter(removed),
               [&after](const auto &each) { return !contains(after, each); });
  return added.size() == 1 && removed.size() == 1 &&
         added.front().node == removed.front().node &&
         dead.contains(removed.front());
}

/// @return true when `after` adds or removes exactly one replica.
bool differs_in_one(const std::vector<replica_id> &before,
                    const std::vector<replica_id> &after) {
  std::size_t changes = 0;
  for (const replica_id &replica : after) {
    changes += contains(before, replica) ? 0 : 1;
  }
  for (const replica_id &replica : before) {
    changes += contains(after, replica) ? 0 : 1;
  }
  return changes == 1;
}

} // namespace

void consensus::handle(const wire::AppendRequest &request, timestamp now,
                       std::uint64_t random, outbox &out) {
  const replica_id sender = from_wire(request.leader());
  wire::Envelope envelope;
  wire::AppendReply &reply = *envelope.mutable_append_reply();
  reply.set_partition(partition_.value());
  *reply.mutable_follower() = to_wire(self_);

  if (request.term() < term_) {
    reply.set_term(term_);
    reply.set_match_index(last());
    send(sender, std::move(envelope), out);
    return;
  }
  follow(sender, request.term(), now, random);
  reply.set_term(term_);

  const std::uint64_t previous = request.previous_index();
  const bool gap = previous > last();
  const bool differs = !gap && previous >= base_index_ &&
                       term_at(previous) != request.previous_term();
  if (gap || differs) {
    const std::uint64_t hint = gap ? last() : previous - 1;
    reply.set_match_index(std::max(hint, commit_));
    send(sender, std::move(envelope), out);
    return;
  }
  std::uint64_t matched = previous;
  for (const wire::LogEntry &received : request.entries()) {
    matched = received.index();
    if (received.index() <= base_index_) {
      continue; // compacted here, hence committed and identical
    }
    if (received.index() <= last()) {
      if (term_at(received.index()) == received.term()) {
        continue;
      }
      truncate_after(received.index() - 1);
    }
    append(received);
  }
  commit_ = std::max(commit_, std::min(request.commit(), matched));
  reply.set_success(true);
  reply.set_match_index(matched);
  send(sender, std::move(envelope), out);
}

void consensus::handle(const wire::AppendReply &reply, timestamp now,
                       outbox &out) {
  if (reply.term() > term_) {
    become_follower(reply.term(), now, reply.term());
    return;
  }
  if (role_ != role::leader || reply.term() != term_) {
    return;
  }
  const replica_id follower = from_wire(reply.follower());
  const auto found = peers_.find(follower);
  if (found == peers_.end()) {
    return;
  }
  progress &state = found->second;
  state.last_heard = now;
  state.probing = !reply.success();
  state.entries_sent.reset();
  if (!reply.success()) {
    state.reported_last_index = std::min(reply.match_index(), last());
    state.next = std::max(state.match, *state.reported_last_index) + 1;
    // Entries sent along with a snapshot are refused until it is installed;
    // that is no reason to send the snapshot again.
    state.snapshot_pending =
        state.snapshot_pending && state.next <= base_index_;
    // A follower that holds less than it once acknowledged would refuse the
    // same entries again and again; it is retried with the next heartbeat.
    const bool may_succeed = reply.match_index() >= state.match;
    if (may_succeed) {
      replicate_to(follower, now, out);
    }
    return;
  }
  if (reply.match_index() > state.match) {
    state.match = reply.match_index();
    // Acknowledgements of older entries do not show that the snapshot is
    // installed.
    state.snapshot_pending =
        state.snapshot_pending && state.match < base_index_;
    advance_commit(now);
  }
  state.next = std::max(state.next, state.match + 1);
  if (state.next <= last()) {
    replicate_to(follower, now, out);
  }
}

std::uint64_t consensus::handle(const replica_id &leader,
                                const wire::Heartbeat &heartbeat, timestamp now,
                                std::uint64_t random) {
  if (heartbeat.term() < term_) {
    return term_;
  }
  follow(leader, heartbeat.term(), now, random);
  // Safe: the leader announces no commit index beyond what this log is known to
  // match.
  commit_ = std::max(commit_, std::min(heartbeat.commit(), last()));
  return term_;
}

void consensus::handle(const replica_id &follower,
                       const wire::HeartbeatReply &reply, timestamp now,
                       outbox &out) {
  if (reply.term() > term_) {
    become_follower(reply.term(), now, reply.term());
    return;
  }
  const auto found = peers_.find(follower);
  if (role_ != role::leader || found == peers_.end()) {
    return;
  }
  progress &state = found->second;
  state.last_heard = now;
  const bool is_progressing = options_.probe_interval.count() > 0 &&
                              state.match > state.match_at_heartbeat;
  state.match_at_heartbeat = state.match;
  const bool under_way = state.entries_sent.has_value() &&
                         now < *state.entries_sent + options_.resend_after;
  if (state.match < last() && !is_progressing && !under_way) {
    state.next = first_unsent(state); // entries in flight may be lost
    state.probing = true;
    state.entries_sent.reset();
    replicate_to(follower, now, out);
  }
}

std::uint64_t consensus::first_unsent(const progress &state) const {
  const bool probes_log_end =
      options_.probe_interval.count() > 0 && state.match == 0;
  if (!probes_log_end) {
    return state.match + 1;
  }
  // A follower that has acknowledged nothing yet does not necessarily lack
  // everything: it is probed at the end of the log, and its refusal reports
  // where its own log ends.
  return state.reported_last_index.has_value() ? *state.reported_last_index + 1
                                               : last();
}

bool consensus::handle(const wire::SnapshotRequest &request, timestamp now,
                       std::uint64_t random, outbox &out) {
  const replica_id sender = from_wire(request.leader());
  wire::Envelope envelope;
  wire::AppendReply &reply = *envelope.mutable_append_reply();
  reply.set_partition(partition_.value());
  *reply.mutable_follower() = to_wire(self_);
  if (request.term() < term_) {
    reply.set_term(term_);
    send(sender, std::move(envelope), out);
    return false;
  }
  follow(sender, request.term(), now, random);
  const bool newer = request.last_index() > commit_;
  if (newer) {
    log_.clear();
    entry_bytes_.clear();
    log_bytes_ = 0;
    base_index_ = request.last_index();
    base_term_ = request.last_term();
    base_voters_ = from_wire_set(request.replicas());
    base_is_unsaved_ = true;
    commit_ = base_index_;
    applied_ = base_index_;
    refresh_voters();
  }
  reply.set_term(term_);
  reply.set_success(true);
  reply.set_match_index(request.last_index());
  send(sender, std::move(envelope), out);
  return newer;
}

result_or<log_index, propose_error>
consensus::propose(wire::Command command, timestamp now, outbox &out) {
  if (role_ != role::leader) {
    return propose_error::not_leader;
  }
  wire::LogEntry next;
  *next.mutable_command() = std::move(command);
  next.set_term(term_);
  next.set_index(last() + 1);
  append(std::move(next));
  const log_index index{last()};
  replicate(now, out);
  advance_commit(now);
  return index;
}

void consensus::add_learner(replica_id learner, timestamp now, outbox &out) {
  if (role_ != role::leader || is_voter(learner)) {
    return;
  }
  learners_.insert(learner);
  peers_[learner] = progress{.next = last() + 1, .last_heard = now};
  replicate_to(learner, now, out);
}

void consensus::drop_learner(const replica_id &learner) {
  learners_.erase(learner);
  if (!is_voter(learner)) {
    peers_.erase(learner);
  }
}

bool consensus::caught_up(const replica_id &learner) const {
  const auto found = peers_.find(learner);
  return found != peers_.end() && found->second.match > 0 &&
         found->second.match + learner_lag_limit >= last();
}

std::optional<propose_error>
consensus::change_replicas(const std::vector<replica_id> &voters, timestamp now,
                           outbox &out) {
  if (role_ != role::leader) {
    return propose_error::not_leader;
  }
  const bool alone = election_quorum() == 1 && is_voter(self_);
  if (!established() && !alone) {
    // Without a committed entry of this term, a change proposed by an earlier
    // leader could still take effect beside this one. When one vote is enough
    // for an election and this replica has it, there can be no such leader; it
    // could commit nothing before the dead replica is replaced.
    return propose_error::term_not_established;
  }
  // Replacing a dead replica in one step is safe: a majority before the change
  // consists of the other replicas, and a majority after it has all but one of
  // its members among them, so the two intersect.
  const bool acceptable =
      differs_in_one(voters_, voters) || replaces_dead(voters_, voters, dead_);
  if (voters_index_ > commit_ || !acceptable) {
    return propose_error::change_in_progress;
  }
  wire::LogEntry next;
  *next.mutable_replicas() = to_wire_set(voters);
  next.set_term(term_);
  next.set_index(last() + 1);
  append(std::move(next));
  for (const replica_id &voter : voters_) {
    learners_.erase(voter);
    if (voter != self_ && !peers_.contains(voter)) {
      peers_[voter] = progress{.next = last(), .last_heard = now};
    }
  }
  replicate(now, out);
  advance_commit(now);
  return std::nullopt;
}

std::vector<wire::LogEntry> consensus::take_committed(std::size_t most) {
  std::vector<wire::LogEntry> entries;
  while (applied_ < commit_ && entries.size() < most) {
    ++applied_;
    entries.push_back(entry(applied_));
  }
  compact();
  return entries;
}

wire::SnapshotRequest consensus::snapshot_header() const {
  wire::SnapshotRequest header;
  header.set_partition(partition_.value());
  header.set_term(term_);
  *header.mutable_leader() = to_wire(self_);
  const log_base applied = applied_base();
  header.set_last_index(applied.index);
  header.set_last_term(applied.term);
  *header.mutable_replicas() = to_wire_set(applied.voters);
  return header;
}

std::uint64_t consensus::term_at(std::uint64_t index) const {
  return index == base_index_ ? base_term_ : entry(index).term();
}

const wire::LogEntry &consensus::entry(std::uint64_t index) const {
  return log_.at(index - base_index_ - 1);
}

void consensus::append(wire::LogEntry entry) {
  const bool changes_voters = entry.has_replicas();
  push_back(std::move(entry));
  if (changes_voters) {
    refresh_voters();
  }
}

void consensus::push_back(wire::LogEntry entry) {
  entry_bytes_.push_back(entry.ByteSizeLong());
  log_bytes_ += entry_bytes_.back();
  log_.push_back(std::move(entry));
}

void consensus::truncate_after(std::uint64_t index) {
  if (saved_through_ > index) {
    saved_through_ = index;
    truncated_from_ =
        truncated_from_ == 0 ? index + 1 : std::min(truncated_from_, index + 1);
  }
  while (last() > index) {
    log_bytes_ -= entry_bytes_.back();
    entry_bytes_.pop_back();
    log_.pop_back();
  }
  if (voters_index_ > index) {
    refresh_voters();
  }
}

void consensus::refresh_voters() {
  voters_ = base_voters_;
  previous_voters_ = base_voters_;
  voters_index_ = base_index_;
  for (const wire::LogEntry &logged : log_) {
    if (logged.has_replicas()) {
      previous_voters_ = voters_;
      voters_ = from_wire_set(logged.replicas());
      voters_index_ = logged.index();
    }
  }
}

void consensus::replicate(timestamp now, outbox &out) {
  std::vector<replica_id> targets;
  for (const auto &[peer, state] : peers_) {
    targets.push_back(peer);
  }
  for (const replica_id &peer : targets) {
    replicate_to(peer, now, out);
  }
}

void consensus::replicate_to(const replica_id &peer, timestamp now,
                             outbox &out) {
  progress &state = peers_.at(peer);
  const bool silent = options_.silent_peer_timeout.count() > 0 &&
                      now >= state.last_heard + options_.silent_peer_timeout;
  if (silent) {
    return;
  }
  const bool limits_probes =
      options_.probe_interval.count() > 0 && state.probing;
  if (limits_probes) {
    // Without this, each refusal of entries in flight would resend the whole
    // backlog.
    const bool under_way = state.entries_sent.has_value() &&
                           now < *state.entries_sent + options_.resend_after;
    if (under_way || now < state.last_probe + options_.probe_interval) {
      return;
    }
    state.last_probe = now;
  }
  if (state.next <= base_index_) {
    const bool wait =
        state.snapshot_pending && now < state.snapshot_sent + snapshot_retry;
    if (!wait) {
      state.snapshot_pending = true;
      state.snapshot_sent = now;
      out.snapshots_wanted.push_back(peer);
    }
    return;
  }
  const bool too_far_ahead =
      state.next > state.match + options_.max_inflight_entries;
  const bool has_backlog = options_.backlog_threshold > 0 &&
                           last() > state.match + options_.backlog_threshold;
  const bool unacknowledged = state.next > state.match + 1;
  const bool must_wait = too_far_ahead || (has_backlog && unacknowledged);
  if (must_wait && state.match > 0) {
    return; // resumed by the next acknowledgement or heartbeat reply
  }
  wire::Envelope envelope;
  wire::AppendRequest &request = *envelope.mutable_append_request();
  request.set_partition(partition_.value());
  request.set_term(term_);
  *request.mutable_leader() = to_wire(self_);
  request.set_previous_index(state.next - 1);
  request.set_previous_term(term_at(state.next - 1));
  request.set_commit(commit_);
  const std::uint64_t end =
      std::min(last(), state.next + options_.entries_per_append - 1);
  std::size_t bytes = 0;
  std::uint64_t index = state.next;
  while (index <= end) {
    *request.add_entries() = entry(index);
    bytes += entry(index).ByteSizeLong();
    ++index;
    if (options_.bytes_per_append > 0 && bytes >= options_.bytes_per_append) {
      break;
    }
  }
  if (request.entries_size() > 0 && !state.entries_sent) {
    state.entries_sent = now;
  }
  state.next = index;
  send(peer, std::move(envelope), out);
}

void consensus::advance_commit(timestamp now) {
  if (voters_.empty()) {
    return;
  }
  const std::uint64_t held = quorum_match_index();
  // Only entries of the current term are committed by counting replicas (Raft,
  // 5.4.2).
  if (held <= commit_ || held <= base_index_ || term_at(held) != term_) {
    return;
  }
  commit_ = held;
  const bool replicas_committed = voters_index_ <= commit_;
  if (replicas_committed && !is_voter(self_)) {
    become_follower(term_, now, term_);
    return;
  }
}

std::vector<replica_id> consensus::counted_voters() const {
  std::vector<replica_id> counted = voters_;
  if (change_in_progress()) {
    std::copy_if(previous_voters_.begin(), previous_voters_.end(),
                 std::back_inserter(counted), [this](const auto &voter) {
                   return !contains(voters_, voter);
                 });
  }
  return counted;
}

std::uint64_t consensus::quorum_match_index() const {
  const std::uint64_t held = majority_match_index(voters_, {});
  if (!change_in_progress() || previous_voters_.empty()) {
    // A log that begins with the first change does not contain the founding
    // set. That is a single voter, so a majority of the two after it includes
    // that one.
    return held;
  }
  // When voters are dead, an election among the old voters needs only enough
  // votes to intersect each of their majorities. Until the change is committed,
  // an entry must therefore also be held by a majority of the old voters:
  // majorities of two neighbouring sets need not intersect in this way (two and
  // three, four and five, four and three voters). A dead voter takes part in no
  // election, so it counts as holding every entry.
  return std::min(held, majority_match_index(previous_voters_, dead_));
}

std::uint64_t
consensus::majority_match_index(const std::vector<replica_id> &voters,
                                const std::set<replica_id> &exempt) const {
  constexpr std::uint64_t everything = ~std::uint64_t{0};
  std::vector<std::uint64_t> matches;
  for (const replica_id &voter : voters) {
    const std::uint64_t match = voter == self_ ? last() : match_index(voter);
    matches.push_back(exempt.contains(voter) ? everything : match);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  return matches[matches.size() / 2];
}

unsaved_changes consensus::take_unsaved() {
  unsaved_changes changes;
  const std::uint64_t settled = change_in_progress() ? 0 : voters_index_;
  const hard_state hard{.term = term_,
                        .voted_for = voted_for_,
                        .settled_voters =
                            std::max(saved_hard_.settled_voters, settled)};
  if (!(hard == saved_hard_)) {
    changes.hard = hard;
    saved_hard_ = hard;
  }
  if (base_is_unsaved_) {
    changes.installed = base();
    saved_through_ = base_index_;
    truncated_from_ = 0;
    base_is_unsaved_ = false;
  }
  changes.truncate_from = std::exchange(truncated_from_, 0);
  const std::uint64_t first = std::max(saved_through_, base_index_) + 1;
  for (std::uint64_t index = first; index <= last(); ++index) {
    changes.entries.push_back(&entry(index));
  }
  saved_through_ = last();
  return changes;
}

log_base consensus::base() const {
  return {.index = base_index_, .term = base_term_, .voters = base_voters_};
}

log_base consensus::applied_base() const {
  log_base applied{
      .index = applied_, .term = term_at(applied_), .voters = base_voters_};
  for (const wire::LogEntry &logged : log_) {
    if (logged.index() > applied_) {
      break;
    }
    if (logged.has_replicas()) {
      applied.voters = from_wire_set(logged.replicas());
    }
  }
  return applied;
}

void consensus::drop_removed_peers(timestamp now) {
  if (voters_index_ > commit_) {
    return; // the set of voters is not committed yet
  }
  for (auto &[peer, state] : peers_) {
    const bool belongs = is_voter(peer) || learners_.contains(peer);
    if (belongs) {
      state.removed_at.reset();
    } else if (!state.removed_at.has_value()) {
      state.removed_at = now;
    }
  }
  std::erase_if(peers_, [this, now](const auto &entry) {
    const auto &removed_at = entry.second.removed_at;
    return removed_at.has_value() &&
           now >= *removed_at + 3 * options_.election_timeout;
  });
}

void consensus::snapshot_progressed(const replica_id &follower,
                                    std::uint64_t last_index, timestamp now) {
  const auto found = peers_.find(follower);
  if (found == peers_.end()) {
    return;
  }
  found->second.last_heard = now;
  found->second.snapshot_sent = now;
  found->second.snapshot_index = last_index;
}

std::uint64_t consensus::index_before_newest_applied(std::size_t entries,
                                                     std::size_t bytes) const {
  std::uint64_t index = applied_;
  std::size_t passed = 0;
  while (index > base_index_ && applied_ - index < entries) {
    passed += entry_bytes_.at(index - base_index_ - 1);
    if (bytes > 0 && passed > bytes) {
      break;
    }
    --index;
  }
  return index;
}

std::uint64_t consensus::compaction_index() const {
  const std::uint64_t retained = index_before_newest_applied(
      options_.retained_entries, options_.retained_bytes);
  if (role_ != role::leader || options_.lagging_peer_entries == 0) {
    return retained;
  }
  const std::uint64_t held = index_before_newest_applied(
      options_.lagging_peer_entries, options_.lagging_peer_bytes);
  std::uint64_t needed = retained;
  for (const auto &[peer, state] : peers_) {
    const std::uint64_t reached = std::max(state.match, state.snapshot_index);
    // A peer that lacks compacted entries needs a snapshot in any case.
    needed = reached >= base_index_ ? std::min(needed, reached) : needed;
  }
  return std::max(needed, held);
}

void consensus::compact() {
  const std::uint64_t kept = applied_ - base_index_;
  const bool too_many = kept > 2 * options_.retained_entries;
  // The size of entries depends on the callers, so that only a limit in bytes
  // bounds the memory. At twice the retained bytes a node came within 1.3 % of
  // its memory limit, and one waiting message with its turns exceeded it.
  const std::size_t most_bytes =
      options_.retained_bytes + options_.retained_bytes / slack_divisor;
  const bool too_large = options_.retained_bytes > 0 && log_bytes_ > most_bytes;
  if (!too_many && !too_large) {
    return;
  }
  const std::uint64_t new_base = compaction_index();
  if (new_base <= base_index_) {
    return;
  }
  const std::uint64_t new_base_term = term_at(new_base);
  while (base_index_ < new_base) {
    if (log_.front().has_replicas()) {
      base_voters_ = from_wire_set(log_.front().replicas());
    }
    log_bytes_ -= entry_bytes_.front();
    entry_bytes_.pop_front();
    log_.pop_front();
    ++base_index_;
  }
  base_term_ = new_base_term;
}

} // namespace heathtrestle::raft
