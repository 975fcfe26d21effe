// Structured logging to standard error: one JSON object a line, written by fmt.
#pragma once

#include "logging/event_catalogue.hpp"

#include <string_view>

namespace heathtrestle::logging {

/// Sets what every line carries and the least severity that is written.
/// @param component the program's or the node's name.
void configure(std::string_view component, severity least);

/// @return the severity named "debug", "info", "warning" or "error"; `info`
/// for any other name.
severity severity_from(std::string_view name);
std::string_view name_of(severity level);

/// Writes one event. Safe to call from any thread.
void write(event number, std::string_view detail);

} // namespace heathtrestle::logging
