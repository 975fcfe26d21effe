// Plays programs against real daemons as their callers would, and checks every
// answer, every history and every booking.
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
  std::string platform;             // HTTP address, to count bookings
  std::vector<std::string> engines; // HTTP addresses, to look for memory
  /// A call that has no final answer after this is counted as failed.
  std::chrono::seconds patience{60};
  std::uint64_t run = 0; // makes the keys of this run unlike any other's
};

/// What came of one program.
struct program_result {
  std::string id;
  std::string name;
  std::string program_class;
  std::string tenant;
  bool finished = false;
  bool history_right = false;
  double latency_ms = 0;
  double no_wait_ms = 0; // pauses alone
  std::uint32_t calls = 0;
  std::uint32_t retries = 0;
  std::uint32_t refusals = 0;
  std::uint32_t wrong_answers = 0;
  std::uint32_t bookings_confirmed = 0;
  std::uint32_t bookings_unknown = 0;
  std::string complaint; // the first thing that went wrong
};

struct run_report {
  std::vector<program_result> programs;
  std::uint32_t bookings_run = 0;      // distinct bookings that ran
  std::uint32_t bookings_repeated = 0; // ran more than once
  std::uint32_t programs_holding_memory = 0;

  [[nodiscard]] std::uint32_t finished() const;
  /// True when every program finished, with the right history, no booking ran
  /// twice, each confirmed one ran, and no engine memory is held.
  [[nodiscard]] bool all_right() const;
};

/// Plays a workload to its end.
run_report run_workload(http::client &client, runtime::fiber_pool &fibers,
                        const driver_options &options,
                        const std::vector<program_plan> &programs);

/// The report as text for people.
std::string format_report(const run_report &report);

/// One JSON object a program.
std::string report_lines(const run_report &report);

} // namespace heathtrestle::bench
