// Runs a storage node: receives messages, writes to disk and carries out the
// effects of its state machines. There is one `record_node` per partition of
// the record group; they share the identity, address and thread of the node.
#pragma once

#include "records/node_load.hpp"
#include "records/record_node.hpp"
#include "records/replica_storage.hpp"
#include "rpc/transport.hpp"
#include "runtime/asio.hpp"

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

/// The storage of one partition's replica and the state read from it.
struct partition_disk {
  std::unique_ptr<replica_storage> disk;
  recovered_state recovered;
};

/// Opens the storage of all partitions. Each partition after the first has a
/// folder of its own and takes the identity of the first. If one of them is
/// damaged, all are emptied and the node starts as one whose disk is lost: what
/// it has acknowledged may be missing, so it must not vote under its old
/// identity.
/// @param fresh_identity identity for an empty disk.
result<std::vector<partition_disk>>
open_partitions(const std::string &directory, std::size_t count,
                std::uint64_t fresh_identity);

class record_runtime {
public:
  /// @param self name, address and zone of this node.
  /// @param disks one for each partition; at least one.
  /// @param options used for every partition; the partition number is set here.
  record_runtime(asio::io_context &io, const wire::RecordMember &self,
                 std::vector<partition_disk> disks,
                 record_node_options options);

  /// Listens at `address` ("ip:port") and starts the periodic steps.
  result<void> start(const std::string &address);

  [[nodiscard]] const wire::RecordMember &self() const;
  /// True when the leader of every partition is known.
  [[nodiscard]] bool knows_leader() const;
  /// True while this node leads at least one partition.
  [[nodiscard]] bool leads_any() const;
  /// True when this node belongs to the group of at least one partition.
  [[nodiscard]] bool has_group() const;
  /// Creates the groups of all partitions with this node as the only voter.
  void bootstrap();
  /// Adds storage nodes listed by the object store or by a peer.
  void learn_members(const wire::RecordMembers &members);

  /// Sets the handler of gateway subscriptions to watched objects.
  void on_follow(std::function<void(const wire::FollowObjects &)> handler) {
    follow_handler_ = std::move(handler);
  }
  /// Sets the handler of notices of crashes, which it forwards to gateways.
  void on_crash_notice(std::function<void(const wire::CrashNotice &)> handler) {
    crash_notice_handler_ = std::move(handler);
  }
  /// Sets the handler of copies from the relay that this node follows.
  void on_copies(std::function<void(const wire::ObjectCopies &)> handler) {
    copies_handler_ = std::move(handler);
  }
  /// The storage nodes that are known.
  [[nodiscard]] wire::RecordMembers members() const {
    return partitions_.front().node->members();
  }
  /// Sends a message that belongs to no partition.
  void send_to(const std::string &address, const wire::Envelope &envelope) {
    transport_->send(address, envelope);
  }

  /// Sets the names of the nodes that the operator wants to remove.
  void set_retiring(const std::set<std::string> &names);
  /// True while this node reports on retiring nodes for the whole group, i.e.
  /// leads the first partition.
  [[nodiscard]] bool is_retirement_reporter() const;
  /// Names of the retiring nodes that can be shut down in every partition.
  /// Reports of other leaders are used for one second.
  [[nodiscard]] std::set<std::string> removable_nodes() const;

  /// Counters and gauges in the Prometheus text format.
  [[nodiscard]] std::string metrics() const;

private:
  struct partition {
    std::unique_ptr<replica_storage> disk;
    std::unique_ptr<record_node> node;
    /// Last report of removable nodes from the leader, when another node leads.
    std::set<std::string> reported_removable;
    timestamp reported_at{};
    std::unique_ptr<asio::steady_timer> batch_timer;
    bool batch_timer_armed = false;
    /// A step that applies the remaining entries is scheduled.
    bool apply_scheduled = false;
  };

  void on_message(wire::Envelope envelope);
  void process_arrived();
  void receive(arrived_message message);
  /// Schedules a step for the time at which queued requests are to be proposed.
  void arm_batch_timer(std::size_t number);
  void step(std::size_t number);
  /// Schedules a step that applies the entries left by the last one.
  void schedule_apply(std::size_t number);
  void send(std::size_t number, std::vector<addressed_message> &messages);
  void write(partition &written, record_effects &effects);
  /// Adds the turn bodies to messages.
  void fill_turn_bodies(std::size_t number,
                        std::vector<addressed_message> &messages);
  /// Counts the history turns in a reply.
  void count_history(const wire::Envelope &envelope);
  void compact(partition &compacted);
  void send_removable_nodes();
  /// Use of the disk by all partitions.
  [[nodiscard]] storage_counts disk_counts() const;
  /// Logs the load statistics once a second.
  void report_load();
  /// First half of a step, up to the write.
  record_effects reduce(partition &stepped);
  /// Second half of a step, after the write.
  record_effects apply(partition &stepped);
  asio::awaitable<void> tick();

  asio::io_context &io_;
  std::minstd_rand random_{
      std::random_device{}()}; // initialized before its users
  std::vector<partition> partitions_;
  std::set<std::size_t> partitions_with_input_;
  std::function<void(const wire::FollowObjects &)> follow_handler_;
  std::function<void(const wire::ObjectCopies &)> copies_handler_;
  std::function<void(const wire::CrashNotice &)> crash_notice_handler_;
  std::unique_ptr<rpc::transport> transport_;

  std::mutex mutex_;
  std::vector<arrived_message> arrived_; // guarded by mutex_
  bool processing_posted_ = false;       // guarded by mutex_

  std::uint64_t writes_ = 0;
  double write_seconds_ = 0;
  std::uint64_t steps_ = 0;
  node_load load_;
};

} // namespace heathtrestle::records
