#include "records/record_node.hpp"

#include "records/turn_bodies.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle::records {

namespace {

constexpr partition_id the_partition{};
/// A node that hears from no leader for this long sends hello messages to find
/// its group.
constexpr duration_ms leader_timeout{1000};
/// Lifetime of a leader hint.
constexpr duration_ms leader_hint_lifetime{2000};
/// A learner that is silent for this long is dropped.
constexpr duration_ms drop_learner_after{3000};
/// Of two identities of one node, the one that has been silent for
/// `dead_after_silence` is dead if the other was heard within
/// `successor_heard_within`. The silence is required because messages of the
/// ended process may still be in flight.
constexpr duration_ms dead_after_silence{500};
constexpr duration_ms successor_heard_within{400};
/// Sent instead of the next part number by a follower that needs no more parts.
constexpr std::uint32_t no_more_parts =
    std::numeric_limits<std::uint32_t>::max();
/// A leader removes nodes without a vote from the member list after this
/// silence.
constexpr duration_ms forget_after{5000};
/// Maximum duration of a leadership transfer, in which proposals are paused.
constexpr duration_ms transfer_timeout{400};

std::uint64_t request_hash(const std::string &reply_to, std::uint64_t id) {
  return stable_hash(reply_to, id);
}

std::vector<replica_id> without(std::vector<replica_id> from,
                                const replica_id &removed) {
  std::erase(from, removed);
  return from;
}

} // namespace

std::uint64_t hash_of(const wire::RecordMembers &members) {
  std::uint64_t hash = 0;
  for (const wire::RecordMember &each : members.members()) {
    hash = stable_hash(each.address(), hash);
    hash = stable_hash(fmt::format("{}", from_wire(each.replica())), hash);
  }
  return hash;
}

record_node::record_node(wire::RecordMember self, recovered_state recovered,
                         record_node_options options, timestamp now,
                         std::uint64_t random)
    : self_(std::move(self)), options_(options), sender_(options.snapshots),
      started_(now) {
  self_id_ = {make_node_id(self_.name()), recovered.identity};
  *self_.mutable_replica() = to_wire(self_id_);
  table_.restore(std::move(recovered.snapshot));
  quota_clock_.synchronize(table_.quota_time(), now);
  log_.emplace(the_partition, self_id_, std::move(recovered.replica),
               options_.raft, now, random);
  learn_members(recovered.members);
  members_[self_id_] = {.record = self_, .heard = now};
  members_hash_.reset();
}

void record_node::bootstrap(timestamp now, std::uint64_t random) {
  raft::saved_replica first;
  first.hard = {.term = log_->term().value(), .voted_for = std::nullopt};
  first.base.voters = {self_id_};
  log_.emplace(the_partition, self_id_, std::move(first), options_.raft, now,
               random);
  log_->mark_base_unsaved();
  installed_ = wire::RecordSnapshot();
  log_event(logging::event::record_group_founded, fmt::format("{}", self_id_));
}

void record_node::receive(arrived_message message) {
  inbox_.push_back(std::move(message));
}

void record_node::learn_members(const wire::RecordMembers &members) {
  for (const wire::RecordMember &each : members.members()) {
    learn_member(each, timestamp{});
  }
}

void record_node::learn_member(const wire::RecordMember &record,
                               timestamp now) {
  const replica_id id = from_wire(record.replica());
  if (id == self_id_ || log_->is_dead(id)) {
    return;
  }
  const auto known = members_.find(id);
  if (known == members_.end()) {
    members_[id] = {.record = record, .heard = now};
    on_members_changed();
    return;
  }
  if (known->second.record.address() != record.address()) {
    known->second.record = record;
    on_members_changed();
  }
  known->second.heard = std::max(known->second.heard, now);
}

void record_node::update_last_heard(const replica_id &from, timestamp now) {
  const auto known = members_.find(from);
  if (known != members_.end()) {
    known->second.heard = now;
  }
}

record_effects record_node::step(timestamp now, std::uint64_t wall_ms,
                                 std::uint64_t random) {
  raft::outbox out;
  std::vector<arrived_message> taken;
  taken.swap(inbox_);
  for (arrived_message &message : taken) {
    reduce(message, now, random, out);
  }
  detect_dead_replicas(now);
  log_->tick(now, random, out);
  propose_quota_reservations(now);
  propose_batch(now, wall_ms, out);
  if (log_->is_leader() && was_leader_) {
    forget_lost_members(now);
    permits_.forget_idle(now);
    maintain_membership(now, out);
  }
  send_hello(now);
  record_effects effects;
  queue_messages(out, effects);
  if (log_->is_leader()) {
    send_snapshot(now);
  }
  effects.write = log_->take_unsaved();
  effects.installed = std::exchange(installed_, std::nullopt);
  effects.kept = std::exchange(arrived_turns_, {});
  if (std::exchange(members_changed_, false)) {
    effects.members = members();
  }
  return effects;
}

record_effects record_node::after_write(timestamp now) {
  record_effects effects;
  for (const wire::LogEntry &entry :
       log_->take_committed(options_.entries_per_step)) {
    if (entry.has_replicas()) {
      log_event(logging::event::replica_set_changed,
                fmt::format("index {} voters {}", entry.index(),
                            entry.replicas().voters_size()));
    }
    applied_term_ = term_id{entry.term()};
    if (!entry.has_command()) {
      continue;
    }
    const auto outcomes = table_.apply(entry.command().record_batch());
    const bool own = log_->is_leader() && applied_term_ == log_->term();
    if (!own) {
      quota_clock_.synchronize(table_.quota_time(), now);
    }
    send_outcomes(entry.index(), outcomes, now, effects);
  }
  effects.kept = table_.take_kept();
  effects.dropped = table_.take_dropped();
  update_leadership(now);
  send_permits(now, effects);
  members_[self_id_].heard = now;
  effects.messages.insert(effects.messages.end(),
                          std::make_move_iterator(outgoing_.begin()),
                          std::make_move_iterator(outgoing_.end()));
  outgoing_.clear();
  effects.log = std::exchange(events_, {});
  return effects;
}

void record_node::reduce(arrived_message &message, timestamp now,
                         std::uint64_t random, raft::outbox &out) {
  wire::Envelope &envelope = message.envelope;
  const replica_id from{node_id{envelope.from()},
                        boot_id{envelope.from_boot()}};
  if (log_->is_dead(from)) {
    return; // from an identity whose disk is lost
  }
  const bool for_another =
      envelope.to_boot() != 0 && envelope.to_boot() != self_id_.boot.value();
  if (for_another) {
    return; // addressed to an earlier identity of this node
  }
  update_last_heard(from, now);
  switch (envelope.body_case()) {
  case wire::Envelope::kRecordRequest:
    on_request(envelope.record_request(), message.arrived, now);
    break;
  case wire::Envelope::kRecordHello:
    on_hello(envelope.record_hello(), now);
    break;
  case wire::Envelope::kRecordMembers:
    on_leader_hint(envelope.record_members().leader_address(), address_of(from),
                   now);
    for (const auto &each : envelope.record_members().members()) {
      learn_member(each, timestamp{});
    }
    break;
  case wire::Envelope::kVoteRequest:
    log_->handle(envelope.vote_request(), now, random, out);
    break;
  case wire::Envelope::kVoteReply:
    log_->handle(envelope.vote_reply(), now, out);
    break;
  case wire::Envelope::kAppendRequest:
    leader_heard_ = now;
    log_->handle(envelope.append_request(), now, random, out);
    break;
  case wire::Envelope::kAppendReply:
    log_->handle(envelope.append_reply(), now, out);
    break;
  case wire::Envelope::kHeartbeatBatch: {
    leader_heard_ = now;
    wire::Envelope reply;
    auto &batch = *reply.mutable_heartbeat_reply_batch();
    *batch.mutable_follower() = to_wire(self_id_);
    for (const auto &beat : envelope.heartbeat_batch().heartbeats()) {
      batch.add_replies()->set_term(log_->handle(from, beat, now, random));
    }
    send(address_of(from), std::move(reply));
    break;
  }
  case wire::Envelope::kHeartbeatReplyBatch:
    for (const auto &beat : envelope.heartbeat_reply_batch().replies()) {
      log_->handle(from, beat, now, out);
    }
    break;
  case wire::Envelope::kSnapshotRequest:
    leader_heard_ = now;
    on_snapshot(*envelope.mutable_snapshot_request(), now, random, out);
    break;
  case wire::Envelope::kSnapshotProgress:
    on_snapshot_progress(envelope.snapshot_progress(), now);
    break;
  case wire::Envelope::kTransferLeadership:
    log_->handle(envelope.transfer_leadership(), now, random, out);
    break;
  default:
    break; // messages of other components share this transport
  }
}

void record_node::on_request(const wire::RecordRequest &request,
                             timestamp arrived, timestamp now) {
  const wire::SeenRevisions &reported = request.seen();
  seen_.set_configuration(
      std::max(seen_.configuration(), reported.configuration()));
  seen_.set_instances(std::max(seen_.instances(), reported.instances()));
  seen_.set_zone_drains(std::max(seen_.zone_drains(), reported.zone_drains()));
  if (!log_->is_leader()) {
    refuse(request, now);
    return;
  }
  if (request.has_loads()) {
    loads_.update(request.reply_to(), request.loads(), now);
    pending_load_replies_.insert(request.reply_to());
  }
  if (request.items().empty() && log_->has_recent_quorum(now)) {
    answer_probe(request);
  } else if (request.items().empty()) {
    refuse(request, now); // without a majority nothing can be committed
  }
  // Retransmissions whose outcome is already decided are answered from the
  // state: recording them again would replicate the whole request once more. A
  // group that answered late had three times the entries to replicate.
  wire::RecordReply decided;
  for (const wire::RecordRequestItem &item : request.items()) {
    if (item.change().has_reserve_quota()) {
      continue; // only leaders propose reservations
    }
    if (!register_request(request.reply_to(), item.id())) {
      continue;
    }
    if (item.change().has_take_permit()) {
      permits_.request_permit({.reply_to = request.reply_to(),
                               .id = item.id(),
                               .members_hash = request.members_hash(),
                               .wanted = item.change().take_permit()},
                              quota_clock_.time_at(now), now);
      continue;
    }
    if (auto known = table_.decided_outcome(item.change())) {
      pending_requests_.erase(request_hash(request.reply_to(), item.id()));
      ++request_counts_.settled;
      known->set_id(item.id());
      *decided.add_items() = std::move(*known);
      continue;
    }
    proposals_.emplace_back(origin_of(request, item, arrived), item.change());
  }
  if (decided.items_size() > 0) {
    send_reply(request.reply_to(), request.members_hash(), std::move(decided),
               now);
  }
}

record_node::request_origin
record_node::origin_of(const wire::RecordRequest &request,
                       const wire::RecordRequestItem &item, timestamp arrived) {
  const bool awaited = item.wait_ms() != 0;
  const duration_ms wait{static_cast<std::int64_t>(item.wait_ms())};
  return {.reply_to = request.reply_to(),
          .id = item.id(),
          .members_hash = request.members_hash(),
          .received = arrived,
          .answer_by = awaited ? arrived + wait : timestamp{}};
}

void record_node::send_reply(const std::string &address,
                             std::uint64_t known_members,
                             wire::RecordReply reply, timestamp now) {
  add_common_fields(reply, address, known_members, now);
  wire::Envelope envelope;
  *envelope.mutable_record_reply() = std::move(reply);
  send(address, std::move(envelope));
}

bool record_node::register_request(const std::string &reply_to,
                                   std::uint64_t id) {
  const bool fresh =
      pending_requests_.insert(request_hash(reply_to, id)).second;
  ++(fresh ? request_counts_.taken : request_counts_.repeated);
  return fresh;
}

void record_node::refuse(const wire::RecordRequest &request, timestamp now) {
  wire::Envelope envelope;
  wire::RecordReply &reply = *envelope.mutable_record_reply();
  reply.set_not_leader(true);
  *reply.mutable_seen() = seen_;
  // Most nodes of a large fleet have no replica of this partition; the hint
  // saves a gateway from trying one node after the other.
  const std::string known = leader_address();
  reply.set_leader_address(known.empty() && has_leader_hint(now) ? leader_hint_
                                                                 : known);
  for (const wire::RecordRequestItem &item : request.items()) {
    reply.add_refused(item.id());
  }
  if (members_hash() != request.members_hash()) {
    *reply.mutable_members() = members();
  }
  send(request.reply_to(), std::move(envelope));
}

void record_node::answer_probe(const wire::RecordRequest &request) {
  wire::Envelope envelope;
  wire::RecordReply &reply = *envelope.mutable_record_reply();
  *reply.mutable_seen() = seen_;
  reply.set_leader_address(self_.address());
  send(request.reply_to(), std::move(envelope));
}

void record_node::on_hello(const wire::RecordHello &hello, timestamp now) {
  learn_member(hello.self(), now);
  wire::Envelope envelope;
  wire::RecordMembers &answer = *envelope.mutable_record_members();
  if (members_hash() != hello.members_hash()) {
    answer = members();
  }
  answer.set_leader_address(leader_address());
  send(hello.self().address(), std::move(envelope));
}

void record_node::on_snapshot(wire::SnapshotRequest &part, timestamp now,
                              std::uint64_t random, raft::outbox &out) {
  const replica_id leader = from_wire(part.leader());
  const bool superseded = part.term() < log_->term().value();
  const bool held = part.last_index() <= log_->commit_index().value();
  if (!superseded && !held) {
    // Bodies go straight to disk: the whole state may exceed the available
    // memory.
    extract_bodies(*part.mutable_records(), arrived_turns_);
  }
  const bool complete = !superseded && !held && receiver_.receive(part);
  if (superseded || held || complete) {
    // Consensus replies itself, with the newer term or its last index.
    const bool newer = log_->handle(part, now, random, out);
    if (newer) {
      installed_ = receiver_.take();
      table_.restore(*installed_);
      quota_clock_.synchronize(table_.quota_time(), now);
      log_event(logging::event::record_snapshot_installed,
                fmt::format("index {}", part.last_index()));
    }
  }
  wire::Envelope envelope;
  wire::SnapshotProgress &progress = *envelope.mutable_snapshot_progress();
  progress.set_term(part.term());
  *progress.mutable_follower() = to_wire(self_id_);
  progress.set_last_index(part.last_index());
  progress.set_next_part(held || complete ? no_more_parts
                                          : receiver_.next_part());
  send(address_of(leader), std::move(envelope));
}

void record_node::on_snapshot_progress(const wire::SnapshotProgress &progress,
                                       timestamp now) {
  const bool current =
      log_->is_leader() && progress.term() == log_->term().value();
  if (!current) {
    return;
  }
  log_->snapshot_progressed(from_wire(progress.follower()),
                            progress.last_index(), now);
  sender_.on_progress(progress, now);
}

void record_node::send_snapshot(timestamp now) {
  const auto take = [this](std::size_t part_bytes) {
    return snapshot_sender::source{.header = log_->snapshot_header(),
                                   .image = table_.image(part_bytes)};
  };
  std::optional<snapshot_sender::part> due = sender_.next_due(now, take);
  if (!due) {
    return;
  }
  if (due->begins) {
    log_->snapshot_progressed(due->to, due->request.last_index(), now);
    log_event(
        logging::event::snapshot_sent,
        fmt::format("to {} index {}", due->to, due->request.last_index()));
  }
  wire::Envelope envelope;
  *envelope.mutable_snapshot_request() = std::move(due->request);
  envelope.set_to_boot(due->to.boot.value());
  send(address_of(due->to), std::move(envelope));
}

void record_node::drop_late_proposals(timestamp now) {
  std::map<std::string, std::uint64_t> gateways; // with the members they know
  std::erase_if(proposals_, [this, now, &gateways](const auto &proposal) {
    const auto &[origin, change] = proposal;
    const bool only_for_caller = change.has_begin() || change.has_read();
    const bool dropped = only_for_caller && origin.is_late(now);
    if (dropped) {
      gateways[origin.reply_to] = origin.members_hash;
      pending_requests_.erase(request_hash(origin.reply_to, origin.id));
      ++request_counts_.expired;
    }
    return dropped;
  });
  if (!log_->has_recent_quorum(now)) {
    return;
  }
  // Without a reply the gateway would take this leader for silent.
  for (const auto &[address, known_members] : gateways) {
    send_reply(address, known_members, {}, now);
  }
}

void record_node::propose_batch(timestamp now, std::uint64_t wall_ms,
                                raft::outbox &out) {
  if (!log_->is_leader()) {
    redirect_proposals(now);
    return;
  }
  drop_late_proposals(now);
  const bool batching = now < proposed_ + options_.batch_interval;
  if (proposals_.empty() || batching || !transfer_targets_.empty()) {
    return;
  }
  proposed_ = now;
  wire::Command command;
  wire::RecordBatch &batch = *command.mutable_record_batch();
  batch.set_time_ms(wall_ms);
  if (has_current_quotas()) {
    batch.set_quota_time_ms(quota_clock_.time_at(now));
  }
  std::vector<request_origin> origins;
  for (auto &[origin, change] : proposals_) {
    if (origin.received != timestamp{}) {
      request_counts_.longest_unproposed =
          std::max(request_counts_.longest_unproposed, now - origin.received);
    }
    *batch.add_changes() = std::move(change);
    origins.push_back(std::move(origin));
  }
  proposals_.clear();
  const auto index = log_->propose(std::move(command), now, out);
  if (index) {
    requesters_[index.value().value()] = std::move(origins);
  }
}

bool record_node::has_current_quotas() const {
  return log_->is_leader() && applied_term_ == log_->term();
}

void record_node::propose_quota_reservations(timestamp now) {
  if (!has_current_quotas()) {
    return;
  }
  if (permits_term_ != log_->term()) {
    clear_permit_requests(now); // re-elected before the loss was noticed
  }
  for (wire::ReserveQuota &wanted : permits_.take_reservations(now)) {
    wire::RecordChange change;
    *change.mutable_reserve_quota() = std::move(wanted);
    proposals_.emplace_back(request_origin{}, std::move(change));
  }
}

void record_node::clear_permit_requests(timestamp now) {
  permits_term_ = log_->term();
  for (const gateway_permit_request &each : permits_.clear()) {
    pending_requests_.erase(request_hash(each.reply_to, each.id));
    wire::RecordRequest refused;
    refused.set_reply_to(each.reply_to);
    refused.set_members_hash(each.members_hash);
    refused.add_items()->set_id(each.id);
    refuse(refused, now);
  }
  // Proposed later, a reservation would belong to another term and concern
  // permits that are already counted.
  std::erase_if(proposals_, [](const auto &proposal) {
    return proposal.second.has_reserve_quota();
  });
}

void record_node::send_permits(timestamp now, record_effects &effects) {
  std::map<std::string, std::pair<wire::RecordReply, std::uint64_t>> replies;
  for (permit_reply &each : permits_.take_replies()) {
    auto &[reply, known_members] = replies[each.request.reply_to];
    known_members = each.request.members_hash;
    wire::RecordReplyItem &item = *reply.add_items();
    item.set_id(each.request.id);
    item.set_verdict(wire::RECORD_DONE);
    *item.mutable_permit() = std::move(each.answer);
    pending_requests_.erase(
        request_hash(each.request.reply_to, each.request.id));
  }
  for (auto &[address, entry] : replies) {
    add_common_fields(entry.first, address, entry.second, now);
    wire::Envelope envelope;
    *envelope.mutable_record_reply() = std::move(entry.first);
    envelope.set_from(self_id_.node.value());
    envelope.set_from_boot(self_id_.boot.value());
    effects.messages.push_back({address, std::move(envelope)});
  }
}

void record_node::add_common_fields(wire::RecordReply &reply,
                                    const std::string &address,
                                    std::uint64_t known_members,
                                    timestamp now) {
  reply.set_leader_address(self_.address());
  *reply.mutable_seen() = seen_;
  if (known_members != members_hash()) {
    *reply.mutable_members() = members();
  }
  if (pending_load_replies_.erase(address) > 0) {
    *reply.mutable_loads() = loads_.loads_of_others(address, now);
  }
}

void record_node::redirect_proposals(timestamp now) {
  if (leader_address().empty()) {
    return; // refused once a leader is known
  }
  std::map<std::string, wire::RecordRequest> by_origin;
  for (const auto &[origin, change] : proposals_) {
    if (change.has_reserve_quota()) {
      continue; // proposed by this node itself
    }
    wire::RecordRequest &request = by_origin[origin.reply_to];
    request.set_reply_to(origin.reply_to);
    request.set_members_hash(origin.members_hash);
    request.add_items()->set_id(origin.id);
  }
  for (const auto &[address, request] : by_origin) {
    refuse(request, now);
  }
  proposals_.clear();
}

std::optional<timestamp> record_node::batch_due() const {
  const bool waits =
      proposals_.empty() || !log_->is_leader() || !transfer_targets_.empty();
  return waits ? std::nullopt
               : std::optional(proposed_ + options_.batch_interval);
}

void record_node::send_outcomes(
    std::uint64_t index, const std::vector<wire::RecordReplyItem> &outcomes,
    timestamp now, record_effects &effects) {
  const auto found = requesters_.find(index);
  if (found == requesters_.end()) {
    return;
  }
  std::map<std::string, std::pair<wire::RecordReply, std::uint64_t>> replies;
  for (std::size_t place = 0; place < found->second.size(); ++place) {
    const request_origin &origin = found->second[place];
    if (outcomes.at(place).has_reserved_quota()) {
      if (applied_term_ == permits_term_) {
        permits_.on_reserved(outcomes.at(place).reserved_quota(),
                             quota_clock_.time_at(now), now);
      }
      continue;
    }
    request_counts_.late += origin.is_late(now) ? 1 : 0;
    request_counts_.longest_outcome =
        std::max(request_counts_.longest_outcome, now - origin.received);
    auto &[reply, known_hash] = replies[origin.reply_to];
    known_hash = origin.members_hash;
    wire::RecordReplyItem &item = *reply.add_items();
    item = outcomes.at(place);
    item.set_id(origin.id);
    pending_requests_.erase(request_hash(origin.reply_to, origin.id));
  }
  requesters_.erase(found);
  for (auto &[address, entry] : replies) {
    auto &[reply, known_hash] = entry;
    add_common_fields(reply, address, known_hash, now);
    wire::Envelope envelope;
    *envelope.mutable_record_reply() = std::move(reply);
    envelope.set_from(self_id_.node.value());
    envelope.set_from_boot(self_id_.boot.value());
    effects.messages.push_back({address, std::move(envelope)});
  }
}

void record_node::update_leadership(timestamp now) {
  const bool leads = log_->is_leader();
  if (leads == was_leader_) {
    return;
  }
  was_leader_ = leads;
  log_event(leads ? logging::event::record_leadership_gained
                  : logging::event::record_leadership_lost,
            fmt::format("term {} commit {} last {}", log_->term(),
                        log_->commit_index(), log_->last_index()));
  if (leads) {
    leading_since_ = now;
    clear_permit_requests(now);
  } else {
    requesters_.clear();
    pending_requests_.clear();
    clear_permit_requests(now);
    transfer_targets_.clear();
    sender_.clear();
    pending_load_replies_.clear();
  }
  learners_.clear();
}

void record_node::send_hello(timestamp now) {
  const bool served = log_->is_leader() || now < leader_heard_ + leader_timeout;
  if (served || now < next_hello_) {
    return;
  }
  const bool has_hint = has_leader_hint(now);
  next_hello_ =
      now + (has_hint ? options_.idle_hello_interval : options_.hello_interval);
  wire::RecordHello hello;
  *hello.mutable_self() = self_;
  hello.set_members_hash(members_hash());
  for (const auto &[id, known] : members_) {
    const std::string &address = known.record.address();
    if (id != self_id_ && (!has_hint || address == leader_hint_)) {
      wire::Envelope envelope;
      *envelope.mutable_record_hello() = hello;
      send(address, std::move(envelope));
    }
  }
}

bool record_node::knows_leader(timestamp now) const {
  return log_->is_leader() || log_->leader().has_value() ||
         has_leader_hint(now);
}

void record_node::on_leader_hint(const std::string &leader,
                                 const std::string &reported_by,
                                 timestamp now) {
  // An empty address from a node without a replica carries no information; from
  // the presumed leader it means that it no longer leads.
  const bool says_something = !leader.empty() || reported_by == leader_hint_;
  if (says_something) {
    leader_hint_ = leader;
    leader_hint_at_ = now;
  }
}

bool record_node::has_leader_hint(timestamp now) const {
  return !leader_hint_.empty() && now < leader_hint_at_ + leader_hint_lifetime;
}

bool record_node::may_become_voter(const replica_id &learner) const {
  const std::vector<replica_id> &voters = log_->voters();
  const bool succeeds_dead =
      std::ranges::any_of(voters, [this, &learner](const replica_id &voter) {
        return voter.node == learner.node && log_->is_dead(voter);
      });
  // A dead voter acknowledges nothing, so replacing it by a successor that lags
  // loses nothing, and the group regains a voter sooner. Waiting until the
  // successor reaches the end of a busy log would prolong the time in which
  // fewer losses are tolerated: it left the group with four of five voters for
  // up to 5 s more.
  const bool holds_state = log_->match_index(learner) > 0;
  return log_->caught_up(learner) || (succeeds_dead && holds_state);
}

std::vector<node_view> record_node::node_views(timestamp now) const {
  std::vector<node_view> nodes;
  const std::map<node_id, std::uint64_t> preferred = preferences();
  for (const auto &[id, known] : members_) {
    const bool is_self = id == self_id_;
    const bool unheard = known.heard == timestamp{};
    const timestamp heard = unheard ? timestamp{} : known.heard;
    // A new leader cannot know how long a node was silent before its term.
    const timestamp since = std::max(heard, leading_since_);
    nodes.push_back(
        {.replica = id,
         .zone = known.record.zone(),
         .preference = preferred.at(id.node),
         .votes = log_->is_voter(id),
         .is_self = is_self,
         .alive =
             is_self || (!unheard && now < heard + options_.liveness_timeout),
         .long_silent = !is_self && now >= since + options_.replace_after,
         .gone = !is_self && now >= since + options_.gone_after,
         .dead = log_->is_dead(id),
         .caught_up = log_->is_learner(id) && may_become_voter(id),
         .lagging = !is_self && log_->is_voter(id) && !log_->caught_up(id),
         .retiring = retiring_.contains(known.record.name())});
  }
  for (const replica_id &voter : log_->voters()) {
    if (!members_.contains(voter)) {
      nodes.push_back(
          {.replica = voter,
           .zone = {},
           .votes = true,
           .long_silent = now >= leading_since_ + options_.replace_after,
           .gone = now >= leading_since_ + options_.gone_after,
           .dead = log_->is_dead(voter)});
    }
  }
  return nodes;
}

void record_node::maintain_membership(timestamp now, raft::outbox &out) {
  std::erase_if(learners_, [&](const replica_id &learner) {
    const auto known = members_.find(learner);
    const bool silent = known == members_.end() ||
                        now >= known->second.heard + drop_learner_after;
    const bool gone = silent || log_->is_dead(learner);
    if (gone) {
      log_->drop_learner(learner);
      sender_.cancel(learner);
    }
    return gone || log_->is_voter(learner);
  });
  if (log_->change_in_progress()) {
    continue_transfer(now, out);
    return;
  }
  const bool recruits = now >= leading_since_ + options_.recruit_after;
  const auto change = next_membership_change(node_views(now), learners_,
                                             options_.size, recruits);
  const bool begins_copy =
      change && std::holds_alternative<add_learner>(*change);
  if (change && !(begins_copy && may_transfer_soon(now))) {
    apply_change(*change, now, out);
  } else {
    transfer_to_preferred_voter(now);
  }
  continue_transfer(now, out);
}

std::map<node_id, std::uint64_t> record_node::preferences() const {
  std::map<node_id, std::uint64_t> ranks;
  for (const auto &[id, known] : members_) {
    ranks[id.node] = 0;
  }
  const std::uint64_t count = ranks.size();
  const std::uint64_t first = options_.partition * count / options_.partitions;
  std::uint64_t place = 0;
  for (auto &[node, preference] : ranks) {
    const std::uint64_t distance = (place + count - first) % count;
    preference = count - distance;
    ++place;
  }
  return ranks;
}

std::optional<replica_id> record_node::preferred_voter(timestamp now) const {
  const std::vector<node_view> nodes = node_views(now);
  const node_view *preferred = nullptr;
  for (const node_view &each : nodes) {
    const bool fits = each.votes && each.alive && !each.retiring && !each.dead;
    const bool better =
        preferred == nullptr || each.preference > preferred->preference;
    if (fits && better) {
      preferred = &each;
    }
  }
  return preferred == nullptr ? std::nullopt
                              : std::optional(preferred->replica);
}

bool record_node::may_transfer_soon(timestamp now) const {
  // The next leader would restart the snapshot transfer. A node that leads
  // several partitions would also send all their snapshots at once, which takes
  // several times as long as one from each leader: 14 s for three partitions,
  // where each takes 4 to 6 s from a leader of its own.
  const timestamp settled = leading_since_ + options_.transfer_delay +
                            transfer_timeout + options_.raft.heartbeat_interval;
  return options_.partitions > 1 && !log_->elected_by_transfer() &&
         now < settled && preferred_voter(now) != self_id_;
}

void record_node::transfer_to_preferred_voter(timestamp now) {
  const duration_ms kept = log_->elected_by_transfer()
                               ? options_.keep_received_leadership
                               : options_.transfer_delay;
  const bool due = options_.partitions > 1 && log_->established() &&
                   now >= leading_since_ + kept && now >= next_transfer_;
  if (!due || has_incomplete_replica(now)) {
    return;
  }
  next_transfer_ = now + options_.transfer_delay;
  const std::optional<replica_id> preferred = preferred_voter(now);
  if (preferred && *preferred != self_id_) {
    begin_transfer({*preferred}, now);
  }
}

bool record_node::has_incomplete_replica(timestamp now) const {
  // The next leader would restart the snapshot transfer, and may have dropped
  // the entries that a lagging voter needs.
  const std::vector<node_view> nodes = node_views(now);
  return !learners_.empty() ||
         std::ranges::any_of(nodes, [](const node_view &each) {
           return each.votes && each.alive && each.lagging;
         });
}

void record_node::begin_transfer(std::set<replica_id> eligible, timestamp now) {
  if (transfer_targets_.empty()) {
    transfer_targets_ = std::move(eligible);
    transfer_requested_ = false;
    transfer_deadline_ = now + transfer_timeout;
  }
}

void record_node::continue_transfer(timestamp now, raft::outbox &out) {
  if (transfer_targets_.empty()) {
    return;
  }
  if (now >= transfer_deadline_) {
    transfer_targets_.clear(); // keeps the leadership
    return;
  }
  // Once everything is committed, every request has its reply. An entry
  // proposed after the transfer request would make this node's log longer than
  // the target's, and others might not vote for the target; so proposals stay
  // paused.
  const bool all_committed = log_->commit_index() == log_->last_index();
  if (!transfer_requested_ && all_committed) {
    transfer_requested_ = log_->transfer_leadership(transfer_targets_, out);
  }
}

void record_node::detect_dead_replicas(timestamp now) {
  // Includes the voters: a restarted node no longer lists a member that it
  // declared dead before, but its log may still count it as a voter.
  std::vector<replica_id> dead;
  const auto check = [this, now, &dead](const replica_id &id) {
    const bool silent = now >= last_heard(id) + dead_after_silence;
    const bool gone = id != self_id_ && !log_->is_dead(id) && silent &&
                      has_successor(id, now);
    if (gone) {
      dead.push_back(id);
    }
  };
  // Called in every step, so only nodes with several identities are checked.
  // They are neighbours in the order of the ids.
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    const auto next = std::next(it);
    const bool has_later =
        next != members_.end() && next->first.node == it->first.node;
    const bool has_earlier =
        it != members_.begin() && std::prev(it)->first.node == it->first.node;
    if (has_later || has_earlier) {
      check(it->first);
    }
  }
  for (const replica_id &voter : log_->counted_voters()) {
    if (!members_.contains(voter)) {
      check(voter);
    }
  }
  for (const replica_id &id : dead) {
    log_->declare_dead(id);
    if (members_.erase(id) > 0) {
      on_members_changed();
    }
  }
}

bool record_node::has_successor(const replica_id &id, timestamp now) const {
  auto it = members_.lower_bound({id.node, boot_id{0}});
  for (; it != members_.end() && it->first.node == id.node; ++it) {
    const bool heard_lately = now < it->second.heard + successor_heard_within;
    if (it->first != id && heard_lately) {
      return true;
    }
  }
  return false;
}

timestamp record_node::last_heard(const replica_id &id) const {
  const auto known = members_.find(id);
  // One that was learned from a list may be about to send its first message.
  return known == members_.end() ? started_
                                 : std::max(known->second.heard, started_);
}

void record_node::apply_change(const membership_change &change, timestamp now,
                               raft::outbox &out) {
  std::vector<replica_id> voters = log_->voters();
  if (const auto *learner = std::get_if<add_learner>(&change)) {
    learners_.push_back(learner->replica);
    log_->add_learner(learner->replica, now, out);
    log_event(logging::event::record_member_added,
              fmt::format("learner {}", learner->replica));
    return;
  }
  if (const auto *surplus = std::get_if<release_learner>(&change)) {
    std::erase(learners_, surplus->replica);
    log_->drop_learner(surplus->replica);
    sender_.cancel(surplus->replica);
    log_event(logging::event::record_member_removed,
              fmt::format("learner {}", surplus->replica));
    return;
  }
  if (std::holds_alternative<resign_leadership>(change)) {
    std::set<replica_id> eligible;
    for (const node_view &each : node_views(now)) {
      if (each.votes && each.alive && !each.retiring && !each.is_self) {
        eligible.insert(each.replica);
      }
    }
    begin_transfer(std::move(eligible), now);
    return;
  }
  logging::event number = logging::event::record_member_added;
  std::string detail;
  if (const auto *added = std::get_if<add_voter>(&change)) {
    voters.push_back(added->replica);
    detail = fmt::format("voter {}", added->replica);
  } else if (const auto *removed = std::get_if<remove_voter>(&change)) {
    voters = without(std::move(voters), removed->replica);
    number = logging::event::record_member_removed;
    detail = fmt::format("voter {}", removed->replica);
  } else if (const auto *replaced = std::get_if<replace_voter>(&change)) {
    std::replace(voters.begin(), voters.end(), replaced->dead,
                 replaced->successor);
    number = logging::event::record_member_replaced;
    detail = fmt::format("voter {} by {}", replaced->dead, replaced->successor);
  }
  if (!log_->change_replicas(voters, now, out)) {
    log_event(number, std::move(detail));
  }
}

std::set<std::string> record_node::removable_nodes(timestamp now) const {
  std::set<std::string> names;
  if (!log_->is_leader() || log_->change_in_progress()) {
    return names;
  }
  const bool knows_nodes = now >= leading_since_ + options_.recruit_after;
  const bool whole = log_->established() && knows_nodes &&
                     tolerates_losses(node_views(now), options_.size);
  if (!whole) {
    return names;
  }
  const std::vector<replica_id> &voters = log_->voters();
  for (const std::string &name : retiring_) {
    const node_id node = make_node_id(name);
    const bool votes =
        std::any_of(voters.begin(), voters.end(),
                    [node](const auto &voter) { return voter.node == node; });
    if (!votes) {
      names.insert(name);
    }
  }
  return names;
}

void record_node::queue_messages(raft::outbox &out, record_effects &effects) {
  for (raft::outgoing &message : out.messages) {
    message.envelope.set_from(self_id_.node.value());
    message.envelope.set_from_boot(self_id_.boot.value());
    message.envelope.set_to_boot(message.to.boot.value());
    const std::string address = address_of(message.to);
    if (address.empty()) {
      continue;
    }
    const bool early = message.envelope.has_append_request();
    (early ? effects.early : outgoing_)
        .push_back({address, std::move(message.envelope)});
  }
  for (const raft::outgoing_heartbeat &beat : out.heartbeats) {
    wire::Envelope envelope;
    auto &batch = *envelope.mutable_heartbeat_batch();
    *batch.mutable_leader() = to_wire(self_id_);
    *batch.add_heartbeats() = beat.heartbeat;
    envelope.set_to_boot(beat.to.boot.value());
    send(address_of(beat.to), std::move(envelope));
  }
  for (const replica_id &follower : out.snapshots_wanted) {
    sender_.enqueue(follower);
  }
}

std::string record_node::address_of(const replica_id &replica) const {
  const auto known = members_.find(replica);
  return known == members_.end() ? std::string()
                                 : known->second.record.address();
}

std::string record_node::leader_address() const {
  const auto leader = log_->leader();
  return leader ? address_of(*leader) : std::string();
}

void record_node::on_members_changed() {
  members_changed_ = true;
  members_hash_.reset();
}

std::uint64_t record_node::members_hash() {
  if (!members_hash_) {
    members_hash_ = hash_of(members());
  }
  return *members_hash_;
}

wire::RecordMembers record_node::members() const {
  wire::RecordMembers all;
  for (const auto &[id, known] : members_) {
    *all.add_members() = known.record;
  }
  return all;
}

void record_node::forget_lost_members(timestamp now) {
  const bool settled = now >= leading_since_ + forget_after;
  if (!settled) {
    return; // a new leader has not heard from every node yet
  }
  const std::size_t before = members_.size();
  std::erase_if(members_, [this, now](const auto &entry) {
    const auto &[id, known] = entry;
    const bool silent = now >= known.heard + forget_after;
    return id != self_id_ && silent && !log_->is_voter(id);
  });
  if (members_.size() != before) {
    on_members_changed();
  }
}

void record_node::send(std::string address, wire::Envelope envelope) {
  if (address.empty()) {
    return;
  }
  envelope.set_from(self_id_.node.value());
  envelope.set_from_boot(self_id_.boot.value());
  outgoing_.push_back({std::move(address), std::move(envelope)});
}

void record_node::log_event(logging::event number, std::string detail) {
  events_.push_back({number, std::move(detail)});
}

} // namespace heathtrestle::records
