// Load generator: runs a workload of programs against daemons over HTTP, and
// checks answers, recorded histories, bookings and the release of engine
// memory.
#pragma once

#include "bench/workload.hpp"
#include "http/client.hpp"
#include "runtime/fiber_pool.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::bench {

struct driver_options {
  std::vector<std::string> daemons; // HTTP addresses
  std::string platform;             // HTTP address; queried for booking counts
  std::vector<std::string> engines; // HTTP addresses; queried for held memory
  /// Time after which a call without a final answer counts as failed.
  std::chrono::seconds answer_timeout{60};
  std::uint64_t run = 0; // prefix of the idempotency keys, unique to this run
};

/// Outcome of one program.
struct program_result {
  std::string id;
  std::string name;
  std::string program_class;
  std::string tenant;
  bool finished = false;
  bool history_right = false;
  double latency_ms = 0;
  double no_wait_ms = 0; // sum of the pauses of the program itself
  std::uint32_t calls = 0;
  std::uint32_t retries = 0;
  std::uint32_t refusals = 0;
  std::uint32_t wrong_answers = 0;
  std::uint32_t bookings_confirmed = 0;
  std::uint32_t bookings_unknown = 0;
  std::string first_error; // empty when nothing failed
};

struct run_report {
  std::vector<program_result> programs;
  std::uint32_t bookings_run = 0;      // distinct bookings that ran
  std::uint32_t bookings_repeated = 0; // ran more than once
  std::uint32_t programs_holding_memory = 0;

  [[nodiscard]] std::uint32_t finished() const;
  /// Returns true when every program finished with the expected history, no
  /// booking ran twice, the number of bookings run fits those confirmed and
  /// unknown, and no engine memory is held.
  [[nodiscard]] bool succeeded() const;
};

/// Runs all programs, each from its arrival time, and checks the results.
/// Blocks the calling thread; must not be called from a fiber.
run_report run_workload(http::client &client, runtime::fiber_pool &fibers,
                        const driver_options &options,
                        const std::vector<program_plan> &programs);

/// Formats the report as readable text.
std::string format_report(const run_report &report);

/// Formats the report as one JSON object per line and program.
std::string report_lines(const run_report &report);

} // namespace heathtrestle::bench
