// heathtrestle-capacity: measures the processor time, memory and traffic of a
// daemon on a simulated cluster. docs/design/hollow-daemons.md lists the runs
// and results.
#include "bench/statistics.hpp"
#include "config/settings_schema.hpp"
#include "dispatch/scheduling_policy.hpp"
#include "programs/placement_policy.hpp"
#include "sim/caller.hpp"
#include "sim/world.hpp"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <memory>

namespace {

using namespace heathtrestle;

constexpr double bytes_per_kilobyte = 1024.0;

struct capacity_options {
  std::string measure = "control";
  std::uint64_t nodes = 20;
  std::uint64_t partitions_per_node = 3;
  std::uint64_t zones = 10;
  std::uint64_t engines = 8;
  std::uint64_t seconds = 60;
  std::uint64_t programs = 200;
  std::uint64_t history_bytes = 100000;
  std::uint64_t tenants = 100;
};

double processor_seconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

double heap_bytes() { return static_cast<double>(::mallinfo2().uordblks); }

sim::world_options world_of(const capacity_options &options) {
  sim::world_options settings;
  settings.nodes = options.nodes;
  settings.zones = options.zones;
  settings.engines = options.engines;
  settings.encode_messages = true;
  settings.tick = 100 * sim::per_millisecond;
  settings.node.founding_members = options.nodes;
  settings.node.partition_count =
      static_cast<std::uint32_t>(options.nodes * options.partitions_per_node);
  return settings;
}

/// Runs the cluster until every daemon is ready.
/// @return false when that takes more than 600 s of virtual time.
bool form(sim::world &cluster) {
  constexpr sim::microseconds longest = 600 * sim::per_second;
  while (cluster.clock().now() < longest) {
    cluster.clock().run_until(cluster.clock().now() + 10 * sim::per_second);
    bool all = true;
    for (std::size_t node = 0; node < cluster.node_count(); ++node) {
      all = all && cluster.alive(node) && cluster.node(node).ready();
    }
    if (all) {
      // Wait until the work caused by the formation is done.
      cluster.clock().run_until(cluster.clock().now() + 20 * sim::per_second);
      return true;
    }
  }
  fmt::print(stderr, "the cluster did not form\n");
  return false;
}

void print_kinds(const sim::traffic &traffic, double node_seconds) {
  for (const auto &[kind, messages] : traffic.messages_by_kind) {
    fmt::print("    {:<24} {:8.3f} messages/s {:10.1f} bytes/s\n", kind,
               static_cast<double>(messages) / node_seconds,
               static_cast<double>(traffic.bytes_by_kind.at(kind)) /
                   node_seconds);
  }
}

int measure_control(const capacity_options &options) {
  const double heap_before = heap_bytes();
  sim::world cluster(world_of(options));
  if (!form(cluster)) {
    return EXIT_FAILURE;
  }
  const double heap_after = heap_bytes();
  cluster.reset_traffic();
  const double began = processor_seconds();
  cluster.clock().run_until(cluster.clock().now() +
                            options.seconds * sim::per_second);
  const double processor = processor_seconds() - began;
  const auto nodes = static_cast<double>(options.nodes);
  const double node_seconds = nodes * static_cast<double>(options.seconds);
  const sim::traffic &traffic = cluster.traffic_seen();
  fmt::print("control at {} nodes, {} partitions: {:.2f} messages/s, {:.2f} "
             "KB/s, {:.3f} % of a core, {:.2f} MB a node\n",
             options.nodes, options.nodes * options.partitions_per_node,
             static_cast<double>(traffic.messages) / node_seconds,
             static_cast<double>(traffic.bytes) / node_seconds /
                 bytes_per_kilobyte,
             100.0 * processor / node_seconds,
             (heap_after - heap_before) / nodes / bytes_per_kilobyte /
                 bytes_per_kilobyte);
  print_kinds(traffic, node_seconds);
  return EXIT_SUCCESS;
}

int measure_calls(const capacity_options &options) {
  sim::world cluster(world_of(options));
  if (!form(cluster)) {
    return EXIT_FAILURE;
  }
  const bench::profile owner = bench::profile_named("bagmati-valley");
  cluster.configure(owner);
  cluster.clock().run_until(cluster.clock().now() + 10 * sim::per_second);
  bench::workload_options workload;
  workload.programs = static_cast<std::uint32_t>(options.programs);
  workload.arrivals_per_second = static_cast<double>(options.programs) /
                                 static_cast<double>(options.seconds);
  const auto plans = bench::make_workload(workload);
  std::vector<std::shared_ptr<sim::caller>> callers;
  for (std::size_t number = 0; number < plans.size(); ++number) {
    callers.push_back(std::make_shared<sim::caller>(
        cluster, plans[number], number, sim::caller_options{}));
    callers.back()->start();
  }
  cluster.reset_traffic();
  const double began = processor_seconds();
  cluster.clock().run_until(cluster.clock().now() +
                            (options.seconds + 60) * sim::per_second);
  const double processor = processor_seconds() - began;
  const auto answers = static_cast<double>(cluster.seen().answers.size());
  const sim::traffic &traffic = cluster.traffic_seen();
  fmt::print("{} programs, {} answers, {} finished: {} messages, {:.1f} MB, "
             "{:.2f} s of processor time in {} s at {} nodes\n",
             options.programs, answers, cluster.seen().programs_finished,
             traffic.messages,
             static_cast<double>(traffic.bytes) / bytes_per_kilobyte /
                 bytes_per_kilobyte,
             processor, options.seconds + 60, options.nodes);
  print_kinds(traffic, answers);
  return EXIT_SUCCESS;
}

int measure_records(const capacity_options &options) {
  constexpr std::size_t message_bytes = 1000;
  programs::program_store store;
  const double before = heap_bytes();
  for (std::uint64_t number = 0; number < options.programs; ++number) {
    wire::PartitionSnapshot snapshot = store.snapshot();
    wire::ProgramRecord &program = *snapshot.add_programs();
    program.set_id(fmt::format("program-{}", number));
    wire::AgentRecord &agent = *program.add_agents();
    agent.set_name("main");
    for (std::size_t bytes = 0; bytes < options.history_bytes;
         bytes += message_bytes) {
      agent.add_history(std::string(message_bytes, 'x'));
      wire::CallRecord &call = *program.add_calls();
      call.mutable_request()->set_key(fmt::format("key-{}", bytes));
      call.set_state(wire::CALL_COMPLETED);
    }
    store.restore(snapshot);
  }
  fmt::print("records: {} programs of {} bytes of history: {:.1f} KB each\n",
             options.programs, options.history_bytes,
             (heap_bytes() - before) / static_cast<double>(options.programs) /
                 bytes_per_kilobyte);
  return EXIT_SUCCESS;
}

int measure_configuration(const capacity_options &options) {
  const double heap_before = heap_bytes();
  sim::world cluster(world_of(options));
  if (!form(cluster)) {
    return EXIT_FAILURE;
  }
  const double heap_formed = heap_bytes();
  for (std::uint64_t number = 0; number < options.tenants; ++number) {
    cluster.write_object("tenant", fmt::format("tenant-{}", number),
                         "{\"weight\":1,\"classes\":[\"one\",\"two\"]}");
  }
  cluster.clock().run_until(cluster.clock().now() + 20 * sim::per_second);
  const double heap_configured = heap_bytes();
  constexpr std::size_t changes = 20;
  std::vector<double> spread_ms;
  cluster.reset_traffic();
  for (std::size_t change = 0; change < changes; ++change) {
    cluster.write_object("tenant", "tenant-0",
                         fmt::format("{{\"weight\":{}}}", change + 2));
    const sim::microseconds accepted = cluster.clock().now();
    bool everywhere = false;
    while (!everywhere) {
      cluster.clock().run_until(cluster.clock().now() + sim::per_millisecond);
      everywhere = true;
      for (std::size_t node = 0; node < cluster.node_count(); ++node) {
        everywhere =
            everywhere && cluster.node(node).configuration().revision() ==
                              cluster.platform().revision();
      }
    }
    spread_ms.push_back(static_cast<double>(cluster.clock().now() - accepted) /
                        sim::per_millisecond);
    cluster.clock().run_until(cluster.clock().now() + sim::per_second);
  }
  const auto &traffic = cluster.traffic_seen();
  const auto deltas = traffic.bytes_by_kind.find("configuration_delta");
  const double delta_bytes = deltas == traffic.bytes_by_kind.end()
                                 ? 0
                                 : static_cast<double>(deltas->second);
  fmt::print(
      "configuration at {} nodes with {} tenants: in force everywhere after "
      "p50 {:.0f} ms, most {:.0f} ms; {:.0f} bytes a change and node; {:.2f} "
      "KB of memory a tenant and node (and {:.2f} MB a node before)\n",
      options.nodes, options.tenants, bench::quantile(spread_ms, 0.5),
      bench::quantile(spread_ms, 1.0),
      delta_bytes / changes / static_cast<double>(options.nodes),
      (heap_configured - heap_formed) / static_cast<double>(options.nodes) /
          static_cast<double>(options.tenants) / bytes_per_kilobyte,
      (heap_formed - heap_before) / static_cast<double>(options.nodes) /
          bytes_per_kilobyte / bytes_per_kilobyte);
  return EXIT_SUCCESS;
}

int measure_decision(const capacity_options &options) {
  constexpr int rounds = 20000;
  std::vector<programs::candidate> candidates;
  for (std::uint64_t number = 0; number < options.engines; ++number) {
    candidates.push_back(
        {.name = fmt::format("engine-{}", number),
         .zone = "z",
         .slots = 8,
         .queue_length = static_cast<std::uint32_t>(number % 12)});
  }
  effects::effect_list effects;
  effects::step step({}, 1, effects);
  const programs::placement_policy &placement =
      programs::placement_policy_named("affinity");
  std::size_t sum = 0;
  double began = processor_seconds();
  for (int round = 0; round < rounds; ++round) {
    sum += placement.choose(
        candidates, {.affinity = candidates[round % candidates.size()].name},
        step);
  }
  const double placing = (processor_seconds() - began) / rounds;
  std::vector<dispatch::waiting_request> waiting(64);
  dispatch::virtual_times served;
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    waiting[index].tenant = fmt::format("tenant-{}", index % 16);
    served[waiting[index].tenant] = static_cast<double>(index);
  }
  began = processor_seconds();
  for (int round = 0; round < rounds; ++round) {
    sum += dispatch::scheduling_policy_named("fair_priority")
               .next(waiting, served, timestamp_from(1000));
  }
  const double picking = (processor_seconds() - began) / rounds;
  fmt::print("decision: {:.2f} us to place among {} back ends, {:.2f} us to "
             "pick among {} waiting (checksum {})\n",
             placing * 1e6, options.engines, picking * 1e6, waiting.size(),
             sum);
  return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv) {
  capacity_options options;
  config::settings_schema schema;
  schema.choice("measure", options.measure,
                {"control", "calls", "records", "configuration", "decision"},
                "what to measure");
  schema.integer("nodes", options.nodes, 3, 1000, "hollow daemons");
  schema.integer("partitions_per_node", options.partitions_per_node, 1, 64,
                 "partitions for each daemon");
  schema.integer("zones", options.zones, 1, 100, "zones");
  schema.integer("engines", options.engines, 1, 2000, "back ends");
  schema.integer("seconds", options.seconds, 1, 3600, "virtual seconds");
  schema.integer("programs", options.programs, 1, 100000, "programs");
  schema.integer("history_bytes", options.history_bytes, 1, 10000000,
                 "history of a program");
  schema.integer("tenants", options.tenants, 1, 100000, "tenants");
  const auto choice = config::parse_command_line(
      argc, argv, "heathtrestle-capacity",
      "measures what a daemon costs, by hollow daemons", schema);
  if (choice != config::start_choice::run) {
    return choice == config::start_choice::exit_success
               ? EXIT_SUCCESS
               : config::exit_code_bad_settings;
  }
  if (options.measure == "control") {
    return measure_control(options);
  }
  if (options.measure == "calls") {
    return measure_calls(options);
  }
  if (options.measure == "records") {
    return measure_records(options);
  }
  if (options.measure == "configuration") {
    return measure_configuration(options);
  }
  return measure_decision(options);
}
