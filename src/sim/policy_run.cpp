#include "sim/policy_run.hpp"

#include "bench/statistics.hpp"
#include "sim/caller.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace heathtrestle::sim {

namespace {

constexpr microseconds sample_interval = per_second;
constexpr double milliseconds_per_second = 1000.0;

using caller_list = std::vector<std::shared_ptr<caller>>;

/// Block-seconds estimated by sampling the engines' caches.
struct cache_samples {
  double held = 0;
  double held_for_ended = 0;
};

void sample_caches(world &cluster, const caller_list &callers,
                   cache_samples &samples) {
  std::set<std::string> ended;
  for (const auto &each : callers) {
    if (each->ended()) {
      ended.insert(each->program());
    }
  }
  for (std::size_t index = 0; index < cluster.engine_count(); ++index) {
    const stand_ins::prefix_cache &cache = cluster.engine(index).cache();
    for (const std::string &program : cache.programs()) {
      const auto blocks = static_cast<double>(cache.blocks_of(program).size());
      samples.held += blocks;
      samples.held_for_ended += ended.contains(program) ? blocks : 0;
    }
  }
}

void sample_regularly(world &cluster, const caller_list &callers,
                      cache_samples &samples) {
  cluster.clock().after(sample_interval, [&] {
    sample_caches(cluster, callers, samples);
    sample_regularly(cluster, callers, samples);
  });
}

class_latency latency_of(const caller_list &callers,
                         const std::string &program_class) {
  std::vector<double> latencies;
  std::vector<double> slowdowns;
  for (const auto &each : callers) {
    const bool counts =
        each->ended() && each->plan().program_class == program_class;
    if (counts) {
      latencies.push_back(each->latency_ms());
      slowdowns.push_back(each->latency_ms() /
                          std::max(1.0, each->no_wait_ms()));
    }
  }
  return {.programs = latencies.size(),
          .p50_ms = bench::quantile(latencies, 0.50),
          .p95_ms = bench::quantile(latencies, 0.95),
          .p99_ms = bench::quantile(latencies, 0.99),
          .median_slowdown = bench::quantile(slowdowns, 0.50)};
}

/// Compares the median slowdown of the worst tenant with the median of all
/// programs.
double fairness_gap_of(const caller_list &callers) {
  std::map<std::string, std::vector<double>> slowdowns;
  std::vector<double> all;
  for (const auto &each : callers) {
    if (each->ended()) {
      const double slowdown =
          each->latency_ms() / std::max(1.0, each->no_wait_ms());
      slowdowns[each->plan().tenant].push_back(slowdown);
      all.push_back(slowdown);
    }
  }
  double worst = 0;
  for (const auto &[tenant, values] : slowdowns) {
    worst = std::max(
        worst, bench::quantile(values, 0.5) / bench::quantile(all, 0.5) - 1.0);
  }
  return worst;
}

void measure_engines(world &cluster, microseconds span,
                     const cache_samples &samples, policy_run_result &result) {
  double slot_ms = 0;
  double prompt = 0;
  double cached = 0;
  double refilled = 0;
  for (std::size_t index = 0; index < cluster.engine_count(); ++index) {
    const sim_engine::totals &work = cluster.engine(index).work();
    slot_ms += work.slot_ms;
    prompt += static_cast<double>(work.prompt_tokens);
    cached += static_cast<double>(work.cached_tokens);
    refilled += static_cast<double>(work.refilled_tokens);
  }
  const double slots = static_cast<double>(cluster.engine_count()) *
                       cluster.options().engine.batch;
  result.utilisation =
      slot_ms / (slots * static_cast<double>(span) / per_millisecond);
  result.refilled_share = refilled / std::max(1.0, prompt);
  result.cached_share = cached / std::max(1.0, prompt);
  result.ended_block_share =
      samples.held_for_ended / std::max(1.0, samples.held);
  result.wasted_share = result.refilled_share + result.ended_block_share;
}

} // namespace

policy_run_result run_policy(const policy_run_options &options) {
  const bench::profile owner = bench::profile_named(options.profile);
  world_options settings;
  settings.seed = options.seed;
  settings.nodes = options.nodes;
  settings.zones = owner.zones.size();
  settings.engines = owner.engines;
  settings.engine.cache_blocks = options.cache_blocks;
  settings.node.partition_count = 32;
  settings.node.partitions.programs.placement = options.placement;
  settings.node.dispatch.scheduling = options.scheduling;
  settings.cross_zone_latency = owner.name == "ensam" ? 500 : 1500;
  world cluster(settings);
  cluster.clock().after(per_second, [&] { cluster.configure(owner); });
  cluster.clock().run_until(12 * per_second);

  bench::workload_options workload;
  workload.profile = owner.name;
  workload.seed = options.seed;
  workload.programs = options.programs;
  workload.arrivals_per_second = options.arrivals_per_second;
  const auto plans = bench::make_workload(workload);
  caller_options caller_settings;
  caller_settings.reply_timeout = 600 * per_second;
  caller_list callers;
  for (std::size_t number = 0; number < plans.size(); ++number) {
    callers.push_back(std::make_shared<caller>(cluster, plans[number], number,
                                               caller_settings));
    callers.back()->start();
  }
  cache_samples samples;
  sample_regularly(cluster, callers, samples);
  const auto span =
      static_cast<microseconds>(options.programs / options.arrivals_per_second *
                                milliseconds_per_second * per_millisecond);
  const microseconds began = cluster.clock().now();
  cluster.clock().run_until(began + span);

  policy_run_result result;
  // Measured when arrivals end, so that the falling load afterwards does not
  // lower the utilisation.
  measure_engines(cluster, span, samples, result);
  cluster.clock().run_until(began + span + 300 * per_second);
  for (const bench::class_plan &each : owner.classes) {
    result.classes[each.name] = latency_of(callers, each.name);
  }
  result.unfinished = static_cast<std::size_t>(
      std::count_if(callers.begin(), callers.end(),
                    [](const auto &each) { return !each->ended(); }));
  result.refusals = static_cast<std::size_t>(std::count_if(
      cluster.seen().answers.begin(), cluster.seen().answers.end(),
      [](const final_answer &answer) { return !answer.completed; }));
  result.fairness_gap = fairness_gap_of(callers);
  return result;
}

} // namespace heathtrestle::sim
