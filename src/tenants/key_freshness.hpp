// How old this process's copy of the configuration can be at most.
//
// A key that the operator takes away has to stop working everywhere within a
// stated time, also on a gateway that is cut off and hears of nothing. So what
// a gateway knows of keys is good for a limited time: it counts from the moment
// at which the question was sent whose answer confirmed the copy, on the
// monotonic clock, so that neither slow answers nor clocks that step make it
// look younger than it is.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace heathtrestle::tenants {

/// What is kept of the time in which a key must stop working: a request that
/// is let through at the very end still has to reach its replica.
inline constexpr duration_ms revocation_margin{150};

class key_freshness {
public:
  /// @param revocation time within which a key that was taken away must stop
  /// working; zero when there is no such promise.
  explicit key_freshness(duration_ms revocation) : revocation_(revocation) {}

  /// The copy was current at `moment` or later. Earlier moments change nothing.
  void confirm(timestamp moment) {
    confirmed_ = std::max(confirmed_.value_or(moment), moment);
  }

  /// True while keys may be relied on.
  [[nodiscard]] bool keys_valid(timestamp now) const {
    const bool promised = revocation_.count() > 0;
    return !promised ||
           (confirmed_ && now < *confirmed_ + revocation_ - revocation_margin);
  }

  /// @return nothing while the copy was never confirmed.
  [[nodiscard]] std::optional<duration_ms> age(timestamp now) const {
    return confirmed_ ? std::optional(now - *confirmed_) : std::nullopt;
  }

private:
  duration_ms revocation_;
  std::optional<timestamp> confirmed_;
};

} // namespace heathtrestle::tenants
