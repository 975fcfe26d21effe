// Runs one storage node: takes messages from the network, writes to the disk,
// and carries out what the reducers want. One reducer for each partition of the
// record group; they share the node's identity, address and thread.
#pragma once

#include "records/node_load.hpp"
#include "records/record_node.hpp"
#include "rpc/transport.hpp"
#include "runtime/asio.hpp"
#include "storage/log_storage.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace heathtrestle::records {

/// One partition's replica on this node, as it was found on the disk.
struct partition_disk {
  std::unique_ptr<storage::log_storage> disk;
  storage::recovered_state recovered;
};

/// Opens the databases of all partitions; those behind the first have folders
/// of their own, and the first one's identity.
/// @param fresh_identity the identity of a disk that is empty.
result<std::vector<partition_disk>>
open_partitions(const std::string &directory, std::size_t count,
                std::uint64_t fresh_identity);

class record_runtime {
public:
  /// @param self name, address and zone of this node.
  /// @param disks one for each partition; one at least.
  /// @param options of each partition; its number is filled in here.
  record_runtime(asio::io_context &io, const wire::RecordMember &self,
                 std::vector<partition_disk> disks,
                 record_node_options options);

  /// Starts to listen at `address` ("ip:port") and to tick.
  result<void> start(const std::string &address);

  [[nodiscard]] const wire::RecordMember &self() const;
  /// True when it is known of each partition who leads it.
  [[nodiscard]] bool knows_leader() const;
  /// True while this node leads some partition.
  [[nodiscard]] bool leads_any() const;
  /// True when this node has a part in the group, of any partition.
  [[nodiscard]] bool has_group() const;
  /// Makes this node the founder of every partition.
  void bootstrap();
  /// Storage nodes that the object store or a peer knows of.
  void learn_members(const wire::RecordMembers &members);

  /// Gets what gateways ask of this node's copies of watched objects.
  void on_follow(std::function<void(const wire::FollowObjects &)> handler) {
    follow_handler_ = std::move(handler);
  }
  /// Sends a message that concerns no partition.
  void send_to(const std::string &address, const wire::Envelope &envelope) {
    transport_->send(address, envelope);
  }

  /// Names of the nodes whose machines are to be emptied.
  void set_retiring(const std::set<std::string> &names);
  /// True when this node is the one that reports on emptied machines: the first
  /// partition's leader.
  [[nodiscard]] bool is_retirement_reporter() const;
  /// Machines that hold nothing which the others lack, in any partition. What
  /// other leaders told counts for a second.
  [[nodiscard]] std::set<std::string> removable_nodes() const;

  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string metrics() const;

private:
  struct partition {
    std::unique_ptr<storage::log_storage> disk;
    std::unique_ptr<record_node> node;
    /// What its leader told last of emptied machines, when another node leads.
    std::set<std::string> reported_removable;
    timestamp reported_at{};
    std::unique_ptr<asio::steady_timer> batch_timer;
    bool batch_timer_armed = false;
    /// Another step is posted, to apply what the last one left.
    bool apply_scheduled = false;
  };

  void on_message(wire::Envelope envelope);
  void process_arrived();
  void receive(wire::Envelope envelope);
  /// Steps again when questions that wait to be joined are due.
  void arm_batch_timer(std::size_t number);
  void step(std::size_t number);
  /// Steps again soon for entries that one step left unapplied.
  void schedule_apply(std::size_t number);
  void send(std::size_t number, std::vector<addressed_message> &messages);
  void write(partition &written, record_effects &effects);
  /// Completes the turns that messages name.
  void fill_turn_bodies(std::size_t number,
                        std::vector<addressed_message> &messages);
  /// Notes the turns with their bodies that an answer brings.
  void count_history(const wire::Envelope &envelope);
  void compact(partition &compacted);
  void send_removable_nodes();
  /// Logs what the node was kept busy with, once a second.
  void report_load();
  /// The reducer's part of a step.
  record_effects reduce(partition &stepped);
  /// The part of a step behind the write.
  record_effects apply(partition &stepped);
  asio::awaitable<void> tick();

  asio::io_context &io_;
  std::minstd_rand random_{std::random_device{}()}; // before what draws from it
  std::vector<partition> partitions_;
  std::set<std::size_t> partitions_with_input_;
  std::function<void(const wire::FollowObjects &)> follow_handler_;
  std::unique_ptr<rpc::transport> transport_;

  std::mutex mutex_;
  std::vector<wire::Envelope> arrived_; // guarded by mutex_
  bool processing_posted_ = false;      // guarded by mutex_
  timestamp first_arrived_{};           // guarded by mutex_

  std::uint64_t writes_ = 0;
  double write_seconds_ = 0;
  std::uint64_t steps_ = 0;
  node_load load_;
};

} // namespace heathtrestle::records
