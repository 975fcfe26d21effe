#include "balance/admission_share.hpp"

namespace heathtrestle::balance {

void admission_share::update(ring_arc arc, timestamp asked, timestamp now) {
  if (asked < asked_ || arc.length == 0) {
    return;
  }
  const bool unbroken =
      !least_.empty() && arc.end == end_ && now < asked_ + report_lifetime;
  if (!unbroken) {
    least_.clear();
    told_since_ = now;
  }
  end_ = arc.end;
  asked_ = asked;
  timestamp since = now;
  while (!least_.empty() && least_.back().length >= arc.length) {
    since = least_.back().since;
    least_.pop_back();
  }
  least_.push_back({.length = arc.length, .since = since});
  while (least_.size() > 1 && now >= least_[1].since + settling_time) {
    least_.pop_front();
  }
}

ring_arc admission_share::owned_arc(timestamp now) const {
  const bool believed = !least_.empty() && now < asked_ + report_lifetime;
  if (!believed || now < told_since_ + settling_time) {
    return {};
  }
  return {.end = end_, .length = least_.front().length};
}

} // namespace heathtrestle::balance
