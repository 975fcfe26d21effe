// The account of one tenant: permits that all gateways together were given, and
// how many more there may be. Part of a partition's state machine, so that it
// outlives leaders and restarts.
//
// A leader doesn't record each permit. It reserves a number of them for a short
// time, hands them out from its memory, and tells with its next reservation how
// many it has given and when. A reservation counts whole, as if used up in the
// last instant in which it is good, until that is told. So whatever becomes of
// the leader, no permit is ever out that isn't counted here, and the bound
// holds by construction: a permit is good for `permit_lifetime` from when it
// was asked for, and every one that may be used within a window is in the sum
// when the last of them is reserved.
//
// Deterministic. Time is the partition's quota clock, which never runs faster
// than real time (`records::quota_clock`).
#pragma once

#include "tenants/permit.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace heathtrestle::tenants {

/// Milliseconds of a partition's quota clock.
using quota_time = std::uint64_t;

/// Slices of time in which permits are counted.
inline constexpr std::uint64_t quota_slice_ms = 25;

/// The slice in which a moment lies.
constexpr std::uint64_t slice_of(quota_time time) {
  return time / quota_slice_ms;
}

/// Permits given in each slice.
using permits_by_slice = std::map<std::uint64_t, std::uint32_t>;

/// What a leader asks of the account.
struct reservation_request {
  quota_terms terms;
  /// The reservation that this one follows, as the leader knows it; 0 for none.
  std::uint64_t follows = 0;
  /// Permits given of that one since it was recorded, by the slice in which
  /// each was given.
  permits_by_slice given;
  /// Permits that the leader has left of it. Never refused.
  std::uint32_t kept = 0;
  /// Permits wanted besides.
  std::uint32_t wanted = 0;
  /// For how long they may be given.
  duration_ms good_for{0};
};

struct reservation {
  /// Its number, 1 and up.
  std::uint64_t number = 0;
  /// Permits granted besides those kept.
  std::uint32_t granted = 0;
  /// Permits that count at present, these included.
  std::uint64_t counted = 0;
  /// The most that may count, and how many of these are the limit itself.
  std::uint64_t max_permits = 0;
  std::uint64_t limit = 0;
  /// When a permit is free again at the latest; zero when there are any left.
  duration_ms free_after{0};
};

class quota_account {
public:
  /// Terms that were in force from a moment on.
  struct dated_terms {
    quota_time since = 0;
    quota_terms terms;
    bool operator==(const dated_terms &) const = default;
  };
  /// All there is to it, to be kept.
  struct state {
    std::uint64_t number = 0;
    std::uint32_t reserved = 0;
    quota_time reserved_until = 0;
    permits_by_slice given;
    std::vector<dated_terms> terms;
    bool operator==(const state &) const = default;
  };

  quota_account() = default;
  explicit quota_account(state saved) : state_(std::move(saved)) {}

  /// Takes in what was given, and reserves as much as is wanted and left.
  reservation reserve(const reservation_request &request, quota_time now);

  /// The most permits that may count at `now`.
  [[nodiscard]] std::uint64_t max_permits(quota_time now) const;
  /// What the quota grants within the window that ends at `now`. Where it was
  /// lowered the earlier one counts for the time before, so that what was sent
  /// rightly doesn't shut the tenant out.
  [[nodiscard]] std::uint64_t limit(quota_time now) const;
  /// Permits that count at `now`.
  [[nodiscard]] std::uint64_t counted(quota_time now) const;
  /// True when nothing of it is needed any more.
  [[nodiscard]] bool idle(quota_time now) const;
  [[nodiscard]] const state &saved() const { return state_; }

private:
  void take_terms(const quota_terms &terms, quota_time now);
  /// Counts what was given, and of a reservation that somebody else made all.
  void settle(const reservation_request &request);
  void forget_old(quota_time now);
  /// How long a permit counts after the slice in which it was given.
  [[nodiscard]] std::uint64_t counted_slices() const;
  [[nodiscard]] duration_ms free_after(quota_time now) const;

  state state_;
};

} // namespace heathtrestle::tenants
