// heathtrestle-platform: a stand-in for the platform's services.
#include "config/settings_schema.hpp"
#include "stand_ins/platform/platform.hpp"
#include "stand_ins/serve.hpp"

#include <memory>

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
  std::unique_ptr<stand_ins::platform> served;
  return stand_ins::serve(
      argc, argv, schema,
      {.name = "heathtrestle-platform",
       .purpose = "a stand-in for the platform's services",
       .address = settings.address,
       .log_level = settings.log_level},
      [&](runtime::fiber_pool &fibers) {
        served = std::make_unique<stand_ins::platform>(settings, fibers);
        return
            [&served](http::exchange &exchange) { served->handle(exchange); };
      });
}
