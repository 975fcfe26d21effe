// HTTP client for model engines and tool services. It reports progress and
// outcomes of requests as events to the reducer.
#pragma once

#include "http/client.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <string>

namespace heathtrestle::engine_client {

/// Receives events as they occur. Called on the fiber that runs the request.
using event_sink = std::function<void(wire::Event)>;

/// Runs one generation until it finishes or fails. An interrupted stream is
/// resumed by request id and offset a limited number of times, as long as the
/// engine still knows the request.
void run_generation(http::client &client,
                    const wire::StartEngineRequest &command,
                    const event_sink &post);

void cancel_generation(http::client &client,
                       const wire::CancelEngineRequest &command);

/// Asks an engine to release the memory that it holds for a program.
void release_memory(http::client &client,
                    const wire::ReleaseEngineMemory &command,
                    const event_sink &post);

/// Sends a new epoch to an engine to fence it.
void fence_engine(http::client &client, const wire::FenceEngine &command,
                  const event_sink &post);

/// Invokes a tool. If a start is not allowed, only requests the outcome of an
/// earlier invocation.
void invoke_tool(http::client &client, const wire::InvokeTool &command,
                 const event_sink &post);

} // namespace heathtrestle::engine_client
