// Quota account of one tenant: counts the permits issued to all gateways and
// limits further ones. It is part of a partition's replicated state machine, so
// it survives leader changes and restarts.
//
// The leader does not log each permit. It reserves a batch for a short time,
// issues permits from it in memory, and reports with its next reservation how
// many it issued and when. Until then the whole reservation counts as if it
// were issued at the last instant of its validity. No permit is therefore ever
// valid without being counted here, even if the leader fails: a permit is valid
// for `permit_lifetime` from its request, and every permit usable within a
// window is in the sum when the last of them is reserved.
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

/// Resolution at which permits are counted.
inline constexpr std::uint64_t quota_slice_ms = 25;

/// The index of the slice that contains `time`.
constexpr std::uint64_t slice_of(quota_time time) {
  return time / quota_slice_ms;
}

/// Number of permits issued in each slice.
using permits_by_slice = std::map<std::uint64_t, std::uint32_t>;

/// A leader's request for a reservation.
struct reservation_request {
  quota_terms terms;
  /// Number of the leader's previous reservation; 0 for none.
  std::uint64_t follows = 0;
  /// Permits issued from the previous reservation, by slice of issue.
  permits_by_slice given;
  /// Unissued permits of the previous reservation, which are always carried
  /// over.
  std::uint32_t kept = 0;
  /// Additional permits requested.
  std::uint32_t wanted = 0;
  /// How long permits of this reservation may be issued.
  duration_ms good_for{0};
};

struct reservation {
  /// Sequence number, starting at 1.
  std::uint64_t number = 0;
  /// Additional permits granted, without those carried over.
  std::uint32_t granted = 0;
  /// Permits that count now, including those granted.
  std::uint64_t counted = 0;
  /// Maximum permits that may count, and the limit without the tolerated
  /// excess.
  std::uint64_t max_permits = 0;
  std::uint64_t limit = 0;
  /// Upper bound of the time until a permit is available; zero if all were
  /// granted.
  duration_ms free_after{0};
};

class quota_account {
public:
  /// Terms and the time from which they were in force.
  struct dated_terms {
    quota_time since = 0;
    quota_terms terms;
    bool operator==(const dated_terms &) const = default;
  };
  /// The complete state, for snapshots.
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

  /// Settles the previous reservation and grants as many of the wanted permits
  /// as are available.
  reservation reserve(const reservation_request &request, quota_time now);

  /// The maximum number of permits that may count at `now`.
  [[nodiscard]] std::uint64_t max_permits(quota_time now) const;
  /// The quota for the window that ends at `now`. After a reduction the earlier
  /// terms still apply to the time before it, so that requests that were within
  /// the old quota do not block the tenant.
  [[nodiscard]] std::uint64_t limit(quota_time now) const;
  /// Permits that count at `now`.
  [[nodiscard]] std::uint64_t counted(quota_time now) const;
  /// True if the account can be deleted.
  [[nodiscard]] bool idle(quota_time now) const;
  [[nodiscard]] const state &saved() const { return state_; }

private:
  void update_terms(const quota_terms &terms, quota_time now);
  /// Counts the reported permits, or the whole reservation if it was made by
  /// another leader.
  void settle(const reservation_request &request);
  void prune(quota_time now);
  /// Number of slices for which a permit counts after its slice of issue.
  [[nodiscard]] std::uint64_t counted_slices() const;
  [[nodiscard]] duration_ms free_after(quota_time now) const;

  state state_;
};

} // namespace heathtrestle::tenants
