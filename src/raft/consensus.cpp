#include "raft/consensus.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::raft {

consensus::consensus(partition_id partition, replica_id self,
                     const std::vector<replica_id> &initial, options settings,
                     timestamp now, std::uint64_t random)
    : partition_(partition), self_(self), options_(settings),
      base_voters_(initial), voters_(initial), leader_heard_(now) {
  reset_election_deadline(now, random);
}

consensus::consensus(partition_id partition, replica_id self,
                     saved_replica saved, options settings, timestamp now,
                     std::uint64_t random)
    : partition_(partition), self_(self), options_(settings),
      term_(saved.hard.term), voted_for_(saved.hard.voted_for),
      base_index_(saved.base.index), base_term_(saved.base.term),
      base_voters_(std::move(saved.base.voters)), commit_(saved.base.index),
      applied_(saved.base.index), saved_hard_(saved.hard), leader_heard_(now) {
  for (wire::LogEntry &each : saved.entries) {
    push_back(std::move(each));
  }
  saved_through_ = last();
  applied_ = std::max(applied_, saved.applied);
  commit_ = std::max(commit_, applied_);
  commit_ = std::max(commit_, std::min(saved_hard_.settled_voters, last()));
  refresh_voters();
  reset_election_deadline(now, random);
  const duration_ms restart_timeout = options_.restart_election_timeout;
  if (restart_timeout.count() > 0) {
    const auto spread = static_cast<std::int64_t>(
        random % static_cast<std::uint64_t>(restart_timeout.count()));
    election_deadline_ = now + restart_timeout + duration_ms{spread};
  }
}

void consensus::tick(timestamp now, std::uint64_t random, outbox &out) {
  if (role_ == role::leader) {
    if (!heard_from_majority(now, 2 * options_.election_timeout)) {
      // A majority may already follow another leader. Nothing can be committed
      // here, so step down rather than let callers wait.
      become_follower(term_, now, random);
      return;
    }
    drop_removed_peers(now);
    if (now >= next_heartbeat_) {
      // Align heartbeats to the clock, so that all partitions led by this node
      // send them at the same time and those to one peer share a message.
      const auto into_interval =
          now.time_since_epoch() % options_.heartbeat_interval;
      next_heartbeat_ = now - into_interval + options_.heartbeat_interval;
      for (const auto &[peer, state] : peers_) {
        wire::Heartbeat heartbeat;
        heartbeat.set_partition(partition_.value());
        heartbeat.set_term(term_);
        heartbeat.set_commit(std::min(commit_, state.match));
        out.heartbeats.push_back({peer, std::move(heartbeat)});
      }
    }
    return;
  }
  if (now >= election_deadline_ && is_voter(self_)) {
    start_election(true, false, now, random, out);
  }
}

void consensus::handle(const wire::VoteRequest &request, timestamp now,
                       std::uint64_t random, outbox &out) {
  const replica_id candidate = from_wire(request.candidate());
  const bool log_is_current =
      std::pair(request.last_term(), request.last_index()) >=
      std::pair(last_term(), last());
  const bool follows_leader =
      role_ == role::leader ||
      (leader_.has_value() && now < leader_heard_ + options_.election_timeout);

  wire::Envelope envelope;
  wire::VoteReply &reply = *envelope.mutable_vote_reply();
  reply.set_partition(partition_.value());
  *reply.mutable_voter() = to_wire(self_);
  reply.set_pre_vote(request.pre_vote());

  if (request.pre_vote()) {
    const bool granted =
        request.term() > term_ && log_is_current && !follows_leader;
    reply.set_granted(granted);
    reply.set_term(granted ? request.term() : term_);
    send(candidate, std::move(envelope), out);
    return;
  }
  if (follows_leader && !request.transfer()) {
    return; // ignore candidates while there is a live leader
  }
  if (request.term() > term_) {
    become_follower(request.term(), now, random);
  }
  const bool free_to_vote = !voted_for_.has_value() || *voted_for_ == candidate;
  const bool granted =
      request.term() == term_ && free_to_vote && log_is_current;
  if (granted) {
    voted_for_ = candidate;
    reset_election_deadline(now, random);
  }
  reply.set_granted(granted);
  reply.set_term(term_);
  send(candidate, std::move(envelope), out);
}

void consensus::handle(const wire::VoteReply &reply, timestamp now,
                       outbox &out) {
  if (!reply.granted()) {
    if (reply.term() > term_) {
      become_follower(reply.term(), now, reply.term());
    }
    return;
  }
  const std::uint64_t expected = pre_vote_round_ ? term_ + 1 : term_;
  const bool of_this_round = role_ == role::candidate &&
                             reply.pre_vote() == pre_vote_round_ &&
                             reply.term() == expected;
  if (!of_this_round) {
    return;
  }
  votes_.insert(from_wire(reply.voter()));
  count_votes(now, out);
}

void consensus::handle(const wire::TransferLeadership &request, timestamp now,
                       std::uint64_t random, outbox &out) {
  if (request.term() == term_ && role_ == role::follower && is_voter(self_)) {
    start_election(false, true, now, random, out);
  }
}

bool consensus::transfer_leadership(const std::set<replica_id> &eligible,
                                    outbox &out) {
  if (role_ != role::leader) {
    return false;
  }
  for (const auto &[peer, state] : peers_) {
    const bool is_eligible =
        eligible.contains(peer) && is_voter(peer) && state.match == last();
    if (is_eligible) {
      wire::Envelope envelope;
      envelope.mutable_transfer_leadership()->set_partition(partition_.value());
      envelope.mutable_transfer_leadership()->set_term(term_);
      send(peer, std::move(envelope), out);
      return true;
    }
  }
  return false;
}

bool consensus::established() const {
  return role_ == role::leader && commit_ >= term_start_index_;
}

bool consensus::is_voter(const replica_id &replica) const {
  return std::find(voters_.begin(), voters_.end(), replica) != voters_.end();
}

bool consensus::retired() const {
  return !voters_.empty() && voters_index_ <= commit_ && !is_voter(self_) &&
         role_ != role::leader;
}

std::optional<timestamp>
consensus::last_heard(const replica_id &replica) const {
  const auto found = peers_.find(replica);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  return found->second.last_heard;
}

std::size_t
consensus::election_quorum(const std::vector<replica_id> &voters) const {
  const std::size_t majority = voters.size() / 2 + 1;
  const auto dead = static_cast<std::size_t>(
      std::count_if(voters.begin(), voters.end(),
                    [this](const auto &voter) { return is_dead(voter); }));
  if (dead == 0) {
    return majority;
  }
  // Two conditions make this safe. A committed entry is held by a majority, of
  // which at most `dead` replicas are lost, so that the quorum includes at
  // least one of the remaining holders. And two leaders of one term would need
  // more live voters than exist, since a dead one never votes again.
  const std::size_t live = voters.size() - dead;
  const std::size_t meets_commits = voters.size() - majority + 1;
  const std::size_t meets_votes = live / 2 + 1;
  return std::max(meets_commits, meets_votes);
}

bool consensus::heard_from_majority(timestamp now, duration_ms within) const {
  std::size_t heard = is_voter(self_) ? 1 : 0;
  for (const auto &[peer, state] : peers_) {
    const bool recent = now < state.last_heard + within;
    heard += recent && is_voter(peer) ? 1 : 0;
  }
  return heard >= election_quorum();
}

std::uint64_t consensus::match_index(const replica_id &peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? 0 : found->second.match;
}

void consensus::become_follower(std::uint64_t term, timestamp now,
                                std::uint64_t random) {
  if (term > term_) {
    term_ = term;
    voted_for_.reset();
  }
  role_ = role::follower;
  leader_.reset();
  peers_.clear();
  learners_.clear();
  votes_.clear();
  reset_election_deadline(now, random);
}

void consensus::follow(const replica_id &leader, std::uint64_t term,
                       timestamp now, std::uint64_t random) {
  if (term > term_ || role_ != role::follower) {
    become_follower(term, now, random);
  }
  leader_ = leader;
  leader_heard_ = now;
  if (!voted_for_.has_value()) {
    // The term has a leader, so this vote must not go to another candidate.
    voted_for_ = leader;
  }
  reset_election_deadline(now, random);
}

void consensus::become_leader(timestamp now, outbox &out) {
  role_ = role::leader;
  leader_ = self_;
  next_heartbeat_ = now;
  peers_.clear();
  for (const replica_id &voter : voters_) {
    if (voter != self_) {
      peers_[voter] = progress{.next = last() + 1, .last_heard = now};
    }
  }
  wire::LogEntry marker;
  marker.set_leader_marker(true);
  marker.set_term(term_);
  marker.set_index(last() + 1);
  append(std::move(marker));
  term_start_index_ = last();
  replicate(now, out);
  advance_commit(now);
}

void consensus::start_election(bool pre_vote, bool transfer, timestamp now,
                               std::uint64_t random, outbox &out) {
  role_ = role::candidate;
  leader_.reset();
  pre_vote_round_ = pre_vote;
  elected_by_transfer_ = transfer;
  votes_ = {self_};
  reset_election_deadline(now, random);
  if (!pre_vote) {
    ++term_;
    voted_for_ = self_;
  }
  for (const replica_id &voter : counted_voters()) {
    if (voter == self_) {
      continue;
    }
    wire::Envelope envelope;
    wire::VoteRequest &request = *envelope.mutable_vote_request();
    request.set_partition(partition_.value());
    request.set_term(pre_vote ? term_ + 1 : term_);
    *request.mutable_candidate() = to_wire(self_);
    request.set_last_index(last());
    request.set_last_term(last_term());
    request.set_pre_vote(pre_vote);
    request.set_transfer(transfer);
    send(voter, std::move(envelope), out);
  }
  count_votes(now, out);
}

bool consensus::is_elected_by(const std::vector<replica_id> &voters) const {
  // A vote that was given before its voter died would count beside the smaller
  // number of votes that is needed because it is dead.
  const auto counted =
      std::count_if(voters.begin(), voters.end(), [this](const auto &voter) {
        return votes_.contains(voter) && !is_dead(voter);
      });
  return static_cast<std::size_t>(counted) >= election_quorum(voters);
}

void consensus::count_votes(timestamp now, outbox &out) {
  if (!is_elected_by(voters_)) {
    return;
  }
  // While a change of voters is not known to be committed, others may elect a
  // leader by the set before it. Where voters are dead, the votes of two
  // neighbouring sets need not intersect.
  const bool counts_previous =
      change_in_progress() && !previous_voters_.empty();
  if (counts_previous && !is_elected_by(previous_voters_)) {
    return;
  }
  if (pre_vote_round_) {
    // The deadline of the pre-vote applies to the vote as well.
    const timestamp deadline = election_deadline_;
    start_election(false, false, now, 0, out);
    election_deadline_ = deadline;
    return;
  }
  become_leader(now, out);
}

void consensus::reset_election_deadline(timestamp now, std::uint64_t random) {
  const auto span =
      static_cast<std::uint64_t>(options_.election_timeout.count());
  const std::uint64_t spread =
      stable_hash(fmt::format("{}", random), partition_.value()) % span;
  election_deadline_ = now + options_.election_timeout +
                       duration_ms{static_cast<std::int64_t>(spread)};
}

void consensus::send(const replica_id &to, wire::Envelope envelope,
                     outbox &out) const {
  out.messages.push_back({to, std::move(envelope)});
}

} // namespace heathtrestle::raft
