// heathtrestle-engine: a stand-in for a model engine.
#include "config/settings_schema.hpp"
#include "logging/log.hpp"
#include "runtime/signal_mask.hpp"
#include "runtime/stop_signals.hpp"
#include "stand_ins/engine/engine.hpp"

#include <cstdlib>

int main(int argc, char **argv) {
  using namespace heathtrestle;
  runtime::block_signals();
  stand_ins::engine_settings settings;
  config::settings_schema schema;
  schema.address("listen", settings.address, "where to serve HTTP", true);
  schema.text("model", settings.model, "the model that is loaded");
  schema.integer("batch", settings.batch, 1, 4096,
                 "requests generating at once");
  schema.integer("cache_blocks", settings.cache_blocks, 1, 100000000,
                 "blocks of the prefix cache");
  schema.real("step_base_ms", settings.step_base_ms, 0, 10000,
              "time of a decoding step");
  schema.real("step_request_ms", settings.step_request_ms, 0, 10000,
              "time that each request adds to a step");
  schema.real("prefill_token_ms", settings.prefill_token_ms, 0, 1000,
              "time to prefill one token");
  schema.integer("load_lag_ms", settings.load_lag_ms, 0, 60000,
                 "age of the reported load");
  schema.integer("event_lag", settings.event_lag, 0, 1000000,
                 "newest cache events that are held back");
  schema.integer("event_gap", settings.event_gap, 0, 1000000,
                 "one cache event in this many is dropped; 0: none");
  schema.choice("log.level", settings.log_level,
                {"debug", "info", "warning", "error"},
                "least severity that is logged");
  const auto choice =
      config::parse_command_line(argc, argv, "heathtrestle-engine",
                                 "a stand-in for a model engine", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  logging::configure("engine " + settings.address,
                     logging::severity_from(settings.log_level));
  http::io_thread io;
  runtime::fiber_pool fibers(2);
  stand_ins::engine engine(settings, fibers);
  const auto server = http::server::start(
      io, fibers, {.address = settings.address},
      [&engine](http::exchange &exchange) { engine.handle(exchange); });
  if (!server) {
    logging::write(logging::event::http_server_failed,
                   describe(server.error()));
    return EXIT_FAILURE;
  }
  runtime::wait_for_stop();
  std::_Exit(EXIT_SUCCESS);
}
