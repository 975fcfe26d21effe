#include "daemon/metrics.hpp"

#include "daemon/runtime.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace heathtrestle::daemon {

namespace {

prometheus::Registry &registry() {
  static prometheus::Registry instance;
  return instance;
}

void set_gauge(const std::string &name, const std::string &help, double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(registry())
      .Add({})
      .Set(value);
}

} // namespace

std::string print_metrics(daemon_runtime &runtime) {
  const core::node_counts counts = runtime.node().counts();
  set_gauge("heathtrestle_partitions_led", "Partitions led by this daemon",
            counts.partitions_led);
  set_gauge("heathtrestle_replicas", "Partition replicas held",
            counts.replicas);
  set_gauge("heathtrestle_pending_requests", "Callers' requests under way",
            counts.connections);
  set_gauge("heathtrestle_engine_streams", "Engine streams under way",
            counts.running);
  set_gauge("heathtrestle_queued_attempts", "Attempts waiting for an engine",
            counts.waiting);
  set_gauge("heathtrestle_members_running", "Daemons believed to run",
            counts.members_running);
  set_gauge("heathtrestle_configuration_revision",
            "Revision of the configuration in force",
            static_cast<double>(counts.configuration_revision));
  const rpc::transport_counts traffic = runtime.transport_counts();
  set_gauge("heathtrestle_rpc_messages_sent", "Messages sent to daemons",
            static_cast<double>(traffic.messages_sent));
  set_gauge("heathtrestle_rpc_bytes_sent", "Bytes sent to daemons",
            static_cast<double>(traffic.bytes_sent));
  set_gauge("heathtrestle_rpc_messages_received",
            "Messages received from daemons",
            static_cast<double>(traffic.messages_received));
  set_gauge("heathtrestle_rpc_bytes_received", "Bytes received from daemons",
            static_cast<double>(traffic.bytes_received));
  set_gauge("heathtrestle_rpc_messages_dropped",
            "Messages not sent because no connection stood",
            static_cast<double>(traffic.messages_dropped));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, registry().Collect());
  return text.str();
}

void count_request(const std::string &route, unsigned status, double seconds) {
  static auto &requests = prometheus::BuildCounter()
                              .Name("heathtrestle_requests_total")
                              .Help("Finished requests by route and status")
                              .Register(registry());
  static auto &durations = prometheus::BuildHistogram()
                               .Name("heathtrestle_request_seconds")
                               .Help("Time to answer requests by route")
                               .Register(registry());
  static const prometheus::Histogram::BucketBoundaries bounds{
      0.005, 0.02, 0.1, 0.3, 1.2, 5, 20, 60};
  requests.Add({{"route", route}, {"status", std::to_string(status)}})
      .Increment();
  durations.Add({{"route", route}}, bounds).Observe(seconds);
}

} // namespace heathtrestle::daemon
