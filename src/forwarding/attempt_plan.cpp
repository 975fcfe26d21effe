#include "forwarding/attempt_plan.hpp"

#include <algorithm>

namespace heathtrestle::forwarding {

attempt_plan::attempt_plan(bool repeatable, std::uint32_t max_attempts,
                           timestamp arrived, timestamp deadline,
                           plan_limits limits)
    : repeatable_(repeatable), max_attempts_(std::max(max_attempts, 1U)),
      arrived_(arrived), deadline_(deadline), limits_(limits),
      backoff_(limits.initial_backoff) {}

void attempt_plan::on_attempt(const routing::incarnation &instance,
                              attempt_outcome outcome) {
  if (outcome == attempt_outcome::lost) {
    may_have_run_ = true;
    possible_executors_.insert(instance);
    ++losses_;
    return;
  }
  refused_by_.insert(instance);
}

void attempt_plan::on_instance_ended(const routing::incarnation &instance) {
  possible_executors_.erase(instance);
}

void attempt_plan::on_no_candidate() { no_candidate_ = true; }

next_step attempt_plan::next(timestamp now) {
  if (now >= deadline_) {
    return give_up("deadline reached");
  }
  if (may_have_run_ && !repeatable_) {
    return give_up("may have run and must not run twice");
  }
  if (losses_ >= limits_.max_losses) {
    return give_up("too many attempts were lost");
  }
  if (!blocked_reason_.empty()) {
    return give_up(blocked_reason_);
  }
  if (next_admission_) {
    return wait_for_warm_up(now);
  }
  const bool replica_limit_reached =
      possible_executors_.size() >= max_attempts_;
  if (no_candidate_) {
    no_candidate_ = false;
    const bool only_new_replicas_tried =
        !replica_limit_reached && !possible_executors_.empty();
    if (only_new_replicas_tried && !retrying_possible_executors_) {
      // No other replica is available, so a repeatable request may go to one
      // that may already have executed it.
      retrying_possible_executors_ = true;
      return send_step{.excluded = refused_by_, .only = possible_executors_};
    }
    retrying_possible_executors_ = false;
    if (replica_limit_reached && refused_by_.empty()) {
      return give_up("the replicas that may have run it are gone");
    }
    if (now + backoff_ >= wait_deadline()) {
      return give_up("no replica took it in time");
    }
    refused_by_.clear();
    const wait_step step{backoff_};
    backoff_ = std::min(2 * backoff_, limits_.max_backoff);
    return step;
  }
  send_step step{.excluded = refused_by_, .only = {}};
  if (replica_limit_reached) {
    step.only = possible_executors_;
  } else {
    step.excluded.insert(possible_executors_.begin(),
                         possible_executors_.end());
  }
  return step;
}

timestamp attempt_plan::wait_deadline() const {
  return arrived_ + std::chrono::duration_cast<duration_ms>(
                        limits_.wait_fraction * (deadline_ - arrived_));
}

next_step attempt_plan::wait_for_warm_up(timestamp now) {
  const timestamp next_admission = *next_admission_;
  next_admission_.reset();
  if (next_admission >= wait_deadline()) {
    return give_up("all replicas are warming up");
  }
  refused_by_.clear();
  // Wait in short steps: another replica may start or finish its slow start
  // earlier.
  const duration_ms pause =
      std::max(next_admission - now, limits_.initial_backoff);
  return wait_step{std::min(pause, limits_.max_backoff)};
}

answer_step attempt_plan::give_up(std::string_view reason) const {
  constexpr std::uint32_t bad_gateway = 502;
  constexpr std::uint32_t unavailable = 503;
  if (may_have_run_ || failed_before_) {
    return {.status = bad_gateway, .retry_after = {}, .reason = reason};
  }
  return {.status = unavailable,
          .retry_after = limits_.retry_delay,
          .reason = reason};
}

} // namespace heathtrestle::forwarding
