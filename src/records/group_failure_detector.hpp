// Whether a process still hears the record group, and whose fault it is when it
// does not: its own, when others hear the group (it is cut off, and somebody
// else had better serve its clients), or the group's, when nobody does (then
// waiting is the best that anybody can do). A reducer; it does no I/O.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace heathtrestle::records {

/// What other gateways answered to whether they hear the group.
enum class peer_reachability : std::uint8_t {
  /// There is nobody to ask.
  no_peers,
  /// Nobody answered.
  no_answer,
  /// Somebody answered, and none that did hears the group.
  unreachable,
  /// One of them hears it.
  reachable,
};

enum class group_reachability : std::uint8_t {
  reachable,
  /// Nothing was heard for a while though something was asked.
  unreachable,
  /// It is silent for this process, and not for others.
  cut_off,
};

class group_failure_detector {
public:
  /// A node of the group has answered something.
  void on_reply(timestamp now);
  /// @param unanswered_since when the oldest question without any answer since
  /// was asked; the epoch for none.
  void check(timestamp unanswered_since, timestamp now);
  void on_peer_reachability(peer_reachability reported);

  [[nodiscard]] group_reachability state() const { return state_; }
  [[nodiscard]] bool cut_off() const {
    return state_ == group_reachability::cut_off;
  }
  /// True when something was heard so lately that others may rely on it.
  [[nodiscard]] bool heard_lately(timestamp now) const;

private:
  group_reachability state_ = group_reachability::reachable;
  timestamp last_reply_{};
};

} // namespace heathtrestle::records
