#include "records/permit_allocator.hpp"

#include "records/quota_messages.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

/// A reservation may be given for so long: the requests of some commits, and as
/// long as an election takes, so that a change of leaders keeps few waiting.
constexpr duration_ms reservation_good_for{1000};
/// Reserved ahead, of what was asked for in the last half second; and at least.
constexpr double ahead_share = 0.6;
constexpr std::uint32_t least_ahead = 2;
/// The next reservation is asked for when less than this is left of what is
/// reserved ahead: a commit takes a fifth of the time that the rest lasts.
constexpr double low_share = 0.4;
/// Beyond this share of what may count nothing is reserved ahead: permits that
/// wait in a leader's memory are none for whoever asks elsewhere.
constexpr double tight_share = 0.85;
/// Programs begin at a pace once those of the window are likely to need this
/// share of the limit and of the requests tolerated beyond it; the rest is for
/// those that turn out longer than usual.
constexpr double share_before_pacing = 0.8;
constexpr double slack_before_pacing = 0.5;
/// And then at this share of what the rate bears.
constexpr double paced_share = 0.95;
constexpr duration_ms soonest_return{100};
/// Requests after which earlier ones count half in the mean length of programs:
/// some minutes of one partition.
constexpr double length_memory = 10000;
constexpr duration_ms forgotten_after{60000};
constexpr double thousandths = 1000;

} // namespace

permit_allocator::counter &
permit_allocator::counter_of(const wire::TakePermit &wanted) {
  const duration_ms window{std::max<std::uint32_t>(
      wanted.terms().window_ms(),
      static_cast<std::uint32_t>(tenants::sliding_count::slices))};
  counter &of = counters_.try_emplace(wanted.tenant(), window).first->second;
  if (wanted.terms().version() > of.terms.version()) {
    of.terms = wanted.terms();
    of.free_at = {}; // it may have been raised
  }
  return of;
}

void permit_allocator::request_permit(gateway_permit_request request,
                                      tenants::quota_time time, timestamp now) {
  counter &of = counter_of(request.wanted);
  of.asked = now;
  of.recent.add(now);
  if (!answer_now(of, request, time, now)) {
    of.waiting.push_back(std::move(request));
  }
}

bool permit_allocator::answer_now(counter &of,
                                  const gateway_permit_request &request,
                                  tenants::quota_time time, timestamp now) {
  if (request.wanted.begins_program() && is_paced(of, request, now)) {
    return true;
  }
  if (of.left > 0 && now < of.good_until) {
    give(of, request, time, now);
    return true;
  }
  if (now < of.free_at) {
    refuse(of, request, false, of.free_at - now);
    return true;
  }
  return false;
}

bool permit_allocator::is_paced(counter &of,
                                const gateway_permit_request &request,
                                timestamp now) {
  const double rate =
      static_cast<double>(of.terms.millirequests_per_second()) / thousandths;
  const double seconds =
      static_cast<double>(of.terms.window_ms()) / thousandths;
  const double limit =
      rate * seconds +
      static_cast<double>(of.terms.burst_millirequests()) / thousandths;
  const double needed = (of.programs.sum(now) + 1) * requests_per_program();
  const bool crowded = needed > limit * share_before_pacing +
                                    of.terms.slack() * slack_before_pacing;
  const double per_second = rate * paced_share / requests_per_program();
  if (of.pace.take(per_second, now) || !crowded) {
    return false;
  }
  refuse(of, request, true, of.pace.next(per_second, now) - now);
  return true;
}

void permit_allocator::give(counter &of, gateway_permit_request request,
                            tenants::quota_time time, timestamp now) {
  --of.left;
  of.given[tenants::slice_of(time)] += 1;
  const bool begins = request.wanted.begins_program();
  of.programs.add(now, begins ? 1 : 0);
  if (of.last.counted() <= of.last.limit()) {
    // Programs that are cut short by the quota are no measure of its need.
    note_given(begins);
  }
  wire::PermitAnswer answer;
  answer.set_granted(true);
  answer.set_counted(of.last.counted());
  answer.set_most(of.last.most());
  answer.set_limit(of.last.limit());
  replies_.push_back({std::move(request), std::move(answer)});
}

void permit_allocator::refuse(const counter &of, gateway_permit_request request,
                              bool paced, duration_ms retry_after) {
  wire::PermitAnswer answer;
  answer.set_paced(paced);
  answer.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max(retry_after, soonest_return).count()));
  answer.set_counted(of.last.counted());
  answer.set_most(of.last.most());
  answer.set_limit(of.last.limit());
  replies_.push_back({std::move(request), std::move(answer)});
}

std::uint32_t permit_allocator::ahead(counter &of, timestamp now) const {
  const auto used = static_cast<double>(of.recent.sum(now));
  const auto wanted =
      std::max(static_cast<std::uint32_t>(used * ahead_share), least_ahead);
  const auto counted = static_cast<double>(of.last.counted()) + wanted;
  const bool tight =
      of.last.most() > 0 &&
      counted > static_cast<double>(of.last.most()) * tight_share;
  return tight ? 0 : wanted;
}

std::vector<wire::ReserveQuota>
permit_allocator::take_reservations(timestamp now) {
  std::vector<wire::ReserveQuota> wanted;
  for (auto &[tenant, of] : counters_) {
    if (of.proposed || now < of.free_at) {
      continue;
    }
    if (now >= of.good_until) {
      of.left = 0;
    }
    const std::uint32_t spare = ahead(of, now);
    const bool low = of.recent.sum(now) > 0 && of.left < spare * low_share;
    if (of.waiting.empty() && !low) {
      continue;
    }
    wire::ReserveQuota &next = wanted.emplace_back();
    next.set_tenant(tenant);
    *next.mutable_terms() = of.terms;
    next.set_follows(of.follows);
    fill(*next.mutable_given(), std::exchange(of.given, {}));
    next.set_kept(of.left);
    next.set_wanted(static_cast<std::uint32_t>(of.waiting.size()) +
                    (of.left < spare ? spare - of.left : 0));
    next.set_good_for_ms(
        static_cast<std::uint32_t>(reservation_good_for.count()));
    of.proposed = true;
    of.proposed_good_until = now + reservation_good_for;
  }
  return wanted;
}

void permit_allocator::on_reserved(const wire::ReservedQuota &made,
                                   tenants::quota_time time, timestamp now) {
  const auto found = counters_.find(made.tenant());
  if (found == counters_.end() || !found->second.proposed) {
    return; // of an earlier term
  }
  counter &of = found->second;
  of.proposed = false;
  of.follows = made.number();
  of.left += made.granted();
  of.good_until = of.proposed_good_until;
  of.last = made;
  if (made.free_after_ms() > 0) {
    of.free_at = now + duration_ms{made.free_after_ms()};
  }
  // Those under way first.
  std::stable_partition(of.waiting.begin(), of.waiting.end(),
                        [](const gateway_permit_request &each) {
                          return !each.wanted.begins_program();
                        });
  while (!of.waiting.empty()) {
    const bool given = of.left > 0 && now < of.good_until;
    const bool refused = !given && now < of.free_at;
    if (!given && !refused) {
      break; // came while this one was on its way; the next one is for them
    }
    gateway_permit_request request = std::move(of.waiting.front());
    of.waiting.pop_front();
    if (given) {
      give(of, std::move(request), time, now);
    } else {
      refuse(of, std::move(request), false, of.free_at - now);
    }
  }
}

std::vector<permit_reply> permit_allocator::take_replies() {
  return std::exchange(replies_, {});
}

std::vector<gateway_permit_request> permit_allocator::clear() {
  std::vector<gateway_permit_request> unanswered;
  for (auto &[tenant, of] : counters_) {
    std::move(of.waiting.begin(), of.waiting.end(),
              std::back_inserter(unanswered));
  }
  counters_.clear();
  return unanswered;
}

void permit_allocator::forget_idle(timestamp now) {
  std::erase_if(counters_, [now](const auto &entry) {
    const counter &of = entry.second;
    return !of.proposed && of.waiting.empty() &&
           now >= of.asked + forgotten_after;
  });
}

void permit_allocator::note_given(bool begins) {
  requests_given_ += 1;
  programs_given_ += begins ? 1 : 0;
  if (requests_given_ > length_memory) {
    requests_given_ /= 2;
    programs_given_ /= 2;
  }
}

double permit_allocator::requests_per_program() const {
  return std::max(requests_given_ / programs_given_, 1.0);
}

} // namespace heathtrestle::records
