// Reads callers' requests and checks them before anything is sent on.
#pragma once

#include "base/error.hpp"
#include "config/configuration_store.hpp"
#include "http/message.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>

namespace heathtrestle::daemon {

/// A chat or tool call with what concerns only its connection.
struct parsed_call {
  wire::SubmitCall submit;
  bool stream = false;
  bool key_is_fresh = false;       // the caller gave no key
  std::uint64_t time_limit_ms = 0; // 0: none
};

/// Reads `POST /v1/programs`.
/// @param fallback_id the program's id when the request has no key.
result<wire::CreateProgram>
read_create_program(const http::request &request,
                    const config::configuration_store &configuration,
                    const std::string &fallback_id);

/// Reads `POST /v1/chat/completions`.
result<parsed_call> read_chat_call(const http::request &request,
                                   const std::string &fallback_key);

/// Reads `POST /v1/programs/{program}/tools/{tool}`.
result<parsed_call> read_tool_call(const http::request &request,
                                   const std::string &program,
                                   const std::string &tool,
                                   const std::string &fallback_key);

/// A JSON text with the fields of every object in alphabetical order, so that
/// equal messages are equal texts.
std::string canonical_json(const std::string &text);

} // namespace heathtrestle::daemon
