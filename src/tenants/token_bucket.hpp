// Token bucket whose rate may change with each call. It holds at most the
// tokens of one second, and always room for one.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <chrono>

namespace heathtrestle::tenants {

class token_bucket {
public:
  /// @param credit initial tokens, 0 to 1. Buckets that share one rate should
  /// start with different credits, so that they do not admit in step.
  explicit token_bucket(double credit) : credit_(credit) {}

  /// Takes a token if one is available.
  /// @param per_second rate at which tokens refill since the previous call.
  /// @return false, taking nothing, if there is less than one token.
  bool try_take(double per_second, timestamp now) {
    refill(per_second, now);
    if (credit_ < 1) {
      return false;
    }
    credit_ -= 1;
    return true;
  }

  /// When a token will be available at this rate, at most 60 seconds after
  /// `now`.
  [[nodiscard]] timestamp next_token_at(double per_second,
                                        timestamp now) const {
    constexpr double max_wait_s = 60;
    const double seconds =
        per_second > 0 ? std::min((1 - credit_) / per_second, max_wait_s)
                       : max_wait_s;
    return now + std::chrono::duration_cast<duration_ms>(
                     std::chrono::duration<double>(std::max(seconds, 0.0)));
  }

private:
  void refill(double per_second, timestamp now) {
    // Caps the bucket at the tokens of one second to avoid bursts.
    constexpr double capacity_s = 1;
    const double seconds =
        refilled_at_ == timestamp{}
            ? 0
            : std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    credit_ = std::min(credit_ + seconds * per_second,
                       std::max(1.0, capacity_s * per_second));
  }

  double credit_;
  timestamp refilled_at_{};
};

} // namespace heathtrestle::tenants
