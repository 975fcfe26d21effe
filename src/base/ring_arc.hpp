// A part of a ring of 2^32 points, as consistent hashing deals them out.
#pragma once

#include <cstdint>

namespace heathtrestle {

/// The `length` points up to and with `end`.
struct ring_arc {
  std::uint32_t end = 0;
  /// 0 for no point at all.
  std::uint32_t length = 0;

  [[nodiscard]] bool contains(std::uint32_t point) const {
    return end - point < length;
  }
  bool operator==(const ring_arc &) const = default;
};

} // namespace heathtrestle
