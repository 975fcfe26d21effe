#include "programs/program_store.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <set>

namespace heathtrestle::programs {

namespace {

constexpr std::string_view commit_step = "commit";

wire::Failure refuse(error_code code, std::string message) {
  return programs::refuse(name_of(code), std::move(message),
                          http_status_of(code));
}

apply_result refused(error_code code, std::string message) {
  return {.refusal = refuse(code, std::move(message)), .finished_keys = {}};
}

/// Records a refused call as not run, without its messages and arguments.
apply_result record_refusal(wire::ProgramRecord &program,
                            const wire::CallRequest &request,
                            wire::Failure failure) {
  failure.set_settled(true);
  wire::CallRecord &call = *program.add_calls();
  *call.mutable_request() = request;
  call.mutable_request()->clear_messages();
  call.mutable_request()->clear_arguments();
  call.set_position(program.next_position());
  call.set_state(wire::CALL_NOT_RUN);
  *call.mutable_failure() = std::move(failure);
  program.set_next_position(program.next_position() + 1);
  return {.refusal = call.failure(), .finished_keys = {request.key()}};
}

apply_result no_such_program(const std::string &id) {
  return refused(error_code::not_found, fmt::format("no program {}", id));
}

/// Returns the agent's record and creates it if it does not exist.
wire::AgentRecord &agent_of(wire::ProgramRecord &program,
                            const std::string &name) {
  for (wire::AgentRecord &agent : *program.mutable_agents()) {
    if (agent.name() == name) {
      return agent;
    }
  }
  wire::AgentRecord &agent = *program.add_agents();
  agent.set_name(name);
  return agent;
}

bool has_unfinished_call(const wire::ProgramRecord &program,
                         const std::string &agent) {
  return std::any_of(program.calls().begin(), program.calls().end(),
                     [&agent](const wire::CallRecord &call) {
                       return call.request().agent() == agent &&
                              !is_final(call.state());
                     });
}

void record_backend_in_use(wire::ProgramRecord &program,
                           const std::string &backend) {
  const auto &recorded = program.unreleased_backends();
  if (std::find(recorded.begin(), recorded.end(), backend) == recorded.end()) {
    program.add_unreleased_backends(backend);
  }
}

void append_to_history(wire::ProgramRecord &program, wire::CallRecord &call) {
  wire::AgentRecord &agent = agent_of(program, call.request().agent());
  if (call.request().history_mode() == wire::HISTORY_REPLACE) {
    agent.clear_history();
  }
  for (const std::string &message : call.request().messages()) {
    agent.add_history(message);
  }
  agent.add_history(call.answer());
  agent.set_last_backend(call.backend());
  call.mutable_request()->clear_messages(); // the history now holds them
}

/// Replaces the call's reservation by its cost. The cost is capped at the
/// reservation, so that a wrong usage report cannot exceed the budget.
void settle(wire::ProgramRecord &program, wire::CallRecord &call,
            std::uint64_t cost) {
  const std::uint64_t charged = std::min(cost, call.reserved());
  program.set_reserved(program.reserved() - call.reserved());
  program.set_spent(program.spent() + charged);
  call.set_cost(charged);
  call.set_reserved(0);
}

} // namespace

wire::Failure refuse(std::string_view code, std::string message,
                     std::uint32_t http_status) {
  wire::Failure failure;
  failure.set_code(std::string(code));
  failure.set_message(std::move(message));
  failure.set_step(std::string(commit_step));
  failure.set_ran(wire::RAN_NOT_RUN);
  failure.set_http_status(http_status);
  return failure;
}

std::uint32_t count_turns(const wire::ProgramRecord &program) {
  return static_cast<std::uint32_t>(
      std::count_if(program.calls().begin(), program.calls().end(),
                    [](const wire::CallRecord &call) {
                      return call.state() != wire::CALL_NOT_RUN;
                    }));
}

bool is_final(wire::CallState state) {
  return state != wire::CALL_WAITING && state != wire::CALL_RUNNING;
}

const wire::CallRecord *find_call(const wire::ProgramRecord &program,
                                  const std::string &key) {
  for (const wire::CallRecord &call : program.calls()) {
    if (call.request().key() == key) {
      return &call;
    }
  }
  return nullptr;
}

wire::CallRecord *find_call(wire::ProgramRecord &program,
                            const std::string &key) {
  for (wire::CallRecord &call : *program.mutable_calls()) {
    if (call.request().key() == key) {
      return &call;
    }
  }
  return nullptr;
}

const wire::AgentRecord *find_agent(const wire::ProgramRecord &program,
                                    const std::string &name) {
  for (const wire::AgentRecord &agent : program.agents()) {
    if (agent.name() == name) {
      return &agent;
    }
  }
  return nullptr;
}

std::vector<const wire::CallRecord *>
runnable_calls(const wire::ProgramRecord &program) {
  std::vector<const wire::CallRecord *> runnable;
  std::set<std::string_view> seen_agents;
  for (const wire::CallRecord &call : program.calls()) {
    if (is_final(call.state())) {
      continue;
    }
    const bool first_of_agent =
        seen_agents.insert(call.request().agent()).second;
    const wire::CallRecord *before =
        call.request().after().empty()
            ? nullptr
            : find_call(program, call.request().after());
    const bool predecessor_pending =
        before != nullptr && !is_final(before->state());
    if (first_of_agent && !predecessor_pending &&
        call.state() == wire::CALL_WAITING) {
      runnable.push_back(&call);
    }
  }
  return runnable;
}

std::vector<std::string> prompt_of(const wire::ProgramRecord &program,
                                   const wire::CallRecord &call) {
  std::vector<std::string> prompt;
  const wire::AgentRecord *agent = find_agent(program, call.request().agent());
  const bool keeps_history =
      call.request().history_mode() != wire::HISTORY_REPLACE;
  if (agent != nullptr && keeps_history) {
    prompt.assign(agent->history().begin(), agent->history().end());
  }
  prompt.insert(prompt.end(), call.request().messages().begin(),
                call.request().messages().end());
  return prompt;
}

std::optional<wire::Failure>
reduce_to_new_messages(const wire::ProgramRecord &program,
                       wire::CallRequest &request) {
  if (request.kind() != wire::CALL_CHAT ||
      request.history_mode() != wire::HISTORY_EXTEND) {
    return std::nullopt;
  }
  const wire::AgentRecord *agent = find_agent(program, request.agent());
  if (has_unfinished_call(program, request.agent())) {
    return refuse(error_code::conflict,
                  fmt::format("agent {} has an unfinished call, so its history "
                              "is not known yet; append instead",
                              request.agent()));
  }
  if (agent == nullptr || agent->history().empty()) {
    return std::nullopt;
  }
  const auto &history = agent->history();
  const auto &messages = request.messages();
  const bool extends =
      messages.size() > history.size() &&
      std::equal(history.begin(), history.end(), messages.begin());
  if (!extends) {
    return refuse(error_code::conflict,
                  fmt::format("the conversation does not begin with the {} "
                              "messages recorded for agent {}; send the whole "
                              "conversation, or append, or replace",
                              history.size(), request.agent()));
  }
  request.mutable_messages()->DeleteSubrange(0, history.size());
  return std::nullopt;
}

apply_result program_store::apply(const wire::Command &command) {
  switch (command.body_case()) {
  case wire::Command::kCreateProgram:
    return apply(command.create_program());
  case wire::Command::kRecordCall:
    return apply(command.record_call());
  case wire::Command::kRefuseCall:
    return apply(command.refuse_call());
  case wire::Command::kStartAttempt:
    return apply(command.start_attempt());
  case wire::Command::kFinishCall:
    return apply(command.finish_call());
  case wire::Command::kEndProgram:
    return apply(command.end_program());
  case wire::Command::kMemoryReleased:
    return apply(command.memory_released());
  case wire::Command::kForgetProgram:
    return apply(command.forget_program());
  case wire::Command::kReadBarrier:
  case wire::Command::kRecordBatch: // belongs to the record group
  case wire::Command::BODY_NOT_SET:
    return {};
  }
  return {};
}

const wire::ProgramRecord *program_store::find(const program_id &id) const {
  const auto found = programs_.find(id);
  return found == programs_.end() ? nullptr : &found->second;
}

wire::PartitionSnapshot program_store::snapshot() const {
  wire::PartitionSnapshot snapshot;
  for (const auto &[id, program] : programs_) {
    *snapshot.add_programs() = program;
  }
  return snapshot;
}

void program_store::restore(const wire::PartitionSnapshot &snapshot) {
  programs_.clear();
  for (const wire::ProgramRecord &program : snapshot.programs()) {
    programs_[program_id{program.id()}] = program;
  }
}

apply_result program_store::apply(const wire::CreateProgram &command) {
  if (find_mutable(command.id()) != nullptr) {
    return {}; // a repeated request; the existing program is kept
  }
  wire::ProgramRecord program;
  program.set_id(command.id());
  program.set_tenant(command.tenant());
  program.set_program_class(command.program_class());
  program.set_name(command.name());
  program.set_budget(command.budget());
  program.set_turn_limit(command.turn_limit());
  programs_[program_id{command.id()}] = std::move(program);
  return {};
}

apply_result program_store::apply(const wire::RecordCall &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  if (program == nullptr) {
    return no_such_program(command.program());
  }
  const wire::CallRequest &request = command.request();
  if (find_call(*program, request.key()) != nullptr) {
    return {}; // a repeated request; the first record is kept
  }
  if (program->ended()) {
    return record_refusal(
        *program, request,
        refuse(error_code::program_ended,
               fmt::format("program {} has ended: {}", program->id(),
                           program->end_reason())));
  }
  if (count_turns(*program) >= program->turn_limit()) {
    return record_refusal(
        *program, request,
        refuse(error_code::turn_limit,
               fmt::format("program {} has used its {} turns", program->id(),
                           program->turn_limit())));
  }
  const std::uint64_t committed = program->spent() + program->reserved();
  if (committed + command.reserve() > program->budget()) {
    return record_refusal(
        *program, request,
        refuse(error_code::budget_exhausted,
               fmt::format("the call may cost {}, of budget {} there is {} "
                           "left",
                           command.reserve(), program->budget(),
                           program->budget() - committed)));
  }
  wire::CallRecord &call = *program->add_calls();
  *call.mutable_request() = request;
  call.set_position(program->next_position());
  call.set_reserved(command.reserve());
  call.set_price(command.price());
  program->set_next_position(program->next_position() + 1);
  program->set_reserved(program->reserved() + command.reserve());
  return {};
}

apply_result program_store::apply(const wire::RefuseCall &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  if (program == nullptr) {
    return {.refusal = command.failure(), .finished_keys = {}};
  }
  if (find_call(*program, command.request().key()) != nullptr) {
    return {}; // another copy of the request is already recorded
  }
  return record_refusal(*program, command.request(), command.failure());
}

apply_result program_store::apply(const wire::StartAttempt &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  wire::CallRecord *call =
      program == nullptr ? nullptr : find_call(*program, command.key());
  if (call == nullptr) {
    return no_such_program(command.program());
  }
  const bool follows_last = command.attempt() == call->attempt() + 1;
  if (is_final(call->state()) || !follows_last) {
    return refused(error_code::conflict, "the call has moved on");
  }
  call->set_state(wire::CALL_RUNNING);
  call->set_attempt(command.attempt());
  call->set_backend(command.backend());
  call->set_may_have_started(call->may_have_started() ||
                             command.previous_may_have_started());
  if (call->request().kind() == wire::CALL_CHAT) {
    record_backend_in_use(*program, command.backend());
  }
  return {};
}

apply_result program_store::apply(const wire::FinishCall &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  wire::CallRecord *call =
      program == nullptr ? nullptr : find_call(*program, command.key());
  if (call == nullptr) {
    return no_such_program(command.program());
  }
  if (is_final(call->state()) || command.attempt() != call->attempt()) {
    return refused(error_code::conflict, "the call has moved on");
  }
  call->set_state(command.state());
  call->set_answer(command.answer());
  *call->mutable_usage() = command.usage();
  *call->mutable_failure() = command.failure();
  call->mutable_failure()->set_settled(true);
  settle(*program, *call, command.cost());
  const bool completed = command.state() == wire::CALL_COMPLETED;
  if (completed && call->request().kind() == wire::CALL_CHAT) {
    append_to_history(*program, *call);
  }
  return {.refusal = std::nullopt, .finished_keys = {command.key()}};
}

apply_result program_store::apply(const wire::EndProgram &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  if (program == nullptr) {
    return no_such_program(command.program());
  }
  apply_result outcome;
  if (program->ended()) {
    return outcome;
  }
  program->set_ended(true);
  program->set_end_reason(command.reason());
  for (wire::CallRecord &call : *program->mutable_calls()) {
    if (call.state() != wire::CALL_WAITING) {
      continue;
    }
    call.set_state(wire::CALL_NOT_RUN);
    *call.mutable_failure() =
        refuse(error_code::program_ended,
               fmt::format("program {} has ended: {}", program->id(),
                           program->end_reason()));
    call.mutable_failure()->set_settled(true);
    settle(*program, call, 0);
    outcome.finished_keys.push_back(call.request().key());
  }
  return outcome;
}

apply_result program_store::apply(const wire::MemoryReleased &command) {
  wire::ProgramRecord *program = find_mutable(command.program());
  if (program == nullptr) {
    return no_such_program(command.program());
  }
  auto &backends = *program->mutable_unreleased_backends();
  const auto kept =
      std::remove(backends.begin(), backends.end(), command.backend());
  backends.erase(kept, backends.end());
  return {};
}

apply_result program_store::apply(const wire::ForgetProgram &command) {
  programs_.erase(program_id{command.program()});
  return {};
}

wire::ProgramRecord *program_store::find_mutable(const std::string &id) {
  const auto found = programs_.find(program_id{id});
  return found == programs_.end() ? nullptr : &found->second;
}

} // namespace heathtrestle::programs
