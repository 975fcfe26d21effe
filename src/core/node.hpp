// The state machine of one daemon: membership, configuration, partitions,
// dispatch and the gateway role, changed only by events.
//
// `reduce` performs no I/O, and the time and the random numbers come with the
// event. The daemon, the simulator and replay therefore run the same code.
//
// Each table of the state has its own lock. A reduction acquires the locks of
// the tables that its event needs in the order of the `table` enumerators, so
// concurrent reductions cannot deadlock.
#pragma once

#include "cluster/partition_table.hpp"
#include "config/configuration_store.hpp"
#include "config/relay.hpp"
#include "dispatch/dispatch_table.hpp"
#include "effects/step.hpp"
#include "gateway/pending_table.hpp"
#include "membership/failure_detector.hpp"
#include "membership/member_table.hpp"
#include "wire/messages.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace heathtrestle::core {

using effects::effect_list;
using effects::step;

/// The tables of the state, in lock order.
enum class table : std::uint8_t {
  configuration,
  membership,
  partitions,
  dispatch,
  gateway,
};
inline constexpr std::size_t table_count = 5;

struct node_options {
  membership::detector_options detector;
  cluster::partition_options partitions;
  dispatch::dispatch_options dispatch;
  gateway::gateway_options gateway;
  config::relay_options relay;
  std::vector<std::string> seeds;
  /// The founding is proposed once the proposer knows this many running members
  /// that hold partitions.
  std::size_t founding_members = 3;
  std::uint32_t partition_count = 16;
  std::uint32_t replication = 3;
  /// Minimum time between two attempts to propose the founding.
  duration_ms founding_interval{2000};
  /// A drain ends after this long even if requests or replicas remain.
  duration_ms drain_limit{30000};
};

/// Counts for metrics and for the status of a node.
struct node_counts {
  std::uint32_t partitions_led = 0;
  std::uint32_t replicas = 0;
  std::uint32_t connections = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t members_running = 0;
  std::uint32_t partitions_known = 0; // partitions with a known leader
  std::uint64_t configuration_revision = 0;
};

class node {
public:
  node(wire::Member self, node_options options);

  /// Processes one event and returns its effects. Safe to call from any thread.
  effect_list reduce(const wire::Event &event);

  /// True once the cluster is founded and every partition has a known leader.
  [[nodiscard]] bool ready();
  [[nodiscard]] node_counts counts();
  /// The partition that holds a program; nothing until the cluster is founded.
  [[nodiscard]] std::optional<partition_id>
  partition_for(const std::string &program);

  /// Calls `action` with the configuration while holding its lock.
  template <typename Action> auto with_configuration(Action action) {
    const std::scoped_lock lock(lock_of(table::configuration));
    return action(std::as_const(configuration_));
  }

  /// Unlocked access to the tables, for tests and checkers that run without
  /// other threads.
  [[nodiscard]] const config::configuration_store &configuration() const {
    return configuration_;
  }
  [[nodiscard]] const membership::member_table &members() const {
    return members_;
  }
  [[nodiscard]] const cluster::partition_table &partitions() const {
    return partitions_;
  }
  [[nodiscard]] const dispatch::dispatch_table &dispatcher() const {
    return dispatch_;
  }
  [[nodiscard]] const gateway::pending_table &pending() const {
    return gateway_;
  }

private:
  std::mutex &lock_of(table which) {
    return locks_.at(static_cast<std::size_t>(which));
  }

  void reduce_tick(step &step);
  void reduce_received(const wire::Envelope &envelope, step &step);
  void reduce_peer_message(const wire::Envelope &envelope, step &step);
  /// Merges the member list entries, leader hints and configuration revision
  /// that every message can carry.
  void merge_gossip(const wire::Envelope &envelope, step &step);
  /// Proposes the founding of the cluster to the platform when this node is the
  /// first of the known partition holders and enough of them are running.
  void propose_founding(step &step);
  void apply_founding(const wire::Founding &founding, step &step);
  void announce_founding(step &step);
  void tick_drain(step &step);
  void fill_status_reply(std::uint64_t query, bool calls, std::uint32_t limit,
                         step &step, wire::StatusReply &reply);
  /// Fills in the sender, the receiver's address, the configuration revision
  /// and the gossip of all messages among the effects.
  void complete_messages(effect_list &effects);

  cluster::partition_view partition_view_of(step &step);
  dispatch::dispatch_view dispatch_view_of(step &step);
  gateway::gateway_view gateway_view_of(step &step);

  node_options options_;
  std::array<std::mutex, table_count> locks_;

  config::configuration_store configuration_;
  config::relay relay_;
  membership::member_table members_;
  membership::failure_detector detector_;
  cluster::partition_table partitions_;
  dispatch::dispatch_table dispatch_;
  gateway::pending_table gateway_;

  timestamp next_founding_{};
  bool draining_ = false;
  bool drained_ = false;
  timestamp drain_started_{};
};

} // namespace heathtrestle::core
