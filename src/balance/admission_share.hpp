// Tracks the arc of the shared admission ring that this gateway owns, as
// taken from the load reports.
//
// Each admission to a warming replica is a point on the ring, and a gateway
// spends only the points on its own arc. Gateways can see different arcs while
// gateways join or leave or the reporting node changes. A point that an arc
// gains is therefore usable only after the previous owner's report has expired,
// so that no two gateways spend the same point within one second.
//
// Pure logic: no I/O and no randomness; the caller passes the time.
#pragma once

#include "base/ring_arc.hpp"
#include "base/time.hpp"

#include <deque>

namespace heathtrestle::balance {

class admission_share {
public:
  /// A report expires this long after its request was sent. Busy gateways
  /// request one several times a second, idle ones every second or two.
  static constexpr duration_ms report_lifetime{3000};
  /// A point becomes usable after every report for this long included it: the
  /// previous owner's report has then expired, and one more second has passed
  /// in which that owner's last requests still count.
  static constexpr duration_ms settling_time =
      report_lifetime + duration_ms{1000};

  /// Applies a reported arc. A zero-length arc is ignored, and so is the
  /// response to a request older than the last one applied.
  /// @param requested_at when the request for this report was sent.
  void update(ring_arc arc, timestamp requested_at, timestamp now);

  /// The points that this gateway may spend. Empty if the last report has
  /// expired or reports have not yet been continuous for `settling_time`.
  [[nodiscard]] ring_arc owned_arc(timestamp now) const;

private:
  /// Every arc reported since `since` had at least this length.
  struct minimum_length {
    std::uint32_t length = 0;
    timestamp since{};
  };

  std::uint32_t end_ = 0;
  timestamp requested_at_{};
  /// Since when reports with the current end have arrived without a gap.
  timestamp reported_since_{};
  /// Sliding-window minimum: `length` and `since` both increase, and the first
  /// entry is the length in effect.
  std::deque<minimum_length> minimum_lengths_;
};

} // namespace heathtrestle::balance
