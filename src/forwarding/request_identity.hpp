// Recognizes a request over the attempts of its client, each of which has an id
// of its own.
#pragma once

#include "base/ids.hpp"
#include "base/request_identity.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/header_names.hpp"

namespace heathtrestle::forwarding {

/// Hashes the tenant, the program and session, the turn that is continued, the
/// object, the prompt, and the method, host, path and body. Fields that differ
/// between attempts are left out: ids of attempts, deadlines, and the event
/// after which a stream resumes.
request_identity identity_of(const client_request &request,
                             const header_names &names,
                             const tenant_id &tenant);

} // namespace heathtrestle::forwarding
