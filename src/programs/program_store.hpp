// The replicated state machine of a partition, which holds the records of its
// programs.
//
// Every replica applies the same commands in log order, so `apply` must be a
// deterministic function of the state and the command. A refused command
// changes nothing, except that a refused call is recorded as not run under its
// key, so that repeated requests with this key get the same refusal.
#pragma once

#include "base/ids.hpp"
#include "wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::programs {

/// The result of applying a command.
struct apply_result {
  /// Set when the command was refused.
  std::optional<wire::Failure> refusal;
  /// Keys of the calls that this command brought to a final state.
  std::vector<std::string> finished_keys;
};

class program_store {
public:
  apply_result apply(const wire::Command &command);

  /// @return null when there is no such program.
  [[nodiscard]] const wire::ProgramRecord *find(const program_id &id) const;

  [[nodiscard]] const std::map<program_id, wire::ProgramRecord> &
  programs() const {
    return programs_;
  }

  [[nodiscard]] wire::PartitionSnapshot snapshot() const;
  void restore(const wire::PartitionSnapshot &snapshot);

private:
  apply_result apply(const wire::CreateProgram &command);
  apply_result apply(const wire::RecordCall &command);
  apply_result apply(const wire::RefuseCall &command);
  apply_result apply(const wire::StartAttempt &command);
  apply_result apply(const wire::FinishCall &command);
  apply_result apply(const wire::EndProgram &command);
  apply_result apply(const wire::MemoryReleased &command);
  apply_result apply(const wire::ForgetProgram &command);

  wire::ProgramRecord *find_mutable(const std::string &id);

  std::map<program_id, wire::ProgramRecord> programs_;
};

/// @return null when the program has no call under `key`.
const wire::CallRecord *find_call(const wire::ProgramRecord &program,
                                  const std::string &key);
wire::CallRecord *find_call(wire::ProgramRecord &program,
                            const std::string &key);

/// @return null when the program has no record of the agent, which its first
/// completed chat call creates.
const wire::AgentRecord *find_agent(const wire::ProgramRecord &program,
                                    const std::string &name);

/// Returns the number of calls that count against the turn limit, which is all
/// except those that did not run.
std::uint32_t count_turns(const wire::ProgramRecord &program);

/// Returns true for every state other than waiting and running.
bool is_final(wire::CallState state);

/// Returns the waiting calls that may start now: the first unfinished call of
/// each agent, unless the call that its `after` names is not final yet.
std::vector<const wire::CallRecord *>
runnable_calls(const wire::ProgramRecord &program);

/// Returns the messages of a call's prompt: its agent's history, unless the
/// call replaces it, followed by the call's own messages.
std::vector<std::string> prompt_of(const wire::ProgramRecord &program,
                                   const wire::CallRecord &call);

/// Removes the messages from `request` that its agent's history already holds.
/// Changes only chat requests that extend the history.
/// @return a refusal when the conversation does not begin with the history, or
/// when an unfinished call of the agent may still change the history.
std::optional<wire::Failure>
reduce_to_new_messages(const wire::ProgramRecord &program,
                       wire::CallRequest &request);

/// Builds a failure of the commit step with status not run and no retry delay.
wire::Failure refuse(std::string_view code, std::string message,
                     std::uint32_t http_status);

} // namespace heathtrestle::programs
