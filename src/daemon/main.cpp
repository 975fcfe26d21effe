// Entry point of heathtrestled, the scheduler daemon.
#include "daemon/daemon_settings.hpp"
#include "daemon/runtime.hpp"
#include "logging/log.hpp"
#include "runtime/signal_mask.hpp"
#include "runtime/stop_signals.hpp"

#include <cstdlib>

int main(int argc, char **argv) {
  using namespace heathtrestle;
  runtime::block_signals();
  daemon::daemon_settings settings;
  config::settings_schema schema;
  daemon::describe_settings(schema, settings);
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestled",
      "schedules the calls of agent programs over model engines", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  if (!settings.trace_file.empty() && settings.workers != 1) {
    logging::write(logging::event::settings_rejected,
                   "trace.file: a trace needs node.workers = 1, so that its "
                   "order is exact");
    return config::exit_code_bad_settings;
  }
  logging::configure(settings.name, logging::severity_from(settings.log_level));
  daemon::daemon_runtime runtime(settings);
  const auto started = runtime.start();
  if (!started) {
    logging::write(logging::event::http_server_failed,
                   describe(started.error()));
    return EXIT_FAILURE;
  }
  runtime::wait_for_stop();
  runtime.begin_drain();
  runtime.wait_until_drained();
  logging::write(logging::event::daemon_stopped, settings.name);
  // The drain is complete. Exit without waiting for operations that are still
  // open, such as a long poll to the platform.
  std::_Exit(EXIT_SUCCESS);
}
