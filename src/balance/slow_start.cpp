#include "balance/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// What a request that was admitted may be late on its way out behind the one
/// before it.
constexpr duration_ms send_jitter{50};
/// Requests count for a second.
constexpr duration_ms window = duration_ms{1000} + send_jitter;
/// Part of the bound that is dealt out at most. Should two sets of gateways
/// hold each other for gone, both deal out everything, and replicas still get
/// no more than the bound.
constexpr double dealt_share = 0.5;
/// Spreads the admissions of one replica over the ring: 2^64 over the golden
/// ratio, odd.
constexpr std::uint64_t point_step = 0x9e3779b97f4a7c15;

std::uint32_t point_of(std::uint64_t key, std::uint32_t admission) {
  constexpr unsigned high_bits = 32;
  return static_cast<std::uint32_t>((key + admission * point_step) >>
                                    high_bits);
}

} // namespace

std::uint32_t admissions_per_second(double rate,
                                    const slow_start_limits &limits) {
  const double bound = rate * limits.overshoot + limits.slack;
  const double dealt = std::min(rate, bound * dealt_share);
  return static_cast<std::uint32_t>(std::max(std::floor(dealt), 1.0));
}

void slow_start::begin(timestamp until) {
  until_ = until;
  sent_since_begin_ = 0;
}

std::uint32_t slow_start::owned_admissions(const admission_share &share,
                                           timestamp now) const {
  const ring_arc arc = share.owned_arc(now);
  std::uint32_t count = 0;
  for (std::uint32_t number = 0; number < admissions_; ++number) {
    count += arc.contains(point_of(key_, number)) ? 1 : 0;
  }
  return count;
}

std::optional<timestamp>
slow_start::next_admission(const admission_share &share, timestamp now) const {
  const std::uint32_t owned = owned_admissions(share, now);
  if (owned == 0) {
    return std::nullopt;
  }
  // One more fits once all but `owned` - 1 of those sent have left the window.
  if (sent_.size() < owned) {
    return now;
  }
  return std::max(now, sent_[sent_.size() - owned] + window);
}

void slow_start::record_sent(timestamp now) {
  if (admissions_ == 0) {
    return;
  }
  while (!sent_.empty() && now >= sent_.front() + window) {
    sent_.pop_front();
  }
  sent_.push_back(now);
  ++sent_since_begin_;
}

} // namespace heathtrestle::balance
