// The state machine of a partition: the records of its programs.
//
// Commands reach it in log order on every replica, so `apply` is a function of
// the state and the command alone. A refused command leaves nothing behind,
// except that a refused call stays refused: its key is recorded as not run.
#pragma once

#include "base/ids.hpp"
#include "wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::programs {

/// What applying a command did.
struct apply_result {
  /// Set when the command was refused and changed nothing.
  std::optional<wire::Failure> refusal;
  /// Calls that became final with this command, by key.
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

/// @return null when no call has named the agent yet.
const wire::AgentRecord *find_agent(const wire::ProgramRecord &program,
                                    const std::string &name);

/// Calls that count against the turn limit: all but those that did not run.
std::uint32_t count_turns(const wire::ProgramRecord &program);

/// True for states that a call never leaves.
bool is_final(wire::CallState state);

/// The waiting calls whose turn it is: the first unfinished call of each
/// agent, unless it names a call to come after that is not final yet.
std::vector<const wire::CallRecord *>
runnable_calls(const wire::ProgramRecord &program);

/// The prompt of a call: its agent's history and the call's own messages.
std::vector<std::string> prompt_of(const wire::ProgramRecord &program,
                                   const wire::CallRecord &call);

/// The messages of `request` that its agent's history does not hold yet.
/// @return a refusal when the conversation does not begin with the history.
std::optional<wire::Failure>
reduce_to_new_messages(const wire::ProgramRecord &program,
                       wire::CallRequest &request);

/// Builds a refusal: not run, and a retry does not help.
wire::Failure refuse(std::string_view code, std::string message,
                     std::uint32_t http_status);

} // namespace heathtrestle::programs
