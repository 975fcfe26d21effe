#include "forwarding/byte_budget.hpp"

#include <algorithm>

namespace heathtrestle::forwarding {

namespace {

/// Percent of the limit up to which the most urgent requests are admitted. The
/// rest is left to requests under way.
constexpr std::size_t most_urgent_percent = 90;
/// Each rank is admitted up to so many percent less than the one before it.
constexpr std::size_t percent_per_rank = 10;
/// All later ranks are treated as this one.
constexpr std::uint32_t last_rank = 4;
constexpr std::size_t percent = 100;

} // namespace

void byte_budget::booking::resize(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->held_ = budget_->held_ - bytes_ + bytes;
    bytes_ = bytes;
  }
}

bool byte_budget::booking::try_resize(std::size_t bytes) {
  const bool grows = budget_ != nullptr && bytes > bytes_;
  const bool exceeds = grows && budget_->limit_ != 0 &&
                       budget_->held_ - bytes_ + bytes > budget_->limit_;
  if (!exceeds) {
    resize(bytes);
  }
  return !exceeds;
}

std::size_t byte_budget::threshold(std::uint32_t rank) const {
  const std::size_t less = percent_per_rank * std::min(rank, last_rank);
  return limit_ / percent * (most_urgent_percent - less);
}

bool byte_budget::admits(std::uint32_t rank, std::size_t bytes) const {
  return limit_ == 0 || held_ + bytes <= threshold(rank);
}

byte_budget::state byte_budget::current() const {
  if (limit_ == 0 || held_ <= threshold(last_rank)) {
    return state::free;
  }
  return held_ <= threshold(0) ? state::tight : state::full;
}

std::string_view name_of(byte_budget::state state) {
  switch (state) {
  case byte_budget::state::free:
    return "free";
  case byte_budget::state::tight:
    return "tight";
  case byte_budget::state::full:
    return "full";
  }
  return "unknown";
}

} // namespace heathtrestle::forwarding
