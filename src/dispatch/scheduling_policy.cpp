#include "dispatch/scheduling_policy.hpp"

#include <algorithm>
#include <tuple>

namespace heathtrestle::dispatch {

namespace {

constexpr duration_ms default_aging_interval{5000};

double served_to(const virtual_times &served, const std::string &tenant) {
  const auto found = served.find(tenant);
  return found == served.end() ? 0.0 : found->second;
}

} // namespace

std::size_t
first_come_first_served::next(const std::vector<waiting_request> &waiting,
                              const virtual_times & /*served*/,
                              timestamp /*now*/) const {
  const auto first = std::min_element(
      waiting.begin(), waiting.end(),
      [](const waiting_request &left, const waiting_request &right) {
        return left.arrived < right.arrived;
      });
  return static_cast<std::size_t>(first - waiting.begin());
}

std::size_t fair_priority::next(const std::vector<waiting_request> &waiting,
                                const virtual_times &served,
                                timestamp now) const {
  const auto rank = [&](const waiting_request &request) {
    const auto aged = (now - request.arrived) / aging_interval_;
    return std::tuple(static_cast<std::int64_t>(request.priority) - aged,
                      served_to(served, request.tenant),
                      request.attained_service, request.arrived);
  };
  const auto first = std::min_element(
      waiting.begin(), waiting.end(),
      [&rank](const waiting_request &left, const waiting_request &right) {
        return rank(left) < rank(right);
      });
  return static_cast<std::size_t>(first - waiting.begin());
}

const scheduling_policy &scheduling_policy_named(std::string_view name) {
  static const first_come_first_served fifo;
  static const fair_priority fair{default_aging_interval};
  if (name == "fifo") {
    return fifo;
  }
  return fair;
}

} // namespace heathtrestle::dispatch
