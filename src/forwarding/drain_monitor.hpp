// Applies the operator's zone drain requests to a gateway and reports the
// progress of each drain: its start, the end of the last request in the zone,
// and its withdrawal.
#pragma once

#include "forwarding/gateway_metrics.hpp"
#include "forwarding/replica_selector.hpp"
#include "objects/object_watch.hpp"

#include <set>
#include <string>

namespace heathtrestle::forwarding {

class drain_monitor {
public:
  /// Both must outlive the monitor.
  drain_monitor(replica_selector &replicas, gateway_metrics &metrics)
      : replicas_(replicas), metrics_(metrics) {}

  /// Returns the handlers for the watch of the drain requests, which are named
  /// after their zones.
  objects::object_watch::handlers handlers();

  /// Detects drained zones in which no request is running any more. Called
  /// periodically.
  void check(timestamp now);
  /// Updates the metrics of zone drains.
  void refresh_metrics(timestamp now);

private:
  void apply_listing(const std::set<std::string> &zones, timestamp now);
  void begin(const std::string &zone, timestamp now);
  void end(const std::string &zone, timestamp now);

  replica_selector &replicas_;
  gateway_metrics &metrics_;
};

} // namespace heathtrestle::forwarding
