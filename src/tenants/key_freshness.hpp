// Bounds the age of this process's copy of the API keys.
//
// A revoked key has to stop working everywhere within a configured time, even
// on a gateway that is cut off and receives no updates. A gateway therefore
// trusts its copy for a limited time only. The time counts on the monotonic
// clock from when the request that confirmed the copy was sent, so that neither
// slow responses nor clock steps make the copy look newer than it is.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace heathtrestle::tenants {

/// Part of the revocation time that is held back: a request admitted at the
/// very end still has to reach its replica.
inline constexpr duration_ms revocation_margin{150};

class key_freshness {
public:
  /// @param revocation time within which a revoked key must stop working; zero
  /// for no limit.
  explicit key_freshness(duration_ms revocation) : revocation_(revocation) {}

  /// Records that the copy was current at `moment`. Earlier moments are
  /// ignored.
  void confirm(timestamp moment) {
    confirmed_ = std::max(confirmed_.value_or(moment), moment);
  }

  /// True while the keys of the copy may be accepted.
  [[nodiscard]] bool keys_valid(timestamp now) const {
    const bool limited = revocation_.count() > 0;
    return !limited ||
           (confirmed_ && now < *confirmed_ + revocation_ - revocation_margin);
  }

  /// @return nothing if the copy was never confirmed.
  [[nodiscard]] std::optional<duration_ms> age(timestamp now) const {
    return confirmed_ ? std::optional(now - *confirmed_) : std::nullopt;
  }

private:
  duration_ms revocation_;
  std::optional<timestamp> confirmed_;
};

} // namespace heathtrestle::tenants
