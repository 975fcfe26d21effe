// Runs a profile's workload in virtual time with one placement and one
// scheduling policy, and measures the result. docs/MEASURES.md defines the
// measures.
#pragma once

#include "sim/world.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace heathtrestle::sim {

struct policy_run_options {
  std::string profile = "bagmati-valley";
  std::string placement = "affinity";
  std::string scheduling = "fair_priority";
  std::uint64_t seed = 1;
  std::uint32_t programs = 600;
  double arrivals_per_second = 4;
  std::size_t cache_blocks = 3000;
  std::size_t nodes = 5;
};

struct class_latency {
  std::size_t programs = 0;
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  /// Median ratio of a program's latency to the pauses it makes itself.
  double median_slowdown = 0;
};

struct policy_run_result {
  std::map<std::string, class_latency> classes;
  std::size_t unfinished = 0;
  std::size_t refusals = 0;
  double utilisation = 0;       // of the engines' batch slots, from 0 to 1
  double refilled_share = 0;    // of prompt tokens, prefilled again
  double cached_share = 0;      // of prompt tokens, found cached
  double ended_block_share = 0; // of block-seconds, held for ended programs
  double wasted_share = 0;      // refilled_share + ended_block_share
  /// Relative excess of the worst tenant's median slowdown over the median
  /// slowdown of all programs; 0 when no tenant exceeds it.
  double fairness_gap = 0;
};

policy_run_result run_policy(const policy_run_options &options);

} // namespace heathtrestle::sim
