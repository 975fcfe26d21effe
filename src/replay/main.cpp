// heathtrestle-replay: replays recorded traces through the reducer and compares
// the counted outcomes with the expected ones.
#include "config/settings_schema.hpp"
#include "replay/outcomes.hpp"
#include "replay/trace.hpp"

#include <fmt/format.h>

#include <cstdlib>

namespace {

using namespace heathtrestle;

/// @return true when every count is within its expected range.
bool check(const std::string &path, const std::string &outcomes_path) {
  const auto trace = replay::read_trace(path);
  if (!trace) {
    fmt::print(stderr, "{}\n", describe(trace.error()));
    return false;
  }
  const auto outcomes = replay::read_outcomes(outcomes_path);
  if (!outcomes) {
    fmt::print(stderr, "{}\n", describe(outcomes.error()));
    return false;
  }
  const auto counts = replay::replay_and_count(trace.value());
  bool all = true;
  for (const replay::expected_outcome &expected : outcomes.value()) {
    const std::uint64_t count =
        counts.at(static_cast<std::size_t>(expected.kind));
    const bool matches = count >= expected.least && count <= expected.most;
    all = all && matches;
    fmt::print("{}: {} {} = {}, stated {} to {}\n", path,
               matches ? "shown" : "NOT SHOWN", replay::name_of(expected.kind),
               count, expected.least, expected.most);
  }
  fmt::print("{}: {} events replayed\n", path, trace.value().size() - 1);
  return all;
}

} // namespace

int main(int argc, char **argv) {
  std::vector<std::string> traces;
  config::settings_schema schema;
  schema.texts("trace", traces,
               "a recorded trace, repeated; FILE.toml beside FILE.trace or "
               "FILE.trace.gz states "
               "its outcomes");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-replay",
      "runs recorded traces through the reducer and checks stated outcomes",
      schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  if (traces.empty()) {
    fmt::print(stderr, "--trace: at least one is needed\n");
    return config::exit_code_bad_settings;
  }
  std::size_t passed = 0;
  for (const std::string &trace : traces) {
    const std::string stem = trace.substr(0, trace.rfind(".trace"));
    passed += check(trace, stem + ".toml") ? 1 : 0;
  }
  fmt::print("{} passed, {} failed\n", passed, traces.size() - passed);
  return passed == traces.size() ? EXIT_SUCCESS : EXIT_FAILURE;
}
