// heathtrestle-platform: a stand-in for the platform's services.
#include "config/settings_schema.hpp"
#include "logging/log.hpp"
#include "runtime/stop_signals.hpp"
#include "stand_ins/platform/platform.hpp"

#include <cstdlib>

int main(int argc, char **argv) {
  using namespace heathtrestle;
  stand_ins::platform_settings settings;
  config::settings_schema schema;
  schema.address("listen", settings.address, "where to serve HTTP", true);
  schema.integer("watcher_limit", settings.watcher_limit, 1, 10000,
                 "watches at once");
  schema.integer("machine_lag_ms", settings.machine_lag_ms, 0, 600000,
                 "delay of the machine list");
  schema.integer("weight_rate", settings.weight_rate, 1, 10000,
                 "weight reads a second");
  schema.integer("tool_delay_ms", settings.tool_delay_ms, 0, 600000,
                 "time that a tool takes");
  schema.choice("log.level", settings.log_level,
                {"debug", "info", "warning", "error"},
                "least severity that is logged");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-platform",
      "a stand-in for the platform's services", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  logging::configure("platform " + settings.address,
                     logging::severity_from(settings.log_level));
  const sigset_t signals = runtime::block_stop_signals();
  http::io_thread io;
  runtime::fiber_pool fibers(2);
  stand_ins::platform platform(settings, fibers);
  const auto server = http::server::start(
      io, fibers, {.address = settings.address},
      [&platform](http::exchange &exchange) { platform.handle(exchange); });
  if (!server) {
    logging::write(logging::event::http_server_failed,
                   describe(server.error()));
    return EXIT_FAILURE;
  }
  runtime::wait_for_stop(signals);
  std::_Exit(EXIT_SUCCESS);
}
