// The memory that is booked for one answer while it is buffered: all of it in
// the budget of the open requests, and what exceeds a free amount in the budget
// of large answers, which all of them share. A replica that sends without end
// reaches that limit and nothing else.
#pragma once

#include "forwarding/byte_budget.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace heathtrestle::forwarding {

class answer_memory {
public:
  /// @param held in the budget of the open requests.
  /// @param beyond in the budget of large answers.
  /// @param free_bytes that every answer may take.
  answer_memory(byte_budget::booking held, byte_budget::booking beyond,
                std::size_t free_bytes)
      : held_(std::move(held)), beyond_(std::move(beyond)),
        free_bytes_(free_bytes) {}

  /// Changes the number of bytes.
  /// @return false when large answers have no memory left.
  [[nodiscard]] bool try_resize(std::size_t bytes) {
    held_.resize(bytes);
    return beyond_.try_resize(bytes - std::min(bytes, free_bytes_));
  }

private:
  byte_budget::booking held_;
  byte_budget::booking beyond_;
  std::size_t free_bytes_;
};

} // namespace heathtrestle::forwarding
