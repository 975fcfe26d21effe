// Which points of the ring that all gateways share are this gateway's own for
// certain, though what it was told of them is some time old.
//
// The load that this answers: many gateways admit requests to one replica that
// bears a few a second, and none sees what the others send. Each admission is a
// point of the ring, and a gateway spends those on its own arc only. Views of
// the arcs differ while gateways come and go or the node that tells them
// changes. So a point that an arc gains is spent only after the gateway that
// had it before can no longer believe in it: two gateways never spend the same
// point within one second.
//
// It decides only: no I/O, no clock, no randomness of its own.
#pragma once

#include "base/ring_arc.hpp"
#include "base/time.hpp"

#include <deque>

namespace heathtrestle::balance {

class admission_share {
public:
  /// What was told counts for so long from when it was asked for. A gateway
  /// asks several times a second, one with few clients every second or two.
  static constexpr duration_ms report_lifetime{3000};
  /// A point is spent after it was on every arc told for so long: until the
  /// gateway before has ceased to believe in it, and a second more, within
  /// which its last requests count.
  static constexpr duration_ms settling_time =
      report_lifetime + duration_ms{1000};

  /// @param asked when the question was sent that brought the arc; an answer
  /// to an earlier one than the last is ignored.
  void update(ring_arc arc, timestamp asked, timestamp now);

  /// The points that this gateway may spend; none where it has not heard of
  /// the others lately, or not for long enough.
  [[nodiscard]] ring_arc owned_arc(timestamp now) const;

private:
  /// All arcs told since then were this long or longer.
  struct least_length {
    std::uint32_t length = 0;
    timestamp since{};
  };

  std::uint32_t end_ = 0;
  timestamp asked_{};
  /// Since when the present end has been told without a break.
  timestamp told_since_{};
  /// The longer, the later; the first is what counts.
  std::deque<least_length> least_;
};

} // namespace heathtrestle::balance
