#include "runtime/fiber_pool.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <utility>

namespace heathtrestle::runtime {

namespace {

/// Launches every task as a fiber; returns when all of them have ended.
void run_worker(mailbox<fiber_pool::task> &tasks) {
  std::size_t running = 0;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable ended;
  while (auto work = tasks.pop()) {
    ++running;
    boost::fibers::fiber([&, task = std::move(*work)] {
      task();
      const std::scoped_lock lock(mutex);
      --running;
      ended.notify_one();
    }).detach();
  }
  std::unique_lock lock(mutex);
  ended.wait(lock, [&running] { return running == 0; });
}

} // namespace

fiber_pool::fiber_pool(std::size_t threads) {
  for (std::size_t index = 0; index < threads; ++index) {
    workers_.push_back(std::make_unique<worker>());
    worker &started = *workers_.back();
    started.thread = std::thread([&started] { run_worker(started.tasks); });
  }
}

fiber_pool::~fiber_pool() {
  for (const auto &each : workers_) {
    each->tasks.close();
  }
  for (const auto &each : workers_) {
    each->thread.join();
  }
}

void fiber_pool::spawn(task work) {
  spawn_on(next_.fetch_add(1, std::memory_order_relaxed), std::move(work));
}

void fiber_pool::spawn_on(std::size_t index, task work) {
  workers_[index % workers_.size()]->tasks.push(std::move(work));
}

} // namespace heathtrestle::runtime
