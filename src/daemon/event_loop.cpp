#include "daemon/event_loop.hpp"

#include "base/time.hpp"

#include <utility>

namespace heathtrestle::daemon {

namespace {

std::uint64_t monotonic_milliseconds() {
  return milliseconds_of(std::chrono::time_point_cast<duration_ms>(
      std::chrono::steady_clock::now()));
}

std::uint64_t key_of_message(const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kVoteRequest:
    return envelope.vote_request().partition();
  case wire::Envelope::kVoteReply:
    return envelope.vote_reply().partition();
  case wire::Envelope::kAppendRequest:
    return envelope.append_request().partition();
  case wire::Envelope::kAppendReply:
    return envelope.append_reply().partition();
  case wire::Envelope::kSnapshotRequest:
    return envelope.snapshot_request().partition();
  case wire::Envelope::kClientRequest:
    return envelope.client_request().partition();
  case wire::Envelope::kDispatchReply:
    return envelope.dispatch_reply().program_partition();
  case wire::Envelope::kClientReply:
    return stable_hash(envelope.client_reply().request_id());
  case wire::Envelope::kStreamChunk:
    return stable_hash(envelope.stream_chunk().request_id());
  case wire::Envelope::kDispatchRequest:
    return stable_hash(envelope.dispatch_request().backend());
  case wire::Envelope::kCancelDispatch:
    return stable_hash(envelope.cancel_dispatch().backend());
  default:
    return 0;
  }
}

} // namespace

std::uint64_t ordering_key(const wire::Event &event) {
  switch (event.body_case()) {
  case wire::Event::kReceived:
    return key_of_message(event.received());
  case wire::Event::kClientArrived:
    return stable_hash(event.client_arrived().request().request_id());
  case wire::Event::kClientGone:
    return stable_hash(event.client_gone().request_id());
  case wire::Event::kEngineProgress:
    return stable_hash(event.engine_progress().backend());
  case wire::Event::kEngineFinished:
    return stable_hash(event.engine_finished().backend());
  case wire::Event::kEngineMemoryReleased:
    return stable_hash(event.engine_memory_released().backend());
  case wire::Event::kEngineFenced:
    return stable_hash(event.engine_fenced().backend());
  case wire::Event::kToolFinished:
    return event.tool_finished().partition();
  default:
    return 0;
  }
}

event_loop::event_loop(core::node &node, runtime::fiber_pool &fibers,
                       effect_runner run_effect, trace_writer trace)
    : node_(node), run_effect_(std::move(run_effect)),
      trace_(std::move(trace)) {
  for (std::size_t index = 0; index < fibers.size(); ++index) {
    queues_.push_back(std::make_unique<runtime::mailbox<wire::Event>>());
  }
  for (std::size_t index = 0; index < fibers.size(); ++index) {
    fibers.spawn_on(index, [this, index] { work(index); });
  }
}

void event_loop::post(wire::Event event) {
  const std::uint64_t key = ordering_key(event);
  queues_[key % queues_.size()]->push(std::move(event));
}

void event_loop::stop() {
  for (const auto &queue : queues_) {
    queue->close();
  }
}

void event_loop::work(std::size_t index) {
  std::mt19937_64 random(std::random_device{}());
  while (auto event = queues_[index]->pop()) {
    event->set_now_ms(monotonic_milliseconds());
    event->set_random(random());
    effects::effect_list effects = node_.reduce(*event);
    if (trace_) {
      trace_(*event, effects);
    }
    for (wire::Effect &effect : effects) {
      run_effect_(std::move(effect));
    }
  }
}

} // namespace heathtrestle::daemon
