// The requests that gateways have under way at replicas, as they tell them with
// what they ask of the record group. Each is told the sum of the others', so
// that all place requests by the same load. Kept in memory only and never
// logged: a new leader has heard from everybody within a second.
#pragma once

#include "base/time.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace heathtrestle::records {

class load_board {
public:
  /// @param gateway its address; what it told before is void.
  void tell(const std::string &gateway, const wire::ReplicaLoads &loads,
            timestamp now);
  /// What the gateways but this one have told lately.
  [[nodiscard]] wire::SharedLoads others(const std::string &gateway,
                                         timestamp now) const;

private:
  struct told {
    wire::ReplicaLoads loads;
    timestamp at{};
  };

  std::map<std::string, told> by_gateway_;
};

} // namespace heathtrestle::records
