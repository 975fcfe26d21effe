// Runs the reducer on a pool of workers. Each worker takes events from its own
// queue, reduces them over the shared tables and runs the resulting effects.
//
// Events with the same ordering key (a partition, back end or client request)
// go to the same worker and are reduced in the order of their arrival.
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
/// Called with every event and its effects after the event was reduced. The
/// calls are in a total order only with a single worker.
using trace_writer =
    std::function<void(const wire::Event &, const effects::effect_list &)>;

class event_loop {
public:
  event_loop(core::node &node, runtime::fiber_pool &fibers,
             effect_runner run_effect, trace_writer trace);

  /// Queues an event. Its time and random number are set just before it is
  /// reduced.
  void post(wire::Event event);
  /// Closes the queues. The workers end once their queues are empty.
  void stop();

private:
  void work(std::size_t index);

  core::node &node_;
  effect_runner run_effect_;
  trace_writer trace_;
  std::vector<std::unique_ptr<runtime::mailbox<wire::Event>>> queues_;
};

/// Returns the number that selects the worker of an event. Events without a
/// key return 0.
std::uint64_t ordering_key(const wire::Event &event);

} // namespace heathtrestle::daemon
