// Keeps tenants within what they may ask of all gateways together.
//
// The load that this answers: a tenant asks for several times its limit,
// through many gateways of which each sees a few of its requests. Equal parts
// of the limit would starve the gateway where most of the tenant's clients are,
// and one question a request to a common counter would cost each call a way
// there and back. So gateways tell each other how much every tenant asked of
// them lately (`records::usage_board`), and while the sum is over the limit
// each one lets through the part of the limit that its own part of the demand
// is. The parts add up to the limit whoever sees the demand, and a tenant that
// stays below its limit is never refused.
//
// A program that is refused in its midst has run in vain. So new programs are
// refused first: once those that began within the window are likely to need
// most of the limit, by what programs have needed so far, they begin at the
// pace that the tenant's rate bears.
//
// It decides only: no I/O, no clock, no randomness of its own.
#pragma once

#include "base/time.hpp"
#include "tenants/pacer.hpp"
#include "tenants/sliding_count.hpp"
#include "tenants/tenant.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace heathtrestle::tenants {

/// What was asked in a tenant's name within the window.
struct usage {
  std::uint32_t requests = 0;
  std::uint32_t programs = 0; // that began
  bool operator==(const usage &) const = default;
};

/// The same with the tenant, as it travels.
struct tenant_usage {
  std::uint32_t tenant = 0; // `usage_key` of its name
  usage asked;
  bool operator==(const tenant_usage &) const = default;
};

std::uint32_t usage_key(const tenant_id &tenant);

enum class request_stage : std::uint8_t {
  begins_program,
  /// A later request of a program, or one of none.
  under_way,
};

struct quota_refusal {
  /// True where programs begin at a pace, false where the quota is used up.
  bool paced = false;
  duration_ms retry_after{0};
};

/// What one gateway believes of a tenant's use when it decides.
struct quota_view {
  double limit = 0; // of all gateways, within the window
  double part = 0;  // of it, this gateway's
  std::uint32_t asked = 0;
  std::uint32_t others_asked = 0; // as it is expected to have grown since
  std::uint32_t admitted = 0;
  /// How long ago the others' use was told; nothing when it never was.
  std::optional<duration_ms> others_age;
};

struct quota_options {
  /// Length of the window in which requests are counted.
  duration_ms window{5000};
  /// Requests under way are refused only beyond the limit and this much of it,
  /// and so many more: half of what the operator tolerates in a window. The
  /// other half is for what gateways do not know of each other yet.
  double tolerated_share = 0.05;
  double tolerated_requests = 12;
  /// Distinguishes this gateway, so that parts of a request are rounded
  /// differently by each: all together let through what they should.
  std::uint64_t salt = 0;
};

class quota_book {
public:
  /// @param started when this process began. It has forgotten what was let
  /// through before.
  quota_book(quota_options options, timestamp started)
      : options_(options), started_(started), remembered_from_(started) {}

  /// Takes in the tenants of a new configuration.
  void apply(const std::vector<tenant> &tenants, timestamp now);

  /// Decides on one request and counts it.
  /// @return nothing when it may run.
  std::optional<quota_refusal> refuse(const tenant &of, request_stage stage,
                                      timestamp now);

  /// By what the last request of a tenant was decided on.
  [[nodiscard]] quota_view view(const tenant &of, timestamp now);

  /// What this gateway was asked; for the others.
  [[nodiscard]] std::vector<tenant_usage> own_usage(timestamp now);
  /// How far back that reaches.
  [[nodiscard]] duration_ms covered(timestamp now) const;
  /// What all others were asked, of the tenants that this gateway told of.
  /// @param covered how far back the others' counts reach at most. Where all
  /// gateways have just begun nobody remembers what was let through before, so
  /// the window's worth of requests becomes due only in time.
  void take_others(const std::vector<tenant_usage> &others, duration_ms covered,
                   timestamp now);

  /// Requests that a program makes in all, as seen so far.
  [[nodiscard]] double requests_per_program() const;

private:
  struct account {
    account(duration_ms window, double first_credit)
        : requests(window), programs(window), admitted(window),
          pace(first_credit) {}

    sliding_count requests; // asked
    sliding_count programs; // asked to begin
    sliding_count admitted; // requests let through
    pacer pace;             // of programs
    /// Nothing until the others were heard of.
    std::optional<usage> others;
    timestamp others_told{};
    /// Own requests in the window when the others' were told.
    std::uint32_t requests_then = 0;
  };

  /// A quota and the one that it has replaced.
  struct changed_quota {
    request_quota in_force;
    request_quota before;
    timestamp changed{};

    /// What it grants within the last `span`. Where it was lowered, the one
    /// before counts until then: otherwise everything would be refused until
    /// what was let through rightly has left the window.
    [[nodiscard]] double granted(duration_ms span, timestamp now) const;
  };

  account &account_of(const tenant_id &id);
  [[nodiscard]] double limit_of(const tenant &of, const account &own,
                                timestamp now) const;
  [[nodiscard]] usage expected_others(account &of, timestamp now) const;
  [[nodiscard]] double rounding_of(const tenant_id &id) const;
  void note_admitted(request_stage stage);

  quota_options options_;
  timestamp started_;
  /// From when on requests are remembered by some gateway.
  timestamp remembered_from_;
  std::unordered_map<tenant_id, changed_quota> quotas_;
  std::unordered_map<tenant_id, account> accounts_;
  /// Requests and programs let through of tenants within their quotas, old ones
  /// counting ever less. Begins with a few programs of a usual length.
  double requests_passed_ = 40;
  double programs_passed_ = 4;
};

} // namespace heathtrestle::tenants
