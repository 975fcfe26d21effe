// Conversions between the quota accounts of tenants and their protobuf
// messages.
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

/// Appends the permits granted in each slice to a list.
void fill(google::protobuf::RepeatedPtrField<wire::PermitsGiven> &list,
          const tenants::permits_by_slice &given);

} // namespace heathtrestle::records
