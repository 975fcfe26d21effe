// Which waiting request a dispatcher sends next: pure policies over a view of
// its queue.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::dispatch {

/// A waiting request as policies see it.
struct waiting_request {
  std::uint32_t priority = 0; // 0 is the most urgent
  std::string tenant;
  std::uint64_t attained_service = 0; // tokens its program has used so far
  timestamp arrived{};
};

/// Service received by each tenant divided by its weight, in tokens.
using virtual_times = std::map<std::string, double>;

class scheduling_policy {
public:
  scheduling_policy() = default;
  scheduling_policy(const scheduling_policy &) = delete;
  scheduling_policy &operator=(const scheduling_policy &) = delete;
  virtual ~scheduling_policy() = default;

  /// @param waiting at least one request.
  /// @return the index of the request to send.
  [[nodiscard]] virtual std::size_t
  next(const std::vector<waiting_request> &waiting, const virtual_times &served,
       timestamp now) const = 0;
};

/// Baseline: in order of arrival.
class first_come_first_served final : public scheduling_policy {
public:
  [[nodiscard]] std::size_t next(const std::vector<waiting_request> &waiting,
                                 const virtual_times &served,
                                 timestamp now) const override;
};

/// The most urgent class first; within it the tenant with the least service
/// for its weight; within that the program with the least service so far. A
/// request gains one class of urgency for each bound of waiting, so that none
/// starves.
class fair_priority final : public scheduling_policy {
public:
  explicit fair_priority(duration_ms waiting_bound)
      : waiting_bound_(waiting_bound) {}

  [[nodiscard]] std::size_t next(const std::vector<waiting_request> &waiting,
                                 const virtual_times &served,
                                 timestamp now) const override;

private:
  duration_ms waiting_bound_;
};

/// @param name "fifo" or "fair_priority"; any other name gives the last.
const scheduling_policy &scheduling_policy_named(std::string_view name);

} // namespace heathtrestle::dispatch
