// Deterministic simulation of a cluster in one process and virtual time. It
// runs the real reducer of each daemon without sockets, and simulates links,
// engines, tools, the platform and client connections. The seed determines the
// run.
#pragma once

#include "bench/workload.hpp"
#include "core/node.hpp"
#include "sim/mutation.hpp"
#include "sim/observations.hpp"
#include "sim/sim_engine.hpp"
#include "sim/sim_platform.hpp"
#include "sim/virtual_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace heathtrestle::sim {

struct world_options {
  std::uint64_t seed = 1;
  std::size_t nodes = 5;
  std::size_t zones = 3;
  std::size_t engines = 4;
  engine_model engine;
  core::node_options node;
  microseconds zone_latency = 250;        // one way inside a zone
  microseconds cross_zone_latency = 1500; // one way between zones
  double jitter = 0.3;                    // share of the latency
  double loss = 0.0;                      // share of messages lost
  double duplication = 0.0;               // share of messages sent twice
  microseconds tick = 50 * per_millisecond;
  microseconds tool_time = 20 * per_millisecond;
  /// Encodes and decodes every message between daemons, so that measured
  /// processor time includes serialization.
  bool encode_messages = false;
  mutation switched_off = mutation::none;
  /// Called with every reduced event and its effects.
  std::function<void(std::size_t node, const wire::Event &,
                     const effects::effect_list &)>
      observe;
};

/// Messages and bytes sent between daemons.
struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0; // payload and an allowance for headers
  std::map<std::string, std::uint64_t> messages_by_kind;
  std::map<std::string, std::uint64_t> bytes_by_kind;
};

class world {
public:
  explicit world(world_options options);

  virtual_clock &clock() { return clock_; }
  observations &seen() { return seen_; }
  sim_platform &platform() { return platform_; }
  std::mt19937_64 &random() { return random_; }
  const world_options &options() const { return options_; }

  // ---- daemons
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  [[nodiscard]] bool alive(std::size_t node) const;
  [[nodiscard]] bool reachable(std::size_t node) const;
  /// True when callers can connect: alive and not being stopped.
  [[nodiscard]] bool accepting(std::size_t node) const;
  /// The member record with which the node's current process started.
  [[nodiscard]] const wire::Member &initial_member(std::size_t node) const {
    return nodes_[node].member;
  }
  core::node &node(std::size_t index) { return *nodes_[index].running; }
  /// Kills a process, which loses all its state, and breaks its connections.
  void kill(std::size_t node);
  /// Starts a process again under the same name.
  void restart(std::size_t node);
  /// Suspends a process; events that arrive meanwhile are delivered when it
  /// resumes.
  void freeze(std::size_t node, microseconds duration);
  /// Starts a planned stop.
  void drain(std::size_t node);

  // ---- links
  /// Drops the messages from `from` to `to` for the duration.
  void cut(std::size_t from, std::size_t to, microseconds duration);
  void cut_zone(std::size_t zone, microseconds duration);
  [[nodiscard]] std::size_t zone_of(std::size_t node) const {
    return node % options_.zones;
  }

  // ---- back ends and tools
  sim_engine &engine(std::size_t index) { return *engines_[index]; }
  [[nodiscard]] std::size_t engine_count() const { return engines_.size(); }
  /// Records that a fault lasts for this long from now.
  void extend_fault_period(microseconds duration) {
    last_fault_end_ = std::max(last_fault_end_, clock_.now() + duration);
  }
  [[nodiscard]] microseconds last_fault_end() const { return last_fault_end_; }
  void hang_tool(microseconds duration) {
    tool_hangs_until_ = clock_.now() + duration;
  }

  // ---- configuration
  /// Writes an object at its current version; retries while the platform is
  /// down.
  void write_object(const std::string &kind, const std::string &name,
                    const std::string &document);
  /// Writes the tenants, classes, models, tools and back ends of a profile.
  void configure(const bench::profile &profile);

  // ---- callers
  using reply_sink = std::function<void(const wire::ClientReply &)>;
  /// Sends a request to a daemon.
  /// @param broken called when the connection is lost.
  /// @return the request's id.
  std::string send_request(std::size_t node, wire::ClientRequest request,
                           std::uint64_t time_limit_ms, reply_sink replied,
                           std::function<void()> broken);
  void close_connection(const std::string &request_id);

  [[nodiscard]] const traffic &traffic_seen() const { return traffic_; }
  void reset_traffic() { traffic_ = {}; }
  /// Reduces one event at a node and runs its effects.
  void deliver(std::size_t node, wire::Event event);

private:
  struct simulated_node {
    wire::Member member;
    std::unique_ptr<core::node> running;
    std::uint64_t boot = 0;
    microseconds frozen_until = 0;
    bool watching = false;
    bool watch_running = false;
    bool draining = false;
    std::vector<wire::Event> held; // arrived while frozen
  };
  struct connection {
    std::size_t node;
    std::uint64_t boot;
    reply_sink replied;
    std::function<void()> broken;
  };

  void start_process(std::size_t index);
  void schedule_tick(std::size_t index, std::uint64_t boot);
  void run_effect(std::size_t index, wire::Effect effect);
  void send(std::size_t from, const wire::SendMessage &message);
  void transmit(std::size_t from, std::size_t to, wire::Envelope envelope);
  void start_engine(std::size_t index, wire::StartEngineRequest order);
  void release_memory(std::size_t index,
                      const wire::ReleaseEngineMemory &order);
  void fence_engine(std::size_t index, const wire::FenceEngine &order);
  void invoke_tool(std::size_t index, wire::InvokeTool order);
  void propose_founding(std::size_t index, const wire::Founding &founding);
  void watch(std::size_t index);
  void reply_to_client(const wire::ReplyToClient &effect);
  void break_connections(std::size_t node);
  /// Delivers an event after a delay, unless the process with this boot number
  /// has ended by then.
  void post(std::size_t index, std::uint64_t boot, microseconds delay,
            wire::Event event);
  sim_engine *find_engine(const std::string &backend);
  /// Changes a configuration delta as the mutation under test requires.
  wire::ConfigurationDelta
  apply_mutations(wire::ConfigurationDelta delta) const;
  [[nodiscard]] microseconds latency(std::size_t from, std::size_t to);
  [[nodiscard]] double unit_random();

  world_options options_;
  std::mt19937_64 random_;
  virtual_clock clock_;
  observations seen_;
  sim_platform platform_;
  std::vector<simulated_node> nodes_;
  std::map<std::uint64_t, std::size_t> node_by_id_;
  std::map<std::string, std::size_t> node_by_address_;
  std::vector<std::unique_ptr<sim_engine>> engines_;
  std::map<std::pair<std::size_t, std::size_t>, microseconds> cuts_;
  std::map<std::string, connection> connections_;
  std::map<std::string, std::string> tool_results_;
  microseconds tool_hangs_until_ = 0;
  microseconds last_fault_end_ = 0;
  std::uint64_t next_request_ = 0;
  traffic traffic_;
};

} // namespace heathtrestle::sim
