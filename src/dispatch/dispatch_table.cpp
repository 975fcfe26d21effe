#include "dispatch/dispatch_table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathtrestle::dispatch {

namespace {

/// Estimated time that one request occupies an engine slot, for Retry-After.
constexpr std::uint64_t estimated_slot_time_ms = 2000;

/// Returns the tokens that the engine computed for a request: the prompt tokens
/// that were not cached, and the output.
double computed_tokens(const wire::Usage &usage) {
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
    reply_to_duplicate(view, known->second, request);
    return;
  }
  const std::optional<term_id> term = led_term(view, request.backend());
  if (!term.has_value() || term->value() != request.backend_term()) {
    return; // addressed to another leader or term; the sender retries
  }
  if (request.reminder()) {
    send_reply(view, reply_to(request, wire::DISPATCH_UNKNOWN));
    return;
  }
  attempt created;
  created.request = request;
  created.arrived = view.step.now();
  created.last_progress = view.step.now();
  backend_queue &queue = queues_[request.backend()];
  if (!request.start_allowed()) {
    // Without permission to start, only a stream that the engine already has
    // may be attached to.
    attempt &reattached = attempts_[request.engine_request()] =
        std::move(created);
    start(view, reattached, *term);
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
           rounds * estimated_slot_time_ms);
    return;
  }
  ++queue.waiting;
  attempts_[request.engine_request()] = std::move(created);
  send_reply(view, reply_to(request, wire::DISPATCH_ACCEPTED));
  start_waiting_requests(view, request.backend());
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
    wire::DispatchReply reply =
        reply_to(cancelled.request, wire::DISPATCH_REFUSED);
    reply.set_detail("cancelled while waiting");
    cancelled.reply = reply;
    send_reply(view, std::move(reply));
    return;
  }
  const config::backend_object *backend =
      view.configuration.backend(cancelled.request.backend());
  const auto term = led_term(view, cancelled.request.backend());
  if (cancelled.state == attempt_state::running && backend != nullptr) {
    wire::CancelEngineRequest &command =
        *view.step.add().mutable_cancel_engine_request();
    command.set_backend(cancelled.request.backend());
    command.set_address(backend->address);
    command.set_engine_request(cancel.engine_request());
    command.set_epoch(term.has_value() ? term->value()
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
  wire::ReleaseEngineMemory &command =
      *view.step.add().mutable_release_engine_memory();
  command.set_backend(release.backend());
  command.set_address(backend->address);
  command.set_program(release.program());
  command.set_epoch(term->value());
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
    return; // duplicate or out of order; the final reply has the whole text
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
  wire::DispatchReply reply = reply_to(done.request, finished.status());
  reply.set_text(finished.text());
  *reply.mutable_usage() = finished.usage();
  reply.set_detail(finished.detail());
  if (finished.status() != wire::DISPATCH_COMPLETED) {
    view.step.log(logging::event::engine_request_failed,
                  fmt::format("{} at {}: {}", finished.engine_request(),
                              finished.backend(), finished.detail()));
  }
  backend_queue &queue = queues_[done.request.backend()];
  const double weight =
      std::max<std::uint32_t>(1, done.request.tenant_weight());
  queue.served[done.request.tenant()] +=
      computed_tokens(finished.usage()) / weight;
  finish_attempt(view, done, std::move(reply));
}

void dispatch_table::on_memory_released(
    dispatch_view &view, const wire::EngineMemoryReleased &released) {
  if (!released.released()) {
    return; // the program's leader retries
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
  fail_silent_attempts(view);
  std::erase_if(attempts_, [&](const auto &entry) {
    const attempt &held = entry.second;
    return held.state == attempt_state::done &&
           view.step.now() - held.last_progress >= options_.reply_retention;
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

void dispatch_table::reply_to_duplicate(dispatch_view &view, attempt &known,
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
    wire::DispatchReply reply = known.reply;
    reply.set_backend_term(request.backend_term());
    send_reply(view, std::move(reply));
    return;
  }
  send_reply(view, reply_to(known.request, wire::DISPATCH_ACCEPTED));
}

void dispatch_table::refuse(dispatch_view &view,
                            const wire::DispatchRequest &request,
                            std::string detail, std::uint64_t retry_after_ms) {
  // The refusal is kept, so that a duplicate of the request that arrives later
  // cannot start an attempt that was reported as not run.
  attempt &refused = attempts_[request.engine_request()];
  refused.request = request;
  refused.request.clear_messages();
  refused.state = attempt_state::done;
  refused.last_progress = view.step.now();
  refused.reply = reply_to(request, wire::DISPATCH_REFUSED);
  refused.reply.set_detail(std::move(detail));
  refused.reply.set_retry_after_ms(retry_after_ms);
  send_reply(view, refused.reply);
}

void dispatch_table::start(dispatch_view &view, attempt &started,
                           term_id epoch) {
  const wire::DispatchRequest &request = started.request;
  const config::backend_object *backend =
      view.configuration.backend(request.backend());
  started.state = attempt_state::running;
  started.last_progress = view.step.now();
  ++queues_[request.backend()].running;
  wire::StartEngineRequest &command =
      *view.step.add().mutable_start_engine_request();
  command.set_backend(request.backend());
  command.set_address(backend == nullptr ? "" : backend->address);
  command.set_engine_request(request.engine_request());
  command.set_epoch(epoch.value());
  command.set_start_allowed(request.start_allowed());
  command.set_model(request.model());
  command.set_program(request.program());
  *command.mutable_messages() = request.messages();
  command.set_max_output_tokens(request.max_output_tokens());
  command.set_priority(request.priority());
}

void dispatch_table::start_waiting_requests(dispatch_view &view,
                                            const std::string &name) {
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

void dispatch_table::finish_attempt(dispatch_view &view,
                                    attempt &finished_attempt,
                                    wire::DispatchReply reply) {
  const std::string backend = finished_attempt.request.backend();
  --queues_[backend].running;
  finished_attempt.state = attempt_state::done;
  finished_attempt.last_progress = view.step.now();
  finished_attempt.request.clear_messages();
  finished_attempt.text.clear();
  finished_attempt.reply = reply;
  send_reply(view, std::move(reply));
  start_waiting_requests(view, backend);
}

void dispatch_table::send_reply(dispatch_view &view,
                                wire::DispatchReply reply) {
  const auto leader =
      view.members.leader_of(partition_id{reply.program_partition()});
  if (!leader.has_value()) {
    return; // the program's next leader retries
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
    wire::FenceEngine &command = *view.step.add().mutable_fence_engine();
    command.set_backend(name);
    command.set_address(backend.address);
    command.set_epoch(term->value());
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
    held.reply = reply_to(held.request, wire::DISPATCH_REFUSED);
    held.reply.set_detail("the back end moved or is draining");
    held.reply.set_retry_after_ms(1);
    send_reply(view, held.reply);
  }
}

void dispatch_table::fail_silent_attempts(dispatch_view &view) {
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
