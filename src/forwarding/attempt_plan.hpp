// The retry policy of one client request. From the outcomes of the attempts so
// far it decides the next step: send the request to a replica, back off, or
// answer the client. It performs no I/O and receives the current time as an
// argument.
//
// It guarantees two properties. A request that may have been executed is sent
// again only when its route allows repetition, and to at most `max_attempts`
// replicas. A 503 ("not executed") is answered only when no attempt may have
// been executed. A replica that restarts under the same id counts as a
// different replica, because the incarnation that received the request has
// ended.
#pragma once

#include "base/time.hpp"
#include "routing/incarnation.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::forwarding {

/// The outcome of one attempt.
enum class attempt_outcome : std::uint8_t {
  not_sent,     // no connection: no byte left this gateway
  not_executed, // the replica reports that it did not execute the request
  lost,         // sent without a complete answer: it may have been executed
};

/// Sends the request to a replica that is not in `excluded` and, when `only` is
/// not empty, is in `only`.
struct send_step {
  std::set<routing::incarnation> excluded;
  /// When not empty, only these replicas may receive the request.
  std::set<routing::incarnation> only;
  /// When set, only replicas of this version may receive the request.
  std::optional<software_version> version{};
  /// Whether a replica may receive the request that has just begun to drain.
  bool allows_draining = false;
  /// Whether the request is likely to crash its replica, so that it is kept
  /// apart from others (`crash_limit`).
  bool is_isolated = false;
};

/// Waits before the next step, because no replica accepts the request now.
struct wait_step {
  duration_ms pause{0};
};

/// Answers the client; no further attempt is made.
struct answer_step {
  std::uint32_t status = 503;
  /// The value of Retry-After; zero when a retry would not help.
  duration_ms retry_after{0};
  std::string_view reason;
};

using next_step = std::variant<send_step, wait_step, answer_step>;

struct plan_limits {
  /// Lost attempts, at any replica, after which the request is given up.
  std::uint32_t max_losses = 4;
  /// Fraction of the time until the deadline for which a request waits for a
  /// replica to accept it.
  double wait_fraction = 0.45;
  duration_ms initial_backoff{4};
  duration_ms max_backoff{50};
  duration_ms retry_delay{150};
};

class attempt_plan {
public:
  /// @param max_attempts the number of different replicas that may execute the
  /// request.
  /// @param deadline when the client or the route's timeout gives up.
  attempt_plan(bool repeatable, std::uint32_t max_attempts, timestamp arrived,
               timestamp deadline, plan_limits limits = {});

  /// Records the outcome of an attempt at `instance`.
  void on_attempt(const routing::incarnation &instance,
                  attempt_outcome outcome);
  /// Records that a replica has ended. It no longer counts as one that may have
  /// executed the request, since it cannot answer any more.
  void on_instance_ended(const routing::incarnation &instance);
  /// Records that no replica satisfies the last `send_step`.
  void on_no_candidate();
  /// Records a lasting condition that excludes every replica, so that the
  /// request is answered at once instead of waiting.
  /// @param reason must outlive the plan.
  /// @param retry_delay the value of Retry-After.
  void on_blocked(std::string_view reason, duration_ms retry_delay) {
    blocked_reason_ = reason;
    limits_.retry_delay = retry_delay;
  }

  /// Records that the request must not be sent any more, because of earlier
  /// attempts of its client. They may have been executed.
  /// @param reason must outlive the plan.
  void on_failed_before(std::string_view reason) {
    blocked_reason_ = reason;
    failed_before_ = true;
  }

  /// Records that all suitable replicas are in slow start, and that the next
  /// request may be sent to one of them at `next_admission`. The plan waits
  /// until then, or answers at once if that is past the wait deadline.
  void on_warming_up(timestamp next_admission) {
    next_admission_ = next_admission;
  }

  [[nodiscard]] next_step next(timestamp now);

  /// Returns whether a replica may have executed the request.
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }

private:
  [[nodiscard]] answer_step give_up(std::string_view reason) const;
  [[nodiscard]] next_step wait_for_warm_up(timestamp now);
  /// The latest time until which the request waits for a replica to accept it.
  [[nodiscard]] timestamp wait_deadline() const;

  bool repeatable_;
  std::uint32_t max_attempts_;
  timestamp arrived_;
  timestamp deadline_;
  plan_limits limits_;

  bool may_have_run_ = false;
  /// Running replicas that may have executed the request.
  std::set<routing::incarnation> possible_executors_;
  /// Replicas that refused the request since the last backoff.
  std::set<routing::incarnation> refused_by_;
  std::uint32_t losses_ = 0;
  bool no_candidate_ = false;
  std::string_view blocked_reason_; // empty: not blocked
  bool failed_before_ = false;
  std::optional<timestamp> next_admission_;
  /// Set while the request is offered again to `possible_executors_` because no
  /// other replica is available.
  bool retrying_possible_executors_ = false;
  duration_ms backoff_;
};

} // namespace heathtrestle::forwarding
