// Counters and latency histograms of a forwarding gateway.
#pragma once

#include "balance/engine_cost_model.hpp"

#include <cstdint>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace heathtrestle::forwarding {

class gateway_metrics {
public:
  gateway_metrics();

  /// Counts a request that was answered or whose client has disconnected.
  /// @param status the status of the answer; 0 when there was none.
  void on_finished(const std::string &route, std::uint32_t status,
                   double seconds);
  void on_first_event(const std::string &route, double seconds);
  void on_attempt(const std::string &outcome);
  /// Counts a request sent to a replica.
  /// @param locality the distance of the replica: zone or region.
  void on_sent(const std::string &locality);
  void on_turn_verdict(const std::string &verdict, double seconds);
  /// Counts a replica that crashed, or may have, under a request.
  void on_crash();
  /// Counts a refused request.
  void on_refused(const std::string &cause);
  /// Counts an answer to a permit request.
  void on_permit(const std::string &verdict);
  /// Counts a permit that expired before its request was sent.
  void on_void_permit();
  /// Sets the seconds since the configuration was confirmed; -1 for never.
  void set_configuration_age(double seconds);
  /// @param requests running at replicas in drained zones.
  /// @param age_seconds the age of the list of drained zones; -1 if unknown.
  void set_zone_drains(std::size_t zones, std::uint32_t requests,
                       double age_seconds);
  void set_open_requests(double count);
  /// The bytes held for open requests, and their limit; 0 for none.
  void set_held_bytes(double held, double limit);
  void set_configuration_version(double version);
  /// The number of gateways that report their load, including this one.
  void set_sharing_gateways(double count);
  /// The number of currently rejected entries of the replica directory.
  void set_rejected_entries(double count);
  /// Counts a request that found only replicas in slow start without a free
  /// admission.
  void on_slow_start_wait();
  /// @param cold the number of replicas in slow start.
  /// @param own this gateway's admissions per second at these.
  void set_slow_starts(double cold, double own);
  /// Sets the estimated costs of turns at a service's engines.
  void set_engine_costs(const std::string &service,
                        const balance::engine_costs &costs);

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter> &finished_;
  prometheus::Family<prometheus::Histogram> &latency_;
  prometheus::Family<prometheus::Histogram> &first_event_;
  prometheus::Family<prometheus::Counter> &attempts_;
  prometheus::Family<prometheus::Counter> &sent_;
  prometheus::Family<prometheus::Histogram> &verdicts_;
  prometheus::Family<prometheus::Counter> &refused_;
  prometheus::Family<prometheus::Counter> &permits_;
  prometheus::Counter &void_permits_;
  prometheus::Counter &crashes_;
  prometheus::Gauge &configuration_age_;
  prometheus::Gauge &drained_zones_;
  prometheus::Gauge &drained_zone_requests_;
  prometheus::Gauge &zone_drains_age_;
  prometheus::Gauge &open_requests_;
  prometheus::Gauge &held_bytes_;
  prometheus::Gauge &held_bytes_limit_;
  prometheus::Gauge &configuration_version_;
  prometheus::Gauge &sharing_gateways_;
  prometheus::Gauge &rejected_entries_;
  prometheus::Counter &slow_start_waits_;
  prometheus::Gauge &cold_replicas_;
  prometheus::Gauge &slow_start_admissions_;
  prometheus::Family<prometheus::Gauge> &engine_costs_;
};

} // namespace heathtrestle::forwarding
