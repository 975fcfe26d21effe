// Header names for tests; they differ from those of every platform.
#pragma once

#include "forwarding/header_names.hpp"

namespace heathtrestle::test_support {

inline forwarding::header_names test_names() {
  forwarding::header_names names;
  names.attempt_id = "Attempt";
  names.deadline_ms = "Deadline";
  names.affinity_key = "Object";
  names.token_usage = "Tokens";
  names.prompt_parts = "Parts";
  names.program_id = "Program";
  names.session_id = "Session";
  names.program_deadline = "Program-Deadline";
  names.token_budget = "Budget";
  names.previous_turn = "Previous";
  names.last_event_id = "Last-Event-Id";
  names.resumes = "Resumes";
  names.expected_instance = "Expect";
  names.request_priority = "Priority";
  names.credential = "Credential";
  names.credential_scheme = "Key";
  names.tenant = "Tenant";
  names.signature = "Signature";
  names.not_executed = "Not-Executed";
  names.gateway_only = {"Expect", "Priority", "Tenant"};
  return names;
}

} // namespace heathtrestle::test_support
