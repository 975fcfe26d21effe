#include "sim/sim_engine.hpp"

#include "stand_ins/answer.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::sim {

sim_engine::sim_engine(std::string name, engine_model model,
                       virtual_clock &clock, observations &seen)
    : name_(std::move(name)), model_(model), clock_(clock), seen_(seen),
      cache_(model.cache_blocks) {}

void sim_engine::start(const wire::StartEngineRequest &order,
                       progress_sink sink) {
  if (!alive_) {
    send_finished(order, sink,
                  order.start_allowed() ? wire::DISPATCH_NOT_STARTED
                                        : wire::DISPATCH_LOST,
                  "no connection");
    return;
  }
  if (order.epoch() < epoch_) {
    send_finished(order, sink,
                  order.start_allowed() ? wire::DISPATCH_NOT_STARTED
                                        : wire::DISPATCH_LOST,
                  "stale epoch");
    return;
  }
  epoch_ = order.epoch();
  const auto known = generations_.find(order.engine_request());
  if (known != generations_.end()) {
    known->second->listeners.emplace_back(std::move(sink), 0);
    notify_listeners(*known->second);
    return;
  }
  if (!order.start_allowed()) {
    send_finished(order, sink, wire::DISPATCH_LOST, "no such request");
    return;
  }
  seen_.engine_starts.push_back({clock_.now(), name_, order.engine_request()});
  auto made = std::make_shared<generation>();
  made->id = order.engine_request();
  made->program = order.program();
  made->priority = order.priority();
  std::vector<std::string> messages;
  for (const std::string &message : order.messages()) {
    messages.push_back(message);
    made->prompt += message;
    made->prompt_tokens += stand_ins::count_tokens(message);
  }
  made->answer =
      stand_ins::expected_answer(messages, order.max_output_tokens());
  made->listeners.emplace_back(std::move(sink), 0);
  generations_[made->id] = made;
  waiting_.push_back(made);
  schedule_step();
}

void sim_engine::cancel(const wire::CancelEngineRequest &order) {
  const auto found = generations_.find(order.engine_request());
  if (!alive_ || found == generations_.end() || found->second->done) {
    return;
  }
  std::erase(waiting_, found->second);
  std::erase(running_, found->second);
  for (const auto &[sink, sent] : found->second->listeners) {
    wire::Event event;
    wire::EngineFinished &finished = *event.mutable_engine_finished();
    finished.set_backend(name_);
    finished.set_engine_request(order.engine_request());
    finished.set_status(wire::DISPATCH_LOST);
    finished.set_detail("cancelled");
    sink(std::move(event));
  }
  generations_.erase(found);
}

bool sim_engine::fence(std::uint64_t epoch) {
  if (!alive_ || epoch < epoch_) {
    return false;
  }
  epoch_ = epoch;
  return true;
}

bool sim_engine::release(const wire::ReleaseEngineMemory &order) {
  if (!fence(order.epoch())) {
    return false;
  }
  cache_.release(order.program());
  return true;
}

void sim_engine::kill() {
  alive_ = false;
  ++incarnation_;
  stepping_ = false;
  std::vector<std::pair<std::string, progress_sink>> broken;
  for (const auto &[id, held] : generations_) {
    if (!held->done) {
      for (const auto &[sink, sent] : held->listeners) {
        broken.emplace_back(id, sink);
      }
    }
  }
  generations_.clear();
  waiting_.clear();
  running_.clear();
  cache_ = stand_ins::prefix_cache(model_.cache_blocks);
  epoch_ = 0;
  for (const auto &[id, sink] : broken) {
    wire::StartEngineRequest order;
    order.set_engine_request(id);
    send_finished(order, sink, wire::DISPATCH_LOST, "connection reset");
  }
}

void sim_engine::restart() { alive_ = true; }

void sim_engine::schedule_step() {
  if (stepping_ || (waiting_.empty() && running_.empty())) {
    return;
  }
  stepping_ = true;
  double prefill_ms = 0;
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [](const auto &left, const auto &right) {
                     return left->priority < right->priority;
                   });
  while (running_.size() < model_.batch && !waiting_.empty()) {
    const auto admitted = waiting_.front();
    waiting_.erase(waiting_.begin());
    admitted->cached_tokens = std::min(cache_.cached_tokens(admitted->prompt),
                                       admitted->prompt_tokens);
    const std::uint64_t prefilled =
        admitted->prompt_tokens - admitted->cached_tokens;
    prefill_ms += model_.prefill_token_ms * static_cast<double>(prefilled);
    totals_.prompt_tokens += admitted->prompt_tokens;
    totals_.cached_tokens += admitted->cached_tokens;
    const std::uint64_t had_been_cached =
        std::min(seen_.ever_cached.cached_tokens(admitted->prompt),
                 admitted->prompt_tokens);
    totals_.refilled_tokens += had_been_cached - admitted->cached_tokens;
    cache_.store(admitted->program, admitted->prompt);
    seen_.ever_cached.store(admitted->program, admitted->prompt);
    running_.push_back(admitted);
  }
  const double step_ms =
      model_.step_base_ms +
      model_.step_request_ms * static_cast<double>(running_.size());
  const double total_ms = prefill_ms + step_ms * model_.tokens_per_step;
  totals_.slot_ms += total_ms * static_cast<double>(running_.size());
  clock_.after(static_cast<microseconds>(total_ms * per_millisecond),
               [this, incarnation = incarnation_] { step(incarnation); });
}

void sim_engine::step(std::uint64_t incarnation) {
  if (incarnation != incarnation_) {
    return; // scheduled before the engine was killed
  }
  stepping_ = false;
  const std::size_t bytes = static_cast<std::size_t>(model_.tokens_per_step) *
                            stand_ins::bytes_per_token;
  const auto running = running_;
  for (const auto &each : running) {
    each->produced = std::min(each->answer.size(), each->produced + bytes);
    if (each->produced == each->answer.size()) {
      each->done = true;
      totals_.output_tokens += stand_ins::count_tokens(each->answer);
      const std::string whole =
          each->prompt + stand_ins::assistant_message(each->answer);
      cache_.store(each->program, whole);
      seen_.ever_cached.store(each->program, whole);
    }
    notify_listeners(*each);
  }
  std::erase_if(running_, [](const auto &each) { return each->done; });
  schedule_step();
}

void sim_engine::notify_listeners(generation &about) {
  for (auto &[sink, sent] : about.listeners) {
    if (about.produced > sent) {
      wire::Event event;
      wire::EngineProgress &progress = *event.mutable_engine_progress();
      progress.set_backend(name_);
      progress.set_engine_request(about.id);
      progress.set_offset(sent);
      progress.set_text(about.answer.substr(sent, about.produced - sent));
      sent = about.produced;
      sink(std::move(event));
    }
    if (about.done) {
      wire::Event event;
      wire::EngineFinished &finished = *event.mutable_engine_finished();
      finished.set_backend(name_);
      finished.set_engine_request(about.id);
      finished.set_status(wire::DISPATCH_COMPLETED);
      finished.set_text(about.answer);
      finished.mutable_usage()->set_prompt_tokens(about.prompt_tokens);
      finished.mutable_usage()->set_cached_tokens(about.cached_tokens);
      finished.mutable_usage()->set_output_tokens(
          stand_ins::count_tokens(about.answer));
      sink(std::move(event));
    }
  }
  if (about.done) {
    about.listeners.clear();
  }
}

void sim_engine::send_finished(const wire::StartEngineRequest &order,
                               const progress_sink &sink,
                               wire::DispatchStatus status,
                               std::string detail) {
  wire::Event event;
  wire::EngineFinished &finished = *event.mutable_engine_finished();
  finished.set_backend(name_);
  finished.set_engine_request(order.engine_request());
  finished.set_status(status);
  finished.set_detail(std::move(detail));
  sink(std::move(event));
}

} // namespace heathtrestle::sim
