#include "records/permit_allocator.hpp"

#include "records/quota_messages.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

/// Permits of a reservation can be granted for this long: the duration of some
/// commits and of an election, so that a change of leaders blocks few requests.
constexpr duration_ms reservation_lifetime{1000};
/// Headroom as a share of the requests of the last half second, and its
/// minimum.
constexpr double headroom_share = 0.6;
constexpr std::uint32_t min_headroom = 2;
/// The next reservation is proposed when less than this share of the headroom
/// is left. A commit takes a fifth of the time that the rest lasts.
constexpr double refill_threshold = 0.4;
/// No headroom is reserved when the permits counted exceed this share of the
/// maximum, since unused permits in one leader's memory are lost to other
/// requests.
constexpr double headroom_limit = 0.85;
/// New programs are paced once those of the window are likely to need this
/// share of the limit and of the slack beyond it; the rest is left for programs
/// that are longer than usual.
constexpr double pacing_limit_share = 0.8;
constexpr double pacing_slack_share = 0.5;
/// Share of the rate at which paced programs begin.
constexpr double paced_rate_share = 0.95;
constexpr duration_ms min_retry_after{100};
/// Once this many requests are counted in the mean length of programs, all
/// counts are halved.
constexpr double max_length_samples = 10000;
constexpr duration_ms idle_expiry{60000};
constexpr double thousandths = 1000;

} // namespace

permit_allocator::tenant_allocation &
permit_allocator::allocation_of(const wire::TakePermit &wanted) {
  const duration_ms window{std::max<std::uint32_t>(
      wanted.terms().window_ms(),
      static_cast<std::uint32_t>(tenants::sliding_window_counter::slices))};
  tenant_allocation &allocation =
      allocations_.try_emplace(wanted.tenant(), window).first->second;
  if (wanted.terms().version() > allocation.terms.version()) {
    allocation.terms = wanted.terms();
    allocation.exhausted_until = {}; // the quota may have been raised
  }
  return allocation;
}

void permit_allocator::request_permit(gateway_permit_request request,
                                      tenants::quota_time time, timestamp now) {
  tenant_allocation &allocation = allocation_of(request.wanted);
  allocation.last_request_at = now;
  allocation.recent_requests.add(now);
  if (!try_answer(allocation, request, time, now)) {
    allocation.waiting.push_back(std::move(request));
  }
}

bool permit_allocator::try_answer(tenant_allocation &allocation,
                                  const gateway_permit_request &request,
                                  tenants::quota_time time, timestamp now) {
  if (request.wanted.begins_program() &&
      refuse_if_paced(allocation, request, now)) {
    return true;
  }
  if (allocation.available > 0 && now < allocation.expires_at) {
    grant(allocation, request, time, now);
    return true;
  }
  if (now < allocation.exhausted_until) {
    refuse(allocation, request, false, allocation.exhausted_until - now);
    return true;
  }
  return false;
}

bool permit_allocator::refuse_if_paced(tenant_allocation &allocation,
                                       const gateway_permit_request &request,
                                       timestamp now) {
  const double rate =
      static_cast<double>(allocation.terms.millirequests_per_second()) /
      thousandths;
  const double seconds =
      static_cast<double>(allocation.terms.window_ms()) / thousandths;
  const double limit =
      rate * seconds +
      static_cast<double>(allocation.terms.burst_millirequests()) / thousandths;
  const double needed =
      (allocation.recent_programs.sum(now) + 1) * requests_per_program();
  const bool crowded =
      needed > limit * pacing_limit_share +
                   allocation.terms.slack() * pacing_slack_share;
  const double per_second = rate * paced_rate_share / requests_per_program();
  if (allocation.program_pacer.try_take(per_second, now) || !crowded) {
    return false;
  }
  refuse(allocation, request, true,
         allocation.program_pacer.next_token_at(per_second, now) - now);
  return true;
}

void permit_allocator::grant(tenant_allocation &allocation,
                             gateway_permit_request request,
                             tenants::quota_time time, timestamp now) {
  --allocation.available;
  allocation.given[tenants::slice_of(time)] += 1;
  const bool begins = request.wanted.begins_program();
  allocation.recent_programs.add(now, begins ? 1 : 0);
  if (allocation.last_reservation.counted() <=
      allocation.last_reservation.limit()) {
    // Programs that the quota cuts short say nothing about their usual length.
    record_grant(begins);
  }
  wire::PermitAnswer answer;
  answer.set_granted(true);
  answer.set_counted(allocation.last_reservation.counted());
  answer.set_most(allocation.last_reservation.most());
  answer.set_limit(allocation.last_reservation.limit());
  replies_.push_back({std::move(request), std::move(answer)});
}

void permit_allocator::refuse(const tenant_allocation &allocation,
                              gateway_permit_request request, bool paced,
                              duration_ms retry_after) {
  wire::PermitAnswer answer;
  answer.set_paced(paced);
  answer.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max(retry_after, min_retry_after).count()));
  answer.set_counted(allocation.last_reservation.counted());
  answer.set_most(allocation.last_reservation.most());
  answer.set_limit(allocation.last_reservation.limit());
  replies_.push_back({std::move(request), std::move(answer)});
}

std::uint32_t permit_allocator::headroom(tenant_allocation &allocation,
                                         timestamp now) const {
  const auto used = static_cast<double>(allocation.recent_requests.sum(now));
  const auto wanted =
      std::max(static_cast<std::uint32_t>(used * headroom_share), min_headroom);
  const auto counted =
      static_cast<double>(allocation.last_reservation.counted()) + wanted;
  const bool tight =
      allocation.last_reservation.most() > 0 &&
      counted > static_cast<double>(allocation.last_reservation.most()) *
                    headroom_limit;
  return tight ? 0 : wanted;
}

std::vector<wire::ReserveQuota>
permit_allocator::take_reservations(timestamp now) {
  std::vector<wire::ReserveQuota> wanted;
  for (auto &[tenant, allocation] : allocations_) {
    if (allocation.proposal_pending || now < allocation.exhausted_until) {
      continue;
    }
    if (now >= allocation.expires_at) {
      allocation.available = 0;
    }
    const std::uint32_t spare = headroom(allocation, now);
    const bool low = allocation.recent_requests.sum(now) > 0 &&
                     allocation.available < spare * refill_threshold;
    if (allocation.waiting.empty() && !low) {
      continue;
    }
    wire::ReserveQuota &next = wanted.emplace_back();
    next.set_tenant(tenant);
    *next.mutable_terms() = allocation.terms;
    next.set_follows(allocation.last_number);
    fill(*next.mutable_given(), std::exchange(allocation.given, {}));
    next.set_kept(allocation.available);
    next.set_wanted(
        static_cast<std::uint32_t>(allocation.waiting.size()) +
        (allocation.available < spare ? spare - allocation.available : 0));
    next.set_good_for_ms(
        static_cast<std::uint32_t>(reservation_lifetime.count()));
    allocation.proposal_pending = true;
    allocation.proposed_expiry = now + reservation_lifetime;
    allocation.proposed_version = allocation.terms.version();
  }
  return wanted;
}

void permit_allocator::on_reserved(const wire::ReservedQuota &reserved,
                                   tenants::quota_time time, timestamp now) {
  const auto found = allocations_.find(reserved.tenant());
  if (found == allocations_.end() || !found->second.proposal_pending) {
    return; // proposed in an earlier term
  }
  tenant_allocation &allocation = found->second;
  allocation.proposal_pending = false;
  allocation.last_number = reserved.number();
  allocation.available += reserved.granted();
  allocation.expires_at = allocation.proposed_expiry;
  allocation.last_reservation = reserved;
  // Terms that arrived after the proposal have to reach the account with the
  // next one at once, as their limit counts from then on.
  const bool has_newer_terms =
      allocation.terms.version() > allocation.proposed_version;
  if (reserved.free_after_ms() > 0 && !has_newer_terms) {
    allocation.exhausted_until = now + duration_ms{reserved.free_after_ms()};
  }
  // Serve running programs first.
  std::stable_partition(allocation.waiting.begin(), allocation.waiting.end(),
                        [](const gateway_permit_request &each) {
                          return !each.wanted.begins_program();
                        });
  while (!allocation.waiting.empty()) {
    const bool given = allocation.available > 0 && now < allocation.expires_at;
    const bool refused = !given && now < allocation.exhausted_until;
    if (!given && !refused) {
      break; // left for the next reservation
    }
    gateway_permit_request request = std::move(allocation.waiting.front());
    allocation.waiting.pop_front();
    if (given) {
      grant(allocation, std::move(request), time, now);
    } else {
      refuse(allocation, std::move(request), false,
             allocation.exhausted_until - now);
    }
  }
}

std::vector<permit_reply> permit_allocator::take_replies() {
  return std::exchange(replies_, {});
}

std::vector<gateway_permit_request> permit_allocator::clear() {
  std::vector<gateway_permit_request> unanswered;
  for (auto &[tenant, allocation] : allocations_) {
    std::move(allocation.waiting.begin(), allocation.waiting.end(),
              std::back_inserter(unanswered));
  }
  allocations_.clear();
  return unanswered;
}

void permit_allocator::forget_idle(timestamp now) {
  std::erase_if(allocations_, [now](const auto &entry) {
    const tenant_allocation &allocation = entry.second;
    return !allocation.proposal_pending && allocation.waiting.empty() &&
           now >= allocation.last_request_at + idle_expiry;
  });
}

void permit_allocator::record_grant(bool begins) {
  requests_given_ += 1;
  programs_given_ += begins ? 1 : 0;
  if (requests_given_ > max_length_samples) {
    requests_given_ /= 2;
    programs_given_ /= 2;
  }
}

double permit_allocator::requests_per_program() const {
  return std::max(requests_given_ / programs_given_, 1.0);
}

} // namespace heathtrestle::records
