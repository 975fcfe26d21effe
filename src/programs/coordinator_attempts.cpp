// The coordinator's handling of attempts: placing them on back ends, tracking
// and retrying them, and recording their outcomes.
#include "programs/coordinator.hpp"

#include "base/error.hpp"
#include "programs/placement_policy.hpp"
#include "programs/reservation.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace heathtrestle::programs {

namespace {

constexpr std::uint64_t no_backend_retry_after_ms = 2000;

std::string engine_request_name(const std::string &program,
                                const std::string &key, std::uint32_t attempt) {
  return fmt::format("{}/{}/{}", program, key, attempt);
}

wire::Failure failure_of(error_code code, std::string message, std::string step,
                         std::string peer, wire::RanStatus ran,
                         std::uint64_t retry_after_ms) {
  wire::Failure failure;
  failure.set_code(std::string(name_of(code)));
  failure.set_message(std::move(message));
  failure.set_step(std::move(step));
  failure.set_peer(std::move(peer));
  failure.set_ran(ran);
  failure.set_retry_after_ms(retry_after_ms);
  failure.set_http_status(http_status_of(code));
  return failure;
}

std::uint64_t total_bytes(const std::vector<std::string> &messages) {
  std::uint64_t bytes = 0;
  for (const std::string &message : messages) {
    bytes += message.size();
  }
  return bytes;
}

/// Serializes an assistant message with its fields in canonical order, so that
/// it compares equal to the client's copy in later conversations.
std::string assistant_message(const std::string &text) {
  boost::json::object message;
  message["content"] = text;
  message["role"] = "assistant";
  return boost::json::serialize(message);
}

} // namespace

void coordinator::schedule(coordinator_view &view,
                           const std::string &program_name) {
  const wire::ProgramRecord *program =
      view.store.find(program_id{program_name});
  if (program == nullptr) {
    return;
  }
  for (const wire::CallRecord *call : runnable_calls(*program)) {
    if (in_transition_.contains({program_name, call->request().key()})) {
      continue;
    }
    const wire::CallRecord *before =
        find_call(*program, call->request().after());
    if (before != nullptr && before->state() != wire::CALL_COMPLETED) {
      // The call depends on an answer that does not exist.
      wire::FinishCall command;
      command.set_state(wire::CALL_NOT_RUN);
      *command.mutable_failure() = failure_of(
          error_code::conflict,
          fmt::format("call {}, which it comes after, was not completed",
                      call->request().after()),
          "order", "", wire::RAN_NOT_RUN, options_.overload_retry_after_ms);
      finish(view, *program, *call, std::move(command));
      continue;
    }
    start_attempt(view, *program, *call, {}, false);
  }
}

void coordinator::start_attempt(coordinator_view &view,
                                const wire::ProgramRecord &program,
                                const wire::CallRecord &call,
                                const std::set<std::string> &excluded,
                                bool previous_may_have_started) {
  const wire::CallRequest &request = call.request();
  const std::optional<std::string> chosen =
      choose_backend(view, program, request, excluded);
  if (!chosen.has_value()) {
    const bool not_run = !previous_may_have_started && !call.may_have_started();
    wire::FinishCall command;
    command.set_state(not_run ? wire::CALL_NOT_RUN
                              : wire::CALL_OUTCOME_UNKNOWN);
    command.set_cost(not_run ? 0 : call.reserved());
    *command.mutable_failure() = failure_of(
        error_code::no_backend,
        fmt::format("no back end takes work for {}", request.target()), "place",
        request.target(), not_run ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN,
        no_backend_retry_after_ms);
    finish(view, program, call, std::move(command));
    return;
  }
  in_transition_.insert({program.id(), request.key()});
  wire::Command command;
  wire::StartAttempt &start = *command.mutable_start_attempt();
  start.set_program(program.id());
  start.set_key(request.key());
  start.set_attempt(call.attempt() + 1);
  start.set_backend(*chosen);
  start.set_previous_may_have_started(previous_may_have_started);
  propose(view, std::move(command));
}

std::optional<std::string>
coordinator::choose_backend(coordinator_view &view,
                            const wire::ProgramRecord &program,
                            const wire::CallRequest &request,
                            const std::set<std::string> &excluded) const {
  if (request.kind() == wire::CALL_TOOL) {
    return request.target();
  }
  std::vector<candidate> candidates;
  std::vector<candidate> fallback;
  for (const auto &[name, backend] : view.configuration.backends()) {
    const bool fits = backend.model == request.target() &&
                      view.configuration.accepts_work(name);
    if (!fits) {
      continue;
    }
    const auto known = queue_lengths_.find(name);
    const candidate option{
        .name = name,
        .zone = backend.zone,
        .slots = backend.slots,
        .queue_length = known == queue_lengths_.end() ? 0 : known->second};
    (excluded.contains(name) ? fallback : candidates).push_back(option);
  }
  if (candidates.empty()) {
    candidates = std::move(fallback);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  placement_request placement;
  placement.zone = view.members.self().zone();
  const wire::AgentRecord *agent = find_agent(program, request.agent());
  if (agent != nullptr) {
    placement.affinity = agent->last_backend();
    placement.history_bytes =
        total_bytes({agent->history().begin(), agent->history().end()});
  }
  if (placement.affinity.empty() && request.messages_size() > 0) {
    placement.prefix_key = request.messages(0);
  }
  const placement_policy &policy = placement_policy_named(options_.placement);
  return candidates[policy.choose(candidates, placement, view.step)].name;
}

void coordinator::track_attempt(coordinator_view &view,
                                const wire::ProgramRecord &program,
                                const wire::CallRecord &call,
                                bool started_here) {
  const call_id id{program.id(), call.request().key()};
  attempt state;
  state.number = call.attempt();
  state.started_here = started_here;
  state.started = view.step.now();
  state.last_progress = view.step.now();
  const auto clients = waiters_.find(id);
  if (clients != waiters_.end() && !clients->second.empty()) {
    state.stream_to = clients->second.back();
  }
  attempt &stored = attempts_[id] = std::move(state);
  if (call.request().kind() == wire::CALL_TOOL) {
    // An earlier leader may already have sent an attempt that this leader found
    // in the log. If the call is unrepeatable, only its status may be
    // requested.
    const bool start_allowed = started_here || !call.request().unrepeatable();
    invoke_tool(view, program, call, stored, start_allowed);
    return;
  }
  send_dispatch(view, program, call, stored);
}

void coordinator::send_dispatch(coordinator_view &view,
                                const wire::ProgramRecord &program,
                                const wire::CallRecord &call, attempt &state) {
  const auto dispatcher = view.members.leader_of(
      partition_of(call.backend(), view.members.partitions()));
  state.last_sent = view.step.now();
  if (!dispatcher.has_value()) {
    return; // repeated by tick_attempts() after the resend interval
  }
  wire::Envelope envelope;
  wire::DispatchRequest &request = *envelope.mutable_dispatch_request();
  request.set_program_partition(view.partition.value());
  request.set_program_term(view.term.value());
  request.set_program(program.id());
  request.set_key(call.request().key());
  request.set_attempt(call.attempt());
  request.set_engine_request(
      engine_request_name(program.id(), call.request().key(), call.attempt()));
  request.set_backend(call.backend());
  request.set_backend_term(dispatcher->term());
  // Each dispatcher term belongs to one process, which recognizes repeated
  // requests. A request to another term could start the attempt a second time.
  const bool requested_elsewhere =
      !state.started_here ||
      std::any_of(state.requested_terms.begin(), state.requested_terms.end(),
                  [&dispatcher](std::uint64_t term) {
                    return term != dispatcher->term();
                  });
  request.set_start_allowed(!call.request().unrepeatable() ||
                            !requested_elsewhere);
  if (request.start_allowed()) {
    state.requested_terms.insert(dispatcher->term());
  }
  request.set_model(call.request().target());
  // The full prompt is sent only once per dispatcher term. A dispatcher that
  // did not receive it replies DISPATCH_UNKNOWN, and the prompt is sent again.
  const bool has_full_prompt = state.full_prompt_term == dispatcher->term();
  request.set_reminder(has_full_prompt);
  if (!has_full_prompt) {
    state.full_prompt_term = dispatcher->term();
    for (const std::string &message : prompt_of(program, call)) {
      request.add_messages(message);
    }
  }
  request.set_max_output_tokens(call.request().max_output_tokens());
  request.set_tenant(program.tenant());
  const config::tenant_object *tenant =
      view.configuration.tenant(program.tenant());
  request.set_tenant_weight(tenant == nullptr ? 1 : tenant->weight);
  const config::class_object *program_class =
      view.configuration.program_class(program.program_class());
  request.set_priority(program_class == nullptr ? 0 : program_class->priority);
  std::uint64_t attained = 0;
  for (const wire::CallRecord &earlier : program.calls()) {
    attained += earlier.usage().prompt_tokens() -
                earlier.usage().cached_tokens() +
                earlier.usage().output_tokens();
  }
  request.set_attained_service(attained);
  if (state.stream_to.has_value()) {
    request.set_gateway(state.stream_to->gateway.value());
    request.set_gateway_request(state.stream_to->request_id);
  }
  view.step.send(node_id{dispatcher->node()}, std::move(envelope));
}

void coordinator::invoke_tool(coordinator_view &view,
                              const wire::ProgramRecord &program,
                              const wire::CallRecord &call, attempt &state,
                              bool start_allowed) {
  state.last_sent = view.step.now();
  const config::tool_object *tool =
      view.configuration.tool(call.request().target());
  if (tool == nullptr) {
    handle_lost_attempt(view, program, call, "the tool left the configuration",
                        call.request().target());
    return;
  }
  wire::InvokeTool &invoke = *view.step.add().mutable_invoke_tool();
  invoke.set_partition(view.partition.value());
  invoke.set_program(program.id());
  invoke.set_key(call.request().key());
  invoke.set_attempt(call.attempt());
  invoke.set_tool(call.request().target());
  invoke.set_address(tool->address);
  invoke.set_arguments(call.request().arguments());
  invoke.set_invocation(
      fmt::format("{}/{}", program.id(), call.request().key()));
  invoke.set_start_allowed(start_allowed);
  invoke.set_time_limit_ms(tool->time_limit_ms);
}

void coordinator::on_dispatch_reply(coordinator_view &view,
                                    const wire::DispatchReply &reply) {
  const wire::CallRecord *call =
      running_call(view, reply.program(), reply.key(), reply.attempt());
  if (call == nullptr) {
    return; // the attempt has already finished
  }
  queue_lengths_[call->backend()] = reply.queue_length();
  const wire::ProgramRecord &program =
      *view.store.find(program_id{reply.program()});
  attempt &state = attempts_.at({reply.program(), reply.key()});
  state.last_progress = view.step.now();
  state.stalled = false;
  switch (reply.status()) {
  case wire::DISPATCH_ACCEPTED:
    return;
  case wire::DISPATCH_UNKNOWN:
    state.full_prompt_term = 0;
    send_dispatch(view, program, *call, state);
    return;
  case wire::DISPATCH_COMPLETED:
    finish_completed(view, program, *call, assistant_message(reply.text()),
                     reply.usage(), cost_of(reply.usage(), call->price()));
    return;
  case wire::DISPATCH_REFUSED:
  case wire::DISPATCH_NOT_STARTED:
    handle_declined_attempt(view, program, *call, state, reply);
    return;
  case wire::DISPATCH_LOST:
    handle_lost_attempt(view, program, *call, reply.detail(), call->backend());
    return;
  case wire::DISPATCH_ENGINE_ERROR: {
    wire::FinishCall command;
    command.set_state(wire::CALL_FAILED);
    *command.mutable_failure() =
        failure_of(error_code::engine_failed, reply.detail(), "generate",
                   call->backend(), wire::RAN_RAN, 0);
    finish(view, program, *call, std::move(command));
    return;
  }
  default:
    return;
  }
}

void coordinator::handle_declined_attempt(coordinator_view &view,
                                          const wire::ProgramRecord &program,
                                          const wire::CallRecord &call,
                                          attempt &state,
                                          const wire::DispatchReply &reply) {
  state.declined_terms.insert(reply.backend_term());
  const bool certainly_not_started =
      state.started_here &&
      std::includes(state.declined_terms.begin(), state.declined_terms.end(),
                    state.requested_terms.begin(), state.requested_terms.end());
  if (!certainly_not_started && call.request().unrepeatable()) {
    handle_lost_attempt(
        view, program, call,
        "a dispatcher declined, but another may have started it",
        call.backend());
    return;
  }
  view.step.log(logging::event::dispatch_refused,
                fmt::format("{} {} at {}: {}", program.id(),
                            call.request().key(), call.backend(),
                            reply.detail()));
  wire::Failure refusal = failure_of(
      error_code::overloaded,
      reply.detail().empty() ? "the back ends are full" : reply.detail(),
      "dispatch", call.backend(),
      certainly_not_started ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN,
      std::max(reply.retry_after_ms(), options_.overload_retry_after_ms));
  retry_or_refuse(view, program, call, std::move(refusal));
}

void coordinator::handle_lost_attempt(coordinator_view &view,
                                      const wire::ProgramRecord &program,
                                      const wire::CallRecord &call,
                                      const std::string &detail,
                                      const std::string &peer) {
  view.step.log(logging::event::attempt_failed,
                fmt::format("{} {} attempt {} at {}: {}", program.id(),
                            call.request().key(), call.attempt(), peer,
                            detail));
  wire::Failure failure = failure_of(error_code::outcome_unknown, detail,
                                     "attempt", peer, wire::RAN_UNKNOWN, 0);
  if (call.request().unrepeatable()) {
    view.step.log(logging::event::call_outcome_unknown,
                  fmt::format("{} {}", program.id(), call.request().key()));
    wire::FinishCall command;
    command.set_state(wire::CALL_OUTCOME_UNKNOWN);
    command.set_cost(call.reserved()); // the engine may have used all of it
    *command.mutable_failure() = std::move(failure);
    finish(view, program, call, std::move(command));
    return;
  }
  failure.set_retry_after_ms(options_.overload_retry_after_ms);
  retry_or_refuse(view, program, call, std::move(failure));
}

void coordinator::retry_or_refuse(coordinator_view &view,
                                  const wire::ProgramRecord &program,
                                  const wire::CallRecord &call,
                                  wire::Failure refusal) {
  const call_id id{program.id(), call.request().key()};
  if (in_transition_.contains(id)) {
    return;
  }
  attempts_.erase(id);
  const bool may_retry =
      !program.ended() && call.attempt() < options_.attempt_limit;
  if (may_retry) {
    start_attempt(view, program, call, {call.backend()},
                  refusal.ran() != wire::RAN_NOT_RUN);
    return;
  }
  wire::FinishCall command;
  const bool not_run =
      refusal.ran() == wire::RAN_NOT_RUN && !call.may_have_started();
  refusal.set_ran(not_run ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN);
  command.set_state(not_run ? wire::CALL_NOT_RUN : wire::CALL_OUTCOME_UNKNOWN);
  command.set_cost(not_run ? 0 : call.reserved());
  *command.mutable_failure() = std::move(refusal);
  finish(view, program, call, std::move(command));
}

void coordinator::on_tool_finished(coordinator_view &view,
                                   const wire::ToolFinished &result) {
  const wire::CallRecord *call =
      running_call(view, result.program(), result.key(), result.attempt());
  if (call == nullptr) {
    return;
  }
  const wire::ProgramRecord &program =
      *view.store.find(program_id{result.program()});
  const std::string &tool = call->request().target();
  switch (result.status()) {
  case wire::DISPATCH_COMPLETED:
    finish_completed(view, program, *call, result.result(), {}, call->price());
    return;
  case wire::DISPATCH_NOT_STARTED: {
    // An earlier leader may have sent this attempt, which may have started.
    const bool started_here =
        attempts_.at({result.program(), result.key()}).started_here;
    if (!started_here && call->request().unrepeatable()) {
      handle_lost_attempt(view, program, *call, result.detail(), tool);
      return;
    }
    retry_or_refuse(
        view, program, *call,
        failure_of(error_code::peer_unreachable, result.detail(), "tool", tool,
                   started_here ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN,
                   options_.overload_retry_after_ms));
    return;
  }
  case wire::DISPATCH_ENGINE_ERROR: {
    wire::FinishCall command;
    command.set_state(wire::CALL_FAILED);
    command.set_cost(call->reserved());
    *command.mutable_failure() =
        failure_of(error_code::tool_failed, result.detail(), "tool", tool,
                   wire::RAN_RAN, 0);
    finish(view, program, *call, std::move(command));
    return;
  }
  default:
    handle_lost_attempt(view, program, *call, result.detail(), tool);
    return;
  }
}

void coordinator::finish(coordinator_view &view,
                         const wire::ProgramRecord &program,
                         const wire::CallRecord &call,
                         wire::FinishCall command) {
  const call_id id{program.id(), call.request().key()};
  if (!in_transition_.insert(id).second) {
    return;
  }
  command.set_program(program.id());
  command.set_key(call.request().key());
  command.set_attempt(call.attempt());
  wire::Command wrapped;
  *wrapped.mutable_finish_call() = std::move(command);
  propose(view, std::move(wrapped));
}

void coordinator::finish_completed(coordinator_view &view,
                                   const wire::ProgramRecord &program,
                                   const wire::CallRecord &call,
                                   std::string answer, const wire::Usage &usage,
                                   std::uint64_t cost) {
  wire::FinishCall command;
  command.set_state(wire::CALL_COMPLETED);
  command.set_answer(std::move(answer));
  *command.mutable_usage() = usage;
  command.set_cost(cost);
  finish(view, program, call, std::move(command));
}

const wire::CallRecord *coordinator::running_call(coordinator_view &view,
                                                  const std::string &program,
                                                  const std::string &key,
                                                  std::uint32_t number) const {
  const wire::ProgramRecord *record = view.store.find(program_id{program});
  const wire::CallRecord *call =
      record == nullptr ? nullptr : find_call(*record, key);
  const bool current = call != nullptr && call->state() == wire::CALL_RUNNING &&
                       call->attempt() == number &&
                       attempts_.contains({program, key});
  return current ? call : nullptr;
}

} // namespace heathtrestle::programs
