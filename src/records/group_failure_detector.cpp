#include "records/group_failure_detector.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// Silence of all nodes that counts as lost contact: two questions asked of
/// different nodes (`ledger_options::min_retry_timeout`) and the way of a
/// third.
constexpr duration_ms silence_limit{600};
/// What was heard this long ago says that the group is there. Longer than a
/// gateway with little traffic goes without a question.
constexpr duration_ms heard_counts_for{1000};

} // namespace

void group_failure_detector::on_reply(timestamp now) {
  heard_ = now;
  state_ = group_reachability::reachable;
}

void group_failure_detector::check(timestamp unanswered_since, timestamp now) {
  if (state_ != group_reachability::reachable ||
      unanswered_since == timestamp{}) {
    return;
  }
  if (now >= std::max(unanswered_since, heard_) + silence_limit) {
    state_ = group_reachability::unreachable;
  }
}

void group_failure_detector::on_peer_reachability(peer_reachability opinion) {
  if (state_ == group_reachability::reachable) {
    return;
  }
  const bool others_hear_it = opinion == peer_reachability::reachable ||
                              // Cut off from the other gateways as well.
                              opinion == peer_reachability::no_answer;
  state_ = others_hear_it ? group_reachability::cut_off
                          : group_reachability::unreachable;
}

bool group_failure_detector::heard_lately(timestamp now) const {
  return heard_ != timestamp{} && now < heard_ + heard_counts_for;
}

} // namespace heathtrestle::records
