#include "records/group_contact.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// Silence of all nodes that counts as lost contact: two questions asked of
/// different nodes (`ledger_options::answer_timeout`) and the way of a third.
constexpr duration_ms silence_limit{600};
/// What was heard this long ago says that the group is there. Longer than a
/// gateway with little traffic goes without a question.
constexpr duration_ms heard_counts_for{1000};

} // namespace

void group_contact::on_heard(timestamp now) {
  heard_ = now;
  state_ = contact_state::in_touch;
}

void group_contact::check(timestamp unanswered_since, timestamp now) {
  if (state_ != contact_state::in_touch || unanswered_since == timestamp{}) {
    return;
  }
  if (now >= std::max(unanswered_since, heard_) + silence_limit) {
    state_ = contact_state::silent;
  }
}

void group_contact::on_opinion(peer_opinion opinion) {
  if (state_ == contact_state::in_touch) {
    return;
  }
  const bool others_hear_it = opinion == peer_opinion::heard ||
                              // Cut off from the other gateways as well.
                              opinion == peer_opinion::no_answer;
  state_ = others_hear_it ? contact_state::cut_off : contact_state::silent;
}

bool group_contact::heard_lately(timestamp now) const {
  return heard_ != timestamp{} && now < heard_ + heard_counts_for;
}

} // namespace heathtrestle::records
