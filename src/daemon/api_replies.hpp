// JSON forms of records, outcomes and failures, as callers see them.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"
#include "wire/messages.hpp"

#include <string>

namespace heathtrestle::daemon {

/// The response for a failure: typed JSON, its status, and Retry-After when
/// coming back can help.
http::response failure_response(const wire::Failure &failure);
http::response failure_response(const error &failure);

std::string program_json(const wire::ProgramRecord &program);
/// The body of a finished chat call in the form of a chat completion.
std::string completion_json(const wire::CallOutcome &outcome);
std::string tool_result_json(const wire::CallOutcome &outcome);

/// One server-sent event of a streamed completion.
/// @param finish_reason empty before the last event.
std::string completion_chunk(const std::string &id, const std::string &model,
                             const std::string &text,
                             const std::string &finish_reason);
/// A server-sent event for a failure after the stream has begun.
std::string failure_event(const wire::Failure &failure);

/// The text of an assistant's message as the records keep it.
std::string answer_text(const std::string &assistant_message);

} // namespace heathtrestle::daemon
