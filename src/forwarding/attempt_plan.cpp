#include "forwarding/attempt_plan.hpp"

#include <algorithm>

namespace heathtrestle::forwarding {

attempt_plan::attempt_plan(bool repeatable, std::uint32_t max_attempts,
                           timestamp arrived, timestamp deadline,
                           plan_limits limits)
    : repeatable_(repeatable), max_attempts_(std::max(max_attempts, 1U)),
      arrived_(arrived), deadline_(deadline), limits_(limits),
      pause_(limits.first_pause) {}

void attempt_plan::on_attempt(const routing::incarnation &instance,
                              attempt_outcome outcome) {
  if (outcome == attempt_outcome::lost) {
    may_have_run_ = true;
    ran_at_.insert(instance);
    ++losses_;
    return;
  }
  refused_by_.insert(instance);
}

void attempt_plan::on_instance_ended(const routing::incarnation &instance) {
  ran_at_.erase(instance);
}

void attempt_plan::on_no_candidate() { exhausted_ = true; }

next_step attempt_plan::next(timestamp now) {
  if (now >= deadline_) {
    return give_up("deadline reached");
  }
  if (may_have_run_ && !repeatable_) {
    return give_up("may have run and must not run twice");
  }
  if (losses_ >= limits_.repeats) {
    return give_up("too many attempts were lost");
  }
  if (!barred_.empty()) {
    return give_up(barred_);
  }
  if (warming_until_) {
    return wait_for_warm_up(now);
  }
  const bool places_used_up = ran_at_.size() >= max_attempts_;
  if (exhausted_) {
    exhausted_ = false;
    const bool only_others_asked = !places_used_up && !ran_at_.empty();
    if (only_others_asked && !asks_again_) {
      // Nobody else is there: a replica that may have run it may run it again.
      asks_again_ = true;
      return send_step{.excluded = refused_by_, .only = ran_at_};
    }
    asks_again_ = false;
    if (places_used_up && refused_by_.empty()) {
      return give_up("the replicas that may have run it are gone");
    }
    if (now + pause_ >= patience_ends()) {
      return give_up("no replica took it in time");
    }
    refused_by_.clear();
    const wait_step step{pause_};
    pause_ = std::min(2 * pause_, limits_.longest_pause);
    return step;
  }
  send_step step{.excluded = refused_by_, .only = {}};
  if (places_used_up) {
    step.only = ran_at_;
  } else {
    step.excluded.insert(ran_at_.begin(), ran_at_.end());
  }
  return step;
}

timestamp attempt_plan::patience_ends() const {
  return arrived_ + std::chrono::duration_cast<duration_ms>(
                        limits_.patience * (deadline_ - arrived_));
}

next_step attempt_plan::wait_for_warm_up(timestamp now) {
  const timestamp free_at = *warming_until_;
  warming_until_.reset();
  if (free_at >= patience_ends()) {
    return give_up("all replicas are warming up");
  }
  refused_by_.clear();
  // Another one may come or become warm meanwhile.
  const duration_ms pause = std::max(free_at - now, limits_.first_pause);
  return wait_step{std::min(pause, limits_.longest_pause)};
}

answer_step attempt_plan::give_up(std::string_view reason) const {
  constexpr std::uint32_t bad_gateway = 502;
  constexpr std::uint32_t unavailable = 503;
  if (may_have_run_) {
    return {.status = bad_gateway, .retry_after = {}, .reason = reason};
  }
  return {.status = unavailable,
          .retry_after = limits_.come_back_after,
          .reason = reason};
}

} // namespace heathtrestle::forwarding
