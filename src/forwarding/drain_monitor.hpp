// Keeps a gateway's list of drained zones in step with the operator's requests,
// and tells how each drain goes: when it was heard of, when nothing of this
// gateway runs in the zone any more, when it was taken back.
#pragma once

#include "forwarding/gateway_metrics.hpp"
#include "forwarding/replica_selector.hpp"
#include "objects/object_watch.hpp"

#include <set>
#include <string>

namespace heathtrestle::forwarding {

class drain_monitor {
public:
  /// Both outlive the monitor.
  drain_monitor(replica_selector &replicas, gateway_metrics &metrics)
      : replicas_(replicas), metrics_(metrics) {}

  /// For the watch of the operator's requests, which are named after zones.
  objects::object_watch::handlers handlers();

  /// Notes which drained zones have become quiet. Called now and then.
  void check(timestamp now);
  /// Brings the figures up to date.
  void refresh_metrics(timestamp now);

private:
  void apply_listing(const std::set<std::string> &zones, timestamp now);
  void begin(const std::string &zone, timestamp now);
  void end(const std::string &zone, timestamp now);

  replica_selector &replicas_;
  gateway_metrics &metrics_;
};

} // namespace heathtrestle::forwarding
