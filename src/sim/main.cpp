// heathtrestle-sim: injects faults into a simulated cluster and checks its
// invariants. Runs with the same seed are identical.
#include "config/settings_schema.hpp"
#include "sim/scenario.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cstdlib>
#include <map>

namespace {

using namespace heathtrestle;

void print(std::uint64_t seed, const sim::scenario_result &result,
           bool with_faults) {
  fmt::print("seed {}: {} of {} programs finished, {} answers, {} engine "
             "starts, {} faults: {}\n",
             seed, result.finished, result.programs, result.answers,
             result.engine_starts, result.faults.size(),
             result.judged.holds() ? "holds" : "VIOLATED");
  if (with_faults || !result.judged.holds()) {
    for (const std::string &fault : result.faults) {
      fmt::print("  {}\n", fault);
    }
  }
  constexpr std::size_t shown = 12;
  for (std::size_t index = 0;
       index < std::min(shown, result.judged.violations.size()); ++index) {
    const auto &[which, what] = result.judged.violations[index];
    fmt::print("  {}: {}\n", sim::name_of(which), what);
  }
}

} // namespace

int main(int argc, char **argv) {
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  std::uint64_t nodes = 6;
  std::uint64_t programs = 60;
  std::uint64_t fault_count = 6;
  std::vector<std::string> faults;
  std::string switched_off = "none";
  std::string verbose = "no";
  std::string show;
  std::string record;
  std::uint64_t record_node = 0;
  std::string profile = "bagmati-valley";
  std::uint64_t tool_ms = 20;
  config::settings_schema schema;
  schema.integer("seed", seed, 0, 1ULL << 62U, "first seed");
  schema.integer("seeds", seeds, 1, 1000000, "runs, one a seed");
  schema.integer("nodes", nodes, 3, 400, "daemons");
  schema.integer("programs", programs, 0, 100000, "programs to play");
  schema.integer("fault_count", fault_count, 0, 1000, "faults in a run");
  schema.texts("fault", faults,
               "a kind of fault to draw from, repeated; none given: all");
  schema.text("off", switched_off, "a mechanism to switch off");
  schema.integer("tool_ms", tool_ms, 1, 100000, "time that a tool takes");
  schema.text("record", record, "writes the trace of a daemon here");
  schema.integer("record_node", record_node, 0, 400, "whose trace");
  schema.choice("profile", profile, {"bagmati-valley", "ensam"},
                "whose programs to play");
  schema.text("show", show, "a program whose replicas are described");
  schema.choice("verbose", verbose, {"no", "yes"}, "print all faults");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-sim",
      "plays faults against a simulated cluster and judges the outcome",
      schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  const auto mutation = sim::mutation_named(switched_off);
  if (!mutation.has_value()) {
    fmt::print(stderr, "--off: no such mechanism: {}\n", switched_off);
    return config::exit_code_bad_settings;
  }
  std::map<std::string, std::size_t> violated;
  std::uint64_t held = 0;
  for (std::uint64_t number = 0; number < seeds; ++number) {
    sim::scenario_options options = sim::standard_scenario(seed + number);
    options.world.nodes = nodes;
    options.show = show;
    options.record = record;
    options.recorded_node = record_node;
    options.workload.profile = profile;
    options.world.tool_time = tool_ms * sim::per_millisecond;
    options.world.switched_off = *mutation;
    options.workload.programs = static_cast<std::uint32_t>(programs);
    options.fault_count = static_cast<std::uint32_t>(fault_count);
    if (!faults.empty()) {
      options.faults.clear();
      for (const std::string &name : faults) {
        const auto kind = sim::fault_named(name);
        if (!kind.has_value()) {
          fmt::print(stderr, "--fault: no such kind: {}\n", name);
          return config::exit_code_bad_settings;
        }
        options.faults.insert(*kind);
      }
    }
    const sim::scenario_result result = sim::run_scenario(options);
    held += result.judged.holds() ? 1 : 0;
    std::set<std::string> seen;
    for (const auto &[which, what] : result.judged.violations) {
      seen.emplace(sim::name_of(which));
    }
    for (const std::string &name : seen) {
      ++violated[name];
    }
    for (const std::string &line : result.shown) {
      fmt::print("{}\n", line);
    }
    print(seed + number, result, verbose == "yes");
  }
  fmt::print("{} of {} runs hold\n", held, seeds);
  for (const auto &[name, count] : violated) {
    fmt::print("  {} violated in {} runs\n", name, count);
  }
  return held == seeds ? EXIT_SUCCESS : EXIT_FAILURE;
}
