#include "core/node.hpp"

#include "core/table_locks.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::core {

node::node(wire::Member self, node_options options)
    : options_(std::move(options)), relay_(options_.relay),
      members_(std::move(self)), detector_(options_.detector, options_.seeds),
      partitions_(options_.partitions), dispatch_(options_.dispatch),
      gateway_(options_.gateway) {}

effect_list node::reduce(const wire::Event &event) {
  effect_list effects;
  step step(timestamp_from(event.now_ms()), event.random(), effects);
  const table_guard guard(locks_, tables_needed(event));
  switch (event.body_case()) {
  case wire::Event::kTick:
    reduce_tick(step);
    break;
  case wire::Event::kReceived:
    reduce_received(event.received(), step);
    break;
  case wire::Event::kClientArrived: {
    auto view = gateway_view_of(step);
    gateway_.on_arrived(view, event.client_arrived());
    break;
  }
  case wire::Event::kClientGone:
    gateway_.on_gone(event.client_gone());
    break;
  case wire::Event::kEngineProgress: {
    auto view = dispatch_view_of(step);
    dispatch_.on_progress(view, event.engine_progress());
    break;
  }
  case wire::Event::kEngineFinished: {
    auto view = dispatch_view_of(step);
    dispatch_.on_finished(view, event.engine_finished());
    break;
  }
  case wire::Event::kEngineMemoryReleased: {
    auto view = dispatch_view_of(step);
    dispatch_.on_memory_released(view, event.engine_memory_released());
    break;
  }
  case wire::Event::kEngineFenced:
    dispatch_.on_fenced(event.engine_fenced());
    break;
  case wire::Event::kToolFinished: {
    auto view = partition_view_of(step);
    partitions_.on_tool_finished(view, event.tool_finished());
    break;
  }
  case wire::Event::kConfigurationRead:
    relay_.on_read(configuration_, members_, event.configuration_read(), step);
    break;
  case wire::Event::kFoundingRead:
    apply_founding(event.founding_read(), step);
    announce_founding(step);
    break;
  case wire::Event::kStatusAsked: {
    const wire::StatusAsked &asked = event.status_asked();
    wire::StatusReply &reply =
        *step.add().mutable_status_ready()->mutable_reply();
    fill_status_reply(asked.query(), asked.calls(), asked.limit(), step, reply);
    for (const wire::Member *member : members_.running()) {
      if (node_id{member->node()} == members_.self_id()) {
        continue;
      }
      wire::Envelope envelope;
      envelope.mutable_status_query()->set_query(asked.query());
      envelope.mutable_status_query()->set_calls(asked.calls());
      envelope.mutable_status_query()->set_limit(asked.limit());
      step.send(node_id{member->node()}, std::move(envelope));
    }
    break;
  }
  case wire::Event::kDrainAsked: {
    draining_ = true;
    drain_started_ = step.now();
    members_.set_self_leaving(step);
    break;
  }
  case wire::Event::kEngineLoad:
  case wire::Event::BODY_NOT_SET:
    break;
  }
  complete_messages(effects);
  return effects;
}

void node::reduce_tick(step &step) {
  detector_.tick(members_, step);
  relay_.tick(members_, step);
  propose_founding(step);
  auto partition_view = partition_view_of(step);
  partitions_.tick(partition_view);
  auto dispatch_view = dispatch_view_of(step);
  dispatch_.tick(dispatch_view);
  auto gateway_view = gateway_view_of(step);
  gateway_.tick(gateway_view);
  tick_drain(step);
}

void node::reduce_received(const wire::Envelope &envelope, step &step) {
  const std::uint64_t own_boot = members_.self().boot();
  const bool for_other_process =
      envelope.to_boot() != 0 && envelope.to_boot() != own_boot;
  if (for_other_process) {
    return; // addressed to an earlier process of this node
  }
  merge_gossip(envelope, step);
  reduce_peer_message(envelope, step);
}

void node::reduce_peer_message(const wire::Envelope &envelope, step &step) {
  const node_id sender{envelope.from()};
  switch (envelope.body_case()) {
  case wire::Envelope::kPing:
    detector_.handle(envelope, envelope.ping(), members_, step);
    return;
  case wire::Envelope::kAck:
    detector_.handle(envelope.ack(), members_, step);
    return;
  case wire::Envelope::kPingRequest:
    detector_.handle(envelope, envelope.ping_request(), step);
    return;
  case wire::Envelope::kMembershipSync:
    detector_.handle(envelope, envelope.membership_sync(), members_, step);
    if (envelope.membership_sync().has_founding()) {
      apply_founding(envelope.membership_sync().founding(), step);
    }
    return;
  case wire::Envelope::kConfigurationDelta:
    relay_.on_delta(configuration_, members_, sender,
                    envelope.configuration_delta(), step);
    return;
  case wire::Envelope::kConfigurationPull:
    relay_.on_pull(configuration_, sender, envelope.configuration_pull(), step);
    return;
  case wire::Envelope::kClientRequest: {
    auto view = partition_view_of(step);
    partitions_.on_client_request(view, sender, envelope.client_request());
    return;
  }
  case wire::Envelope::kDispatchReply: {
    auto view = partition_view_of(step);
    partitions_.on_dispatch_reply(view, envelope.dispatch_reply());
    return;
  }
  case wire::Envelope::kMemoryReleaseDone: {
    auto view = partition_view_of(step);
    partitions_.on_memory_released(view, envelope.memory_release_done());
    return;
  }
  case wire::Envelope::kClientReply: {
    auto view = gateway_view_of(step);
    gateway_.on_reply(view, envelope.client_reply());
    return;
  }
  case wire::Envelope::kStreamChunk: {
    auto view = gateway_view_of(step);
    gateway_.on_chunk(view, envelope.stream_chunk());
    return;
  }
  case wire::Envelope::kDispatchRequest: {
    auto view = dispatch_view_of(step);
    dispatch_.on_request(view, envelope.dispatch_request());
    return;
  }
  case wire::Envelope::kCancelDispatch: {
    auto view = dispatch_view_of(step);
    dispatch_.on_cancel(view, envelope.cancel_dispatch());
    return;
  }
  case wire::Envelope::kReleaseMemory: {
    auto view = dispatch_view_of(step);
    dispatch_.on_release(view, envelope.release_memory());
    return;
  }
  case wire::Envelope::kStatusQuery: {
    const wire::StatusQuery &query = envelope.status_query();
    wire::Envelope reply;
    fill_status_reply(query.query(), query.calls(), query.limit(), step,
                      *reply.mutable_status_reply());
    step.send(sender, std::move(reply));
    return;
  }
  case wire::Envelope::kStatusReply:
    *step.add().mutable_status_ready()->mutable_reply() =
        envelope.status_reply();
    return;
  case wire::Envelope::BODY_NOT_SET:
    return;
  default: {
    auto view = partition_view_of(step);
    partitions_.handle_raft(view, envelope);
    return;
  }
  }
}

void node::merge_gossip(const wire::Envelope &envelope, step &step) {
  const node_id sender{envelope.from()};
  for (const wire::Member &member : envelope.members()) {
    members_.merge(member, step);
  }
  for (const wire::LeaderHint &hint : envelope.leaders()) {
    members_.merge(hint);
  }
  members_.record_configuration_revision(sender,
                                         envelope.configuration_revision());
  if (sender != members_.self_id()) {
    relay_.on_peer_revision(configuration_, sender,
                            envelope.configuration_revision(), step);
  }
}

void node::propose_founding(step &step) {
  if (members_.founding().has_value() || step.now() < next_founding_) {
    return;
  }
  next_founding_ = step.now() + options_.founding_interval;
  std::vector<const wire::Member *> holders = members_.running();
  std::erase_if(holders, [](const wire::Member *member) {
    return !member->holds_partitions();
  });
  const bool enough =
      !holders.empty() && holders.size() >= options_.founding_members;
  if (!enough) {
    return;
  }
  // A single proposer saves requests to the platform. Concurrent proposals are
  // harmless, because the platform accepts only the first one.
  const bool is_first = node_id{holders.front()->node()} == members_.self_id();
  if (!is_first) {
    return;
  }
  wire::Founding &founding =
      *step.add().mutable_propose_founding()->mutable_founding();
  founding.set_partitions(options_.partition_count);
  founding.set_replication(options_.replication);
  for (const wire::Member *member : holders) {
    *founding.add_founders() = *member;
  }
}

void node::apply_founding(const wire::Founding &founding, step &step) {
  if (members_.founding().has_value()) {
    return;
  }
  members_.set_founding(founding);
  step.log(logging::event::cluster_founded,
           fmt::format("{} partitions, {} founders", founding.partitions(),
                       founding.founders_size()));
  auto view = partition_view_of(step);
  partitions_.on_founded(view);
}

void node::announce_founding(step &step) {
  for (const wire::Member *member : members_.running()) {
    if (node_id{member->node()} == members_.self_id()) {
      continue;
    }
    wire::Envelope envelope;
    *envelope.mutable_membership_sync() = members_.full_sync(false);
    step.send(node_id{member->node()}, std::move(envelope));
  }
}

void node::tick_drain(step &step) {
  if (!draining_ || drained_) {
    return;
  }
  auto view = partition_view_of(step);
  partitions_.transfer_leaderships(view);
  const bool idle = dispatch_.running() == 0 && dispatch_.waiting() == 0 &&
                    gateway_.size() == 0;
  const bool holds_nothing = partitions_.voting_count() == 0;
  const bool limit_reached =
      step.now() - drain_started_ >= options_.drain_limit;
  if ((idle && holds_nothing) || limit_reached) {
    drained_ = true;
    auto gateway_view = gateway_view_of(step);
    gateway_.give_up_all(gateway_view);
    members_.set_self_left(step);
    for (const wire::Member *member : members_.running()) {
      wire::Envelope envelope;
      *envelope.add_members() = members_.self();
      step.send(node_id{member->node()}, std::move(envelope));
    }
    step.log(logging::event::drain_finished,
             limit_reached ? "the drain limit was reached"
                           : "no requests, connections or replicas remain");
    step.add().mutable_drain_done();
  }
}

void node::fill_status_reply(std::uint64_t query, bool calls,
                             std::uint32_t limit, step &step,
                             wire::StatusReply &reply) {
  reply.set_query(query);
  wire::NodeRow &row = *reply.mutable_node();
  row.set_name(members_.self().name());
  row.set_zone(members_.self().zone());
  row.set_status(members_.self().leaving() ? "leaving" : "running");
  row.set_configuration_revision(configuration_.revision());
  row.set_partitions_led(partitions_.led_count());
  row.set_replicas(partitions_.replica_count());
  row.set_connections(static_cast<std::uint32_t>(gateway_.size()));
  if (calls) {
    partitions_.describe(step.now(), limit, reply);
  }
}

void node::complete_messages(effect_list &effects) {
  for (wire::Effect &effect : effects) {
    if (!effect.has_send()) {
      continue;
    }
    wire::SendMessage &message = *effect.mutable_send();
    if (message.to() != 0) {
      const membership::member_state *target =
          members_.find(node_id{message.to()});
      if (target != nullptr) {
        message.set_address(target->member.rpc_address());
      }
    }
    wire::Envelope &envelope = *message.mutable_envelope();
    envelope.set_from(members_.self_id().value());
    envelope.set_from_boot(members_.self().boot());
    envelope.set_configuration_revision(configuration_.revision());
    // Gossip is attached only to pings and acks, which go to random peers. Each
    // item is sent a limited number of times, and heartbeats would use these up
    // on the same few peers.
    const bool carries_gossip = message.to() != members_.self_id().value() &&
                                (envelope.has_ping() || envelope.has_ack());
    if (carries_gossip) {
      members_.attach_gossip(envelope);
    }
  }
}

bool node::ready() {
  const node_counts now = counts();
  const std::scoped_lock lock(lock_of(table::membership));
  return members_.partitions() > 0 &&
         now.partitions_known == members_.partitions();
}

node_counts node::counts() {
  const table_guard guard(locks_, table_set{}.set());
  node_counts result;
  result.partitions_led = partitions_.led_count();
  result.replicas = partitions_.replica_count();
  result.connections = static_cast<std::uint32_t>(gateway_.size());
  result.running = static_cast<std::uint32_t>(dispatch_.running());
  result.waiting = static_cast<std::uint32_t>(dispatch_.waiting());
  result.members_running = static_cast<std::uint32_t>(members_.running_count());
  result.configuration_revision = configuration_.revision();
  for (std::uint32_t number = 0; number < members_.partitions(); ++number) {
    const bool known = members_.leader_of(partition_id{number}).has_value();
    result.partitions_known += known ? 1 : 0;
  }
  return result;
}

std::optional<partition_id> node::partition_for(const std::string &program) {
  const std::scoped_lock lock(lock_of(table::membership));
  const std::uint32_t partitions = members_.partitions();
  if (partitions == 0) {
    return std::nullopt;
  }
  return partition_of(program, partitions);
}

cluster::partition_view node::partition_view_of(step &step) {
  return {.step = step, .configuration = configuration_, .members = members_};
}

dispatch::dispatch_view node::dispatch_view_of(step &step) {
  return {.step = step,
          .configuration = configuration_,
          .members = members_,
          .partitions = partitions_};
}

gateway::gateway_view node::gateway_view_of(step &step) {
  return {.step = step, .members = members_};
}

} // namespace heathtrestle::core
