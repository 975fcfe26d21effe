// What is done next with one client request: send it to a replica, wait, or
// answer it. A reducer over what became of the attempts so far; it does no I/O
// and is handed the time.
//
// It keeps two promises. A request that may have run is sent again only when
// its route allows that, and to no more replicas than the route allows. And
// "not run" (503) is answered only when no attempt may have run. A replica that
// starts again under its id is another one: the start that was sent to has
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

/// What became of one attempt.
enum class attempt_outcome : std::uint8_t {
  not_sent,     // no connection: nothing left this gateway
  not_executed, // the replica says that it did not run the request
  lost,         // sent, and no whole answer came: it may have run
};

/// Send to a replica that is in neither set, or only to one that may have run
/// the request already.
struct send_step {
  std::set<routing::incarnation> excluded;
  /// When not empty, only these may get it.
  std::set<routing::incarnation> only;
};

/// Ask again after a pause: no replica takes the request now.
struct wait_step {
  duration_ms pause{0};
};

/// Answer the client; the request gets no further attempt.
struct answer_step {
  std::uint32_t status = 503;
  /// When to come back; zero where a retry does not help.
  duration_ms retry_after{0};
  std::string_view reason;
};

using next_step = std::variant<send_step, wait_step, answer_step>;

struct plan_limits {
  /// Attempts after a loss, whichever replicas they go to.
  std::uint32_t max_losses = 4;
  /// Share of the time until the deadline that a request waits for a place.
  double wait_fraction = 0.45;
  duration_ms initial_backoff{4};
  duration_ms max_backoff{50};
  duration_ms retry_delay{150};
};

class attempt_plan {
public:
  /// @param deadline when the client, or the route's timeout, gives up.
  attempt_plan(bool repeatable, std::uint32_t max_attempts, timestamp arrived,
               timestamp deadline, plan_limits limits = {});

  /// @param instance the replica of the attempt.
  void on_attempt(const routing::incarnation &instance,
                  attempt_outcome outcome);
  /// The replica has ended: it no longer counts among those that may have run
  /// the request, for no answer of it can come any more.
  void on_instance_ended(const routing::incarnation &instance);
  /// No replica fits the last `send_step`.
  void on_no_candidate();
  /// Something that lasts keeps the request from every replica: it is answered
  /// at once instead of waiting in vain.
  /// @param reason outlives the plan.
  /// @param come_back_after when that may have passed.
  void on_blocked(std::string_view reason, duration_ms retry_delay) {
    blocked_reason_ = reason;
    limits_.retry_delay = retry_delay;
  }

  /// All replicas that fit are warming up, and one may be sent the request at
  /// `free_at`. It waits until then, or is answered at once where that is later
  /// than it would wait for a place.
  void on_warming_up(timestamp next_admission) {
    next_admission_ = next_admission;
  }

  [[nodiscard]] next_step next(timestamp now);

  /// True when a replica may have run the request.
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }

private:
  [[nodiscard]] answer_step give_up(std::string_view reason) const;
  [[nodiscard]] next_step wait_for_warm_up(timestamp now);
  /// Until when it waits for a place.
  [[nodiscard]] timestamp wait_deadline() const;

  bool repeatable_;
  std::uint32_t max_attempts_;
  timestamp arrived_;
  timestamp deadline_;
  plan_limits limits_;

  bool may_have_run_ = false;
  /// Replicas, still there, that may have run it.
  std::set<routing::incarnation> possible_executors_;
  /// Replicas that turned it down since the last pause.
  std::set<routing::incarnation> refused_by_;
  std::uint32_t losses_ = 0;
  bool no_candidate_ = false;
  std::string_view blocked_reason_; // empty: not barred
  std::optional<timestamp> next_admission_;
  /// Set while the step is for those that may have run it, for want of others.
  bool retrying_possible_executors_ = false;
  duration_ms backoff_;
};

} // namespace heathtrestle::forwarding
