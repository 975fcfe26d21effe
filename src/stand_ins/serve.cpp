#include "stand_ins/serve.hpp"

#include "http/io_thread.hpp"
#include "logging/log.hpp"
#include "runtime/signal_mask.hpp"
#include "runtime/stop_signals.hpp"

#include <cstdlib>

namespace heathtrestle::stand_ins {

namespace {

constexpr std::size_t worker_threads = 2;

} // namespace

int serve(int argc, char **argv, config::settings_schema &schema,
          const served_program &program, const make_handler &make) {
  runtime::block_signals();
  const auto choice = config::parse_command_line(argc, argv, program.name,
                                                 program.purpose, schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  logging::configure(fmt::format("{} {}", program.name, program.address),
                     logging::severity_from(program.log_level));
  http::io_thread io;
  runtime::fiber_pool fibers(worker_threads);
  const auto server = http::server::start(
      io, fibers, {.address = program.address}, make(fibers));
  if (!server) {
    logging::write(logging::event::http_server_failed,
                   describe(server.error()));
    std::_Exit(EXIT_FAILURE);
  }
  runtime::wait_for_stop();
  // Stand-ins hold no durable state. Exiting at once cuts open connections off,
  // as a crash would.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace heathtrestle::stand_ins
