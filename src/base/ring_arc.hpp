// An arc of a consistent-hash ring of 2^32 points.
#pragma once

#include <cstdint>

namespace heathtrestle {

/// The `length` points up to and including `end`.
struct ring_arc {
  std::uint32_t end = 0;
  /// 0 for an empty arc.
  std::uint32_t length = 0;

  [[nodiscard]] bool contains(std::uint32_t point) const {
    return end - point < length;
  }
  bool operator==(const ring_arc &) const = default;
};

} // namespace heathtrestle
