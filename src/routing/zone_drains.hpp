// The zones that the operator is draining: their replicas get nothing new until
// the operator takes the drain back.
#pragma once

#include <set>
#include <string>
#include <utility>

namespace heathtrestle::routing {

class zone_drains {
public:
  /// @return true when the zone was not drained before.
  bool put(const std::string &zone) { return zones_.insert(zone).second; }
  /// @return true when the zone was drained before.
  bool remove(const std::string &zone) { return zones_.erase(zone) > 0; }
  void replace_all(std::set<std::string> zones) { zones_ = std::move(zones); }

  [[nodiscard]] bool drained(const std::string &zone) const {
    return zones_.contains(zone);
  }
  [[nodiscard]] const std::set<std::string> &zones() const { return zones_; }

private:
  std::set<std::string> zones_;
};

} // namespace heathtrestle::routing
