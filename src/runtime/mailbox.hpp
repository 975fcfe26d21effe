// An unbounded queue between threads whose consumer waits as a fiber.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace heathtrestle::runtime {

template <typename Item> class mailbox {
public:
  void push(Item item) {
    {
      const std::scoped_lock lock(mutex_);
      items_.push_back(std::move(item));
    }
    filled_.notify_one();
  }

  /// Lets `pop` return nothing once the queue is empty.
  void close() {
    {
      const std::scoped_lock lock(mutex_);
      closed_ = true;
    }
    filled_.notify_all();
  }

  /// Waits for the next item.
  /// @return nothing when the mailbox is closed and empty.
  std::optional<Item> pop() {
    std::unique_lock lock(mutex_);
    filled_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return take();
  }

  /// Waits for the next item, at most until `deadline`.
  std::optional<Item>
  pop_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock(mutex_);
    filled_.wait_until(lock, deadline,
                       [this] { return closed_ || !items_.empty(); });
    return take();
  }

private:
  std::optional<Item> take() {
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<Item> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable filled_;
  std::deque<Item> items_;
  bool closed_ = false;
};

} // namespace heathtrestle::runtime
