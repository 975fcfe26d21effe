// The requests under which replicas have crashed lately, as other gateways
// announce them. A gateway asks the record group before it sends one of them.
//
// Only a hint: the record group decides. The number of entries is bounded; the
// oldest are dropped first.
#pragma once

#include "base/request_identity.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace heathtrestle::forwarding {

class crash_notices {
public:
  /// @param capacity the number of requests that are remembered.
  crash_notices(std::size_t capacity, duration_ms lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}

  void add(request_identity request, timestamp now);
  [[nodiscard]] bool contains(request_identity request, timestamp now) const;
  void remove_expired(timestamp now);
  [[nodiscard]] bool empty() const { return last_seen_.empty(); }
  [[nodiscard]] std::size_t size() const { return last_seen_.size(); }

private:
  void remove_oldest();

  std::size_t capacity_;
  duration_ms lifetime_;
  std::unordered_map<request_identity, timestamp> last_seen_;
  /// In the order of arrival; entries that were renewed since are skipped.
  std::deque<std::pair<timestamp, request_identity>> by_age_;
};

} // namespace heathtrestle::forwarding
