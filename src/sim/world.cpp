#include "sim/world.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle::sim {

namespace {

/// TCP, IP and ZMTP headers of a small message, and its acknowledgement.
constexpr std::uint64_t header_allowance = 120;
constexpr microseconds engine_latency = 500;
constexpr microseconds platform_latency = 2 * per_millisecond;
constexpr microseconds platform_retry = 500 * per_millisecond;
constexpr microseconds watch_poll = 100 * per_millisecond;

std::string kind_of(const wire::Envelope &envelope) {
  const auto *field =
      wire::Envelope::descriptor()->FindFieldByNumber(envelope.body_case());
  return field == nullptr ? "none" : field->name();
}

} // namespace

world::world(world_options options)
    : options_(std::move(options)), random_(options_.seed) {
  nodes_.resize(options_.nodes);
  options_.node.seeds = {"node-0", "node-1", "node-2"};
  for (std::size_t index = 0; index < options_.nodes; ++index) {
    simulated_node &made = nodes_[index];
    const std::string name = fmt::format("node-{}", index);
    made.member.set_node(make_node_id(name).value());
    made.member.set_name(name);
    made.member.set_rpc_address(name);
    made.member.set_zone(fmt::format("zone-{}", zone_of(index)));
    made.member.set_region("region-1");
    made.member.set_holds_partitions(true);
    node_by_id_[made.member.node()] = index;
    node_by_address_[name] = index;
    // Spread the starts, so that ticks do not coincide.
    clock_.after(random_() % per_second,
                 [this, index] { start_process(index); });
  }
  for (std::size_t index = 0; index < options_.engines; ++index) {
    engines_.push_back(std::make_unique<sim_engine>(
        fmt::format("engine-{}", index), options_.engine, clock_, seen_));
  }
}

bool world::alive(std::size_t node) const {
  return nodes_[node].running != nullptr;
}

bool world::reachable(std::size_t node) const {
  return alive(node) && nodes_[node].frozen_until <= clock_.now();
}

bool world::accepting(std::size_t node) const {
  return alive(node) && !nodes_[node].draining;
}

void world::start_process(std::size_t index) {
  simulated_node &started = nodes_[index];
  const bool keeps_identity =
      options_.switched_off == mutation::same_identity_after_restart &&
      started.boot != 0;
  if (!keeps_identity) {
    started.boot = random_() | 1U;
  }
  started.member.set_boot(started.boot);
  started.member.set_incarnation(clock_.now_ms() + 1);
  started.frozen_until = 0;
  started.held.clear();
  started.watching = false;
  started.draining = false;
  started.running = std::make_unique<core::node>(started.member, options_.node);
  schedule_tick(index, started.boot);
}

void world::schedule_tick(std::size_t index, std::uint64_t boot) {
  clock_.after(options_.tick, [this, index, boot] {
    if (!alive(index) || nodes_[index].boot != boot) {
      return;
    }
    if (nodes_[index].frozen_until <= clock_.now()) {
      wire::Event event;
      event.mutable_tick();
      deliver(index, std::move(event));
    }
    schedule_tick(index, boot);
  });
}

void world::kill(std::size_t node) {
  if (!alive(node)) {
    return;
  }
  nodes_[node].running.reset();
  break_connections(node);
}

void world::restart(std::size_t node) {
  if (!alive(node)) {
    start_process(node);
  }
}

void world::freeze(std::size_t node, microseconds duration) {
  if (!alive(node)) {
    return;
  }
  nodes_[node].frozen_until = clock_.now() + duration;
  const std::uint64_t boot = nodes_[node].boot;
  clock_.after(duration, [this, node, boot] {
    simulated_node &woken = nodes_[node];
    if (!alive(node) || woken.boot != boot ||
        woken.frozen_until > clock_.now()) {
      return;
    }
    std::vector<wire::Event> held;
    held.swap(woken.held);
    for (wire::Event &event : held) {
      if (alive(node) && woken.boot == boot) {
        deliver(node, std::move(event));
      }
    }
  });
}

void world::drain(std::size_t node) {
  if (!alive(node)) {
    return;
  }
  if (options_.switched_off == mutation::stop_without_drain) {
    for (const auto &[id, open] : connections_) {
      seen_.cut_by_planned_stop += open.node == node ? 1 : 0;
    }
    kill(node);
    return;
  }
  nodes_[node].draining = true;
  wire::Event event;
  event.mutable_drain_asked();
  deliver(node, std::move(event));
}

void world::cut(std::size_t from, std::size_t to, microseconds duration) {
  microseconds &until = cuts_[{from, to}];
  until = std::max(until, clock_.now() + duration);
}

void world::cut_zone(std::size_t zone, microseconds duration) {
  for (std::size_t inside = 0; inside < nodes_.size(); ++inside) {
    for (std::size_t outside = 0; outside < nodes_.size(); ++outside) {
      if (zone_of(inside) == zone && zone_of(outside) != zone) {
        cut(inside, outside, duration);
        cut(outside, inside, duration);
      }
    }
  }
}

void world::write_object(const std::string &kind, const std::string &name,
                         const std::string &document) {
  if (platform_.current_fault == sim_platform::fault::down) {
    clock_.after(platform_retry, [this, kind, name, document] {
      write_object(kind, name, document);
    });
    return;
  }
  const std::uint64_t version = platform_.version_of(kind, name);
  const auto accepted = platform_.put(kind, name, document, version);
  if (accepted.has_value()) {
    seen_.changes_accepted.emplace_back(*accepted, clock_.now());
    const bool drains = document.find("\"draining\"") != std::string::npos;
    if (kind == "backend" && drains) {
      seen_.drains_accepted[name] = clock_.now();
    }
  }
}

void world::configure(const bench::profile &profile) {
  for (const bench::tenant_plan &tenant : profile.tenants) {
    write_object("tenant", tenant.name,
                 fmt::format("{{\"weight\":{}}}", tenant.weight));
  }
  for (const bench::class_plan &each : profile.classes) {
    write_object("class", each.name,
                 fmt::format("{{\"priority\":{},\"price\":2,"
                             "\"budget\":4000000,\"turn_limit\":400}}",
                             each.priority));
  }
  write_object("model", "model-a", "{\"minimum_bytes_per_token\":4}");
  write_object("tool", "booking", "{\"address\":\"tools\",\"price\":5}");
  write_object("tool", "lookup", "{\"address\":\"tools\",\"price\":1}");
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    write_object("backend", fmt::format("engine-{}", index),
                 fmt::format("{{\"address\":\"engine-{0}\",\"model\":"
                             "\"model-a\",\"zone\":\"zone-{1}\",\"slots\":{2},"
                             "\"queue_limit\":400}}",
                             index, index % options_.zones,
                             options_.engine.batch));
  }
}

std::string world::send_request(std::size_t node, wire::ClientRequest request,
                                std::uint64_t time_limit_ms, reply_sink replied,
                                std::function<void()> broken) {
  std::string id = fmt::format("request-{}", next_request_++);
  request.set_request_id(id);
  if (options_.switched_off == mutation::no_order &&
      request.has_submit_call()) {
    wire::CallRequest &call = *request.mutable_submit_call()->mutable_call();
    call.set_agent(call.agent() + call.key());
    call.clear_after();
  }
  connections_[id] = {node, nodes_[node].boot, std::move(replied),
                      std::move(broken)};
  wire::Event event;
  *event.mutable_client_arrived()->mutable_request() = std::move(request);
  event.mutable_client_arrived()->set_time_limit_ms(time_limit_ms);
  post(node, nodes_[node].boot, engine_latency, std::move(event));
  return id;
}

void world::close_connection(const std::string &request_id) {
  const auto found = connections_.find(request_id);
  if (found == connections_.end()) {
    return;
  }
  wire::Event event;
  event.mutable_client_gone()->set_request_id(request_id);
  post(found->second.node, found->second.boot, engine_latency,
       std::move(event));
  connections_.erase(found);
}

void world::post(std::size_t index, std::uint64_t boot, microseconds delay,
                 wire::Event event) {
  clock_.after(delay, [this, index, boot, event = std::move(event)]() mutable {
    if (alive(index) && nodes_[index].boot == boot) {
      deliver(index, std::move(event));
    }
  });
}

void world::deliver(std::size_t node, wire::Event event) {
  simulated_node &target = nodes_[node];
  if (target.frozen_until > clock_.now()) {
    target.held.push_back(std::move(event));
    return;
  }
  event.set_now_ms(clock_.now_ms());
  event.set_random(random_());
  effects::effect_list effects = target.running->reduce(event);
  if (options_.observe) {
    options_.observe(node, event, effects);
  }
  for (wire::Effect &effect : effects) {
    run_effect(node, std::move(effect));
  }
}

void world::run_effect(std::size_t index, wire::Effect effect) {
  switch (effect.body_case()) {
  case wire::Effect::kSend:
    send(index, effect.send());
    return;
  case wire::Effect::kReplyToClient:
    reply_to_client(effect.reply_to_client());
    return;
  case wire::Effect::kStartEngineRequest:
    start_engine(index, std::move(*effect.mutable_start_engine_request()));
    return;
  case wire::Effect::kCancelEngineRequest: {
    const wire::CancelEngineRequest &order = effect.cancel_engine_request();
    clock_.after(engine_latency, [this, order] {
      if (sim_engine *target = find_engine(order.backend())) {
        target->cancel(order);
      }
    });
    return;
  }
  case wire::Effect::kReleaseEngineMemory:
    release_memory(index, effect.release_engine_memory());
    return;
  case wire::Effect::kFenceEngine:
    fence_engine(index, effect.fence_engine());
    return;
  case wire::Effect::kInvokeTool:
    invoke_tool(index, std::move(*effect.mutable_invoke_tool()));
    return;
  case wire::Effect::kProposeFounding:
    propose_founding(index, effect.propose_founding().founding());
    return;
  case wire::Effect::kWatchPlatform:
    nodes_[index].watching = effect.watch_platform().watch();
    if (!nodes_[index].watch_running) {
      nodes_[index].watch_running = true;
      watch(index);
    }
    return;
  case wire::Effect::kDrainDone: {
    // The process exits; connections still open to it are cut off.
    for (const auto &[id, open] : connections_) {
      seen_.cut_by_planned_stop += open.node == index ? 1 : 0;
    }
    const std::uint64_t boot = nodes_[index].boot;
    clock_.after(10 * per_millisecond, [this, index, boot] {
      if (nodes_[index].boot == boot) {
        kill(index);
      }
    });
    return;
  }
  default:
    return; // streamed text, logs and other effects are ignored
  }
}

void world::send(std::size_t from, const wire::SendMessage &message) {
  std::size_t to = 0;
  if (message.to() != 0) {
    const auto found = node_by_id_.find(message.to());
    if (found == node_by_id_.end()) {
      return;
    }
    to = found->second;
  } else {
    const auto found = node_by_address_.find(message.address());
    if (found == node_by_address_.end()) {
      return;
    }
    to = found->second;
  }
  wire::Envelope envelope = message.envelope();
  if (options_.switched_off == mutation::no_relay) {
    if (envelope.has_configuration_delta()) {
      return;
    }
    envelope.set_configuration_revision(0);
  }
  if (from != to) {
    const std::uint64_t bytes = envelope.ByteSizeLong() + header_allowance;
    const std::string kind = kind_of(envelope);
    ++traffic_.messages;
    traffic_.bytes += bytes;
    ++traffic_.messages_by_kind[kind];
    traffic_.bytes_by_kind[kind] += bytes;
  }
  if (from != to && options_.encode_messages) {
    const std::string encoded = envelope.SerializeAsString();
    envelope.ParseFromString(encoded);
  }
  if (from != to && unit_random() < options_.loss) {
    return;
  }
  if (from != to && unit_random() < options_.duplication) {
    transmit(from, to, envelope);
  }
  transmit(from, to, std::move(envelope));
}

void world::transmit(std::size_t from, std::size_t to,
                     wire::Envelope envelope) {
  const auto cut = cuts_.find({from, to});
  if (cut != cuts_.end() && cut->second > clock_.now()) {
    return;
  }
  clock_.after(from == to ? 0 : latency(from, to),
               [this, to, envelope = std::move(envelope)]() mutable {
                 if (!alive(to)) {
                   return;
                 }
                 wire::Event event;
                 *event.mutable_received() = std::move(envelope);
                 deliver(to, std::move(event));
               });
}

void world::start_engine(std::size_t index, wire::StartEngineRequest order) {
  if (options_.switched_off == mutation::always_start) {
    order.set_start_allowed(true);
  }
  const std::uint64_t boot = nodes_[index].boot;
  clock_.after(engine_latency, [this, index, boot, order] {
    sim_engine *target = find_engine(order.backend());
    if (target == nullptr) {
      return;
    }
    target->start(order, [this, index, boot](wire::Event event) {
      post(index, boot, engine_latency, std::move(event));
    });
  });
}

void world::release_memory(std::size_t index,
                           const wire::ReleaseEngineMemory &order) {
  const std::uint64_t boot = nodes_[index].boot;
  clock_.after(engine_latency, [this, index, boot, order] {
    sim_engine *target = find_engine(order.backend());
    const bool lost = options_.switched_off == mutation::no_release;
    wire::Event event;
    wire::EngineMemoryReleased &released =
        *event.mutable_engine_memory_released();
    released.set_backend(order.backend());
    released.set_program(order.program());
    released.set_released(lost ||
                          (target != nullptr && target->release(order)));
    post(index, boot, engine_latency, std::move(event));
  });
}

void world::fence_engine(std::size_t index, const wire::FenceEngine &order) {
  const std::uint64_t boot = nodes_[index].boot;
  clock_.after(engine_latency, [this, index, boot, order] {
    sim_engine *target = find_engine(order.backend());
    wire::Event event;
    wire::EngineFenced &fenced = *event.mutable_engine_fenced();
    fenced.set_backend(order.backend());
    fenced.set_epoch(order.epoch());
    fenced.set_fenced(target != nullptr && target->fence(order.epoch()));
    post(index, boot, engine_latency, std::move(event));
  });
}

void world::invoke_tool(std::size_t index, wire::InvokeTool order) {
  if (options_.switched_off == mutation::always_start) {
    order.set_start_allowed(true);
  }
  const std::uint64_t boot = nodes_[index].boot;
  clock_.after(engine_latency, [this, index, boot, order] {
    const bool hangs = tool_hangs_until_ > clock_.now();
    const auto known = tool_results_.find(order.invocation());
    wire::Event event;
    wire::ToolFinished &finished = *event.mutable_tool_finished();
    finished.set_partition(order.partition());
    finished.set_program(order.program());
    finished.set_key(order.key());
    finished.set_attempt(order.attempt());
    if (order.start_allowed() && !hangs) {
      ++seen_.tool_runs[order.invocation()];
      tool_results_[order.invocation()] =
          fmt::format("{{\"invocation\":\"{}\"}}", order.invocation());
      finished.set_status(wire::DISPATCH_COMPLETED);
      finished.set_result(tool_results_[order.invocation()]);
    } else if (!order.start_allowed() && known != tool_results_.end()) {
      finished.set_status(wire::DISPATCH_COMPLETED);
      finished.set_result(known->second);
    } else {
      finished.set_status(wire::DISPATCH_LOST);
      finished.set_detail(hangs ? "no answer in time" : "not known");
    }
    const microseconds delay =
        hangs ? order.time_limit_ms() * per_millisecond : options_.tool_time;
    post(index, boot, delay, std::move(event));
  });
}

void world::propose_founding(std::size_t index,
                             const wire::Founding &founding) {
  if (platform_.current_fault == sim_platform::fault::down) {
    return; // proposed again later
  }
  wire::Event event;
  *event.mutable_founding_read() = platform_.propose_founding(founding);
  post(index, nodes_[index].boot, platform_latency, std::move(event));
}

void world::watch(std::size_t index) {
  simulated_node &watcher = nodes_[index];
  if (!alive(index) || !watcher.watching) {
    watcher.watch_running = false;
    return;
  }
  const bool down = platform_.current_fault == sim_platform::fault::down;
  const bool frozen = watcher.frozen_until > clock_.now();
  if (!down && !frozen) {
    const std::uint64_t known = watcher.running->configuration().revision();
    if (platform_.revision() > known) {
      wire::Event event;
      *event.mutable_configuration_read() =
          apply_mutations(platform_.changes_after(known));
      post(index, watcher.boot, platform_latency, std::move(event));
    }
  }
  clock_.after(watch_poll, [this, index] { watch(index); });
}

wire::ConfigurationDelta
world::apply_mutations(wire::ConfigurationDelta delta) const {
  for (wire::ConfigurationObject &object : *delta.mutable_objects()) {
    std::string &document = *object.mutable_document();
    const bool hides_drain = options_.switched_off == mutation::no_drain &&
                             document.find("draining") != std::string::npos;
    if (hides_drain) {
      document.replace(document.find("draining"), 8, "active");
    }
    const std::size_t price = document.find("\"price\":2,");
    if (options_.switched_off == mutation::no_reservation &&
        price != std::string::npos) {
      document.replace(price, 10, "\"price\":0,");
    }
  }
  return delta;
}

void world::reply_to_client(const wire::ReplyToClient &effect) {
  auto found = connections_.find(effect.request_id());
  if (found == connections_.end()) {
    return;
  }
  if (options_.switched_off == mutation::crossed_replies) {
    found = connections_.begin();
  }
  connection answered = std::move(found->second);
  connections_.erase(found);
  wire::ClientReply reply = effect.reply();
  const bool late_answer = reply.has_outcome() && unit_random() < 0.02;
  if (options_.switched_off == mutation::early_not_run && late_answer) {
    wire::Failure failure;
    failure.set_code("overloaded");
    failure.set_ran(wire::RAN_NOT_RUN);
    *reply.mutable_failure() = failure;
  }
  clock_.after(engine_latency, [answered, reply] { answered.replied(reply); });
}

void world::break_connections(std::size_t node) {
  std::vector<connection> broken;
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    if (entry->second.node == node) {
      broken.push_back(std::move(entry->second));
      entry = connections_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (connection &each : broken) {
    clock_.after(engine_latency, [each] { each.broken(); });
  }
}

sim_engine *world::find_engine(const std::string &backend) {
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    if (backend == fmt::format("engine-{}", index)) {
      return engines_[index].get();
    }
  }
  return nullptr;
}

microseconds world::latency(std::size_t from, std::size_t to) {
  const microseconds base = zone_of(from) == zone_of(to)
                                ? options_.zone_latency
                                : options_.cross_zone_latency;
  return base + static_cast<microseconds>(static_cast<double>(base) *
                                          options_.jitter * unit_random());
}

double world::unit_random() {
  constexpr double span = 1ULL << 53U;
  return static_cast<double>(random_() >> 11U) / span;
}

} // namespace heathtrestle::sim
