#include "records/group_failure_detector.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// The group is unreachable after this long without a reply: time for two
/// requests to different nodes (`ledger_options::min_retry_timeout`) and for a
/// third one to be delivered.
constexpr duration_ms silence_timeout{600};
/// A reply of this age still shows that the group is reachable. Longer than the
/// interval between requests of a gateway with little traffic.
constexpr duration_ms recent_reply_window{1000};

} // namespace

void group_failure_detector::on_reply(timestamp now) {
  last_reply_ = now;
  state_ = group_reachability::reachable;
}

void group_failure_detector::check(timestamp unanswered_since, timestamp now) {
  if (state_ != group_reachability::reachable ||
      unanswered_since == timestamp{}) {
    return;
  }
  if (now >= std::max(unanswered_since, last_reply_) + silence_timeout) {
    state_ = group_reachability::unreachable;
  }
}

void group_failure_detector::on_peer_reachability(peer_reachability reported) {
  if (state_ == group_reachability::reachable) {
    return;
  }
  const bool peers_reach_it = reported == peer_reachability::reachable ||
                              // This process is cut off from the other gateways
                              // as well.
                              reported == peer_reachability::no_answer;
  state_ = peers_reach_it ? group_reachability::cut_off
                          : group_reachability::unreachable;
}

bool group_failure_detector::heard_lately(timestamp now) const {
  return last_reply_ != timestamp{} && now < last_reply_ + recent_reply_window;
}

} // namespace heathtrestle::records
