// Serializes records, call outcomes and failures to the JSON of the HTTP API.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"
#include "wire/messages.hpp"

#include <string>

namespace heathtrestle::daemon {

/// Returns the error response for a failure: a JSON body, the HTTP status, and
/// a Retry-After header when a retry can succeed.
http::response failure_response(const wire::Failure &failure);
http::response failure_response(const error &failure);

std::string program_json(const wire::ProgramRecord &program);
/// Returns a finished chat call as a `chat.completion` object.
std::string completion_json(const wire::CallOutcome &outcome);
std::string tool_result_json(const wire::CallOutcome &outcome);

/// Returns one server-sent event with a `chat.completion.chunk` object.
/// @param finish_reason empty for all but the last event; sent as null.
std::string completion_chunk(const std::string &id, const std::string &model,
                             const std::string &text,
                             const std::string &finish_reason);
/// Returns a server-sent event that reports a failure after the stream has
/// started.
std::string failure_event(const wire::Failure &failure);

/// Returns the content of a stored assistant message, or the message itself if
/// it is not a JSON object with textual content.
std::string answer_text(const std::string &assistant_message);

} // namespace heathtrestle::daemon
