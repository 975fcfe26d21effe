#include "programs/coordinator.hpp"

#include "base/error.hpp"
#include "programs/reservation.hpp"

#include <algorithm>

namespace heathtrestle::programs {

namespace {

wire::Failure refusal_of(error_code code, std::string message,
                         std::uint64_t retry_after_ms = 0) {
  wire::Failure failure =
      refuse(name_of(code), std::move(message), http_status_of(code));
  failure.set_step("admit");
  failure.set_retry_after_ms(retry_after_ms);
  return failure;
}

const std::string &program_in(const wire::Command &command) {
  static const std::string none;
  switch (command.body_case()) {
  case wire::Command::kCreateProgram:
    return command.create_program().id();
  case wire::Command::kRecordCall:
    return command.record_call().program();
  case wire::Command::kRefuseCall:
    return command.refuse_call().program();
  case wire::Command::kStartAttempt:
    return command.start_attempt().program();
  case wire::Command::kFinishCall:
    return command.finish_call().program();
  case wire::Command::kEndProgram:
    return command.end_program().program();
  case wire::Command::kMemoryReleased:
    return command.memory_released().program();
  case wire::Command::kForgetProgram:
    return command.forget_program().program();
  case wire::Command::kReadBarrier:
    return command.read_barrier().program();
  case wire::Command::kRecordBatch: // belongs to the record group
  case wire::Command::BODY_NOT_SET:
    return none;
  }
  return none;
}

/// Returns the key of the call in a RecordCall or RefuseCall command; empty for
/// other commands.
std::string key_of_call(const wire::Command &command) {
  if (command.has_record_call()) {
    return command.record_call().request().key();
  }
  return command.has_refuse_call() ? command.refuse_call().request().key()
                                   : std::string();
}

/// Sets the price and the reservation of a chat call, and limits its output
/// tokens to the budget.
/// @return a refusal when the model is unknown or the budget is too small.
std::optional<wire::Failure>
reserve_for_chat(const config::configuration_store &configuration,
                 const wire::ProgramRecord &program, wire::CallRequest &request,
                 wire::RecordCall &record) {
  const config::model_object *model = configuration.model(request.target());
  if (model == nullptr) {
    return refusal_of(error_code::not_found,
                      fmt::format("no model {}", request.target()));
  }
  const config::class_object *program_class =
      configuration.program_class(program.program_class());
  const std::uint64_t price =
      program_class == nullptr ? 0 : program_class->price;
  const auto reserved = reserve_chat(program, request, *model, price);
  if (!reserved.has_value()) {
    return refusal_of(
        error_code::budget_exhausted,
        fmt::format("budget {}, spent {}, reserved {}: not enough for the "
                    "prompt and one token",
                    program.budget(), program.spent(), program.reserved()));
  }
  request.set_max_output_tokens(reserved->max_output_tokens);
  record.set_reserve(reserved->amount);
  record.set_price(price);
  return std::nullopt;
}

/// Sets the price and the reservation of a chat or tool call.
/// @return a refusal when the target is unknown or the budget is too small.
std::optional<wire::Failure>
reserve(const config::configuration_store &configuration,
        const wire::ProgramRecord &program, wire::CallRequest &request,
        wire::RecordCall &record) {
  if (request.kind() == wire::CALL_CHAT) {
    return reserve_for_chat(configuration, program, request, record);
  }
  const config::tool_object *tool = configuration.tool(request.target());
  if (tool == nullptr) {
    return refusal_of(error_code::not_found,
                      fmt::format("no tool {}", request.target()));
  }
  record.set_reserve(tool->price);
  record.set_price(tool->price);
  return std::nullopt;
}

} // namespace

void coordinator::on_established(coordinator_view &view) {
  for (const auto &[id, program] : view.store.programs()) {
    last_activity_[id.value()] = view.step.now();
    for (const wire::CallRecord &call : program.calls()) {
      if (call.state() == wire::CALL_RUNNING) {
        view.step.log(logging::event::call_resumed,
                      fmt::format("{} {}", id, call.request().key()));
        track_attempt(view, program, call, false);
      }
    }
    schedule(view, program.id());
  }
}

void coordinator::on_leadership_lost() {
  proposed_.clear();
  waiters_.clear();
  attempts_.clear();
  in_transition_.clear();
  last_activity_.clear();
  release_sent_.clear();
}

void coordinator::on_request(coordinator_view &view, const waiter &client,
                             const wire::ClientRequest &request) {
  wire::Command command;
  switch (request.body_case()) {
  case wire::ClientRequest::kSubmitCall:
    submit(view, client, request.submit_call());
    return;
  case wire::ClientRequest::kCreateProgram:
    *command.mutable_create_program() = request.create_program();
    break;
  case wire::ClientRequest::kEndProgram:
    *command.mutable_end_program() = request.end_program();
    break;
  case wire::ClientRequest::kReadProgram:
    command.mutable_read_barrier()->set_program(
        request.read_program().program());
    break;
  case wire::ClientRequest::BODY_NOT_SET:
    return;
  }
  view.proposals.push_back({std::move(command), client});
}

void coordinator::on_proposed(log_index index, proposal proposed) {
  proposed_[index] = std::move(proposed);
}

void coordinator::on_applied(coordinator_view &view, log_index index,
                             const wire::Command &command,
                             const apply_result &outcome) {
  const std::string &program_name = program_in(command);
  std::optional<proposal> origin;
  const auto found = proposed_.find(index);
  if (found != proposed_.end()) {
    origin = std::move(found->second);
    proposed_.erase(found);
  }
  if (command.has_start_attempt()) {
    const wire::StartAttempt &started = command.start_attempt();
    in_transition_.erase({started.program(), started.key()});
    if (!outcome.refusal.has_value()) {
      const wire::ProgramRecord &program =
          *view.store.find(program_id{started.program()});
      track_attempt(view, program, *find_call(program, started.key()), true);
    }
  }
  if (command.has_finish_call()) {
    in_transition_.erase(
        {command.finish_call().program(), command.finish_call().key()});
  }
  for (const std::string &key : outcome.finished_keys) {
    attempts_.erase({program_name, key});
    answer_waiters(view, program_name, key);
  }
  const wire::ProgramRecord *program =
      view.store.find(program_id{program_name});
  if (command.has_end_program() && program != nullptr) {
    cancel_running_calls(view, *program);
    release_memory(view, *program);
  }
  if (origin.has_value() && origin->reply_to.has_value()) {
    answer_origin(view, *origin->reply_to, command, outcome);
  }
  if (program != nullptr) {
    if (!command.has_memory_released() && !command.has_read_barrier()) {
      last_activity_[program_name] = view.step.now();
    }
    schedule(view, program_name);
  }
}

void coordinator::answer_origin(coordinator_view &view, const waiter &client,
                                const wire::Command &command,
                                const apply_result &outcome) {
  const std::string &program_name = program_in(command);
  const wire::ProgramRecord *program =
      view.store.find(program_id{program_name});
  const std::string key = key_of_call(command);
  const bool recorded =
      program != nullptr && find_call(*program, key) != nullptr;
  if (!key.empty() && recorded) {
    // Reply when the call has an outcome, not when it is recorded.
    waiters_[{program_name, key}].push_back(client);
    answer_waiters(view, program_name, key);
    return;
  }
  wire::ClientReply message;
  if (outcome.refusal.has_value()) {
    *message.mutable_failure() = *outcome.refusal;
  } else if (program != nullptr) {
    *message.mutable_program() = *program;
  } else {
    *message.mutable_failure() = refusal_of(
        error_code::not_found, fmt::format("no program {}", program_name));
  }
  reply(view, client, std::move(message));
}

void coordinator::submit(coordinator_view &view, const waiter &client,
                         const wire::SubmitCall &submitted) {
  const std::string &program_name = submitted.program();
  const wire::ProgramRecord *program =
      view.store.find(program_id{program_name});
  if (program == nullptr) {
    refuse_call(view, client, program_name, submitted.call(),
                refusal_of(error_code::not_found,
                           fmt::format("no program {}", program_name)));
    return;
  }
  const call_id id{program_name, submitted.call().key()};
  const wire::CallRecord *known = find_call(*program, id.second);
  if (known == nullptr && submitted.reminder()) {
    wire::ClientReply message;
    message.set_send_whole(true);
    reply(view, client, std::move(message));
    return;
  }
  if (known == nullptr) {
    propose_record(view, client, *program, submitted.call());
    return;
  }
  std::vector<waiter> &clients = waiters_[id];
  const bool is_new =
      std::none_of(clients.begin(), clients.end(), [&client](const waiter &w) {
        return w.request_id == client.request_id;
      });
  if (is_new) {
    clients.push_back(client);
  }
  answer_waiters(view, program_name, id.second);
  const auto running = attempts_.find(id);
  if (is_new && running != attempts_.end() &&
      known->request().kind() == wire::CALL_CHAT) {
    // The client repeated its request: stream to the new request.
    running->second.stream_to = client;
    send_dispatch(view, *program, *known, running->second);
  }
}

void coordinator::propose_record(coordinator_view &view, const waiter &client,
                                 const wire::ProgramRecord &program,
                                 wire::CallRequest request) {
  const bool already_proposed =
      std::any_of(proposed_.begin(), proposed_.end(), [&](const auto &entry) {
        const wire::Command &command = entry.second.command;
        return command.has_record_call() &&
               command.record_call().program() == program.id() &&
               command.record_call().request().key() == request.key();
      });
  if (already_proposed) {
    return; // the gateway repeats the request after the record is applied
  }
  const std::string &after = request.after();
  if (!after.empty() && find_call(program, after) == nullptr) {
    return; // the predecessor is not recorded yet; the gateway retries
  }
  auto refusal = reduce_to_new_messages(program, request);
  wire::RecordCall record;
  if (!refusal.has_value()) {
    refusal = reserve(view.configuration, program, request, record);
  }
  if (refusal.has_value()) {
    refuse_call(view, client, program.id(), std::move(request),
                std::move(*refusal));
    return;
  }
  record.set_program(program.id());
  *record.mutable_request() = std::move(request);
  wire::Command command;
  *command.mutable_record_call() = std::move(record);
  view.proposals.push_back({std::move(command), client});
}

void coordinator::refuse_call(coordinator_view &view, const waiter &client,
                              const std::string &program,
                              wire::CallRequest request,
                              wire::Failure failure) {
  wire::Command command;
  wire::RefuseCall &refusal = *command.mutable_refuse_call();
  refusal.set_program(program);
  *refusal.mutable_request() = std::move(request);
  *refusal.mutable_failure() = std::move(failure);
  view.proposals.push_back({std::move(command), client});
}

void coordinator::propose(coordinator_view &view, wire::Command command) {
  view.proposals.push_back({std::move(command), std::nullopt});
}

void coordinator::answer_waiters(coordinator_view &view,
                                 const std::string &program_name,
                                 const std::string &key) {
  const wire::ProgramRecord *program =
      view.store.find(program_id{program_name});
  const wire::CallRecord *call =
      program == nullptr ? nullptr : find_call(*program, key);
  if (call == nullptr || !is_final(call->state())) {
    return;
  }
  const auto found = waiters_.find({program_name, key});
  if (found == waiters_.end()) {
    return;
  }
  for (const waiter &client : found->second) {
    wire::ClientReply message;
    *message.mutable_outcome()->mutable_call() = *call;
    message.mutable_outcome()
        ->mutable_call()
        ->mutable_request()
        ->clear_messages();
    message.mutable_outcome()->set_program(program_name);
    reply(view, client, std::move(message));
  }
  waiters_.erase(found);
}

void coordinator::reply(coordinator_view &view, const waiter &client,
                        wire::ClientReply message) {
  message.set_request_id(client.request_id);
  wire::Envelope envelope;
  *envelope.mutable_client_reply() = std::move(message);
  view.step.send(client.gateway, std::move(envelope));
}

} // namespace heathtrestle::programs
