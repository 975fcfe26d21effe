// Runs a stand-in's HTTP server until the process receives a stop signal.
#pragma once

#include "config/settings_schema.hpp"
#include "http/server.hpp"
#include "runtime/fiber_pool.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace heathtrestle::stand_ins {

/// Name, purpose and settings of a stand-in program.
struct served_program {
  std::string_view name;
  std::string_view purpose;
  const std::string &address;   // bound to a setting
  const std::string &log_level; // bound to a setting
};

/// Creates the request handler after the settings have been read.
using make_handler = std::function<http::handler(runtime::fiber_pool &)>;

/// Reads the command line, serves requests, and exits the process on a stop
/// signal or when the server fails to start.
/// @return the exit code when the command line asks for no serving or the
/// settings are invalid.
int serve(int argc, char **argv, config::settings_schema &schema,
          const served_program &program, const make_handler &make);

} // namespace heathtrestle::stand_ins
