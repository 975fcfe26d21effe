// Randomness from the operating system.
#pragma once

#include <cstdint>
#include <random>

namespace heathtrestle {

/// @return 64 random bits, for numbers that must be unique across processes or
/// unpredictable. Too slow to call for every request.
inline std::uint64_t draw_system_random() {
  constexpr unsigned bits_per_draw = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << bits_per_draw) | device();
}

} // namespace heathtrestle
