// A fixed number of threads that run fibers.
#pragma once

#include "runtime/mailbox.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace heathtrestle::runtime {

class fiber_pool {
public:
  using task = std::function<void()>;

  /// @param threads at least 1.
  explicit fiber_pool(std::size_t threads);
  /// Waits until every fiber has ended.
  ~fiber_pool();
  fiber_pool(const fiber_pool &) = delete;
  fiber_pool &operator=(const fiber_pool &) = delete;

  /// Runs `work` as a fiber of its own on one of the threads.
  void spawn(task work);
  /// Runs `work` as a fiber on the thread with number `index % size()`.
  void spawn_on(std::size_t index, task work);

  [[nodiscard]] std::size_t size() const { return workers_.size(); }

private:
  struct worker {
    mailbox<task> tasks;
    std::thread thread;
  };

  std::vector<std::unique_ptr<worker>> workers_;
  std::atomic<std::size_t> next_{0};
};

} // namespace heathtrestle::runtime
