#include "balance/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// Tolerated difference in the delay between admission and sending of two
/// requests.
constexpr duration_ms send_jitter{50};
/// Time for which a request occupies its admission.
constexpr duration_ms window = duration_ms{1000} + send_jitter;
/// Maximum share of the bound that is assigned. If a network partition makes
/// two sets of gateways each assign all admissions, the bound still holds.
constexpr double max_assigned_share = 0.5;
/// Fibonacci hashing constant (2^64 divided by the golden ratio, odd): spreads
/// the admissions of one replica evenly over the ring.
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
  const double assigned = std::min(rate, bound * max_assigned_share);
  return static_cast<std::uint32_t>(std::max(std::floor(assigned), 1.0));
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
  // Another request fits once at most `owned` - 1 are left in the window.
  if (sent_.size() < owned) {
    return now;
  }
  return std::max(now, sent_[sent_.size() - owned] + window);
}

void slow_start::record_sent(timestamp now) {
  if (admissions_ == 0) {
    return;
  }
  std::erase_if(sent_, [now](timestamp sent) { return now >= sent + window; });
  sent_.push_back(now);
  ++sent_since_begin_;
}

} // namespace heathtrestle::balance
