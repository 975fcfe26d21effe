#include "routing/zone_drains.hpp"

#include <algorithm>

namespace heathtrestle::routing {

bool zone_drains::put(const std::string &zone, timestamp now) {
  if (drains_.contains(zone)) {
    return false;
  }
  // What came back since the last drain is little, and no second move is worth
  // its time.
  const auto returned = taken_back_.find(zone);
  const bool again =
      returned != taken_back_.end() && now < returned->second + limit_;
  const std::optional<timestamp> undrained = again ? std::nullopt : confirmed_;
  taken_back_.erase(zone);
  drains_[zone] = {.heard = now, .shift = plan_shift(undrained, now, limit_)};
  return true;
}

bool zone_drains::remove(const std::string &zone, timestamp now) {
  if (drains_.erase(zone) == 0) {
    return false;
  }
  taken_back_[zone] = now;
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
