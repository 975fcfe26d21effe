// Simulated model engine in virtual time, with batching, a prefix cache,
// deduplication by request id, resumable streams and fencing by epoch.
#pragma once

#include "sim/observations.hpp"
#include "sim/virtual_clock.hpp"
#include "stand_ins/engine/prefix_cache.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::sim {

struct engine_model {
  std::uint32_t batch = 8;
  std::size_t cache_blocks = 4096;
  double step_base_ms = 20; // a step makes one token per request
  double step_request_ms = 1;
  double prefill_token_ms = 0.05;
  std::uint32_t tokens_per_step = 4; // steps simulated as one event
};

/// Receives the progress and finish events of a stream.
using progress_sink = std::function<void(wire::Event)>;

class sim_engine {
public:
  sim_engine(std::string name, engine_model model, virtual_clock &clock,
             observations &seen);

  void start(const wire::StartEngineRequest &order, progress_sink sink);
  void cancel(const wire::CancelEngineRequest &order);
  /// @return false when the engine is dead or the order is stale.
  bool release(const wire::ReleaseEngineMemory &order);

  /// Raises the epoch below which orders are rejected.
  /// @return false when the engine is dead or `epoch` is stale.
  bool fence(std::uint64_t epoch);

  /// Ends the process: drops its generations, cache and epoch, and breaks its
  /// streams.
  void kill();
  void restart();

  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] const stand_ins::prefix_cache &cache() const { return cache_; }

  /// Totals of the work done since construction.
  struct totals {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Prefilled tokens that some engine had cached before.
    std::uint64_t refilled_tokens = 0;
    /// Time that requests occupied batch slots, summed over requests.
    double slot_ms = 0;
  };
  [[nodiscard]] const totals &work() const { return totals_; }

private:
  struct generation {
    std::string id;
    std::string program;
    std::uint32_t priority = 0;
    std::string prompt;
    std::string answer;
    std::size_t produced = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    bool done = false;
    std::vector<std::pair<progress_sink, std::size_t>> listeners;
  };

  void schedule_step();
  void step(std::uint64_t incarnation);
  void notify_listeners(generation &about);
  void send_finished(const wire::StartEngineRequest &order,
                     const progress_sink &sink, wire::DispatchStatus status,
                     std::string detail);

  std::string name_;
  engine_model model_;
  virtual_clock &clock_;
  observations &seen_;
  bool alive_ = true;
  std::uint64_t incarnation_ = 0;
  std::uint64_t epoch_ = 0;
  stand_ins::prefix_cache cache_;
  std::map<std::string, std::shared_ptr<generation>> generations_;
  std::vector<std::shared_ptr<generation>> waiting_;
  std::vector<std::shared_ptr<generation>> running_;
  bool stepping_ = false;
  totals totals_;
};

} // namespace heathtrestle::sim
