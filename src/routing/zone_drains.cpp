#include "routing/zone_drains.hpp"

#include <algorithm>

namespace heathtrestle::routing {

bool zone_drains::put(const std::string &zone, timestamp now) {
  if (drains_.contains(zone)) {
    return false;
  }
  // Little traffic has returned since the last drain, so a repeated drain
  // takes effect at once.
  const auto cancelled = cancelled_at_.find(zone);
  const bool repeated =
      cancelled != cancelled_at_.end() && now < cancelled->second + limit_;
  const std::optional<timestamp> undrained =
      repeated ? std::nullopt : confirmed_;
  cancelled_at_.erase(zone);
  drains_[zone] = {.heard = now, .shift = plan_shift(undrained, now, limit_)};
  return true;
}

bool zone_drains::remove(const std::string &zone, timestamp now) {
  if (drains_.erase(zone) == 0) {
    return false;
  }
  cancelled_at_[zone] = now;
  return true;
}

void zone_drains::confirm(timestamp moment) {
  confirmed_ = std::max(confirmed_.value_or(moment), moment);
}

bool zone_drains::blocks_requests(const std::string &zone,
                                  const drain_position &place) const {
  const auto found = drains_.find(zone);
  if (found == drains_.end()) {
    return false;
  }
  return !place.draw || !found->second.shift.keeps(*place.draw, place.now);
}

void zone_drains::set_idle(const std::string &zone) {
  const auto found = drains_.find(zone);
  if (found != drains_.end()) {
    found->second.idle = true;
  }
}

std::optional<duration_ms> zone_drains::age(timestamp now) const {
  return confirmed_ ? std::optional(now - *confirmed_) : std::nullopt;
}

} // namespace heathtrestle::routing
