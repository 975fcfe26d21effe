#include "tenants/quota_account.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::tenants {

namespace {

/// Retention of an idle account, so that a gateway with an outdated
/// configuration cannot restore earlier terms.
constexpr quota_time idle_retention_ms = 60000;
constexpr std::uint64_t thousandths = 1000;

std::uint64_t milliseconds(duration_ms span) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 0));
}

} // namespace

reservation quota_account::reserve(const reservation_request &request,
                                   quota_time now) {
  update_terms(request.terms, now);
  settle(request);
  prune(now);
  state_.reserved = request.kept;
  const std::uint64_t max_permits_now = max_permits(now);
  const std::uint64_t counted_now = counted(now);
  const std::uint64_t left =
      max_permits_now - std::min(max_permits_now, counted_now);
  const auto granted =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(left, request.wanted));
  state_.reserved += granted;
  state_.reserved_until = now + milliseconds(request.good_for);
  ++state_.number;
  return {.number = state_.number,
          .granted = granted,
          .counted = counted_now + granted,
          .max_permits = max_permits_now,
          .limit = limit(now),
          .free_after =
              granted < request.wanted ? free_after(now) : duration_ms{0}};
}

void quota_account::update_terms(const quota_terms &terms, quota_time now) {
  if (state_.terms.empty()) {
    state_.terms.push_back({.since = now, .terms = terms});
    return;
  }
  const quota_terms &known = state_.terms.back().terms;
  const bool newer = terms.version > known.version;
  if (!newer) {
    return;
  }
  quota_terms same = known;
  same.version = terms.version;
  if (same == terms) {
    state_.terms.back().terms.version = terms.version;
    return;
  }
  state_.terms.push_back({.since = now, .terms = terms});
}

void quota_account::settle(const reservation_request &request) {
  const bool own = request.follows == state_.number && state_.number != 0;
  if (own) {
    for (const auto &[slice, permits] : request.given) {
      state_.given[slice] += permits;
    }
  } else if (state_.reserved > 0) {
    state_.given[slice_of(state_.reserved_until)] += state_.reserved;
  }
  state_.reserved = 0;
}

std::uint64_t quota_account::counted_slices() const {
  // One more, since a permit may be issued at the end of its slice.
  const quota_time counts =
      milliseconds(state_.terms.back().terms.window + permit_lifetime);
  return (counts + quota_slice_ms - 1) / quota_slice_ms + 1;
}

void quota_account::prune(quota_time now) {
  const std::uint64_t oldest =
      slice_of(now) - std::min(slice_of(now), counted_slices());
  state_.given.erase(state_.given.begin(), state_.given.lower_bound(oldest));
  // Keeps only terms that were in force within the window.
  const quota_time window = milliseconds(state_.terms.back().terms.window);
  while (state_.terms.size() > 1 && state_.terms[1].since + window <= now) {
    state_.terms.erase(state_.terms.begin());
  }
}

std::uint64_t quota_account::limit(quota_time now) const {
  if (state_.terms.empty()) {
    return 0;
  }
  const quota_terms &last = state_.terms.back().terms;
  const quota_time window = milliseconds(last.window);
  const quota_time begins = now - std::min(now, window);
  std::uint64_t burst = last.burst_millirequests;
  std::uint64_t until = now;
  // In millionths of a request: a rate in thousandths times milliseconds.
  std::uint64_t granted = 0;
  std::uint64_t covered = 0;
  for (std::size_t left = state_.terms.size(); left > 0; --left) {
    const dated_terms &each = state_.terms[left - 1];
    const std::uint64_t rate = std::max(each.terms.millirequests_per_second,
                                        last.millirequests_per_second);
    const quota_time since = std::max(each.since, begins);
    if (until > since) {
      granted += rate * (until - since);
      covered += until - since;
      until = since;
    }
    burst = std::max(burst, each.terms.burst_millirequests);
  }
  // The first known terms also apply to the time before them.
  granted += state_.terms.front().terms.millirequests_per_second *
             (window - std::min(window, covered));
  return (granted / thousandths + burst) / thousandths;
}

std::uint64_t quota_account::max_permits(quota_time now) const {
  if (state_.terms.empty()) {
    return 0;
  }
  const quota_terms &last = state_.terms.back().terms;
  return limit(now) * (thousandths + last.overshoot_permille) / thousandths +
         last.slack;
}

std::uint64_t quota_account::counted(quota_time now) const {
  if (state_.terms.empty()) {
    return 0;
  }
  const std::uint64_t oldest =
      slice_of(now) - std::min(slice_of(now), counted_slices());
  std::uint64_t sum = 0;
  for (auto each = state_.given.lower_bound(oldest); each != state_.given.end();
       ++each) {
    sum += each->second;
  }
  const bool counts = slice_of(state_.reserved_until) >= oldest;
  return sum + (counts ? state_.reserved : 0);
}

duration_ms quota_account::free_after(quota_time now) const {
  std::uint64_t over = counted(now) + 1;
  const std::uint64_t allowed = max_permits(now);
  quota_time free_at = now;
  for (const auto &[slice, permits] : state_.given) {
    if (over <= allowed) {
      break;
    }
    over -= std::min<std::uint64_t>(over, permits);
    free_at = (slice + counted_slices() + 1) * quota_slice_ms;
  }
  if (over > allowed) {
    free_at = (slice_of(state_.reserved_until) + counted_slices() + 1) *
              quota_slice_ms;
  }
  return duration_ms{
      static_cast<std::int64_t>(free_at - std::min(free_at, now))};
}

bool quota_account::idle(quota_time now) const {
  const std::uint64_t last =
      state_.given.empty()
          ? 0
          : (state_.given.rbegin()->first + 1) * quota_slice_ms;
  return now > std::max(last, state_.reserved_until) + idle_retention_ms;
}

} // namespace heathtrestle::tenants
