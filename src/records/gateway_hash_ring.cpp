#include "records/gateway_hash_ring.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace heathtrestle::records {

namespace {

/// A gateway stays a member for this long after its last report. Long enough
/// for gateways with little traffic, which report rarely: after each change of
/// an arc, a part of it has no owner for some seconds.
constexpr duration_ms member_lifetime{4000};
/// Expired members are looked for at most this often, since the scan visits all
/// gateways.
constexpr duration_ms expiry_check_interval{100};

std::uint32_t hash_point_of(const std::string &gateway) {
  return static_cast<std::uint32_t>(stable_hash(gateway));
}

} // namespace

void gateway_hash_ring::refresh(const std::string &gateway, timestamp now) {
  members_[hash_point_of(gateway)] = {.gateway = gateway, .last_report = now};
}

ring_arc gateway_hash_ring::arc_of(const std::string &gateway, timestamp now) {
  remove_expired(now);
  const auto own = members_.find(hash_point_of(gateway));
  if (own == members_.end() || own->second.gateway != gateway) {
    return {};
  }
  if (members_.size() == 1) {
    return {.end = own->first,
            .length = std::numeric_limits<std::uint32_t>::max()};
  }
  const auto before =
      own == members_.begin() ? std::prev(members_.end()) : std::prev(own);
  return {.end = own->first, .length = own->first - before->first};
}

void gateway_hash_ring::remove_expired(timestamp now) {
  if (now < last_expiry_check_ + expiry_check_interval) {
    return;
  }
  last_expiry_check_ = now;
  std::erase_if(members_, [now](const auto &each) {
    return now >= each.second.last_report + member_lifetime;
  });
}

} // namespace heathtrestle::records
