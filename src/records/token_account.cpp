#include "records/token_account.hpp"

#include <algorithm>

namespace heathtrestle::records {

wire::RecordVerdict token_account::begin(const wire::BeginTurn &wanted,
                                         std::uint64_t now_ms) {
  if (has_ended(wanted.attempt())) {
    return wire::RECORD_UNAVAILABLE;
  }
  if (is_open(wanted.attempt())) {
    return wire::RECORD_GRANTED;
  }
  const balance now = current_balance();
  if (now.spent + now.reserved + wanted.most() > wanted.budget()) {
    return wire::RECORD_BUDGET_SPENT;
  }
  open_[wanted.attempt()] = {.most = wanted.most(), .granted_ms = now_ms};
  return wire::RECORD_GRANTED;
}

void token_account::end(const std::string &attempt, std::uint64_t used) {
  const bool first = ended_.insert(attempt).second;
  open_.erase(attempt);
  if (first) {
    spent_ += used;
  }
}

token_account::balance token_account::current_balance() const {
  std::uint64_t reserved = 0;
  for (const auto &[attempt, each] : open_) {
    reserved += each.most;
  }
  return {.spent = spent_, .reserved = reserved};
}

std::optional<wire::ReservationHolder>
token_account::oldest_holder(std::uint64_t now_ms) const {
  const auto oldest = std::ranges::min_element(
      open_, {}, [](const auto &each) { return each.second.granted_ms; });
  if (oldest == open_.end()) {
    return std::nullopt;
  }
  wire::ReservationHolder holder;
  holder.set_attempt(oldest->first);
  holder.set_age_ms(now_ms - std::min(now_ms, oldest->second.granted_ms));
  return holder;
}

void token_account::save(wire::RecordProgram &saved) const {
  saved.set_spent(spent_);
  for (const auto &[attempt, each] : open_) {
    wire::RecordOpenTurn &open = *saved.add_open();
    open.set_attempt(attempt);
    open.set_most(each.most);
    open.set_granted_ms(each.granted_ms);
  }
  for (const std::string &attempt : ended_) {
    saved.add_closed(attempt);
  }
}

token_account token_account::restore(const wire::RecordProgram &saved) {
  token_account account;
  account.spent_ = saved.spent();
  for (const wire::RecordOpenTurn &open : saved.open()) {
    account.open_[open.attempt()] = {.most = open.most(),
                                     .granted_ms = open.granted_ms()};
  }
  account.ended_.insert(saved.closed().begin(), saved.closed().end());
  return account;
}

} // namespace heathtrestle::records
