#include "routing/zone_shift.hpp"

#include <algorithm>
#include <limits>

namespace heathtrestle::routing {

namespace {

/// Maximum share of the time limit that the shift takes: long enough for
/// engines to read the prompts of moved conversations beside their own turns,
/// short enough that the zone is soon empty.
constexpr double max_shift_share = 0.3;
/// Share of the limit after which the zone gets no traffic, whenever this
/// process learned of the drain. The rest covers requests in transit, paused
/// processes and clock drift.
constexpr double deadline_share = 0.5;

duration_ms part_of(duration_ms whole, double share) {
  return duration_ms{
      static_cast<std::int64_t>(share * static_cast<double>(whole.count()))};
}

} // namespace

double zone_shift::remaining(timestamp now) const {
  if (now >= end) {
    return 0;
  }
  if (now <= begin) {
    return 1;
  }
  return static_cast<double>((end - now).count()) /
         static_cast<double>((end - begin).count());
}

bool zone_shift::keeps(std::uint64_t draw, timestamp now) const {
  const double place =
      static_cast<double>(draw) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return place < remaining(now);
}

zone_shift plan_shift(std::optional<timestamp> undrained, timestamp heard,
                      duration_ms limit) {
  if (!undrained) {
    return {.begin = heard, .end = heard};
  }
  const timestamp end = std::min(heard + part_of(limit, max_shift_share),
                                 *undrained + part_of(limit, deadline_share));
  return {.begin = heard, .end = std::max(heard, end)};
}

} // namespace heathtrestle::routing
