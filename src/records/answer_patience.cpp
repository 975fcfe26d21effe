#include "records/answer_patience.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// An answer that takes this many times longer than usual is not awaited.
constexpr int latency_multiple = 4;
/// The weight of what was known before, against one new answer.
constexpr int inertia = 7;

} // namespace

void answer_patience::note(duration_ms taken) {
  const bool first = latency_.count() == 0;
  latency_ = first ? taken : (inertia * latency_ + taken) / (inertia + 1);
}

duration_ms answer_patience::timeout() const {
  return std::clamp(latency_multiple * latency_, least_, most_);
}

} // namespace heathtrestle::records
