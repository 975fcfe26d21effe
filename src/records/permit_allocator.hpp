// Grants permits to gateways at a partition's leader, out of the quota that the
// partition has reserved for each tenant.
//
// Recording each permit would cost a commit per request, and the overshoot of a
// limit that is divided among the gateways grows with their number. So the
// leader reserves slightly more of a tenant's permits than it currently needs
// and grants them from memory: most requests wait for a single round trip to
// the leader.
//
// A program that is refused after its first request has wasted its earlier
// requests. Requests of running programs therefore get permits first. Once the
// programs begun within the window are likely to need the whole limit, new ones
// begin at the pace that the rate allows.
//
// The allocator holds no durable state: a new leader starts with an empty one,
// and the partition counts everything that was reserved as granted.
#pragma once

#include "base/time.hpp"
#include "tenants/quota_account.hpp"
#include "tenants/sliding_window_counter.hpp"
#include "tenants/token_bucket.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathtrestle::records {

/// A gateway's request for one permit.
struct gateway_permit_request {
  std::string reply_to; // the gateway's address
  std::uint64_t id = 0; // unique at the gateway
  std::uint64_t members_hash = 0;
  wire::TakePermit wanted;
};

struct permit_reply {
  gateway_permit_request request;
  wire::PermitAnswer answer;
};

class permit_allocator {
public:
  /// Accepts a request. `take_replies` returns the reply, now or later.
  /// @param time the partition's time.
  void request_permit(gateway_permit_request request, tenants::quota_time time,
                      timestamp now);

  /// Returns the reservations that the partition has to record. At most one
  /// reservation per tenant is in progress.
  std::vector<wire::ReserveQuota> take_reservations(timestamp now);

  /// Applies a reservation that was recorded.
  void on_reserved(const wire::ReservedQuota &reserved,
                   tenants::quota_time time, timestamp now);

  std::vector<permit_reply> take_replies();

  /// Drops all state when this node ceases to lead.
  /// @return the requests that wait for a reply.
  std::vector<gateway_permit_request> clear();

  /// Drops the state of tenants without recent requests.
  void forget_idle(timestamp now);

private:
  struct tenant_allocation {
    explicit tenant_allocation(duration_ms window)
        : recent_requests(recent_requests_span), recent_programs(window),
          program_pacer(1) {}

    static constexpr duration_ms recent_requests_span{500};

    wire::QuotaTerms terms;
    std::uint64_t last_number = 0; // of the last reservation recorded
    std::uint32_t available = 0;   // reserved permits that are not granted
    timestamp expires_at{};
    /// Granted since the last proposal.
    tenants::permits_by_slice given;
    bool proposal_pending = false;
    /// Expiry of the proposed reservation, if any.
    timestamp proposed_expiry{};
    /// Version of the terms of the last proposal.
    std::uint64_t proposed_version = 0;
    /// The partition has no free permits before this time.
    timestamp exhausted_until{};
    wire::ReservedQuota last_reservation;
    std::deque<gateway_permit_request> waiting;
    tenants::sliding_window_counter recent_requests; // requests received
    tenants::sliding_window_counter recent_programs; // programs begun
    tenants::token_bucket program_pacer;             // limits new programs
    timestamp last_request_at{};
  };

  tenant_allocation &allocation_of(const wire::TakePermit &wanted);
  /// Replies when that needs no reservation.
  /// @return false when the request has to wait.
  bool try_answer(tenant_allocation &allocation,
                  const gateway_permit_request &request,
                  tenants::quota_time time, timestamp now);
  /// Refuses the first request of a program that exceeds the pace of new
  /// programs.
  /// @return true when it was refused.
  bool refuse_if_paced(tenant_allocation &allocation,
                       const gateway_permit_request &request, timestamp now);
  void grant(tenant_allocation &allocation, gateway_permit_request request,
             tenants::quota_time time, timestamp now);
  void refuse(const tenant_allocation &allocation,
              gateway_permit_request request, bool paced,
              duration_ms retry_after);
  /// Number of permits to hold in reserve beyond those that requests wait for.
  [[nodiscard]] std::uint32_t headroom(tenant_allocation &allocation,
                                       timestamp now) const;
  [[nodiscard]] double requests_per_program() const;
  void record_grant(bool begins);

  std::unordered_map<std::string, tenant_allocation> allocations_;
  std::vector<permit_reply> replies_;
  /// Permits granted, and those to the first requests of programs, with older
  /// ones decaying. Starts with many programs of a usual length, so that a
  /// burst of new ones, which have not made their other requests yet, does not
  /// look like short programs.
  double requests_given_ = 2000;
  double programs_given_ = 200;
};

} // namespace heathtrestle::records
