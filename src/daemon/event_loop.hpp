// Runs the reducer: a pool of workers takes events, reduces them over the
// shared tables, and hands the effects on.
//
// Events about the same partition, back end or connection go to the same
// worker, so they are reduced in the order in which they came.
#pragma once

#include "core/node.hpp"
#include "runtime/fiber_pool.hpp"
#include "runtime/mailbox.hpp"
#include "wire/messages.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace heathtrestle::daemon {

using effect_runner = std::function<void(wire::Effect)>;
/// Sees every event with its effects, in order, when there is one worker.
using trace_writer =
    std::function<void(const wire::Event &, const effects::effect_list &)>;

class event_loop {
public:
  event_loop(core::node &node, runtime::fiber_pool &fibers,
             effect_runner run_effect, trace_writer trace);

  /// Adds an event; its time and random number are set when it is reduced.
  void post(wire::Event event);
  /// Lets the workers end once their queues are empty.
  void stop();

private:
  void work(std::size_t index);

  core::node &node_;
  effect_runner run_effect_;
  trace_writer trace_;
  std::vector<std::unique_ptr<runtime::mailbox<wire::Event>>> queues_;
};

/// The number that decides which worker reduces an event.
std::uint64_t ordering_key(const wire::Event &event);

} // namespace heathtrestle::daemon
