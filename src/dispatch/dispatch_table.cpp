#include "dispatch/dispatch_table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathtrestle::dispatch {

namespace {

/// Guess of how long one request occupies a slot, for Retry-After.
constexpr std::uint64_t slot_time_ms = 2000;

/// Service counted for a request: what the engine really computes for it.
double service_of(const wire::Usage &usage) {
  const std::uint64_t prefilled =
      usage.prompt_tokens() -
      std::min(usage.prompt_tokens(), usage.cached_tokens());
  return static_cast<double>(prefilled + usage.output_tokens());
}

} // namespace

dispatch_table::dispatch_table(dispatch_options options)
    : options_(std::move(options)) {}

void dispatch_table::on_request(dispatch_view &view,
                                const wire::DispatchRequest &request) {
  const auto known = attempts_.find(request.engine_request());
  if (known != attempts_.end()) {
    repeat_answer(view, known->second, request);
    return;
  }
  const std::optional<term_id> term = led_term(view, request.backend());
  if (!term.has_value() || term->value() != request.backend_term()) {
    return; // meant for another leader; the sender asks again
  }
  if (request.reminder()) {
    send_reply(view, reply_to(request, wire::DISPATCH_UNKNOWN));
    return;
  }
  attempt taken;
  taken.request = request;
  taken.arrived = view.step.now();
  taken.last_progress = view.step.now();
  backend_queue &queue = queues_[request.backend()];
  if (!request.start_allowed()) {
    // Only a stream that the engine already has may be taken up.
    attempt &resumed = attempts_[request.engine_request()] = std::move(taken);
    start(view, resumed, *term);
    return;
  }
  const config::backend_object *backend =
      view.configuration.backend(request.backend());
  if (backend == nullptr ||
      !view.configuration.accepts_work(request.backend())) {
    refuse(view, request, "the back end takes no new work", 1);
    return;
  }
  const bool full =
      queue.running >= backend->slots && queue.waiting >= backend->queue_limit;
  if (full) {
    const std::uint64_t rounds = 1 + queue.waiting / backend->slots;
    refuse(view, request, "the back end's queue is full",
           rounds * slot_time_ms);
    return;
  }
  ++queue.waiting;
  attempts_[request.engine_request()] = std::move(taken);
  send_reply(view, reply_to(request, wire::DISPATCH_ACCEPTED));
  pump(view, request.backend());
}

void dispatch_table::on_cancel(dispatch_view &view,
                               const wire::CancelDispatch &cancel) {
  const auto found = attempts_.find(cancel.engine_request());
  if (found == attempts_.end()) {
    return;
  }
  attempt &cancelled = found->second;
  if (cancelled.state == attempt_state::waiting) {
    --queues_[cancelled.request.backend()].waiting;
    cancelled.state = attempt_state::done;
    wire::DispatchReply answer =
        reply_to(cancelled.request, wire::DISPATCH_REFUSED);
    answer.set_detail("cancelled while waiting");
    cancelled.answer = answer;
    send_reply(view, std::move(answer));
    return;
  }
  const config::backend_object *backend =
      view.configuration.backend(cancelled.request.backend());
  const auto term = led_term(view, cancelled.request.backend());
  if (cancelled.state == attempt_state::running && backend != nullptr) {
    wire::CancelEngineRequest &order =
        *view.step.add().mutable_cancel_engine_request();
    order.set_backend(cancelled.request.backend());
    order.set_address(backend->address);
    order.set_engine_request(cancel.engine_request());
    order.set_epoch(term.has_value() ? term->value()
                                     : cancelled.request.backend_term());
  }
}

void dispatch_table::on_release(dispatch_view &view,
                                const wire::ReleaseMemory &release) {
  const config::backend_object *backend =
      view.configuration.backend(release.backend());
  const std::optional<term_id> term = led_term(view, release.backend());
  if (!term.has_value() || backend == nullptr) {
    return;
  }
  wire::ReleaseEngineMemory &order =
      *view.step.add().mutable_release_engine_memory();
  order.set_backend(release.backend());
  order.set_address(backend->address);
  order.set_program(release.program());
  order.set_epoch(term->value());
}

void dispatch_table::on_progress(dispatch_view &view,
                                 const wire::EngineProgress &progress) {
  const auto found = attempts_.find(progress.engine_request());
  if (found == attempts_.end() ||
      found->second.state != attempt_state::running) {
    return;
  }
  attempt &running = found->second;
  running.last_progress = view.step.now();
  if (progress.offset() != running.text.size()) {
    return; // repeated, or out of order; the final answer is whole
  }
  running.text += progress.text();
  send_chunk(view, running, progress.offset(), progress.text());
}

void dispatch_table::on_finished(dispatch_view &view,
                                 const wire::EngineFinished &finished) {
  const auto found = attempts_.find(finished.engine_request());
  if (found == attempts_.end() ||
      found->second.state != attempt_state::running) {
    return;
  }
  attempt &done = found->second;
  wire::DispatchReply answer = reply_to(done.request, finished.status());
  answer.set_text(finished.text());
  *answer.mutable_usage() = finished.usage();
  answer.set_detail(finished.detail());
  if (finished.status() != wire::DISPATCH_COMPLETED) {
    view.step.log(logging::event::engine_request_failed,
                  fmt::format("{} at {}: {}", finished.engine_request(),
                              finished.backend(), finished.detail()));
  }
  backend_queue &queue = queues_[done.request.backend()];
  const double weight =
      std::max<std::uint32_t>(1, done.request.tenant_weight());
  queue.served[done.request.tenant()] += service_of(finished.usage()) / weight;
  settle(view, done, std::move(answer));
}

void dispatch_table::on_memory_released(
    dispatch_view &view, const wire::EngineMemoryReleased &released) {
  if (!released.released()) {
    return; // the program's leader asks again
  }
  const partition_id partition =
      partition_of(released.program(), view.members.partitions());
  const auto leader = view.members.leader_of(partition);
  if (!leader.has_value()) {
    return;
  }
  wire::Envelope envelope;
  wire::MemoryReleaseDone &done = *envelope.mutable_memory_release_done();
  done.set_backend(released.backend());
  done.set_program(released.program());
  done.set_program_partition(partition.value());
  view.step.send(node_id{leader->node()}, std::move(envelope));
}

void dispatch_table::on_fenced(const wire::EngineFenced &fenced) {
  const auto queue = queues_.find(fenced.backend());
  if (fenced.fenced() && queue != queues_.end()) {
    queue->second.fenced_term = fenced.epoch();
  }
}

void dispatch_table::tick(dispatch_view &view) {
  fence_engines(view);
  refuse_waiting(view);
  give_up_silent(view);
  std::erase_if(attempts_, [&](const auto &entry) {
    const attempt &held = entry.second;
    return held.state == attempt_state::done &&
           view.step.now() - held.last_progress >= options_.answer_retention;
  });
}

std::size_t dispatch_table::running() const {
  std::size_t count = 0;
  for (const auto &[name, queue] : queues_) {
    count += queue.running;
  }
  return count;
}

std::size_t dispatch_table::waiting() const {
  std::size_t count = 0;
  for (const auto &[name, queue] : queues_) {
    count += queue.waiting;
  }
  return count;
}

void dispatch_table::repeat_answer(dispatch_view &view, attempt &known,
                                   const wire::DispatchRequest &request) {
  const bool new_subscriber =
      request.gateway() != 0 &&
      request.gateway_request() != known.request.gateway_request();
  if (new_subscriber) {
    known.request.set_gateway(request.gateway());
    known.request.set_gateway_request(request.gateway_request());
    if (!known.text.empty() && known.state == attempt_state::running) {
      send_chunk(view, known, 0, known.text);
    }
  }
  if (known.state == attempt_state::done) {
    wire::DispatchReply answer = known.answer;
    answer.set_backend_term(request.backend_term());
    send_reply(view, std::move(answer));
    return;
  }
  send_reply(view, reply_to(known.request, wire::DISPATCH_ACCEPTED));
}

void dispatch_table::refuse(dispatch_view &view,
                            const wire::DispatchRequest &request,
                            std::string detail, std::uint64_t retry_after_ms) {
  // Remembered, so that a copy of the request that is still under way cannot
  // start what the caller is told was not run.
  attempt &refused = attempts_[request.engine_request()];
  refused.request = request;
  refused.request.clear_messages();
  refused.state = attempt_state::done;
  refused.last_progress = view.step.now();
  refused.answer = reply_to(request, wire::DISPATCH_REFUSED);
  refused.answer.set_detail(std::move(detail));
  refused.answer.set_retry_after_ms(retry_after_ms);
  send_reply(view, refused.answer);
}

void dispatch_table::start(dispatch_view &view, attempt &started,
                           term_id epoch) {
  const wire::DispatchRequest &request = started.request;
  const config::backend_object *backend =
      view.configuration.backend(request.backend());
  started.state = attempt_state::running;
  started.last_progress = view.step.now();
  ++queues_[request.backend()].running;
  wire::StartEngineRequest &order =
      *view.step.add().mutable_start_engine_request();
  order.set_backend(request.backend());
  order.set_address(backend == nullptr ? "" : backend->address);
  order.set_engine_request(request.engine_request());
  order.set_epoch(epoch.value());
  order.set_start_allowed(request.start_allowed());
  order.set_model(request.model());
  order.set_program(request.program());
  *order.mutable_messages() = request.messages();
  order.set_max_output_tokens(request.max_output_tokens());
  order.set_priority(request.priority());
}

void dispatch_table::pump(dispatch_view &view, const std::string &name) {
  const config::backend_object *backend = view.configuration.backend(name);
  const std::optional<term_id> term = led_term(view, name);
  if (backend == nullptr || !term.has_value()) {
    return;
  }
  backend_queue &queue = queues_[name];
  const scheduling_policy &policy =
      scheduling_policy_named(options_.scheduling);
  while (queue.running < backend->slots && queue.waiting > 0) {
    std::vector<waiting_request> waiting;
    std::vector<attempt *> sources;
    for (auto &[id, held] : attempts_) {
      const bool candidate = held.state == attempt_state::waiting &&
                             held.request.backend() == name;
      if (candidate) {
        waiting.push_back({.priority = held.request.priority(),
                           .tenant = held.request.tenant(),
                           .attained_service = held.request.attained_service(),
                           .arrived = held.arrived});
        sources.push_back(&held);
      }
    }
    attempt &chosen =
        *sources[policy.next(waiting, queue.served, view.step.now())];
    --queue.waiting;
    start(view, chosen, *term);
  }
}

void dispatch_table::settle(dispatch_view &view, attempt &settled,
                            wire::DispatchReply answer) {
  const std::string backend = settled.request.backend();
  --queues_[backend].running;
  settled.state = attempt_state::done;
  settled.last_progress = view.step.now();
  settled.request.clear_messages();
  settled.text.clear();
  settled.answer = answer;
  send_reply(view, std::move(answer));
  pump(view, backend);
}

void dispatch_table::send_reply(dispatch_view &view,
                                wire::DispatchReply reply) {
  const auto leader =
      view.members.leader_of(partition_id{reply.program_partition()});
  if (!leader.has_value()) {
    return; // it asks again once there is one
  }
  wire::Envelope envelope;
  *envelope.mutable_dispatch_reply() = std::move(reply);
  view.step.send(node_id{leader->node()}, std::move(envelope));
}

void dispatch_table::send_chunk(dispatch_view &view, const attempt &source,
                                std::uint64_t offset, std::string text) {
  if (source.request.gateway() == 0) {
    return;
  }
  wire::Envelope envelope;
  wire::StreamChunk &chunk = *envelope.mutable_stream_chunk();
  chunk.set_request_id(source.request.gateway_request());
  chunk.set_engine_request(source.request.engine_request());
  chunk.set_offset(offset);
  chunk.set_text(std::move(text));
  view.step.send(node_id{source.request.gateway()}, std::move(envelope));
}

void dispatch_table::fence_engines(dispatch_view &view) {
  for (const auto &[name, backend] : view.configuration.backends()) {
    const std::optional<term_id> term = led_term(view, name);
    if (!term.has_value()) {
      continue;
    }
    backend_queue &queue = queues_[name];
    const bool due =
        view.step.now() - queue.fence_sent >= options_.fence_interval;
    if (queue.fenced_term == term->value() || !due) {
      continue;
    }
    queue.fence_sent = view.step.now();
    wire::FenceEngine &order = *view.step.add().mutable_fence_engine();
    order.set_backend(name);
    order.set_address(backend.address);
    order.set_epoch(term->value());
  }
}

void dispatch_table::refuse_waiting(dispatch_view &view) {
  for (auto &[id, held] : attempts_) {
    if (held.state != attempt_state::waiting) {
      continue;
    }
    const std::string &backend = held.request.backend();
    const std::optional<term_id> term = led_term(view, backend);
    const bool still_led =
        term.has_value() && term->value() == held.request.backend_term();
    if (still_led && view.configuration.accepts_work(backend)) {
      continue;
    }
    --queues_[backend].waiting;
    held.state = attempt_state::done;
    held.last_progress = view.step.now();
    held.answer = reply_to(held.request, wire::DISPATCH_REFUSED);
    held.answer.set_detail("the back end moved or is draining");
    held.answer.set_retry_after_ms(1);
    send_reply(view, held.answer);
  }
}

void dispatch_table::give_up_silent(dispatch_view &view) {
  std::vector<std::string> silent;
  for (const auto &[id, held] : attempts_) {
    const bool overdue =
        held.state == attempt_state::running &&
        view.step.now() - held.last_progress >= options_.engine_silence_limit;
    if (overdue) {
      silent.push_back(id);
    }
  }
  for (const std::string &id : silent) {
    wire::CancelDispatch cancel;
    cancel.set_engine_request(id);
    on_cancel(view, cancel);
    wire::EngineFinished finished;
    finished.set_engine_request(id);
    finished.set_backend(attempts_.at(id).request.backend());
    finished.set_status(wire::DISPATCH_LOST);
    finished.set_detail("the engine's stream fell silent");
    on_finished(view, finished);
  }
}

wire::DispatchReply
dispatch_table::reply_to(const wire::DispatchRequest &request,
                         wire::DispatchStatus status) const {
  wire::DispatchReply reply;
  reply.set_program_partition(request.program_partition());
  reply.set_program(request.program());
  reply.set_key(request.key());
  reply.set_attempt(request.attempt());
  reply.set_engine_request(request.engine_request());
  reply.set_status(status);
  reply.set_backend_term(request.backend_term());
  const auto queue = queues_.find(request.backend());
  if (queue != queues_.end()) {
    reply.set_queue_length(static_cast<std::uint32_t>(queue->second.running +
                                                      queue->second.waiting));
  }
  return reply;
}

std::optional<term_id> dispatch_table::led_term(const dispatch_view &view,
                                                const std::string &backend) {
  const std::uint32_t partitions = view.members.partitions();
  if (partitions == 0) {
    return std::nullopt;
  }
  return view.partitions.led_term(partition_of(backend, partitions),
                                  view.step.now());
}

} // namespace heathtrestle::dispatch
