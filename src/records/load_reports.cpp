#include "records/load_reports.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// A report expires after this long: several report intervals of a busy
/// gateway, so that one that stopped is soon ignored.
constexpr duration_ms report_lifetime{1500};

/// Calls `use(replica, running)` for each replica with running requests. Lists
/// of unequal length are cut to the shorter one.
template <typename Use>
void for_each_load(const wire::ReplicaLoads &loads, Use use) {
  const int listed = std::min(loads.replicas_size(), loads.running_size());
  for (int place = 0; place < listed; ++place) {
    if (loads.running(place) > 0) {
      use(loads.replicas(place), loads.running(place));
    }
  }
}

} // namespace

void load_reports::update(const std::string &gateway,
                          const wire::ReplicaLoads &loads, timestamp now) {
  remove_report(gateway);
  remove_expired(now);
  ring_.refresh(gateway, now);
  reports_by_gateway_[gateway] = {.loads = loads, .at = now};
  reports_by_age_.push_back({.gateway = gateway, .at = now});
  for_each_load(loads, [&](std::uint32_t replica, std::uint32_t running) {
    running_by_replica_[replica] += running;
    total_running_ += running;
    summed_report_times_ms_ += running * milliseconds_of(now);
  });
}

void load_reports::remove_report(const std::string &gateway) {
  const auto known = reports_by_gateway_.find(gateway);
  if (known == reports_by_gateway_.end()) {
    return;
  }
  const std::uint64_t at = milliseconds_of(known->second.at);
  for_each_load(known->second.loads,
                [&](std::uint32_t replica, std::uint32_t running) {
                  const auto sum = running_by_replica_.find(replica);
                  sum->second -= running;
                  if (sum->second == 0) {
                    running_by_replica_.erase(sum);
                  }
                  total_running_ -= running;
                  summed_report_times_ms_ -= running * at;
                });
  reports_by_gateway_.erase(known);
}

void load_reports::remove_expired(timestamp now) {
  while (!reports_by_age_.empty() &&
         now >= reports_by_age_.front().at + report_lifetime) {
    const queued_report oldest = std::move(reports_by_age_.front());
    reports_by_age_.pop_front();
    const auto known = reports_by_gateway_.find(oldest.gateway);
    if (known != reports_by_gateway_.end() && known->second.at == oldest.at) {
      remove_report(oldest.gateway);
    }
  }
}

wire::SharedLoads load_reports::loads_of_others(const std::string &gateway,
                                                timestamp now) {
  remove_expired(now);
  const auto own = reports_by_gateway_.find(gateway);
  std::map<std::uint32_t, std::uint32_t> own_running;
  if (own != reports_by_gateway_.end()) {
    for_each_load(own->second.loads,
                  [&](std::uint32_t replica, std::uint32_t running) {
                    own_running[replica] += running;
                  });
  }
  wire::SharedLoads shared;
  const ring_arc arc = ring_.arc_of(gateway, now);
  shared.set_arc_end(arc.end);
  shared.set_arc_length(arc.length);
  shared.set_told_ms(
      own != reports_by_gateway_.end() ? own->second.loads.told_ms() : 0);
  shared.set_gateways(static_cast<std::uint32_t>(reports_by_gateway_.size()));
  for (const auto &[replica, sum] : running_by_replica_) {
    const auto counted = own_running.find(replica);
    const std::uint32_t others =
        sum - (counted != own_running.end() ? counted->second : 0);
    if (others > 0) {
      shared.mutable_others()->add_replicas(replica);
      shared.mutable_others()->add_running(others);
    }
  }
  if (total_running_ > 0) {
    const std::uint64_t mean_at = summed_report_times_ms_ / total_running_;
    shared.set_age_ms(
        static_cast<std::uint32_t>(milliseconds_of(now) - mean_at));
  }
  return shared;
}

} // namespace heathtrestle::records
