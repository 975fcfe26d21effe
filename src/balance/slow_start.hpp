// Admits requests to a replica that is warming up: a few a second over all
// gateways together, until it is warm.
//
// The load that this answers: replicas come back cold while the others are
// full. A cold one shows no load, so that every gateway would choose it, and it
// falls over under more than it bears. So each of its admissions in a second is
// dealt to one gateway by a hash (`admission_share`), and that gateway sends
// one request for it within any second. The sum stays within what the replica
// bears whichever gateways the demand comes through, and no message passes for
// it.
//
// It decides only: no I/O, no clock, no randomness of its own.
#pragma once

#include "balance/admission_share.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace heathtrestle::balance {

/// What a replica that warms up may get in any second, from all gateways
/// together: `overshoot` times the rate that it bears, and `slack` more.
struct slow_start_limits {
  /// 0 where replicas are not held to anything.
  double overshoot = 0;
  double slack = 0; // requests

  [[nodiscard]] bool enforced() const { return overshoot > 0; }
};

/// Requests that are dealt out for each second: at most half of the bound, but
/// one at the least, for a replica that gets nothing would idle until it is
/// warm.
/// @param rate what the replica bears, in requests a second.
std::uint32_t admissions_per_second(double rate,
                                    const slow_start_limits &limits);

/// One replica's slow start, as one gateway sees it.
class slow_start {
public:
  /// @param key a hash of the replica: decides who gets its admissions.
  explicit slow_start(std::uint64_t key = 0) : key_(key) {}

  /// @param admissions requests that all gateways together send it in a second
  /// while it is cold; 0 where it is never held to any.
  void set_admissions(std::uint32_t admissions) { admissions_ = admissions; }
  /// It is cold until then; what it was told to be before is void. What was
  /// sent lately goes on counting.
  void begin(timestamp until);
  /// It is warm.
  void end() { until_ = {}; }

  [[nodiscard]] bool cold(timestamp now) const {
    return admissions_ > 0 && now < until_;
  }
  /// True from its beginning until `end`, also when its time is up.
  [[nodiscard]] bool begun() const { return until_ != timestamp{}; }
  [[nodiscard]] timestamp cold_until() const { return until_; }
  [[nodiscard]] std::uint32_t admissions() const { return admissions_; }
  /// Requests sent since it began.
  [[nodiscard]] std::uint32_t sent() const { return sent_since_begin_; }

  /// Admissions a second that are this gateway's.
  [[nodiscard]] std::uint32_t owned_admissions(const admission_share &share,
                                               timestamp now) const;
  /// When this gateway may send it the next request: `now` where it may at
  /// once, nothing where no admission is its own.
  [[nodiscard]] std::optional<timestamp>
  next_admission(const admission_share &share, timestamp now) const;
  /// A request leaves for the replica, cold or not: it may turn cold within the
  /// second. It counts however it ends, for the replica has it to bear.
  void record_sent(timestamp now);

private:
  std::uint64_t key_;
  timestamp until_{};
  std::uint32_t admissions_ = 0;
  std::uint32_t sent_since_begin_ = 0;
  /// When requests were sent, within the last second.
  std::deque<timestamp> sent_;
};

} // namespace heathtrestle::balance
