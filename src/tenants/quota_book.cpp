#include "tenants/quota_book.hpp"

#include "base/ids.hpp"

#include <algorithm>

namespace heathtrestle::tenants {

namespace {

/// Of the limit, while nothing was heard of the other gateways: enough for the
/// first requests after a start, and bounded where all start at once.
constexpr double alone_share = 0.25;
/// And so many more: a gateway that has just begun refuses nobody's first call.
constexpr double alone_requests = 3;
/// The others' demand is taken to have grown as the own one since it was told;
/// by no more than this, so that one busy client here is not taken for all.
constexpr double most_growth = 3;
/// Fewer own requests than this tell nothing about growth.
constexpr std::uint32_t least_for_growth = 5;
/// Requests after which earlier ones count half in the mean length of programs:
/// some minutes of one gateway.
constexpr double length_memory = 2000;
/// Programs begin at a pace once those of the window are likely to need this
/// share of the limit, and then at this share of what the rate bears: the rest
/// is for programs that turn out longer than usual. Without the pace they begin
/// together and reach the limit together (quota_book_test: 167 of 367 programs
/// fail midway).
constexpr double share_before_pacing = 0.7;
constexpr double paced_share = 0.9;
constexpr duration_ms soonest_return{100};

double part(double of, std::uint32_t own, std::uint32_t others) {
  const double all = static_cast<double>(own) + others;
  return all > 0 ? of * own / all : of;
}

} // namespace

std::uint32_t usage_key(const tenant_id &tenant) {
  return static_cast<std::uint32_t>(stable_hash(tenant.value()));
}

std::optional<quota_refusal>
quota_book::refuse(const tenant &of, request_stage stage, timestamp now) {
  if (!of.quota.limited()) {
    note_admitted(stage);
    return std::nullopt;
  }
  const bool begins = stage == request_stage::begins_program;
  account &own = account_of(of.id);
  own.requests.add(now);
  own.programs.add(now, begins ? 1 : 0);
  const double limit = limit_of(of, own, now);
  const usage others = expected_others(own, now);
  const double rounding = rounding_of(of.id);

  const std::uint32_t requests = own.requests.sum(now);
  const double most =
      limit * (1 + options_.tolerated_share) +
      (own.others ? options_.tolerated_requests : alone_requests);
  const bool over = static_cast<double>(requests) + others.requests > most;
  if (over && own.admitted.sum(now) + 1 >
                  part(most, requests, others.requests) + rounding) {
    return quota_refusal{
        .paced = false,
        .retry_after =
            std::max(own.admitted.next_release(now) - now, soonest_return)};
  }
  if (begins) {
    const std::uint32_t programs = own.programs.sum(now);
    const double all = static_cast<double>(programs) + others.programs;
    const bool crowded =
        all * requests_per_program() >
        limit * share_before_pacing + options_.tolerated_requests;
    const double per_second =
        part(of.quota.rate_per_second * paced_share / requests_per_program(),
             programs, others.programs);
    if (!own.pace.take(per_second, now) && crowded) {
      return quota_refusal{
          .paced = true,
          .retry_after =
              std::max(own.pace.next(per_second, now) - now, soonest_return)};
    }
  }
  own.admitted.add(now);
  if (!over) {
    // Programs that are cut short by the quota are no measure of its need.
    note_admitted(stage);
  }
  return std::nullopt;
}

quota_view quota_book::view(const tenant &of, timestamp now) {
  account &own = account_of(of.id);
  const double limit = limit_of(of, own, now);
  const std::uint32_t asked = own.requests.sum(now);
  const std::uint32_t others = expected_others(own, now).requests;
  return {.limit = limit,
          .part = part(limit, asked, others),
          .asked = asked,
          .others_asked = others,
          .admitted = own.admitted.sum(now),
          .others_age = own.others ? std::optional(now - own.others_told)
                                   : std::nullopt};
}

void quota_book::note_admitted(request_stage stage) {
  requests_passed_ += 1;
  programs_passed_ += stage == request_stage::begins_program ? 1 : 0;
  if (requests_passed_ > length_memory) {
    requests_passed_ /= 2;
    programs_passed_ /= 2;
  }
}

double quota_book::requests_per_program() const {
  return std::max(requests_passed_ / programs_passed_, 1.0);
}

quota_book::account &quota_book::account_of(const tenant_id &id) {
  return accounts_.try_emplace(id, options_.window, rounding_of(id))
      .first->second;
}

void quota_book::apply(const std::vector<tenant> &tenants, timestamp now) {
  std::unordered_map<tenant_id, changed_quota> fresh;
  for (const tenant &each : tenants) {
    const auto known = quotas_.find(each.id);
    changed_quota &entry = fresh[each.id];
    if (known == quotas_.end()) {
      entry = {.in_force = each.quota, .before = each.quota, .changed = now};
    } else if (known->second.in_force == each.quota) {
      entry = known->second;
    } else {
      entry = {.in_force = each.quota,
               .before = known->second.in_force,
               .changed = now};
    }
  }
  quotas_ = std::move(fresh);
}

double quota_book::changed_quota::granted(duration_ms span,
                                          timestamp now) const {
  const auto seconds = [](duration_ms time) {
    return std::chrono::duration<double>(time).count();
  };
  const duration_ms since = std::min(span, now - changed);
  const bool lowered = in_force.rate_per_second < before.rate_per_second;
  const request_quota &earlier = lowered ? before : in_force;
  const double burst = since < span ? earlier.burst : in_force.burst;
  return in_force.rate_per_second * seconds(since) +
         earlier.rate_per_second * seconds(span - since) + burst;
}

double quota_book::limit_of(const tenant &of, const account &own,
                            timestamp now) const {
  const duration_ms span = options_.window;
  const auto known = quotas_.find(of.id);
  const changed_quota unchanged{.in_force = of.quota, .before = of.quota};
  const double whole =
      (known != quotas_.end() ? known->second : unchanged).granted(span, now);
  const double remembered =
      std::min(static_cast<double>((now - remembered_from_).count()) /
                   static_cast<double>(span.count()),
               1.0);
  return whole * remembered * (own.others ? 1 : alone_share);
}

usage quota_book::expected_others(account &of, timestamp now) const {
  if (!of.others) {
    return {};
  }
  const std::uint32_t requests = of.requests.sum(now);
  double growth = 1;
  if (of.requests_then >= least_for_growth && requests > of.requests_then) {
    growth =
        std::min(static_cast<double>(requests) / of.requests_then, most_growth);
  }
  return {.requests = static_cast<std::uint32_t>(of.others->requests * growth),
          .programs = static_cast<std::uint32_t>(of.others->programs * growth)};
}

double quota_book::rounding_of(const tenant_id &id) const {
  constexpr double parts = 1024;
  const std::uint64_t drawn = stable_hash(id.value(), options_.salt);
  return static_cast<double>(drawn % static_cast<std::uint64_t>(parts)) / parts;
}

std::vector<tenant_usage> quota_book::own_usage(timestamp now) {
  std::vector<tenant_usage> told;
  for (auto each = accounts_.begin(); each != accounts_.end();) {
    account &own = each->second;
    const usage asked{.requests = own.requests.sum(now),
                      .programs = own.programs.sum(now)};
    if (asked.requests == 0) {
      each = accounts_.erase(each);
      continue;
    }
    told.push_back({.tenant = usage_key(each->first), .asked = asked});
    ++each;
  }
  return told;
}

duration_ms quota_book::covered(timestamp now) const {
  return std::min(options_.window, now - started_);
}

void quota_book::take_others(const std::vector<tenant_usage> &others,
                             duration_ms covered, timestamp now) {
  remembered_from_ = std::min(remembered_from_, now - covered);
  std::unordered_map<std::uint32_t, usage> by_key;
  for (const tenant_usage &each : others) {
    by_key[each.tenant] = each.asked;
  }
  for (auto &[id, own] : accounts_) {
    const auto told = by_key.find(usage_key(id));
    if (told != by_key.end()) {
      own.others = told->second;
      own.others_told = now;
      own.requests_then = own.requests.sum(now);
    }
  }
}

} // namespace heathtrestle::tenants
