// Randomness from the operating system.
#pragma once

#include <cstdint>
#include <random>

namespace heathtrestle {

/// 64 random bits, for numbers that must not repeat from one process to another
/// or that nobody may guess. Too slow for what is drawn for each request.
inline std::uint64_t draw_system_random() {
  constexpr unsigned bits_a_draw = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << bits_a_draw) | device();
}

} // namespace heathtrestle
