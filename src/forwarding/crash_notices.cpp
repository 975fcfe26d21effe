#include "forwarding/crash_notices.hpp"

namespace heathtrestle::forwarding {

void crash_notices::add(request_identity request, timestamp now) {
  remove_expired(now);
  while (last_seen_.size() >= capacity_ && !by_age_.empty()) {
    remove_oldest();
  }
  const bool is_new = last_seen_.insert_or_assign(request, now).second;
  if (is_new) {
    by_age_.emplace_back(now, request);
  }
}

void crash_notices::remove_expired(timestamp now) {
  while (!by_age_.empty() && now >= by_age_.front().first + lifetime_) {
    remove_oldest();
  }
}

void crash_notices::remove_oldest() {
  const auto [added, request] = by_age_.front();
  by_age_.pop_front();
  const auto known = last_seen_.find(request);
  if (known->second == added) {
    last_seen_.erase(known);
  } else {
    by_age_.emplace_back(known->second, request); // renewed since
  }
}

bool crash_notices::contains(request_identity request, timestamp now) const {
  const auto known = last_seen_.find(request);
  return known != last_seen_.end() && now < known->second + lifetime_;
}

} // namespace heathtrestle::forwarding
