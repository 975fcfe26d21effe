// Runs one storage node: takes messages from the network, writes to the disk,
// and carries out what the reducer wants.
#pragma once

#include "records/record_node.hpp"
#include "rpc/transport.hpp"
#include "runtime/asio.hpp"
#include "storage/log_storage.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

#include <prometheus/registry.h>

namespace heathtrestle::records {

class record_runtime {
public:
  /// @param self name, address and zone of this node.
  record_runtime(asio::io_context &io, wire::RecordMember self,
                 std::unique_ptr<storage::log_storage> disk,
                 storage::recovered_state recovered,
                 record_node_options options);

  /// Starts to listen at `address` ("ip:port") and to tick.
  result<void> start(const std::string &address);

  [[nodiscard]] record_node &node() { return node_; }
  /// Makes this node the founder of the group.
  void found();
  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string metrics() const;

private:
  void on_message(wire::Envelope envelope);
  void drain();
  void step();
  void send(std::vector<addressed_message> &messages);
  void write(const record_effects &effects);
  void compact();
  asio::awaitable<void> tick();

  asio::io_context &io_;
  std::unique_ptr<storage::log_storage> disk_;
  std::minstd_rand random_{std::random_device{}()}; // before node_, which draws
  record_node node_;
  std::unique_ptr<rpc::transport> transport_;

  std::mutex mutex_;
  std::vector<wire::Envelope> arrived_; // guarded by mutex_
  bool drain_posted_ = false;           // guarded by mutex_

  std::uint64_t writes_ = 0;
  double write_seconds_ = 0;
  std::uint64_t steps_ = 0;
};

} // namespace heathtrestle::records
