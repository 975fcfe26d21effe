// A running daemon: owns the reducer and its sockets, fibers and timers.
#pragma once

#include "core/node.hpp"
#include "daemon/client_registry.hpp"
#include "daemon/daemon_settings.hpp"
#include "daemon/event_loop.hpp"
#include "http/client.hpp"
#include "http/io_thread.hpp"
#include "http/server.hpp"
#include "platform_client/platform_client.hpp"
#include "rpc/transport.hpp"
#include "runtime/fiber_pool.hpp"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace heathtrestle::daemon {

class daemon_runtime {
public:
  explicit daemon_runtime(daemon_settings settings);
  ~daemon_runtime();
  daemon_runtime(const daemon_runtime &) = delete;
  daemon_runtime &operator=(const daemon_runtime &) = delete;

  /// Opens the sockets and starts all components.
  result<void> start();
  /// Starts a graceful shutdown: stops accepting connections and requests a
  /// drain from the reducer.
  void begin_drain();
  /// Blocks until the graceful shutdown is complete.
  void wait_until_drained();

  void post(wire::Event event) { loop_->post(std::move(event)); }
  /// Returns a request id that is unique in the cluster.
  std::string new_request_id();

  core::node &node() { return *node_; }
  client_registry &clients() { return clients_; }
  platform_client::platform_client &platform() { return platform_; }
  const daemon_settings &settings() const { return settings_; }
  rpc::transport_counts transport_counts() const {
    return transport_->counts();
  }

private:
  void run_effect(wire::Effect effect);
  void send(wire::SendMessage message);
  void propose_founding(const wire::Founding &founding);
  void watch_platform();
  void tick();
  void write_trace(const wire::Event &event,
                   const effects::effect_list &effects);

  daemon_settings settings_;
  std::uint64_t boot_;
  http::io_thread io_;
  http::client client_;
  platform_client::platform_client platform_;
  client_registry clients_;
  std::unique_ptr<core::node> node_;
  std::unique_ptr<runtime::fiber_pool> fibers_;
  std::unique_ptr<event_loop> loop_;
  std::unique_ptr<rpc::transport> transport_;
  std::unique_ptr<http::server> server_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> watching_{false};
  std::atomic<bool> founding_proposal_pending_{false};
  std::atomic<std::uint64_t> next_request_{0};
  std::mutex drain_mutex_;
  std::condition_variable drained_changed_;
  bool drained_ = false;
  std::mutex trace_mutex_;
  std::ofstream trace_;
};

} // namespace heathtrestle::daemon
