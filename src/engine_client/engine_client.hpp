// Talks to model engines and tool services over HTTP and reports what came of
// a request as events for the reducer.
#pragma once

#include "http/client.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <string>

namespace heathtrestle::engine_client {

/// Gets events as they arise; called on the fiber that runs the request.
using event_sink = std::function<void(wire::Event)>;

/// Runs one generation to its end. Interrupted streams are taken up again by
/// request id, as long as the engine knows it.
void run_generation(http::client &client, const wire::StartEngineRequest &order,
                    const event_sink &post);

void cancel_generation(http::client &client,
                       const wire::CancelEngineRequest &order);

/// Frees the memory that an engine holds for a program.
void release_memory(http::client &client,
                    const wire::ReleaseEngineMemory &order,
                    const event_sink &post);

/// Tells an engine of a new epoch.
void fence_engine(http::client &client, const wire::FenceEngine &order,
                  const event_sink &post);

/// Invokes a tool, or asks for the outcome of an earlier invocation.
void invoke_tool(http::client &client, const wire::InvokeTool &order,
                 const event_sink &post);

} // namespace heathtrestle::engine_client
