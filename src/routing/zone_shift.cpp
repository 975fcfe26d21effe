#include "routing/zone_shift.hpp"

#include <algorithm>
#include <limits>

namespace heathtrestle::routing {

namespace {

/// What of the time limit the move itself takes at most: long enough that
/// engines read the prompts of the expected_arrivals beside their own turns,
/// short enough that an operator sees the zone empty soon.
constexpr double longest_share = 0.3;
/// By this part of the limit the zone gets nothing, whenever the drain was
/// heard of: the rest is for requests on their way, for processes that stand
/// still for a moment, and for clocks that run apart.
constexpr double done_share = 0.5;

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
  const timestamp end = std::min(heard + part_of(limit, longest_share),
                                 *undrained + part_of(limit, done_share));
  return {.begin = heard, .end = std::max(heard, end)};
}

} // namespace heathtrestle::routing
