// Aggregates the load reports of gateways: the requests that each has in flight
// at replicas, sent along with requests to the record group. Each gateway
// receives the sum over the other gateways, so that all place requests by the
// same load. Reports are kept in memory only and never logged, since a new
// leader receives them again within a second.
//
// The sums are updated with each report, so that the cost of a reply depends on
// the number of replicas and not on that of gateways. A reply also contains the
// gateway's arc of the hash ring (`gateway_hash_ring`).
#pragma once

#include "base/time.hpp"
#include "records/gateway_hash_ring.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace heathtrestle::records {

class load_reports {
public:
  /// Replaces the last report of a gateway.
  /// @param gateway its address.
  void update(const std::string &gateway, const wire::ReplicaLoads &loads,
              timestamp now);
  /// Returns the sum of the unexpired reports of all gateways but this one, and
  /// this gateway's arc.
  [[nodiscard]] wire::SharedLoads loads_of_others(const std::string &gateway,
                                                  timestamp now);

private:
  struct report {
    wire::ReplicaLoads loads;
    timestamp at{};
  };
  struct queued_report {
    std::string gateway;
    timestamp at{};
  };

  /// Subtracts a gateway's report from the sums and deletes it.
  void remove_report(const std::string &gateway);
  void remove_expired(timestamp now);

  std::map<std::string, report> reports_by_gateway_;
  gateway_hash_ring ring_;
  /// Running requests by replica, summed over all reports.
  std::map<std::uint32_t, std::uint32_t> running_by_replica_;
  /// Reports, oldest first; replaced ones are skipped on expiry.
  std::deque<queued_report> reports_by_age_;
  /// Running requests of all reports, and the sum of the times in milliseconds
  /// at which each of these requests was reported.
  std::uint64_t total_running_ = 0;
  std::uint64_t summed_report_times_ms_ = 0;
};

} // namespace heathtrestle::records
