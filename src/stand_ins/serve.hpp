// Runs a stand-in's HTTP server until the process is asked to end.
#pragma once

#include "config/settings_schema.hpp"
#include "http/server.hpp"
#include "runtime/fiber_pool.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace heathtrestle::stand_ins {

/// What a stand-in needs to be served.
struct served_program {
  std::string_view name;
  std::string_view purpose;
  const std::string &address;   // bound to a setting
  const std::string &log_level; // bound to a setting
};

/// Makes the handler once the settings are read.
using make_handler = std::function<http::handler(runtime::fiber_pool &)>;

/// Reads the command line, serves, and waits for the end.
/// @return the process's exit code, when serving could not begin.
int serve(int argc, char **argv, config::settings_schema &schema,
          const served_program &program, const make_handler &make);

} // namespace heathtrestle::stand_ins
