// heathtrestle-bench: compares placement and scheduling policies in virtual
// time. Writes one JSON line per run and prints a summary of each policy.
#include "bench/statistics.hpp"
#include "config/settings_schema.hpp"
#include "sim/policy_run.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <vector>

namespace {

using namespace heathtrestle;

struct policy_pair {
  std::string_view placement;
  std::string_view scheduling;
};

constexpr std::array<policy_pair, 4> policies{{
    {"random", "fifo"},
    {"least_loaded", "fifo"},
    {"least_loaded", "fair_priority"},
    {"affinity", "fair_priority"},
}};

std::string json_line(const sim::policy_run_options &options,
                      const sim::policy_run_result &result) {
  boost::json::object line{{"profile", options.profile},
                           {"placement", options.placement},
                           {"scheduling", options.scheduling},
                           {"seed", options.seed},
                           {"utilisation", result.utilisation},
                           {"wasted_share", result.wasted_share},
                           {"refilled_share", result.refilled_share},
                           {"ended_block_share", result.ended_block_share},
                           {"cached_share", result.cached_share},
                           {"fairness_gap", result.fairness_gap},
                           {"refusals", result.refusals},
                           {"unfinished", result.unfinished}};
  for (const auto &[name, latency] : result.classes) {
    line[name + "_p50_ms"] = latency.p50_ms;
    line[name + "_p95_ms"] = latency.p95_ms;
    line[name + "_p99_ms"] = latency.p99_ms;
    line[name + "_slowdown"] = latency.median_slowdown;
  }
  return boost::json::serialize(line) + "\n";
}

/// Formats the mean, least and greatest of one measure over the seeds.
template <typename Read>
std::string spread(const std::vector<sim::policy_run_result> &results,
                   Read read, int digits) {
  std::vector<double> values;
  values.reserve(results.size());
  for (const sim::policy_run_result &result : results) {
    values.push_back(read(result));
  }
  return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", bench::mean(values), digits,
                     bench::quantile(values, 0.0), digits,
                     bench::quantile(values, 1.0), digits);
}

} // namespace

int main(int argc, char **argv) {
  sim::policy_run_options options;
  std::uint64_t seeds = 3;
  std::uint64_t programs = options.programs;
  std::uint64_t cache_blocks = options.cache_blocks;
  std::string lines_file;
  config::settings_schema schema;
  schema.choice("profile", options.profile, {"bagmati-valley", "ensam"},
                "whose programs to play");
  schema.integer("seed", options.seed, 0, 1ULL << 62U, "first seed");
  schema.integer("seeds", seeds, 1, 1000, "runs of each policy");
  schema.integer("programs", programs, 1, 100000, "programs in a run");
  schema.real("rate", options.arrivals_per_second, 0.01, 10000,
              "programs that arrive a second");
  schema.integer("cache_blocks", cache_blocks, 16, 10000000,
                 "blocks of each engine's cache");
  schema.text("lines", lines_file, "writes a JSON line a run here");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-bench",
      "compares policies in virtual time on the real reducer", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  options.programs = static_cast<std::uint32_t>(programs);
  options.cache_blocks = cache_blocks;
  std::ofstream lines(lines_file);
  const std::uint64_t first_seed = options.seed;
  fmt::print("{}: mean (least-most) over {} seeds\n", options.profile, seeds);
  for (const policy_pair &policy : policies) {
    options.placement = policy.placement;
    options.scheduling = policy.scheduling;
    std::vector<sim::policy_run_result> results;
    for (std::uint64_t number = 0; number < seeds; ++number) {
      options.seed = first_seed + number;
      results.push_back(sim::run_policy(options));
      lines << json_line(options, results.back());
    }
    fmt::print(
        "{} + {}: utilisation {}, refusals {}, unfinished {}\n",
        policy.placement, policy.scheduling,
        spread(
            results, [](const auto &r) { return r.utilisation; }, 2),
        spread(
            results, [](const auto &r) { return double(r.refusals); }, 0),
        spread(
            results, [](const auto &r) { return double(r.unfinished); }, 0));
    for (const auto &[name, latency] : results.front().classes) {
      const std::string key = name;
      fmt::print(
          "  {:<10} p50 {} ms, p95 {} ms, slowdown {}\n", key,
          spread(
              results, [&](const auto &r) { return r.classes.at(key).p50_ms; },
              0),
          spread(
              results, [&](const auto &r) { return r.classes.at(key).p95_ms; },
              0),
          spread(
              results,
              [&](const auto &r) { return r.classes.at(key).median_slowdown; },
              2));
    }
    fmt::print(
        "  wasted cache {}: prefilled again {}, held for ended {}; cached {}; "
        "fairness gap {}\n",
        spread(
            results, [](const auto &r) { return r.wasted_share; }, 3),
        spread(
            results, [](const auto &r) { return r.refilled_share; }, 3),
        spread(
            results, [](const auto &r) { return r.ended_block_share; }, 4),
        spread(
            results, [](const auto &r) { return r.cached_share; }, 3),
        spread(
            results, [](const auto &r) { return r.fairness_gap; }, 2));
  }
  return EXIT_SUCCESS;
}
