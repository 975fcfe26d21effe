// Virtual clock and event queue of a discrete-event simulation.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <utility>
#include <vector>

namespace heathtrestle::sim {

/// Microseconds since the start of the simulation.
using microseconds = std::uint64_t;

inline constexpr microseconds per_millisecond = 1000;
inline constexpr microseconds per_second = 1000000;

class virtual_clock {
public:
  using action = std::function<void()>;

  [[nodiscard]] microseconds now() const { return now_; }
  [[nodiscard]] std::uint64_t now_ms() const { return now_ / per_millisecond; }

  /// Schedules an action; actions due at the same time run in the order in
  /// which they were scheduled.
  void after(microseconds delay, action what) {
    queue_.push({now_ + delay, next_number_++, std::move(what)});
  }

  /// Runs all actions due up to `end` and advances the clock to `end`.
  /// @return false when more than `action_limit` actions were due; the clock
  /// then stays at the last action run.
  bool run_until(
      microseconds end,
      std::uint64_t action_limit = std::numeric_limits<std::uint64_t>::max()) {
    std::uint64_t actions = 0;
    while (!queue_.empty() && queue_.top().when <= end) {
      if (++actions > action_limit) {
        return false;
      }
      now_ = queue_.top().when;
      // The action may add to the queue, so it is moved out first.
      const action what = std::move(const_cast<entry &>(queue_.top()).what);
      queue_.pop();
      what();
    }
    now_ = end;
    return true;
  }

private:
  struct entry {
    microseconds when;
    std::uint64_t number; // breaks ties between equal times
    action what;
    bool operator<(const entry &other) const {
      return std::pair(when, number) > std::pair(other.when, other.number);
    }
  };

  microseconds now_ = 0;
  std::uint64_t next_number_ = 0;
  std::priority_queue<entry> queue_;
};

} // namespace heathtrestle::sim
