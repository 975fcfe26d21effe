// Divides what all gateways share among those that tell their loads, by
// consistent hashing: each has the arc of a ring from the gateway before it to
// its own point. A gateway that comes or goes changes the arc of one other
// only, and what the arcs hold adds up to the whole ring.
#pragma once

#include "base/ring_arc.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace heathtrestle::records {

class gateway_hash_ring {
public:
  /// The gateway is there.
  void refresh(const std::string &gateway, timestamp now);
  /// The gateway's arc; of no length where it has not told lately.
  [[nodiscard]] ring_arc arc_of(const std::string &gateway, timestamp now);

private:
  void remove_expired(timestamp now);

  struct member {
    std::string gateway;
    timestamp last_report{};
  };
  /// By point. Two gateways of one point, one in millions, take turns.
  std::map<std::uint32_t, member> members_;
  timestamp last_expiry_check_{};
};

} // namespace heathtrestle::records
