#include "forwarding/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace heathtrestle::forwarding {

namespace {

const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.4, 5};

prometheus::Family<prometheus::Histogram> &
histogram(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

gateway_metrics::gateway_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      finished_(prometheus::BuildCounter()
                    .Name("heathtrestle_gateway_requests_total")
                    .Help("Client requests by route and final status")
                    .Register(*registry_)),
      latency_(histogram(*registry_, "heathtrestle_gateway_request_seconds",
                         "Time from a request's arrival to its final answer")),
      first_event_(histogram(*registry_,
                             "heathtrestle_gateway_first_event_seconds",
                             "Time from a request's arrival to its first "
                             "event")),
      attempts_(prometheus::BuildCounter()
                    .Name("heathtrestle_gateway_attempts_total")
                    .Help("Attempts at replicas by outcome")
                    .Register(*registry_)),
      sent_(prometheus::BuildCounter()
                .Name("heathtrestle_gateway_sent_total")
                .Help("Requests sent to replicas by how far those are away")
                .Register(*registry_)),
      verdicts_(histogram(*registry_, "heathtrestle_gateway_turn_grant_seconds",
                          "Time until the record group answered a turn")),
      refused_(prometheus::BuildCounter()
                   .Name("heathtrestle_gateway_refused_total")
                   .Help("Requests refused for key, quota or home, by cause")
                   .Register(*registry_)),
      permits_(prometheus::BuildCounter()
                   .Name("heathtrestle_gateway_permits_total")
                   .Help("Permits that requests of tenants with a quota asked "
                         "for, by verdict")
                   .Register(*registry_)),
      void_permits_(prometheus::BuildCounter()
                        .Name("heathtrestle_gateway_void_permits_total")
                        .Help("Permits that were void when their requests "
                              "could be sent")
                        .Register(*registry_)
                        .Add({})),
      crashes_(prometheus::BuildCounter()
                   .Name("heathtrestle_gateway_crashes_total")
                   .Help("attempts at replicas that crashed meanwhile")
                   .Register(*registry_)
                   .Add({})),
      configuration_age_(
          prometheus::BuildGauge()
              .Name("heathtrestle_gateway_configuration_age_seconds")
              .Help("Time since the configuration was current for certain")
              .Register(*registry_)
              .Add({})),
      drained_zones_(prometheus::BuildGauge()
                         .Name("heathtrestle_gateway_drained_zones")
                         .Help("Zones whose replicas get nothing new")
                         .Register(*registry_)
                         .Add({})),
      drained_zone_requests_(
          prometheus::BuildGauge()
              .Name("heathtrestle_gateway_drained_zone_requests")
              .Help("Requests still at the replicas of drained zones")
              .Register(*registry_)
              .Add({})),
      zone_drains_age_(
          prometheus::BuildGauge()
              .Name("heathtrestle_gateway_zone_drains_age_seconds")
              .Help("Time since the list of drained zones was current for "
                    "certain")
              .Register(*registry_)
              .Add({})),
      open_requests_(prometheus::BuildGauge()
                         .Name("heathtrestle_gateway_open_requests")
                         .Help("Requests being served")
                         .Register(*registry_)
                         .Add({})),
      held_bytes_(prometheus::BuildGauge()
                      .Name("heathtrestle_gateway_held_bytes")
                      .Help("Bytes held for open requests")
                      .Register(*registry_)
                      .Add({})),
      held_bytes_limit_(prometheus::BuildGauge()
                            .Name("heathtrestle_gateway_held_bytes_limit")
                            .Help("Bytes that may be held for open requests")
                            .Register(*registry_)
                            .Add({})),
      configuration_version_(
          prometheus::BuildGauge()
              .Name("heathtrestle_gateway_configuration_version")
              .Help("Version of the routes in force")
              .Register(*registry_)
              .Add({})),
      sharing_gateways_(prometheus::BuildGauge()
                            .Name("heathtrestle_gateway_sharing_gateways")
                            .Help("Gateways that tell each other their load")
                            .Register(*registry_)
                            .Add({})),
      rejected_entries_(prometheus::BuildGauge()
                            .Name("heathtrestle_gateway_rejected_entries")
                            .Help("Entries of the replicas' directory that no "
                                  "replica can have written")
                            .Register(*registry_)
                            .Add({})),
      slow_start_waits_(
          prometheus::BuildCounter()
              .Name("heathtrestle_gateway_slow_start_waits_total")
              .Help("Times that a request found only replicas that warm up "
                    "and take no more for now")
              .Register(*registry_)
              .Add({})),
      cold_replicas_(prometheus::BuildGauge()
                         .Name("heathtrestle_gateway_cold_replicas")
                         .Help("Replicas that warm up")
                         .Register(*registry_)
                         .Add({})),
      slow_start_admissions_(
          prometheus::BuildGauge()
              .Name("heathtrestle_gateway_slow_start_admissions")
              .Help("Requests a second that this gateway may send to replicas "
                    "that warm up")
              .Register(*registry_)
              .Add({})),
      engine_costs_(prometheus::BuildGauge()
                        .Name("heathtrestle_gateway_engine_cost_ms")
                        .Help("Learnt cost of a token to read, of a running "
                              "request to the others, and of a turn at rest")
                        .Register(*registry_)) {}

void gateway_metrics::on_finished(const std::string &route,
                                  std::uint32_t status, double seconds) {
  finished_.Add({{"route", route}, {"status", std::to_string(status)}})
      .Increment();
  latency_.Add({{"route", route}}, latency_buckets).Observe(seconds);
}

void gateway_metrics::on_first_event(const std::string &route, double seconds) {
  first_event_.Add({{"route", route}}, latency_buckets).Observe(seconds);
}

void gateway_metrics::on_attempt(const std::string &outcome) {
  attempts_.Add({{"outcome", outcome}}).Increment();
}

void gateway_metrics::on_sent(const std::string &locality) {
  sent_.Add({{"locality", locality}}).Increment();
}

void gateway_metrics::on_turn_verdict(const std::string &verdict,
                                      double seconds) {
  verdicts_.Add({{"verdict", verdict}}, latency_buckets).Observe(seconds);
}

void gateway_metrics::on_permit(const std::string &verdict) {
  permits_.Add({{"verdict", verdict}}).Increment();
}

void gateway_metrics::on_crash() { crashes_.Increment(); }

void gateway_metrics::on_void_permit() { void_permits_.Increment(); }

void gateway_metrics::on_refused(const std::string &cause) {
  refused_.Add({{"cause", cause}}).Increment();
}

void gateway_metrics::set_configuration_age(double seconds) {
  configuration_age_.Set(seconds);
}

void gateway_metrics::set_zone_drains(std::size_t zones, std::uint32_t requests,
                                      double age_seconds) {
  drained_zones_.Set(static_cast<double>(zones));
  drained_zone_requests_.Set(requests);
  zone_drains_age_.Set(age_seconds);
}

void gateway_metrics::set_held_bytes(double held, double limit) {
  held_bytes_.Set(held);
  held_bytes_limit_.Set(limit);
}

void gateway_metrics::set_open_requests(double count) {
  open_requests_.Set(count);
}

void gateway_metrics::set_configuration_version(double version) {
  configuration_version_.Set(version);
}

void gateway_metrics::set_sharing_gateways(double count) {
  sharing_gateways_.Set(count);
}

void gateway_metrics::set_rejected_entries(double count) {
  rejected_entries_.Set(count);
}

void gateway_metrics::on_slow_start_wait() { slow_start_waits_.Increment(); }

void gateway_metrics::set_slow_starts(double cold, double own) {
  cold_replicas_.Set(cold);
  slow_start_admissions_.Set(own);
}

void gateway_metrics::set_engine_costs(const std::string &service,
                                       const balance::engine_costs &costs) {
  const auto set = [this, &service](const char *of, double value) {
    engine_costs_.Add({{"service", service}, {"of", of}}).Set(value);
  };
  set("token", costs.ms_per_token);
  set("running", costs.ms_per_running);
  set("turn", costs.turn_ms);
}

std::string gateway_metrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace heathtrestle::forwarding
