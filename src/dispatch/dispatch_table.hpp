// The dispatcher role: for each back end whose partition this node leads, the
// queue of attempts, those running at the engine, and the answers kept for
// program leaders that ask again.
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
  /// Answers and refusals are remembered for this long; far longer than any
  /// message is under way.
  duration_ms answer_retention{120000};
  /// An engine stream that is silent for this long is given up.
  duration_ms engine_silence_limit{30000};
  /// Between tries to tell an engine of a new term.
  duration_ms fence_interval{1000};
};

/// The other tables that dispatching looks at during one reduction.
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

  /// Attempts whose engine stream runs through this node.
  [[nodiscard]] std::size_t running() const;
  [[nodiscard]] std::size_t waiting() const;

private:
  enum class attempt_state : std::uint8_t { waiting, running, done };

  struct attempt {
    wire::DispatchRequest request;
    attempt_state state = attempt_state::waiting;
    timestamp arrived{};
    timestamp last_progress{};
    std::string text;
    wire::DispatchReply answer; // once done
  };

  struct backend_queue {
    std::size_t running = 0;
    std::size_t waiting = 0;
    virtual_times served;
    /// The term that the engine is known to hold as its fence; 0: none.
    std::uint64_t fenced_term = 0;
    timestamp fence_sent{};
  };

  void repeat_answer(dispatch_view &view, attempt &known,
                     const wire::DispatchRequest &request);
  void refuse(dispatch_view &view, const wire::DispatchRequest &request,
              std::string detail, std::uint64_t retry_after_ms);
  void start(dispatch_view &view, attempt &started, term_id epoch);
  void pump(dispatch_view &view, const std::string &backend);
  void settle(dispatch_view &view, attempt &settled,
              wire::DispatchReply answer);
  void send_reply(dispatch_view &view, wire::DispatchReply reply);
  void send_chunk(dispatch_view &view, const attempt &source,
                  std::uint64_t offset, std::string text);
  void refuse_waiting(dispatch_view &view);
  void give_up_silent(dispatch_view &view);
  /// Tells the engines of back ends that were taken over of the new term, so
  /// that orders of an earlier leader that wakes late are refused.
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
