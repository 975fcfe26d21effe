#include "records/token_account.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// How long a gateway may take to report the end of an attempt after the
/// attempt is over. Covers the delay of reports and a change of leaders.
constexpr std::uint64_t report_allowance_ms = 3000;

} // namespace

bool token_account::reservation::given_up(std::uint64_t now_ms) const {
  const bool bounded = ends_ms != 0;
  return presumed_lost() && bounded &&
         now_ms >= std::max(ends_ms, presumed_lost_ms) + report_allowance_ms;
}

wire::RecordVerdict token_account::begin(const wire::BeginTurn &wanted,
                                         std::uint64_t now_ms) {
  if (has_ended(wanted.attempt())) {
    return wire::RECORD_UNAVAILABLE;
  }
  if (is_open(wanted.attempt())) {
    return wire::RECORD_GRANTED;
  }
  presume_losses(wanted, now_ms);
  const balance now = balance_at(now_ms);
  if (now.spent + now.reserved + wanted.most() > wanted.budget()) {
    return wire::RECORD_BUDGET_SPENT;
  }
  const std::uint64_t lifetime = wanted.lifetime_ms();
  open_[wanted.attempt()] = {.most = wanted.most(),
                             .session = wanted.session(),
                             .granted_ms = now_ms,
                             .ends_ms = lifetime == 0 ? 0 : now_ms + lifetime};
  return wire::RECORD_GRANTED;
}

void token_account::presume_losses(const wire::BeginTurn &wanted,
                                   std::uint64_t now_ms) {
  for (auto &[attempt, each] : open_) {
    const bool over = each.ends_ms != 0 && now_ms >= each.ends_ms;
    const bool superseded =
        !each.session.empty() && each.session == wanted.session();
    if (!each.presumed_lost() && (over || superseded)) {
      each.presumed_lost_ms = now_ms;
    }
  }
}

void token_account::end(const std::string &attempt, std::uint64_t used) {
  const bool first = ended_.insert(attempt).second;
  open_.erase(attempt);
  if (first) {
    spent_ += used;
  }
}

token_account::balance token_account::balance_at(std::uint64_t now_ms) const {
  std::uint64_t reserved = 0;
  std::uint64_t given_up = 0;
  std::uint64_t largest_given_up = 0;
  std::uint64_t largest_lost = 0;
  for (const auto &[attempt, each] : open_) {
    reserved += each.most;
    if (each.presumed_lost()) {
      largest_lost = std::max(largest_lost, each.most);
    }
    if (each.given_up(now_ms)) {
      given_up += each.most;
      largest_given_up = std::max(largest_given_up, each.most);
    }
  }
  // One presumed loss, the largest, is borne by the allowance of the budget.
  const std::uint64_t committed = spent_ + reserved - largest_lost;
  const std::uint64_t unrecoverable = spent_ + given_up - largest_given_up;
  return {.spent = unrecoverable, .reserved = committed - unrecoverable};
}

std::optional<wire::ReservationHolder>
token_account::oldest_holder(std::uint64_t now_ms) const {
  const auto oldest = std::ranges::min_element(
      open_, {}, [](const auto &each) { return each.second.granted_ms; });
  if (oldest == open_.end()) {
    return std::nullopt;
  }
  const reservation &held = oldest->second;
  wire::ReservationHolder holder;
  holder.set_attempt(oldest->first);
  holder.set_age_ms(now_ms - std::min(now_ms, held.granted_ms));
  holder.set_presumed_lost(held.presumed_lost());
  return holder;
}

void token_account::save(wire::RecordProgram &saved) const {
  saved.set_spent(spent_);
  for (const auto &[attempt, each] : open_) {
    wire::RecordOpenTurn &open = *saved.add_open();
    open.set_attempt(attempt);
    open.set_most(each.most);
    open.set_session(each.session);
    open.set_granted_ms(each.granted_ms);
    open.set_ends_ms(each.ends_ms);
    open.set_presumed_lost_ms(each.presumed_lost_ms);
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
                                     .session = open.session(),
                                     .granted_ms = open.granted_ms(),
                                     .ends_ms = open.ends_ms(),
                                     .presumed_lost_ms =
                                         open.presumed_lost_ms()};
  }
  account.ended_.insert(saved.closed().begin(), saved.closed().end());
  return account;
}

} // namespace heathtrestle::records
