#include "sim/scenario.hpp"

#include "replay/trace.hpp"

#include <algorithm>
#include <array>
#include <fstream>

#include <fmt/format.h>
#include <google/protobuf/util/delimited_message_util.h>

namespace heathtrestle::sim {

namespace {

constexpr std::array<std::string_view, fault_kind_count> fault_names{
    "kill",
    "freeze",
    "cut_one_way",
    "cut_both_ways",
    "zone_loss",
    "zone_cut",
    "platform_down",
    "platform_lost_answers",
    "engine_death",
    "tool_hang",
    "planned_stop",
    "backend_drain",
    "configuration_race"};

constexpr microseconds sample_interval = 250 * per_millisecond;
/// Least time between two faults that remove replicas. Replicas must recover in
/// between, as a partition that loses its majority loses its records.
constexpr microseconds recovery_time = 40 * per_second;

bool takes_replicas(fault_kind kind) {
  return kind == fault_kind::kill || kind == fault_kind::zone_loss ||
         kind == fault_kind::planned_stop;
}

/// Injects the faults of a scenario.
class fault_injector {
public:
  fault_injector(world &cluster, const scenario_options &options,
                 scenario_result &result)
      : world_(cluster), options_(options), result_(result),
        random_(options.world.seed * 7919 + 1) {}

  void plan() {
    if (options_.faults.empty()) {
      return;
    }
    const std::vector<fault_kind> kinds(options_.faults.begin(),
                                        options_.faults.end());
    microseconds replicas_safe_from = 0;
    std::vector<std::pair<microseconds, fault_kind>> planned;
    for (std::uint32_t number = 0; number < options_.fault_count; ++number) {
      planned.emplace_back(random_() % options_.fault_span,
                           kinds[random_() % kinds.size()]);
    }
    std::sort(planned.begin(), planned.end());
    for (auto [when, kind] : planned) {
      if (takes_replicas(kind)) {
        if (when < replicas_safe_from) {
          continue;
        }
        replicas_safe_from = when + recovery_time;
      }
      world_.clock().after(options_.warm_up + when,
                           [this, kind = kind] { inject(kind); });
    }
  }

private:
  void inject(fault_kind kind) {
    const std::size_t node = pick_node();
    const microseconds duration = per_second + random_() % (9 * per_second);
    record_fault(kind, node, duration);
    world_.extend_fault_period(duration + per_second);
    switch (kind) {
    case fault_kind::kill:
      world_.kill(node);
      world_.clock().after(duration, [this, node] { world_.restart(node); });
      return;
    case fault_kind::freeze:
      world_.freeze(node, duration);
      return;
    case fault_kind::cut_one_way:
      world_.cut(node, pick_node(), duration);
      return;
    case fault_kind::cut_both_ways: {
      const std::size_t other = pick_node();
      world_.cut(node, other, duration);
      world_.cut(other, node, duration);
      return;
    }
    case fault_kind::zone_loss:
      lose_zone(world_.zone_of(node), duration);
      return;
    case fault_kind::zone_cut:
      world_.cut_zone(world_.zone_of(node), duration);
      return;
    case fault_kind::platform_down:
      set_platform(sim_platform::fault::down, duration);
      return;
    case fault_kind::platform_lost_answers:
      set_platform(sim_platform::fault::lose_answers, duration);
      return;
    case fault_kind::engine_death: {
      sim_engine &engine = world_.engine(random_() % world_.engine_count());
      engine.kill();
      world_.clock().after(duration, [&engine] { engine.restart(); });
      return;
    }
    case fault_kind::tool_hang:
      world_.hang_tool(duration);
      return;
    case fault_kind::planned_stop:
      world_.drain(node);
      world_.clock().after(35 * per_second,
                           [this, node] { world_.restart(node); });
      return;
    case fault_kind::backend_drain:
      drain_backend();
      return;
    case fault_kind::configuration_race:
      write_concurrently();
      return;
    }
  }

  void lose_zone(std::size_t zone, microseconds duration) {
    for (std::size_t node = 0; node < world_.node_count(); ++node) {
      if (world_.zone_of(node) == zone) {
        world_.kill(node);
        world_.clock().after(duration, [this, node] { world_.restart(node); });
      }
    }
  }

  void set_platform(sim_platform::fault fault, microseconds duration) {
    world_.platform().current_fault = fault;
    world_.clock().after(duration, [this] {
      world_.platform().current_fault = sim_platform::fault::none;
    });
  }

  void drain_backend() {
    if (drained_ + 1 >= world_.engine_count()) {
      return; // keep one back end active
    }
    const std::size_t engine = drained_++;
    world_.write_object(
        "backend", fmt::format("engine-{}", engine),
        fmt::format("{{\"address\":\"engine-{0}\",\"model\":\"model-a\","
                    "\"slots\":{1},\"queue_limit\":400,"
                    "\"state\":\"draining\"}}",
                    engine, world_.options().engine.batch));
  }

  void write_concurrently() {
    constexpr std::uint32_t writes = 5;
    for (std::uint32_t write = 0; write < writes; ++write) {
      world_.clock().after(random_() % per_second, [this] {
        world_.write_object(
            "tenant", "racing",
            fmt::format("{{\"weight\":{}}}", 1 + random_() % 100));
      });
    }
  }

  std::size_t pick_node() { return random_() % world_.node_count(); }

  void record_fault(fault_kind kind, std::size_t node, microseconds duration) {
    result_.faults.push_back(fmt::format(
        "{:6.2f} s {} node-{} for {:.2f} s",
        static_cast<double>(world_.clock().now()) / per_second, name_of(kind),
        node, static_cast<double>(duration) / per_second));
  }

  world &world_;
  const scenario_options &options_;
  scenario_result &result_;
  std::mt19937_64 random_;
  std::size_t drained_ = 0;
};

void sample_regularly(world &cluster, configuration_monitor &monitor) {
  cluster.clock().after(sample_interval, [&cluster, &monitor] {
    monitor.sample(cluster);
    sample_regularly(cluster, monitor);
  });
}

/// Describes each node's view of a program's partition and its record.
std::vector<std::string> describe_program(world &cluster,
                                          const std::string &program) {
  std::vector<std::string> lines;
  const partition_id partition =
      partition_of(program, cluster.options().node.partition_count);
  for (std::size_t index = 0; index < cluster.node_count(); ++index) {
    if (!cluster.alive(index)) {
      continue;
    }
    core::node &node = cluster.node(index);
    const raft::consensus *log = node.partitions().log_of(partition);
    const auto hint = node.members().leader_of(partition);
    lines.push_back(fmt::format(
        "node-{} boot {:x} knows leader term {} node {:x}, revision {}", index,
        node.members().self().boot(), hint.has_value() ? hint->term() : 0,
        hint.has_value() ? hint->boot() : 0, node.configuration().revision()));
    if (log == nullptr) {
      continue;
    }
    const auto *record =
        node.partitions().store_of(partition)->find(program_id{program});
    std::string voters;
    for (const replica_id &voter : log->voters()) {
      voters += fmt::format(" {}", voter);
    }
    lines.push_back(fmt::format(
        "  partition {} role {} term {} commit {} of {} voters{}", partition,
        static_cast<int>(log->current_role()), log->term(), log->commit_index(),
        log->last_index(), voters));
    lines.push_back("  " + (record == nullptr ? std::string("no record")
                                              : record->ShortDebugString()));
  }
  return lines;
}

} // namespace

std::string_view name_of(fault_kind which) {
  return fault_names.at(static_cast<std::size_t>(which));
}

std::optional<fault_kind> fault_named(std::string_view name) {
  for (std::size_t index = 0; index < fault_names.size(); ++index) {
    if (fault_names.at(index) == name) {
      return static_cast<fault_kind>(index);
    }
  }
  return std::nullopt;
}

std::set<fault_kind> all_faults() {
  std::set<fault_kind> faults;
  for (std::size_t index = 0; index < fault_kind_count; ++index) {
    faults.insert(static_cast<fault_kind>(index));
  }
  return faults;
}

scenario_options standard_scenario(std::uint64_t seed) {
  scenario_options options;
  options.world.seed = seed;
  options.world.nodes = 6;
  options.world.node.partition_count = 8;
  options.world.loss = 0.002;
  options.world.duplication = 0.005;
  options.workload.seed = seed;
  options.workload.programs = 60;
  options.workload.arrivals_per_second = 3;
  options.workload.unrepeatable_share = 0.1;
  options.callers.pipelining = 0.3;
  options.faults = all_faults();
  return options;
}

scenario_result run_scenario(const scenario_options &options) {
  scenario_result result;
  configuration_monitor monitor;
  world_options world_settings = options.world;
  std::ofstream trace;
  std::uint64_t recorded_boot = 0;
  world *observed = nullptr;
  if (!options.record.empty()) {
    trace.open(options.record, std::ios::binary | std::ios::trunc);
    world_settings.observe = [&](std::size_t node, const wire::Event &event,
                                 const effects::effect_list &effects) {
      if (node != options.recorded_node) {
        return;
      }
      const wire::Member &self = observed->node(node).members().self();
      const bool another_process =
          recorded_boot != 0 && recorded_boot != self.boot();
      if (another_process) {
        return; // a trace covers one process
      }
      const auto write = [&trace](const wire::TraceRecord &record) {
        google::protobuf::util::SerializeDelimitedToOstream(record, &trace);
      };
      if (recorded_boot == 0) {
        recorded_boot = self.boot();
        write(replay::header_record(observed->initial_member(node),
                                    observed->options().node));
      }
      wire::TraceRecord record;
      *record.mutable_event() = event;
      for (const wire::Effect &effect : effects) {
        *record.add_effects() = effect;
      }
      write(record);
    };
  }
  world cluster(world_settings);
  observed = &cluster;
  const bench::profile owner = bench::profile_named(options.workload.profile);
  cluster.clock().after(per_second, [&] { cluster.configure(owner); });
  const std::vector<bench::program_plan> plans =
      bench::make_workload(options.workload);
  std::vector<std::shared_ptr<caller>> callers;
  cluster.clock().run_until(options.warm_up);
  for (std::size_t number = 0; number < plans.size(); ++number) {
    callers.push_back(std::make_shared<caller>(cluster, plans[number], number,
                                               options.callers));
    callers.back()->start();
  }
  fault_injector faults(cluster, options, result);
  faults.plan();
  sample_regularly(cluster, monitor);
  const auto all_ended = [&callers] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto &each) { return each->ended(); });
  };
  const microseconds faults_end =
      2 * options.warm_up + options.fault_span + options.rest;
  const microseconds latest_end = faults_end + options.longest_extension;
  bool within_limit =
      cluster.clock().run_until(faults_end, options.action_limit);
  while (within_limit && !all_ended() && cluster.clock().now() < latest_end) {
    within_limit = cluster.clock().run_until(
        cluster.clock().now() + 20 * per_second, options.action_limit);
  }
  result.judged = check(cluster, callers, monitor);
  if (!within_limit) {
    result.judged.violations.emplace_back(
        invariant::liveness, "the run exceeded its limit of actions");
  }
  if (!options.show.empty()) {
    result.shown = describe_program(cluster, options.show);
  }
  result.programs = callers.size();
  result.finished = cluster.seen().programs_finished;
  result.engine_starts = cluster.seen().engine_starts.size();
  result.answers = cluster.seen().answers.size();
  return result;
}

} // namespace heathtrestle::sim
