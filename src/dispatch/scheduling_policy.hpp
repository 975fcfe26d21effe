// Scheduling policies, which select the queued request that the dispatcher
// sends next to a backend. They hold no state of the queue.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::dispatch {

/// The properties of a queued request that scheduling depends on.
struct waiting_request {
  std::uint32_t priority = 0; // 0 is the most urgent
  std::string tenant;
  std::uint64_t attained_service = 0; // tokens that its program has used so far
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

  /// Selects the request to send next.
  /// @param waiting must not be empty.
  /// @param served the service that each tenant has received.
  /// @return an index into `waiting`.
  [[nodiscard]] virtual std::size_t
  next(const std::vector<waiting_request> &waiting, const virtual_times &served,
       timestamp now) const = 0;
};

/// Selects requests in order of arrival.
class first_come_first_served final : public scheduling_policy {
public:
  [[nodiscard]] std::size_t next(const std::vector<waiting_request> &waiting,
                                 const virtual_times &served,
                                 timestamp now) const override;
};

/// Selects by priority class, then by the tenant's weighted service, then by
/// the program's attained service, then by arrival; the lowest value goes
/// first. A request moves up by one class per aging interval, which prevents
/// starvation.
class fair_priority final : public scheduling_policy {
public:
  explicit fair_priority(duration_ms aging_interval)
      : aging_interval_(aging_interval) {}

  [[nodiscard]] std::size_t next(const std::vector<waiting_request> &waiting,
                                 const virtual_times &served,
                                 timestamp now) const override;

private:
  duration_ms aging_interval_;
};

/// Returns the policy for a configured name.
/// @param name "fifo" or "fair_priority"; any other name gives `fair_priority`.
const scheduling_policy &scheduling_policy_named(std::string_view name);

} // namespace heathtrestle::dispatch
