// Failure detector for the record group, as seen by one process. When the group
// is unreachable, it distinguishes two cases: other gateways reach it, so that
// this process is cut off and its clients are better served elsewhere; or no
// gateway reaches it, and waiting is the best option. It performs no I/O.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace heathtrestle::records {

/// Whether other gateways reach the group, as they reported.
enum class peer_reachability : std::uint8_t {
  /// No other gateway is known.
  no_peers,
  /// No gateway answered.
  no_answer,
  /// At least one gateway answered, and none of those reaches the group.
  unreachable,
  /// At least one gateway reaches the group.
  reachable,
};

enum class group_reachability : std::uint8_t {
  reachable,
  /// No reply arrived for a while although requests were waiting.
  unreachable,
  /// Unreachable for this process only.
  cut_off,
};

class group_failure_detector {
public:
  /// Records a reply of any node of the group.
  void on_reply(timestamp now);
  /// Detects a timeout.
  /// @param unanswered_since when the oldest request that has had no reply
  /// since was sent; the epoch for none.
  void check(timestamp unanswered_since, timestamp now);
  void on_peer_reachability(peer_reachability reported);

  [[nodiscard]] group_reachability state() const { return state_; }
  [[nodiscard]] bool cut_off() const {
    return state_ == group_reachability::cut_off;
  }
  /// True when the last reply is recent enough to tell other gateways that the
  /// group is reachable.
  [[nodiscard]] bool heard_lately(timestamp now) const;

private:
  group_reachability state_ = group_reachability::reachable;
  timestamp last_reply_{};
};

} // namespace heathtrestle::records
