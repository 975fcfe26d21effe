// Counts events within a sliding window, divided into slices. The sum covers
// the window and up to one slice more, so it never undercounts.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>

namespace heathtrestle::tenants {

class sliding_window_counter {
public:
  /// Number of slices per window.
  static constexpr std::int64_t slices = 20;

  /// @param window at least one millisecond per slice.
  explicit sliding_window_counter(duration_ms window)
      : slice_(window / slices) {}

  void add(timestamp now, std::uint32_t count = 1) {
    advance(now);
    counts_[index_of(current_)] += count;
    sum_ += count;
  }

  [[nodiscard]] std::uint32_t sum(timestamp now) {
    advance(now);
    return sum_;
  }

  /// Maximum time that the sum covers.
  [[nodiscard]] duration_ms span() const { return slice_ * (slices + 1); }

  /// When the oldest counts leave the window; `now` if there are none.
  [[nodiscard]] timestamp next_release(timestamp now) {
    advance(now);
    for (std::int64_t number = current_ - slices; number <= current_;
         ++number) {
      if (counts_[index_of(number)] > 0) {
        return timestamp{slice_ * (number + slices + 1)};
      }
    }
    return now;
  }

private:
  static std::size_t index_of(std::int64_t number) {
    constexpr std::int64_t places = slices + 1;
    return static_cast<std::size_t>((number % places + places) % places);
  }

  void advance(timestamp now) {
    const std::int64_t number = now.time_since_epoch() / slice_;
    if (number > current_ + slices) {
      counts_.fill(0);
      sum_ = 0;
      current_ = number;
    }
    while (current_ < number) {
      ++current_;
      sum_ -= counts_[index_of(current_)];
      counts_[index_of(current_)] = 0;
    }
  }

  duration_ms slice_;
  std::int64_t current_ = 0; // number of the current slice
  std::array<std::uint32_t, slices + 1> counts_{};
  std::uint32_t sum_ = 0;
};

} // namespace heathtrestle::tenants
