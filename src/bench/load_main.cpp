// heathtrestle-load: runs a workload of programs against running daemons and
// checks the results.
#include "bench/driver.hpp"
#include "config/settings_schema.hpp"
#include "http/io_thread.hpp"
#include "logging/log.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

int main(int argc, char **argv) {
  using namespace heathtrestle;
  bench::workload_options workload;
  bench::driver_options driver;
  std::uint64_t programs = 60;
  std::chrono::milliseconds answer_timeout{60000};
  std::string lines_file;
  config::settings_schema schema;
  schema.texts("daemon", driver.daemons, "HTTP address of a daemon, repeated");
  schema.address("platform", driver.platform, "the stand-in platform", true);
  schema.texts("engine", driver.engines, "a stand-in engine, repeated");
  schema.choice("profile", workload.profile, {"bagmati-valley", "ensam"},
                "whose programs to play");
  schema.integer("seed", workload.seed, 0, 1ULL << 62U,
                 "the workload follows from it");
  schema.integer("programs", programs, 1, 1000000, "programs to play");
  schema.real("rate", workload.arrivals_per_second, 0.001, 100000,
              "programs that arrive a second");
  schema.real("scale", workload.scale, 0.001, 1000,
              "scales lengths and pauses");
  schema.milliseconds("patience", answer_timeout, 100, 3600000,
                      "longest wait for the final answer to a call");
  schema.text("lines", lines_file, "writes a JSON line a program here");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-load",
      "plays programs against running daemons and checks the answers", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  if (driver.daemons.empty()) {
    fmt::print(stderr, "--daemon: at least one is needed\n");
    return config::exit_code_bad_settings;
  }
  workload.programs = static_cast<std::uint32_t>(programs);
  driver.answer_timeout =
      std::chrono::duration_cast<std::chrono::seconds>(answer_timeout);
  driver.run = std::random_device{}();
  http::io_thread io;
  http::client client(io);
  bench::run_report report;
  {
    runtime::fiber_pool fibers(2);
    report = bench::run_workload(client, fibers, driver,
                                 bench::make_workload(workload));
  }
  fmt::print("{}", bench::format_report(report));
  if (!lines_file.empty()) {
    std::ofstream(lines_file) << bench::report_lines(report);
  }
  return report.succeeded() ? EXIT_SUCCESS : EXIT_FAILURE;
}
