// The stand-in platform: an object store with versions, compare-and-set and
// watches, a lagging list of machines, a rate-limited weight store and tool
// services. Injected faults make it unavailable, slow, or lose the response
// after a change has taken effect.
#pragma once

#include "http/server.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace heathtrestle::stand_ins {

struct platform_settings {
  std::string address;
  std::uint64_t watcher_limit = 4;     // concurrent watches
  std::uint64_t machine_lag_ms = 2000; // delay of the machine list
  std::uint64_t weight_rate = 2;       // weight reads a second
  std::uint64_t tool_delay_ms = 20;    // time a tool takes
  std::string log_level = "warning";
};

class platform {
public:
  platform(platform_settings settings, runtime::fiber_pool &fibers);

  void handle(http::exchange &exchange);

private:
  enum class fault : std::uint8_t { none, down, slow, lose_answers };

  struct stored {
    std::uint64_t version = 0;
    std::string change_id;
    std::string document;
    bool removed = false;
  };
  struct invocation {
    std::uint64_t runs = 0;
    std::string result;
  };
  using object_key = std::pair<std::string, std::string>; // kind, name

  void handle_object(http::exchange &exchange, const object_key &key);
  void read_object(http::exchange &exchange, const object_key &key);
  void write_object(http::exchange &exchange, const object_key &key);
  void watch(http::exchange &exchange);
  void set_fault(http::exchange &exchange);
  void set_machine(http::exchange &exchange, const std::string &name);
  void invoke_tool(http::exchange &exchange, const std::string &tool);
  void query_invocation(http::exchange &exchange, const std::string &tool);
  void set_tool_mode(http::exchange &exchange, const std::string &tool);
  void count_invocations(http::exchange &exchange, const std::string &tool);
  void read_weights(http::exchange &exchange, const std::string &model);
  /// Applies the injected fault to a request.
  /// @return false when an error response has been sent.
  bool apply_fault(http::exchange &exchange);
  std::uint64_t put(const object_key &key, stored object);

  platform_settings settings_;
  runtime::fiber_pool &fibers_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  std::map<object_key, stored> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t watchers_ = 0;
  fault fault_ = fault::none;
  std::uint64_t slow_ms_ = 0;
  std::map<std::string, std::map<std::string, invocation>> invocations_;
  std::map<std::string, std::string> tool_modes_; // "answer" or "hang"
  std::chrono::steady_clock::time_point weight_window_{};
  std::uint64_t weight_reads_ = 0;
};

} // namespace heathtrestle::stand_ins
