// The stand-in model engine: continuous batching with a step-time model, a
// bounded prefix cache, priorities, resumable streams, and requests fenced by
// epoch.
#pragma once

#include "http/server.hpp"
#include "stand_ins/engine/prefix_cache.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::stand_ins {

struct engine_settings {
  std::string address;
  std::string model = "model-a";
  std::uint64_t batch = 8; // maximum requests in a batch
  std::uint64_t cache_blocks = 4096;
  double step_base_ms = 4.0;        // per decoding step
  double step_request_ms = 0.5;     // per request in the step
  double prefill_token_ms = 0.02;   // per token that is not cached
  std::uint64_t load_lag_ms = 1000; // delay of the load report
  std::uint64_t event_lag = 8;      // newest cache events not reported yet
  std::uint64_t event_gap = 16;     // one event in this many is dropped
  std::string log_level = "warning";
};

class engine {
public:
  engine(engine_settings settings, runtime::fiber_pool &fibers);

  void handle(http::exchange &exchange);

private:
  struct generation {
    std::string id;
    std::string program;
    std::uint32_t priority = 0;
    std::string prompt;
    std::string answer;
    std::string message;      // the answer as an assistant message
    std::size_t produced = 0; // bytes of the answer generated so far
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    bool prefilled = false;
    bool done = false;
    bool cancelled = false;
    std::chrono::steady_clock::time_point finished{};
  };

  struct load_sample {
    std::chrono::steady_clock::time_point taken;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t blocks = 0;
  };

  void complete(http::exchange &exchange);
  void stream(http::exchange &exchange, const std::shared_ptr<generation> &from,
              std::size_t offset);
  void cancel(http::exchange &exchange);
  void release(http::exchange &exchange);
  void report_load(http::exchange &exchange);
  void report_events(http::exchange &exchange);
  void report_programs(http::exchange &exchange);
  void export_cache(http::exchange &exchange);
  void import_cache(http::exchange &exchange);
  void start_drain(http::exchange &exchange);
  /// Records the request's epoch when it is the highest so far.
  /// @return false when the epoch is stale; status 409 has been sent then.
  bool check_epoch(http::exchange &exchange);

  void run();
  /// Admits waiting requests and generates one token for each running one.
  /// @return the simulated duration of the step.
  std::chrono::duration<double, std::milli> step();
  void finish(generation &done);
  void expire_generations();

  engine_settings settings_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  prefix_cache cache_;
  std::map<std::string, std::shared_ptr<generation>> generations_;
  std::vector<std::shared_ptr<generation>> waiting_;
  std::vector<std::shared_ptr<generation>> running_;
  std::deque<load_sample> load_;
  std::uint64_t epoch_ = 0;
  bool draining_ = false;
};

} // namespace heathtrestle::stand_ins
