// What the leader of a partition does with its programs: records calls, starts
// attempts in order, follows them at dispatchers and tools, settles them, and
// returns the engine memory of ended programs.
//
// Everything here is volatile. A new leader rebuilds it from the committed
// records alone, so losing a leader loses no work.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/configuration_store.hpp"
#include "effects/step.hpp"
#include "membership/member_table.hpp"
#include "programs/program_store.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathtrestle::programs {

struct coordinator_options {
  std::uint32_t attempt_limit = 3;
  duration_ms resend_interval{1000};
  /// A running call without a sign of life for this long is stalled.
  duration_ms stall_limit{15000};
  duration_ms idle_limit{3600000};
  duration_ms ended_retention{300000};
  duration_ms release_interval{2000};
  std::uint64_t overload_retry_after_ms = 1000;
  std::string placement = "affinity";
};

/// A client's connection that waits at a gateway.
struct waiter {
  node_id gateway;
  std::string request_id;
};

/// A command to append to the log and what to do once it is applied.
struct proposal {
  wire::Command command;
  std::optional<waiter> reply_to;
};

/// What the coordinator sees of its node during one reduction.
struct coordinator_view {
  effects::step &step;
  const config::configuration_store &configuration;
  const membership::member_table &members;
  const program_store &store;
  partition_id partition;
  term_id term;
  std::vector<proposal> &proposals;
};

class coordinator {
public:
  explicit coordinator(coordinator_options options)
      : options_(std::move(options)) {}

  /// The leader knows all committed entries: take up what was under way.
  void on_established(coordinator_view &view);
  void on_leadership_lost();

  void on_request(coordinator_view &view, const waiter &client,
                  const wire::ClientRequest &request);
  /// @param index where the proposal stands in the log.
  void on_proposed(log_index index, proposal proposed);
  void on_applied(coordinator_view &view, log_index index,
                  const wire::Command &command, const apply_result &outcome);
  void on_dispatch_reply(coordinator_view &view,
                         const wire::DispatchReply &reply);
  void on_tool_finished(coordinator_view &view,
                        const wire::ToolFinished &result);
  void on_memory_released(coordinator_view &view,
                          const wire::MemoryReleaseDone &done);
  void tick(coordinator_view &view);

  /// Rows for operators: what runs, waits, stalls or idles.
  void describe(const program_store &store, timestamp now, std::uint32_t limit,
                wire::StatusReply &reply) const;

private:
  using call_id = std::pair<std::string, std::string>; // program, key

  struct attempt {
    std::uint32_t number = 0;
    /// True when this leader committed the attempt itself, so that it knows
    /// every dispatcher that was ever asked to start it.
    bool started_here = false;
    std::set<std::uint64_t> asked;   // dispatcher terms asked to start it
    std::set<std::uint64_t> refused; // of those, the ones that declined
    /// The dispatcher's term that was sent the whole prompt; 0: none.
    std::uint64_t sent_whole_to = 0;
    timestamp last_sent{};
    timestamp last_progress{};
    timestamp started{};
    std::optional<waiter> stream_to;
    bool stalled = false;
  };

  /// Answers the client whose request became a command, or lets it wait for
  /// the call's outcome.
  void answer_origin(coordinator_view &view, const waiter &client,
                     const wire::Command &command, const apply_result &outcome);
  void submit(coordinator_view &view, const waiter &client,
              const wire::SubmitCall &submit);
  void propose_record(coordinator_view &view, const waiter &client,
                      const wire::ProgramRecord &program,
                      wire::CallRequest request);
  /// Refuses a call through the log: only then is it sure that no other leader
  /// has taken up the same request, and that no copy of it will run.
  void refuse_call(coordinator_view &view, const waiter &client,
                   const std::string &program, wire::CallRequest request,
                   wire::Failure failure);
  void propose(coordinator_view &view, wire::Command command);

  void schedule(coordinator_view &view, const std::string &program);
  void start_attempt(coordinator_view &view, const wire::ProgramRecord &program,
                     const wire::CallRecord &call,
                     const std::set<std::string> &excluded,
                     bool previous_may_have_started);
  void follow(coordinator_view &view, const wire::ProgramRecord &program,
              const wire::CallRecord &call, bool started_here);
  void send_dispatch(coordinator_view &view, const wire::ProgramRecord &program,
                     const wire::CallRecord &call, attempt &state);
  void invoke_tool(coordinator_view &view, const wire::ProgramRecord &program,
                   const wire::CallRecord &call, attempt &state,
                   bool start_allowed);
  void attempt_declined(coordinator_view &view,
                        const wire::ProgramRecord &program,
                        const wire::CallRecord &call, attempt &state,
                        const wire::DispatchReply &reply);
  void attempt_lost(coordinator_view &view, const wire::ProgramRecord &program,
                    const wire::CallRecord &call, const std::string &detail,
                    const std::string &peer);
  /// @param refusal what the caller gets when no attempt is left; its `ran`
  /// is `not run` when the last attempt surely did not start.
  void retry_or_refuse(coordinator_view &view,
                       const wire::ProgramRecord &program,
                       const wire::CallRecord &call, wire::Failure refusal);
  void finish(coordinator_view &view, const wire::ProgramRecord &program,
              const wire::CallRecord &call, wire::FinishCall command);
  void finish_completed(coordinator_view &view,
                        const wire::ProgramRecord &program,
                        const wire::CallRecord &call, std::string answer,
                        const wire::Usage &usage, std::uint64_t cost);

  void answer_waiters(coordinator_view &view, const std::string &program,
                      const std::string &key);
  void reply(coordinator_view &view, const waiter &client,
             wire::ClientReply message);
  void release_memory(coordinator_view &view,
                      const wire::ProgramRecord &program);
  void end_running_calls(coordinator_view &view,
                         const wire::ProgramRecord &program);
  void describe_program(const wire::ProgramRecord &program, timestamp now,
                        wire::StatusReply &reply) const;
  void tick_attempts(coordinator_view &view);
  void tick_programs(coordinator_view &view);

  [[nodiscard]] std::optional<std::string>
  choose_backend(coordinator_view &view, const wire::ProgramRecord &program,
                 const wire::CallRequest &request,
                 const std::set<std::string> &excluded) const;
  [[nodiscard]] const wire::CallRecord *
  running_call(coordinator_view &view, const std::string &program,
               const std::string &key, std::uint32_t number) const;

  coordinator_options options_;
  std::map<log_index, proposal> proposed_;
  std::map<call_id, std::vector<waiter>> waiters_;
  std::map<call_id, attempt> attempts_;
  /// Calls for which a StartAttempt or FinishCall is on its way into the log.
  std::set<call_id> in_transition_;
  std::map<std::string, std::uint32_t> queue_lengths_; // by back end
  std::map<std::string, timestamp> last_activity_;     // by program
  std::map<std::string, timestamp> release_sent_;      // by program
};

} // namespace heathtrestle::programs
