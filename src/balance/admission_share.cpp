#include "balance/admission_share.hpp"

namespace heathtrestle::balance {

void admission_share::update(ring_arc arc, timestamp requested_at,
                             timestamp now) {
  if (requested_at < requested_at_ || arc.length == 0) {
    return;
  }
  const bool continuous = !minimum_lengths_.empty() && arc.end == end_ &&
                          now < requested_at_ + report_lifetime;
  if (!continuous) {
    minimum_lengths_.clear();
    reported_since_ = now;
  }
  end_ = arc.end;
  requested_at_ = requested_at;
  timestamp since = now;
  while (!minimum_lengths_.empty() &&
         minimum_lengths_.back().length >= arc.length) {
    since = minimum_lengths_.back().since;
    minimum_lengths_.pop_back();
  }
  minimum_lengths_.push_back({.length = arc.length, .since = since});
  while (minimum_lengths_.size() > 1 &&
         now >= minimum_lengths_[1].since + settling_time) {
    minimum_lengths_.pop_front();
  }
}

ring_arc admission_share::owned_arc(timestamp now) const {
  const bool current =
      !minimum_lengths_.empty() && now < requested_at_ + report_lifetime;
  if (!current || now < reported_since_ + settling_time) {
    return {};
  }
  return {.end = end_, .length = minimum_lengths_.front().length};
}

} // namespace heathtrestle::balance
