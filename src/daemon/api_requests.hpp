// Parses and validates callers' HTTP requests.
#pragma once

#include "base/error.hpp"
#include "config/configuration_store.hpp"
#include "http/message.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>

namespace heathtrestle::daemon {

/// A chat or tool call with the options that apply only to this request.
struct parsed_call {
  wire::SubmitCall submit;
  bool stream = false;
  bool key_is_fresh = false;       // the request had no idempotency key
  std::uint64_t time_limit_ms = 0; // 0: no limit
};

/// Parses `POST /v1/programs`.
/// @param fallback_id the program's id if the request has no idempotency key.
result<wire::CreateProgram>
read_create_program(const http::request &request,
                    const config::configuration_store &configuration,
                    const std::string &fallback_id);

/// Parses `POST /v1/chat/completions`.
/// @param fallback_key the call's key if the request has no idempotency key.
result<parsed_call> read_chat_call(const http::request &request,
                                   const std::string &fallback_key);

/// Parses `POST /v1/programs/{program}/tools/{tool}`.
result<parsed_call> read_tool_call(const http::request &request,
                                   const std::string &program,
                                   const std::string &tool,
                                   const std::string &fallback_key);

/// Serializes a JSON text again with the fields of every object sorted, so that
/// equal messages compare equal as strings.
std::string canonical_json(const std::string &text);

} // namespace heathtrestle::daemon
