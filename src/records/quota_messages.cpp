#include "records/quota_messages.hpp"

namespace heathtrestle::records {

namespace {

tenants::permits_by_slice
read_given(const google::protobuf::RepeatedPtrField<wire::PermitsGiven> &list) {
  tenants::permits_by_slice given;
  for (const wire::PermitsGiven &each : list) {
    given[each.slice()] += each.permits();
  }
  return given;
}

} // namespace

void fill(google::protobuf::RepeatedPtrField<wire::PermitsGiven> &list,
          const tenants::permits_by_slice &given) {
  for (const auto &[slice, permits] : given) {
    wire::PermitsGiven &each = *list.Add();
    each.set_slice(slice);
    each.set_permits(permits);
  }
}

tenants::quota_terms from_wire(const wire::QuotaTerms &terms) {
  return {.version = terms.version(),
          .millirequests_per_second = terms.millirequests_per_second(),
          .burst_millirequests = terms.burst_millirequests(),
          .window = duration_ms{terms.window_ms()},
          .overshoot_permille = terms.overshoot_permille(),
          .slack = terms.slack()};
}

wire::QuotaTerms to_wire(const tenants::quota_terms &terms) {
  wire::QuotaTerms message;
  message.set_version(terms.version);
  message.set_millirequests_per_second(terms.millirequests_per_second);
  message.set_burst_millirequests(terms.burst_millirequests);
  message.set_window_ms(static_cast<std::uint32_t>(terms.window.count()));
  message.set_overshoot_permille(terms.overshoot_permille);
  message.set_slack(terms.slack);
  return message;
}

tenants::reservation_request from_wire(const wire::ReserveQuota &wanted) {
  return {.terms = from_wire(wanted.terms()),
          .follows = wanted.follows(),
          .given = read_given(wanted.given()),
          .kept = wanted.kept(),
          .wanted = wanted.wanted(),
          .good_for = duration_ms{wanted.good_for_ms()}};
}

wire::ReservedQuota to_wire(const tenants::reservation &made,
                            const std::string &tenant) {
  wire::ReservedQuota message;
  message.set_tenant(tenant);
  message.set_number(made.number);
  message.set_granted(made.granted);
  message.set_counted(made.counted);
  message.set_most(made.max_permits);
  message.set_limit(made.limit);
  message.set_free_after_ms(
      static_cast<std::uint32_t>(made.free_after.count()));
  return message;
}

tenants::quota_account from_wire(const wire::RecordQuota &saved) {
  tenants::quota_account::state state{.number = saved.number(),
                                      .reserved = saved.reserved(),
                                      .reserved_until =
                                          saved.reserved_until_ms(),
                                      .given = read_given(saved.given())};
  for (const wire::DatedQuotaTerms &each : saved.terms()) {
    state.terms.push_back(
        {.since = each.since_ms(), .terms = from_wire(each.terms())});
  }
  return tenants::quota_account(std::move(state));
}

wire::RecordQuota to_wire(const tenants::quota_account &account,
                          const std::string &tenant) {
  const tenants::quota_account::state &state = account.saved();
  wire::RecordQuota message;
  message.set_tenant(tenant);
  message.set_number(state.number);
  message.set_reserved(state.reserved);
  message.set_reserved_until_ms(state.reserved_until);
  fill(*message.mutable_given(), state.given);
  for (const auto &each : state.terms) {
    wire::DatedQuotaTerms &dated = *message.add_terms();
    dated.set_since_ms(each.since);
    *dated.mutable_terms() = to_wire(each.terms);
  }
  return message;
}

} // namespace heathtrestle::records
