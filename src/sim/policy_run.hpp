// One measured run of a policy: a profile's workload in virtual time on the
// real reducer and policies. docs/MEASURES.md defines what is measured.
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
  /// Median of latency over the pauses that the program itself makes.
  double median_slowdown = 0;
};

struct policy_run_result {
  std::map<std::string, class_latency> classes;
  std::size_t unfinished = 0;
  std::size_t refusals = 0;
  double utilisation = 0;       // of the engines' batch slots, from 0 to 1
  double refilled_share = 0;    // prompt tokens prefilled again, of all
  double cached_share = 0;      // prompt tokens found cached, of all
  double ended_block_share = 0; // block-seconds held for ended programs, of all
  double wasted_share = 0;      // the two kinds of waste together
  /// Largest shortfall of a tenant against its weighted share of service while
  /// all tenants had work, from 0 to 1.
  double fairness_gap = 0;
};

policy_run_result run_policy(const policy_run_options &options);

} // namespace heathtrestle::sim
