#include "records/load_board.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// What a gateway told counts this long: several of the intervals in which a
/// busy one tells it, so that one that has ended is soon forgotten.
constexpr duration_ms told_for{1500};

} // namespace

void load_board::tell(const std::string &gateway,
                      const wire::ReplicaLoads &loads, timestamp now) {
  by_gateway_[gateway] = {.loads = loads, .at = now};
  std::erase_if(by_gateway_, [now](const auto &entry) {
    return now >= entry.second.at + told_for;
  });
}

wire::SharedLoads load_board::others(const std::string &gateway,
                                     timestamp now) const {
  std::map<std::uint32_t, std::uint32_t> sums;
  wire::SharedLoads shared;
  std::uint32_t gateways = 0;
  for (const auto &[address, entry] : by_gateway_) {
    if (now >= entry.at + told_for) {
      continue;
    }
    ++gateways;
    const int listed =
        std::min(entry.loads.replicas_size(), entry.loads.running_size());
    for (int place = 0; address != gateway && place < listed; ++place) {
      sums[entry.loads.replicas(place)] += entry.loads.running(place);
    }
  }
  shared.set_gateways(gateways);
  for (const auto &[replica, running] : sums) {
    shared.mutable_others()->add_replicas(replica);
    shared.mutable_others()->add_running(running);
  }
  return shared;
}

} // namespace heathtrestle::records
