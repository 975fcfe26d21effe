// The accounts of tenants as they travel and are kept.
#pragma once

#include "tenants/quota_account.hpp"
#include "wire/messages.hpp"

namespace heathtrestle::records {

tenants::quota_terms from_wire(const wire::QuotaTerms &terms);
wire::QuotaTerms to_wire(const tenants::quota_terms &terms);

tenants::reservation_request from_wire(const wire::ReserveQuota &wanted);
wire::ReservedQuota to_wire(const tenants::reservation &made,
                            const std::string &tenant);

tenants::quota_account from_wire(const wire::RecordQuota &saved);
wire::RecordQuota to_wire(const tenants::quota_account &account,
                          const std::string &tenant);

/// Fills a list of what was given with a map of it.
void fill(google::protobuf::RepeatedPtrField<wire::PermitsGiven> &list,
          const tenants::permits_by_slice &given);

} // namespace heathtrestle::records
