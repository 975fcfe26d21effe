// Lets events through at a rate that may change from one to the next.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <chrono>

namespace heathtrestle::tenants {

class token_bucket {
public:
  /// @param credit events that may pass at once, from 0 to 1. Where many pace
  /// their parts of one rate, different credits keep them from passing
  /// together.
  explicit token_bucket(double credit) : credit_(credit) {}

  /// @return false when the event comes too early; it is not counted then.
  bool try_take(double per_second, timestamp now) {
    accrue(per_second, now);
    if (credit_ < 1) {
      return false;
    }
    credit_ -= 1;
    return true;
  }

  /// When the next event may pass.
  [[nodiscard]] timestamp next_token_at(double per_second,
                                        timestamp now) const {
    constexpr double longest_s = 60;
    const double seconds = per_second > 0
                               ? std::min((1 - credit_) / per_second, longest_s)
                               : longest_s;
    return now + std::chrono::duration_cast<duration_ms>(
                     std::chrono::duration<double>(std::max(seconds, 0.0)));
  }

private:
  void accrue(double per_second, timestamp now) {
    // What was not used for a second is lost: events shall not come in a heap.
    constexpr double longest_s = 1;
    const double seconds =
        accrued_ == timestamp{}
            ? 0
            : std::chrono::duration<double>(now - accrued_).count();
    accrued_ = now;
    credit_ = std::min(credit_ + seconds * per_second,
                       std::max(1.0, longest_s * per_second));
  }

  double credit_;
  timestamp accrued_{};
};

} // namespace heathtrestle::tenants
