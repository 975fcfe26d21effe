// Gives permits to gateways at a partition's leader, out of what the partition
// has reserved for each tenant.
//
// To record each permit would cost a commit a request; to divide a limit among
// gateways by what each is asked has no bound that the number of gateways
// doesn't raise. So the leader reserves some of a tenant's permits ahead, a
// little more than it needs for the moment, and gives them from memory: most
// requests wait for one way to the leader and back.
//
// A program that is refused in its midst has run in vain. So requests of
// programs under way get permits first, and once the programs that began within
// the window are likely to need the limit, new ones begin at the pace that the
// rate bears.
//
// It decides only, and knows nothing that must last: a new leader begins with
// an empty desk, and the partition counts what was reserved as given.
#pragma once

#include "base/time.hpp"
#include "tenants/pacer.hpp"
#include "tenants/quota_account.hpp"
#include "tenants/sliding_count.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathtrestle::records {

/// A gateway's question for one permit.
struct gateway_permit_request {
  std::string reply_to; // the gateway's address
  std::uint64_t id = 0; // unique there
  std::uint64_t members_hash = 0;
  wire::TakePermit wanted;
};

struct permit_reply {
  gateway_permit_request request;
  wire::PermitAnswer answer;
};

class permit_allocator {
public:
  /// Takes a question; its answer comes with `take_replies`, now or later.
  /// @param time of the partition.
  void request_permit(gateway_permit_request request, tenants::quota_time time,
                      timestamp now);

  /// What is to be reserved, to be recorded by the partition; of each tenant
  /// one at a time is under way.
  std::vector<wire::ReserveQuota> take_reservations(timestamp now);

  /// A reservation was recorded.
  void on_reserved(const wire::ReservedQuota &reserved,
                   tenants::quota_time time, timestamp now);

  std::vector<permit_reply> take_replies();

  /// This node leads no more.
  /// @return questions that wait for an answer.
  std::vector<gateway_permit_request> clear();

  /// Forgets tenants that nobody asks for.
  void forget_idle(timestamp now);

private:
  struct tenant_allocation {
    explicit tenant_allocation(duration_ms window)
        : recent_requests(recent_requests_span), recent_programs(window),
          program_pacer(1) {}

    static constexpr duration_ms recent_requests_span{500};

    wire::QuotaTerms terms;
    std::uint64_t last_number = 0; // the last reservation recorded
    std::uint32_t available = 0;   // of it, to be given
    timestamp expires_at{};
    /// Given since what the last proposal told.
    tenants::permits_by_slice given;
    bool proposal_pending = false;
    /// Of the reservation that is proposed, if any.
    timestamp proposed_expiry{};
    /// Nothing is left before that.
    timestamp exhausted_until{};
    wire::ReservedQuota last_reservation;
    std::deque<gateway_permit_request> waiting;
    tenants::sliding_count recent_requests; // asked for
    tenants::sliding_count recent_programs; // begun
    tenants::pacer program_pacer;           // of programs
    timestamp last_request_at{};
  };

  tenant_allocation &allocation_of(const wire::TakePermit &wanted);
  /// Answers where that needs no reservation.
  /// @return false when the question has to wait.
  bool try_answer(tenant_allocation &allocation,
                  const gateway_permit_request &request,
                  tenants::quota_time time, timestamp now);
  /// True when a program has to wait for its turn to begin.
  bool refuse_if_paced(tenant_allocation &allocation,
                       const gateway_permit_request &request, timestamp now);
  void grant(tenant_allocation &allocation, gateway_permit_request request,
             tenants::quota_time time, timestamp now);
  void refuse(const tenant_allocation &allocation,
              gateway_permit_request request, bool paced,
              duration_ms retry_after);
  /// Permits wanted beyond those that are waited for.
  [[nodiscard]] std::uint32_t headroom(tenant_allocation &allocation,
                                       timestamp now) const;
  [[nodiscard]] double requests_per_program() const;
  void record_grant(bool begins);

  std::unordered_map<std::string, tenant_allocation> allocations_;
  std::vector<permit_reply> replies_;
  /// Permits given, and those to programs that began, old ones counting ever
  /// less. Begins with so many programs of a usual length that a rush of new
  /// ones, which have not asked for the rest yet, doesn't look like short ones.
  double requests_given_ = 2000;
  double programs_given_ = 200;
};

} // namespace heathtrestle::records
