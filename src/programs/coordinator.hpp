// The coordinator runs on the leader of a partition. It records calls, starts
// attempts in order, tracks them at dispatchers and tools, records their
// outcomes and releases the engine memory of ended programs.
//
// Its state is volatile. A new leader rebuilds it from the committed records,
// so a change of leader loses no recorded call.
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
  /// Maximum number of attempts per call, including the first.
  std::uint32_t attempt_limit = 3;
  /// Interval at which the dispatch request of a running chat call is repeated.
  duration_ms resend_interval{1000};
  /// A running call without a reply for this long is reported as stalled.
  duration_ms stall_limit{15000};
  /// A program without activity for this long is ended.
  duration_ms idle_limit{3600000};
  /// An ended program without activity for this long is deleted once its engine
  /// memory is released.
  duration_ms ended_retention{300000};
  /// Minimum interval between memory release requests for one program.
  duration_ms release_interval{2000};
  std::uint64_t overload_retry_after_ms = 1000;
  std::string placement = "affinity";
};

/// A client request that waits for its reply at a gateway.
struct waiter {
  node_id gateway;
  std::string request_id;
};

/// A command to append to the log, and the client to reply to once it is
/// applied.
struct proposal {
  wire::Command command;
  std::optional<waiter> reply_to;
};

/// The node's state and outputs that the coordinator uses during one step.
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

  /// Resumes running calls and schedules waiting ones. Called when this leader
  /// has applied all entries committed by earlier leaders.
  void on_established(coordinator_view &view);
  void on_leadership_lost();

  void on_request(coordinator_view &view, const waiter &client,
                  const wire::ClientRequest &request);
  /// @param index log index of the proposal's entry.
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

  /// Adds status rows for unfinished calls and idle programs. Stops at the
  /// first program boundary at which `reply` holds `limit` rows or more.
  void describe(const program_store &store, timestamp now, std::uint32_t limit,
                wire::StatusReply &reply) const;

private:
  using call_id = std::pair<std::string, std::string>; // program, key

  struct attempt {
    std::uint32_t number = 0;
    /// True when this leader committed the attempt itself, so that it knows
    /// every dispatcher that was requested to start it.
    bool started_here = false;
    /// Dispatcher terms that were sent a request to start it.
    std::set<std::uint64_t> requested_terms;
    /// Dispatcher terms that declined it.
    std::set<std::uint64_t> declined_terms;
    /// The dispatcher term that was last sent the full prompt; 0 if none.
    std::uint64_t full_prompt_term = 0;
    timestamp last_sent{};
    timestamp last_progress{};
    timestamp started{};
    std::optional<waiter> stream_to;
    bool stalled = false;
  };

  /// Replies to the client whose request became a command, or adds it to the
  /// clients that wait for the call's outcome.
  void answer_origin(coordinator_view &view, const waiter &client,
                     const wire::Command &command, const apply_result &outcome);
  void submit(coordinator_view &view, const waiter &client,
              const wire::SubmitCall &submit);
  void propose_record(coordinator_view &view, const waiter &client,
                      const wire::ProgramRecord &program,
                      wire::CallRequest request);
  /// Refuses a call through the log. Only a committed refusal guarantees that
  /// no other leader has recorded the request and that no copy of it will run.
  void refuse_call(coordinator_view &view, const waiter &client,
                   const std::string &program, wire::CallRequest request,
                   wire::Failure failure);
  void propose(coordinator_view &view, wire::Command command);

  void schedule(coordinator_view &view, const std::string &program);
  void start_attempt(coordinator_view &view, const wire::ProgramRecord &program,
                     const wire::CallRecord &call,
                     const std::set<std::string> &excluded,
                     bool previous_may_have_started);
  void track_attempt(coordinator_view &view, const wire::ProgramRecord &program,
                     const wire::CallRecord &call, bool started_here);
  void send_dispatch(coordinator_view &view, const wire::ProgramRecord &program,
                     const wire::CallRecord &call, attempt &state);
  void invoke_tool(coordinator_view &view, const wire::ProgramRecord &program,
                   const wire::CallRecord &call, attempt &state,
                   bool start_allowed);
  void handle_declined_attempt(coordinator_view &view,
                               const wire::ProgramRecord &program,
                               const wire::CallRecord &call, attempt &state,
                               const wire::DispatchReply &reply);
  void handle_lost_attempt(coordinator_view &view,
                           const wire::ProgramRecord &program,
                           const wire::CallRecord &call,
                           const std::string &detail, const std::string &peer);
  /// Starts another attempt, or finishes the call when the attempt limit is
  /// reached or the program has ended.
  /// @param refusal failure to report when the call is not retried. Its `ran`
  /// must be RAN_NOT_RUN only if the last attempt certainly did not start.
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
  void cancel_running_calls(coordinator_view &view,
                            const wire::ProgramRecord &program);
  void describe_program(const wire::ProgramRecord &program, timestamp now,
                        wire::StatusReply &reply) const;
  void tick_attempts(coordinator_view &view);
  void tick_programs(coordinator_view &view);

  /// Chooses among `excluded` back ends only when no other accepts the call.
  [[nodiscard]] std::optional<std::string>
  choose_backend(coordinator_view &view, const wire::ProgramRecord &program,
                 const wire::CallRequest &request,
                 const std::set<std::string> &excluded) const;
  /// @return null unless the call runs with attempt `number` and is tracked.
  [[nodiscard]] const wire::CallRecord *
  running_call(coordinator_view &view, const std::string &program,
               const std::string &key, std::uint32_t number) const;

  coordinator_options options_;
  std::map<log_index, proposal> proposed_;
  std::map<call_id, std::vector<waiter>> waiters_;
  std::map<call_id, attempt> attempts_;
  /// Calls with a proposed StartAttempt or FinishCall that is not applied yet.
  std::set<call_id> in_transition_;
  std::map<std::string, std::uint32_t> queue_lengths_; // by back end
  std::map<std::string, timestamp> last_activity_;     // by program
  std::map<std::string, timestamp> release_sent_;      // by program
};

} // namespace heathtrestle::programs
