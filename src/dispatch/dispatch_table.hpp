// The dispatcher: for each backend whose partition this node leads, it queues
// attempts, starts them on the engine as slots become free, and keeps the final
// replies so that repeated dispatch requests get the same result.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "cluster/partition_table.hpp"
#include "config/configuration_store.hpp"
#include "dispatch/scheduling_policy.hpp"
#include "effects/step.hpp"
#include "membership/member_table.hpp"
#include "wire/messages.hpp"

#include <map>
#include <string>

namespace heathtrestle::dispatch {

struct dispatch_options {
  std::string scheduling = "fair_priority";
  /// How long final replies and refusals are kept. Must exceed the time that a
  /// duplicate of a request can be delayed, or the duplicate would start again.
  duration_ms reply_retention{120000};
  /// An attempt fails when its engine stream makes no progress for this long.
  duration_ms engine_silence_limit{30000};
  /// Retry interval for sending a new leadership term to an engine.
  duration_ms fence_interval{1000};
};

/// The tables of the node that the dispatcher uses while it handles one event.
struct dispatch_view {
  effects::step &step;
  const config::configuration_store &configuration;
  const membership::member_table &members;
  const cluster::partition_table &partitions;
};

class dispatch_table {
public:
  explicit dispatch_table(dispatch_options options);

  void on_request(dispatch_view &view, const wire::DispatchRequest &request);
  void on_cancel(dispatch_view &view, const wire::CancelDispatch &cancel);
  void on_release(dispatch_view &view, const wire::ReleaseMemory &release);
  void on_progress(dispatch_view &view, const wire::EngineProgress &progress);
  void on_finished(dispatch_view &view, const wire::EngineFinished &finished);
  void on_memory_released(dispatch_view &view,
                          const wire::EngineMemoryReleased &released);
  void on_fenced(const wire::EngineFenced &fenced);
  void tick(dispatch_view &view);

  /// Returns the number of attempts that run on engines, over all backends.
  [[nodiscard]] std::size_t running() const;
  /// Returns the number of queued attempts, over all backends.
  [[nodiscard]] std::size_t waiting() const;

private:
  enum class attempt_state : std::uint8_t { waiting, running, done };

  struct attempt {
    wire::DispatchRequest request;
    attempt_state state = attempt_state::waiting;
    timestamp arrived{};
    timestamp last_progress{};
    std::string text;
    wire::DispatchReply reply; // set in state done
  };

  struct backend_queue {
    std::size_t running = 0;
    std::size_t waiting = 0;
    virtual_times served;
    /// The fencing term that the engine has confirmed; 0 if none.
    std::uint64_t fenced_term = 0;
    timestamp fence_sent{};
  };

  void reply_to_duplicate(dispatch_view &view, attempt &known,
                          const wire::DispatchRequest &request);
  void refuse(dispatch_view &view, const wire::DispatchRequest &request,
              std::string detail, std::uint64_t retry_after_ms);
  void start(dispatch_view &view, attempt &started, term_id epoch);
  void start_waiting_requests(dispatch_view &view, const std::string &backend);
  void finish_attempt(dispatch_view &view, attempt &finished_attempt,
                      wire::DispatchReply reply);
  void send_reply(dispatch_view &view, wire::DispatchReply reply);
  void send_chunk(dispatch_view &view, const attempt &source,
                  std::uint64_t offset, std::string text);
  void refuse_waiting(dispatch_view &view);
  void fail_silent_attempts(dispatch_view &view);
  /// Sends the current leadership term to the engine of each led backend that
  /// has not confirmed it, so that the engine rejects commands of earlier
  /// leaders.
  void fence_engines(dispatch_view &view);
  [[nodiscard]] wire::DispatchReply
  reply_to(const wire::DispatchRequest &request,
           wire::DispatchStatus status) const;
  [[nodiscard]] static std::optional<term_id>
  led_term(const dispatch_view &view, const std::string &backend);

  dispatch_options options_;
  std::map<std::string, attempt> attempts_; // by engine request
  std::map<std::string, backend_queue> queues_;
};

} // namespace heathtrestle::dispatch
