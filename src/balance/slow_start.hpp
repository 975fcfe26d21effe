// Slow start: limits the rate of requests, summed over all gateways, to a
// replica that is warming up.
//
// A replica that has just started shows no load, so every gateway would choose
// it while the others are full, and it would be overloaded. Each of its
// admissions per second is therefore assigned to one gateway by a hash
// (`admission_share`), and that gateway sends at most one request for it in any
// second. The total stays within the replica's capacity however the demand is
// spread over the gateways, without further messages between them.
//
// Pure logic: no I/O and no randomness; the caller passes the time.
#pragma once

#include "balance/admission_share.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace heathtrestle::balance {

/// Bound of the requests that a warming replica may receive in any second from
/// all gateways together: `overshoot` times its cold-start rate, plus `slack`.
struct slow_start_limits {
  /// Zero disables the limit.
  double overshoot = 0;
  double slack = 0; // requests

  [[nodiscard]] bool enforced() const { return overshoot > 0; }
};

/// Admissions per second that are distributed among the gateways: at most half
/// of the bound, but at least one, so that the replica does not stay idle.
/// @param rate requests per second that the replica can serve while it is cold.
std::uint32_t admissions_per_second(double rate,
                                    const slow_start_limits &limits);

/// The slow start of one replica at one gateway.
class slow_start {
public:
  /// @param key hash of the replica; places its admissions on the ring.
  explicit slow_start(std::uint64_t key = 0) : key_(key) {}

  /// @param admissions requests per second from all gateways together while the
  /// replica is cold; 0 disables the limit.
  void set_admissions(std::uint32_t admissions) { admissions_ = admissions; }
  /// Starts the cold phase, or replaces its end. Requests sent within the last
  /// second still count.
  void begin(timestamp until);
  /// Ends the cold phase.
  void end() { until_ = {}; }

  [[nodiscard]] bool cold(timestamp now) const {
    return admissions_ > 0 && now < until_;
  }
  /// True from `begin` until `end`, even after `cold_until` has passed.
  [[nodiscard]] bool begun() const { return until_ != timestamp{}; }
  [[nodiscard]] timestamp cold_until() const { return until_; }
  [[nodiscard]] std::uint32_t admissions() const { return admissions_; }
  /// Requests sent since `begin`.
  [[nodiscard]] std::uint32_t sent() const { return sent_since_begin_; }

  /// Admissions per second that belong to this gateway.
  [[nodiscard]] std::uint32_t owned_admissions(const admission_share &share,
                                               timestamp now) const;
  /// When this gateway may send the next request: `now` if immediately, nothing
  /// if it owns no admission.
  [[nodiscard]] std::optional<timestamp>
  next_admission(const admission_share &share, timestamp now) const;
  /// Records a request sent to the replica. Must also be called while the
  /// replica is warm, since the request counts if the cold phase begins within
  /// the second. Failed requests count as well, since the replica has to handle
  /// them.
  void record_sent(timestamp now);

private:
  std::uint64_t key_;
  timestamp until_{};
  std::uint32_t admissions_ = 0;
  std::uint32_t sent_since_begin_ = 0;
  /// Send times of the requests in the window, oldest first. A vector, because
  /// there is one for each replica, and an empty deque allocates half a
  /// kilobyte.
  std::vector<timestamp> sent_;
};

} // namespace heathtrestle::balance
