#include "records/token_account.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathtrestle::records {

namespace {

/// How long a gateway may take to report the end of an attempt after the
/// attempt is over. Covers the delay of reports and a change of leaders.
constexpr std::uint64_t report_allowance_ms = 3000;

} // namespace

bool token_account::reservation::is_given_up(std::uint64_t now_ms) const {
  return ends_ms.has_value() && now_ms >= *ends_ms + report_allowance_ms;
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
  charge_given_up(now_ms);
  const balance now = current_balance();
  if (now.spent + now.reserved + wanted.most() > wanted.budget()) {
    return wire::RECORD_BUDGET_SPENT;
  }
  reservation &granted = open_[wanted.attempt()];
  granted.most = wanted.most();
  granted.session = wanted.session();
  granted.granted_ms = now_ms;
  if (wanted.lifetime_ms() != 0) {
    granted.ends_ms = now_ms + wanted.lifetime_ms();
  }
  return wire::RECORD_GRANTED;
}

void token_account::presume_losses(const wire::BeginTurn &wanted,
                                   std::uint64_t now_ms) {
  for (auto &[attempt, each] : open_) {
    const bool is_over = each.ends_ms && now_ms >= *each.ends_ms;
    const bool is_superseded =
        !each.session.empty() && each.session == wanted.session();
    each.presumed_lost = each.presumed_lost || is_over || is_superseded;
  }
}

void token_account::charge_given_up(std::uint64_t now_ms) {
  std::uint64_t largest = 0;
  std::vector<std::string> given_up;
  for (const auto &[attempt, each] : open_) {
    if (!each.is_given_up(now_ms)) {
      continue;
    }
    given_up.push_back(attempt);
    if (each.most > largest) {
      largest = each.most;
      std::swap(given_up.front(), given_up.back());
    }
  }
  // The first one is the largest, which the allowance bears.
  for (std::size_t place = 1; place < given_up.size(); ++place) {
    end(given_up[place], open_.at(given_up[place]).most);
  }
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
  std::uint64_t largest_lost = 0;
  for (const auto &[attempt, each] : open_) {
    reserved += each.most;
    if (each.presumed_lost) {
      largest_lost = std::max(largest_lost, each.most);
    }
  }
  return {.spent = spent_, .reserved = reserved - largest_lost};
}

std::optional<wire::ReservationHolder>
token_account::oldest_holder(std::uint64_t now_ms) const {
  const auto oldest = std::ranges::min_element(open_, {}, [](const auto &each) {
    return std::pair(each.second.presumed_lost, each.second.granted_ms);
  });
  if (oldest == open_.end()) {
    return std::nullopt;
  }
  const reservation &held = oldest->second;
  wire::ReservationHolder holder;
  holder.set_attempt(oldest->first);
  holder.set_age_ms(now_ms - std::min(now_ms, held.granted_ms));
  holder.set_presumed_lost(held.presumed_lost);
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
    if (each.ends_ms) {
      open.set_ends_ms(*each.ends_ms);
    }
    open.set_presumed_lost(each.presumed_lost);
  }
  for (const std::string &attempt : ended_) {
    saved.add_closed(attempt);
  }
}

token_account token_account::restore(const wire::RecordProgram &saved) {
  token_account account;
  account.spent_ = saved.spent();
  for (const wire::RecordOpenTurn &open : saved.open()) {
    reservation &held = account.open_[open.attempt()];
    held.most = open.most();
    held.session = open.session();
    held.granted_ms = open.granted_ms();
    if (open.has_ends_ms()) {
      held.ends_ms = open.ends_ms();
    }
    held.presumed_lost = open.presumed_lost();
  }
  account.ended_.insert(saved.closed().begin(), saved.closed().end());
  return account;
}

} // namespace heathtrestle::records
