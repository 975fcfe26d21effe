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
  /// Seconds since the configuration was current for certain; -1 for never.
  void set_configuration_age(double seconds);
  void set_open_requests(double count);
  void set_configuration_version(double version);
  /// Gateways that tell their load, this one included.
  void set_sharing_gateways(double count);
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
  prometheus::Gauge &configuration_age_;
  prometheus::Gauge &open_requests_;
  prometheus::Gauge &configuration_version_;
  prometheus::Gauge &sharing_gateways_;
  prometheus::Family<prometheus::Gauge> &engine_costs_;
};

} // namespace heathtrestle::forwarding
