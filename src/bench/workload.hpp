// Generates reproducible workloads of agent programs from a seed. The calls of
// each program are planned in advance; the scheduler does not know the plan.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::bench {

enum class call_kind : std::uint8_t { chat, tool };

/// One call of a program.
struct call_plan {
  call_kind kind = call_kind::chat;
  std::string agent = "main";
  std::string target;            // model or tool
  std::string text;              // the user's message, or the tool's argument
  std::uint32_t max_tokens = 64; // chat only
  bool unrepeatable = false;
  /// Pause of the program after the answer.
  std::chrono::milliseconds pause{0};
};

/// Calls sent concurrently; the next stage waits for all of them.
struct stage_plan {
  std::vector<call_plan> calls;
};

struct program_plan {
  std::chrono::milliseconds arrival{0}; // after the start of the workload
  std::string tenant;
  std::string program_class;
  std::string name;
  std::vector<stage_plan> stages;
};

struct tenant_plan {
  std::string name;
  std::uint32_t weight = 1;
};

struct class_plan {
  std::string name;
  std::uint32_t priority = 0;
};

/// An installation: its zones, engines, tenants and program classes.
struct profile {
  std::string name;
  std::vector<std::string> zones;
  std::uint32_t engines = 1;
  std::vector<tenant_plan> tenants;
  std::vector<class_plan> classes;
};

struct workload_options {
  std::string profile = "bagmati-valley";
  std::uint64_t seed = 1;
  std::uint32_t programs = 100;
  double arrivals_per_second = 10; // open loop
  /// Scales the lengths of prompts and answers and the pauses.
  double scale = 1.0;
  /// Share of programs in the most urgent class, from 0 to 1; negative: the
  /// profile's own.
  double urgent_share = -1.0;
  /// Share of chat calls that must not run twice, from 0 to 1.
  double unrepeatable_share = 0.0;
};

/// @param name "bagmati-valley" or "ensam".
profile profile_named(std::string_view name);

std::vector<program_plan> make_workload(const workload_options &options);

} // namespace heathtrestle::bench
