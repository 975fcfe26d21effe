// The names of the header fields that the gateway reads and sets. They depend
// on the platform, whose adapter fills them in.
#pragma once

#include <string>
#include <vector>

namespace heathtrestle::forwarding {

struct header_names {
  // On requests.
  std::string attempt_id;       // id of a client's attempt; echoed by replicas
  std::string deadline_ms;      // how long the client will wait
  std::string affinity_key;     // the object that a request concerns
  std::string token_usage;      // "prompt,most out"
  std::string prompt_parts;     // "id:tokens,...", the ids in hexadecimal
  std::string program_id;       // the program that a request belongs to
  std::string session_id;       // one sequence of a program's turns
  std::string program_deadline; // time left for the whole program, ms
  std::string token_budget;     // tokens that the program may generate
  std::string previous_turn;    // the attempt id of the turn to continue
  std::string last_event_id;    // the event after which a stream resumes
  /// The client's attempt that brought the first event of the stream that this
  /// request resumes.
  std::string resumes;
  std::string expected_instance;
  std::string request_priority;  // 0 (most urgent) to 9
  std::string credential;        // the field with the client's key
  std::string credential_scheme; // the scheme before the key
  std::string tenant;            // sent to the replica: the tenant
  // On answers.
  std::string signature;    // proof of the replica that answered
  std::string not_executed; // the replica did not run the request
  /// Fields that only the gateway may set; those sent by clients are dropped.
  std::vector<std::string> gateway_only;
};

} // namespace heathtrestle::forwarding
