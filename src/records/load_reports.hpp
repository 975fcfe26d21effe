// The requests that gateways have under way at replicas, as they tell them with
// what they ask of the record group. Each is told the sum of the others', so
// that all place requests by the same load. Kept in memory only and never
// logged: a new leader has heard from everybody within a second.
//
// Sums are kept up to date as gateways tell, so that an answer costs the number
// of replicas, however many gateways there are. Each is also told its part of
// what all share (`gateway_hash_ring`).
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
  /// @param gateway its address; what it told before is void.
  void update(const std::string &gateway, const wire::ReplicaLoads &loads,
              timestamp now);
  /// What the gateways but this one have told lately.
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

  /// Takes a gateway's report out of the sums.
  void remove_report(const std::string &gateway);
  void remove_expired(timestamp now);

  std::map<std::string, report> reports_by_gateway_;
  gateway_hash_ring ring_;
  /// Running requests by replica, of all reports together.
  std::map<std::uint32_t, std::uint32_t> running_by_replica_;
  /// Reports in the order of their age; those since replaced are passed over.
  std::deque<queued_report> reports_by_age_;
  /// Running requests of all reports, and the sum of the times (milliseconds)
  /// at which each of them was reported.
  std::uint64_t total_running_ = 0;
  std::uint64_t summed_report_times_ms_ = 0;
};

} // namespace heathtrestle::records
