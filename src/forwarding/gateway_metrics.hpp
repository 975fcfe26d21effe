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

  /// One client request has its final answer, or its client has gone.
  /// @param status the answer's status; 0 when there was none.
  void on_finished(const std::string &route, std::uint32_t status,
                   double seconds);
  void on_first_event(const std::string &route, double seconds);
  void on_attempt(const std::string &outcome);
  /// A request is sent to a replica.
  /// @param locality how far away it is.
  void on_sent(const std::string &locality);
  void on_turn_verdict(const std::string &verdict, double seconds);
  /// A request was refused before anything was asked for it.
  void on_refused(const std::string &cause);
  /// A request asked for a permit of its tenant.
  void on_permit(const std::string &verdict);
  /// A permit was void when its request could be sent; it asked again.
  void on_void_permit();
  /// Seconds since the configuration was current for certain; -1 for never.
  void set_configuration_age(double seconds);
  /// @param requests at the replicas of the drained zones.
  /// @param age_seconds how old the list of drained zones can be; -1 for
  /// unknown.
  void set_zone_drains(std::size_t zones, std::uint32_t requests,
                       double age_seconds);
  void set_open_requests(double count);
  void set_configuration_version(double version);
  /// Gateways that tell their load, this one included.
  void set_sharing_gateways(double count);
  /// Entries of the replicas' directory that are rejected at present.
  void set_rejected_entries(double count);
  /// A request found only replicas that warm up and take no more for now.
  void on_slow_start_wait();
  /// @param own admissions a second at the cold ones that are this gateway's.
  void set_slow_starts(double cold, double own);
  /// What turns at a service's engines are taken to cost.
  void set_engine_costs(const std::string &service,
                        const balance::engine_costs &costs);

  /// All figures in the Prometheus text format.
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
  prometheus::Gauge &configuration_age_;
  prometheus::Gauge &drained_zones_;
  prometheus::Gauge &drained_zone_requests_;
  prometheus::Gauge &zone_drains_age_;
  prometheus::Gauge &open_requests_;
  prometheus::Gauge &configuration_version_;
  prometheus::Gauge &sharing_gateways_;
  prometheus::Gauge &rejected_entries_;
  prometheus::Counter &slow_start_waits_;
  prometheus::Gauge &cold_replicas_;
  prometheus::Gauge &slow_start_admissions_;
  prometheus::Family<prometheus::Gauge> &engine_costs_;
};

} // namespace heathtrestle::forwarding
