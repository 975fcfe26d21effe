#include "cluster/partition_table.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::cluster {

namespace {

partition_id partition_in(const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kVoteRequest:
    return partition_id{envelope.vote_request().partition()};
  case wire::Envelope::kVoteReply:
    return partition_id{envelope.vote_reply().partition()};
  case wire::Envelope::kAppendRequest:
    return partition_id{envelope.append_request().partition()};
  case wire::Envelope::kAppendReply:
    return partition_id{envelope.append_reply().partition()};
  case wire::Envelope::kSnapshotRequest:
    return partition_id{envelope.snapshot_request().partition()};
  case wire::Envelope::kTransferLeadership:
    return partition_id{envelope.transfer_leadership().partition()};
  default:
    return {};
  }
}

wire::LeaderHint make_leader_hint(partition_id partition, term_id term,
                                  const replica_id &leader) {
  wire::LeaderHint hint;
  hint.set_partition(partition.value());
  hint.set_term(term.value());
  hint.set_node(leader.node.value());
  hint.set_boot(leader.boot.value());
  return hint;
}

} // namespace

partition_table::partition_table(partition_options options)
    : options_(std::move(options)) {}

void partition_table::on_founded(partition_view &view) {
  const replica_id self = view.members.self_replica();
  for (std::uint32_t number = 0; number < view.members.partitions(); ++number) {
    const partition_id partition{number};
    const std::vector<replica_id> voters =
        view.members.founding_voters(partition);
    const bool votes =
        std::find(voters.begin(), voters.end(), self) != voters.end();
    if (votes && find(partition) == nullptr) {
      create(view, partition, voters);
    }
  }
}

void partition_table::handle_raft(partition_view &view,
                                  const wire::Envelope &envelope) {
  if (envelope.has_heartbeat_batch()) {
    handle_heartbeats(view, envelope.heartbeat_batch());
    return;
  }
  if (envelope.has_heartbeat_reply_batch()) {
    handle_heartbeat_replies(view, envelope.heartbeat_reply_batch());
    return;
  }
  const partition_id partition = partition_in(envelope);
  replica *target = find(partition);
  if (target == nullptr) {
    const bool from_leader =
        envelope.has_append_request() || envelope.has_snapshot_request();
    if (!from_leader || view.members.partitions() == 0) {
      return;
    }
    // A leader has chosen this process as a new replica. It starts with an
    // empty voter set, so it cannot campaign before the log adds it as a voter.
    target = &create(view, partition, {});
  }
  raft::outbox out;
  const timestamp now = view.step.now();
  const std::uint64_t random = view.step.draw();
  switch (envelope.body_case()) {
  case wire::Envelope::kVoteRequest:
    target->log.handle(envelope.vote_request(), now, random, out);
    break;
  case wire::Envelope::kVoteReply:
    target->log.handle(envelope.vote_reply(), now, out);
    break;
  case wire::Envelope::kAppendRequest:
    target->log.handle(envelope.append_request(), now, random, out);
    break;
  case wire::Envelope::kAppendReply:
    target->log.handle(envelope.append_reply(), now, out);
    break;
  case wire::Envelope::kSnapshotRequest:
    if (target->log.handle(envelope.snapshot_request(), now, random, out)) {
      target->store.restore(envelope.snapshot_request().state());
      view.step.log(logging::event::snapshot_installed,
                    fmt::format("partition {} index {}", partition,
                                envelope.snapshot_request().last_index()));
    }
    break;
  case wire::Envelope::kTransferLeadership:
    target->log.handle(envelope.transfer_leadership(), now, random, out);
    break;
  default:
    break;
  }
  advance_replica(view, partition, *target, out);
}

void partition_table::on_client_request(partition_view &view, node_id gateway,
                                        const wire::ClientRequest &request) {
  const partition_id partition{request.partition()};
  replica *target = find(partition);
  if (target == nullptr || !target->established) {
    const bool knows_other = target != nullptr && !target->log.is_leader() &&
                             target->log.leader().has_value();
    wire::LeaderHint hint;
    if (knows_other) {
      hint = make_leader_hint(partition, target->log.term(),
                              *target->log.leader());
    } else if (const auto known = view.members.leader_of(partition)) {
      hint = *known;
    }
    const bool useful =
        hint.node() != 0 && hint.node() != view.members.self_id().value();
    if (useful) {
      wire::Envelope envelope;
      envelope.mutable_client_reply()->set_request_id(request.request_id());
      *envelope.mutable_client_reply()->mutable_redirect() = hint;
      view.step.send(gateway, std::move(envelope));
    }
    return; // without a redirect the gateway retries
  }
  with_coordinator(view, partition, *target, [&](auto &inner) {
    target->coordinator.on_request(inner, {gateway, request.request_id()},
                                   request);
  });
}

void partition_table::on_dispatch_reply(partition_view &view,
                                        const wire::DispatchReply &reply) {
  const partition_id partition{reply.program_partition()};
  if (replica *target = find_established(partition)) {
    with_coordinator(view, partition, *target, [&](auto &inner) {
      target->coordinator.on_dispatch_reply(inner, reply);
    });
  }
}

void partition_table::on_tool_finished(partition_view &view,
                                       const wire::ToolFinished &result) {
  const partition_id partition{result.partition()};
  if (replica *target = find_established(partition)) {
    with_coordinator(view, partition, *target, [&](auto &inner) {
      target->coordinator.on_tool_finished(inner, result);
    });
  }
}

void partition_table::on_memory_released(partition_view &view,
                                         const wire::MemoryReleaseDone &done) {
  const partition_id partition{done.program_partition()};
  if (replica *target = find_established(partition)) {
    with_coordinator(view, partition, *target, [&](auto &inner) {
      target->coordinator.on_memory_released(inner, done);
    });
  }
}

void partition_table::tick(partition_view &view) {
  const timestamp now = view.step.now();
  for (auto &[partition, held] : replicas_) {
    replica &target = *held;
    raft::outbox out;
    target.log.tick(now, view.step.draw(), out);
    const bool maintenance_due =
        now - target.last_maintenance >= options_.maintenance_interval;
    if (maintenance_due) {
      target.last_maintenance = now;
      if (target.established) {
        maintain(view, partition, target, out);
        with_coordinator(view, partition, target,
                         [&](auto &inner) { target.coordinator.tick(inner); });
      }
    }
    advance_replica(view, partition, target, out);
  }
  for (auto &[peer, batch] : heartbeats_) {
    *batch.mutable_leader() = to_wire(view.members.self_replica());
    wire::Envelope envelope;
    *envelope.mutable_heartbeat_batch() = std::move(batch);
    view.step.send(peer, std::move(envelope));
  }
  heartbeats_.clear();
}

void partition_table::transfer_leaderships(partition_view &view) {
  for (auto &[partition, held] : replicas_) {
    std::set<replica_id> eligible;
    for (const replica_id &voter : held->log.voters()) {
      if (!should_replace(view, voter)) {
        eligible.insert(voter);
      }
    }
    eligible.erase(view.members.self_replica());
    raft::outbox out;
    held->log.transfer_leadership(eligible, out);
    advance_replica(view, partition, *held, out);
  }
}

std::optional<term_id> partition_table::led_term(partition_id partition,
                                                 timestamp now) const {
  const auto found = replicas_.find(partition);
  const bool led = found != replicas_.end() && found->second->established &&
                   found->second->log.is_leader() &&
                   found->second->log.has_recent_quorum(now);
  return led ? std::optional(found->second->established_term) : std::nullopt;
}

std::uint32_t partition_table::led_count() const {
  return static_cast<std::uint32_t>(
      std::count_if(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second->established;
      }));
}

std::uint32_t partition_table::replica_count() const {
  return static_cast<std::uint32_t>(replicas_.size());
}

std::uint32_t partition_table::voting_count() const {
  return static_cast<std::uint32_t>(
      std::count_if(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return !entry.second->log.retired();
      }));
}

void partition_table::describe(timestamp now, std::uint32_t limit,
                               wire::StatusReply &reply) const {
  for (const auto &[partition, held] : replicas_) {
    if (held->established) {
      held->coordinator.describe(held->store, now, limit, reply);
    }
  }
}

const programs::program_store *
partition_table::store_of(partition_id partition) const {
  const auto found = replicas_.find(partition);
  return found == replicas_.end() ? nullptr : &found->second->store;
}

const raft::consensus *partition_table::log_of(partition_id partition) const {
  const auto found = replicas_.find(partition);
  return found == replicas_.end() ? nullptr : &found->second->log;
}

partition_table::replica *partition_table::find(partition_id partition) {
  const auto found = replicas_.find(partition);
  return found == replicas_.end() ? nullptr : found->second.get();
}

partition_table::replica *
partition_table::find_established(partition_id partition) {
  replica *found = find(partition);
  return found != nullptr && found->established ? found : nullptr;
}

partition_table::replica &
partition_table::create(partition_view &view, partition_id partition,
                        const std::vector<replica_id> &voters) {
  raft::consensus log(partition, view.members.self_replica(), voters,
                      options_.raft, view.step.now(), view.step.draw());
  auto created = std::make_unique<replica>(
      replica{.log = std::move(log),
              .store = {},
              .coordinator = programs::coordinator(options_.programs)});
  view.step.log(logging::event::replica_created,
                fmt::format("partition {}", partition));
  return *(replicas_[partition] = std::move(created));
}

void partition_table::handle_heartbeats(partition_view &view,
                                        const wire::HeartbeatBatch &batch) {
  const replica_id leader = from_wire(batch.leader());
  wire::Envelope envelope;
  wire::HeartbeatReplyBatch &replies =
      *envelope.mutable_heartbeat_reply_batch();
  *replies.mutable_follower() = to_wire(view.members.self_replica());
  for (const wire::Heartbeat &heartbeat : batch.heartbeats()) {
    const partition_id partition{heartbeat.partition()};
    replica *target = find(partition);
    if (target == nullptr) {
      continue; // the leader's next append creates the replica
    }
    const std::uint64_t term = target->log.handle(
        leader, heartbeat, view.step.now(), view.step.draw());
    wire::HeartbeatReply &reply = *replies.add_replies();
    reply.set_partition(heartbeat.partition());
    reply.set_term(term);
    raft::outbox out;
    advance_replica(view, partition, *target, out);
  }
  if (replies.replies_size() > 0) {
    view.step.send(leader, std::move(envelope));
  }
}

void partition_table::handle_heartbeat_replies(
    partition_view &view, const wire::HeartbeatReplyBatch &batch) {
  const replica_id follower = from_wire(batch.follower());
  for (const wire::HeartbeatReply &reply : batch.replies()) {
    const partition_id partition{reply.partition()};
    if (replica *target = find(partition)) {
      raft::outbox out;
      target->log.handle(follower, reply, view.step.now(), out);
      advance_replica(view, partition, *target, out);
    }
  }
}

void partition_table::advance_replica(partition_view &view,
                                      partition_id partition, replica &target,
                                      raft::outbox &out) {
  std::vector<programs::proposal> proposals;
  do {
    proposals.clear();
    apply_committed(view, partition, target, proposals);
    update_leadership(view, partition, target, proposals);
    append(view, target, proposals, out);
  } while (!proposals.empty());
  flush(view, target, out);
}

void partition_table::append(partition_view &view, replica &target,
                             std::vector<programs::proposal> &proposals,
                             raft::outbox &out) {
  for (programs::proposal &proposed : proposals) {
    const auto index =
        target.log.propose(proposed.command, view.step.now(), out);
    if (index) {
      target.coordinator.on_proposed(index.value(), std::move(proposed));
    }
  }
}

void partition_table::apply_committed(
    partition_view &view, partition_id partition, replica &target,
    std::vector<programs::proposal> &proposals) {
  for (const wire::LogEntry &entry : target.log.take_committed()) {
    if (entry.has_replicas()) {
      view.step.log(logging::event::replica_set_changed,
                    fmt::format("partition {} voters {}", partition,
                                entry.replicas().voters_size()));
    }
    if (!entry.has_command()) {
      continue;
    }
    const programs::apply_result outcome = target.store.apply(entry.command());
    const bool leads = target.established && target.log.is_leader() &&
                       target.established_term == target.log.term();
    if (leads) {
      auto inner = coordinator_view_of(view, partition, target, proposals);
      target.coordinator.on_applied(inner, log_index{entry.index()},
                                    entry.command(), outcome);
    }
  }
}

void partition_table::update_leadership(
    partition_view &view, partition_id partition, replica &target,
    std::vector<programs::proposal> &proposals) {
  const bool established = target.log.established();
  const bool same_term = target.established_term == target.log.term();
  if (target.established && (!established || !same_term)) {
    target.established = false;
    target.learner.reset();
    target.coordinator.on_leadership_lost();
    view.step.log(logging::event::leadership_lost,
                  fmt::format("partition {} term {}", partition,
                              target.established_term));
  }
  if (established && !target.established) {
    target.established = true;
    target.established_term = target.log.term();
    view.members.merge(make_leader_hint(partition, target.log.term(),
                                        view.members.self_replica()));
    view.step.log(
        logging::event::leadership_gained,
        fmt::format("partition {} term {}", partition, target.log.term()));
    auto inner = coordinator_view_of(view, partition, target, proposals);
    target.coordinator.on_established(inner);
  }
}

void partition_table::flush(partition_view &view, replica &target,
                            raft::outbox &out) {
  for (raft::outgoing &message : out.messages) {
    view.step.send(message.to, std::move(message.envelope));
  }
  for (const replica_id &follower : out.snapshots_wanted) {
    wire::Envelope envelope;
    wire::SnapshotRequest &snapshot = *envelope.mutable_snapshot_request();
    snapshot = target.log.snapshot_header();
    *snapshot.mutable_state() = target.store.snapshot();
    view.step.log(
        logging::event::snapshot_sent,
        fmt::format("partition {} to {}", snapshot.partition(), follower));
    view.step.send(follower, std::move(envelope));
  }
  for (raft::outgoing_heartbeat &heartbeat : out.heartbeats) {
    *heartbeats_[heartbeat.to].add_heartbeats() =
        std::move(heartbeat.heartbeat);
  }
  out = {};
}

programs::coordinator_view partition_table::coordinator_view_of(
    partition_view &view, partition_id partition, replica &target,
    std::vector<programs::proposal> &proposals) {
  return {.step = view.step,
          .configuration = view.configuration,
          .members = view.members,
          .store = target.store,
          .partition = partition,
          .term = target.log.term(),
          .proposals = proposals};
}

} // namespace heathtrestle::cluster
