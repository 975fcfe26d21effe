// Divides shared resources among the gateways that report their loads, by
// consistent hashing. Each gateway owns the arc of the ring from its
// predecessor's point to its own. A gateway that joins or leaves changes the
// arc of only one other, and the arcs add up to the whole ring.
#pragma once

#include "base/ring_arc.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace heathtrestle::records {

class gateway_hash_ring {
public:
  /// Adds the gateway, or renews its membership.
  void refresh(const std::string &gateway, timestamp now);
  /// Returns the gateway's arc; its length is zero when the membership has
  /// expired.
  [[nodiscard]] ring_arc arc_of(const std::string &gateway, timestamp now);

private:
  void remove_expired(timestamp now);

  struct member {
    std::string gateway;
    timestamp last_report{};
  };
  /// Members by their point. Of two gateways with the same point, the one that
  /// reported last owns the arc.
  std::map<std::uint32_t, member> members_;
  timestamp last_expiry_check_{};
};

} // namespace heathtrestle::records
