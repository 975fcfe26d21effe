#include "sim/checker.hpp"

#include <algorithm>
#include <array>
#include <set>

#include <fmt/format.h>

namespace heathtrestle::sim {

namespace {

constexpr std::array<std::string_view, invariant_count> names{
    "order",        "history",       "budget",       "memory",
    "whole_answer", "not_run",       "at_most_once", "leaving_backend",
    "planned_stop", "configuration", "liveness"};

/// Time after which a draining back end may get no new generations, and a
/// configuration change must be in force on every node.
constexpr microseconds drain_limit = 3 * per_second;
constexpr microseconds spread_limit = 5 * per_second;

using violations = std::vector<std::pair<invariant, std::string>>;

std::string call_of(const std::string &engine_request) {
  return engine_request.substr(0, engine_request.rfind('/'));
}

/// Returns the record of a program from the running replica with the highest
/// commit index, or null.
const wire::ProgramRecord *find_committed_record(world &cluster,
                                                 const std::string &program) {
  const partition_id partition =
      partition_of(program, cluster.options().node.partition_count);
  const wire::ProgramRecord *best = nullptr;
  std::uint64_t best_commit = 0;
  for (std::size_t node = 0; node < cluster.node_count(); ++node) {
    if (!cluster.alive(node)) {
      continue;
    }
    const auto &partitions = cluster.node(node).partitions();
    const raft::consensus *log = partitions.log_of(partition);
    if (log == nullptr || log->commit_index().value() < best_commit) {
      continue;
    }
    const auto *store = partitions.store_of(partition);
    const auto *found = store->find(program_id{program});
    best_commit = log->commit_index().value();
    best = found;
  }
  return best;
}

void check_order(world &cluster, violations &found) {
  // A call starts only after the preceding call of its agent is final, so every
  // start of the earlier call precedes the first start of the later one.
  std::map<std::string, microseconds> first_start;
  std::map<std::string, microseconds> last_start;
  for (const engine_start &start : cluster.seen().engine_starts) {
    const std::string call = call_of(start.engine_request);
    first_start.try_emplace(call, start.when);
    last_start[call] = start.when;
  }
  std::map<std::string, std::string> previous; // by program and agent
  for (const final_answer &answer : cluster.seen().answers) {
    if (answer.tool || !answer.completed) {
      continue;
    }
    const std::string call = answer.program + "/" + answer.key;
    std::string &before = previous[answer.program + "/" + answer.agent];
    const bool known =
        first_start.contains(call) && first_start.contains(before);
    if (known && first_start[call] <= last_start[before]) {
      found.emplace_back(
          invariant::order,
          fmt::format(
              "{} started no later than the last start of its predecessor {}",
              call, before));
    }
    before = call;
  }
}

void check_programs(world &cluster,
                    const std::vector<std::shared_ptr<caller>> &callers,
                    violations &found) {
  for (const auto &each : callers) {
    if (!each->ended()) {
      found.emplace_back(invariant::liveness, each->program() + " did not end");
    }
    if (!each->created()) {
      continue;
    }
    const wire::ProgramRecord *record =
        find_committed_record(cluster, each->program());
    if (record == nullptr) {
      found.emplace_back(invariant::history,
                         each->program() +
                             " has no record on any running replica");
      continue;
    }
    std::map<std::string, std::vector<std::string>> recorded;
    for (const wire::AgentRecord &agent : record->agents()) {
      recorded[agent.name()] = {agent.history().begin(), agent.history().end()};
    }
    auto conversations = each->conversations();
    // An agent without a completed call has no history on either side.
    std::erase_if(conversations,
                  [](const auto &entry) { return entry.second.empty(); });
    if (recorded != conversations) {
      found.emplace_back(invariant::history,
                         each->program() +
                             ": recorded history differs from the caller's");
    }
    if (record->spent() + record->reserved() > record->budget()) {
      found.emplace_back(invariant::budget,
                         each->program() +
                             ": spent plus reserved exceeds the budget");
    }
    constexpr std::uint64_t price = 2; // of every class, see world::configure
    std::uint64_t used = 0;
    for (const wire::CallRecord &call : record->calls()) {
      const bool chat = call.request().kind() == wire::CALL_CHAT;
      used += chat ? price * (call.usage().prompt_tokens() +
                              call.usage().output_tokens())
                   : 0;
    }
    if (used > record->spent()) {
      found.emplace_back(invariant::budget,
                         fmt::format("{} used {} but was charged only {}",
                                     each->program(), used, record->spent()));
    }
  }
}

void check_memory(world &cluster, violations &found) {
  for (std::size_t index = 0; index < cluster.engine_count(); ++index) {
    if (!cluster.engine(index).alive()) {
      continue;
    }
    for (const std::string &program :
         cluster.engine(index).cache().programs()) {
      const wire::ProgramRecord *record =
          find_committed_record(cluster, program);
      if (record == nullptr || record->ended()) {
        found.emplace_back(invariant::memory,
                           fmt::format("engine-{} holds memory for {}, which "
                                       "has ended or has no record",
                                       index, program));
      }
    }
  }
}

void check_answers(world &cluster, violations &found) {
  std::set<std::string> started;
  std::map<std::string, std::uint32_t> starts;
  for (const engine_start &start : cluster.seen().engine_starts) {
    started.insert(call_of(start.engine_request));
    ++starts[call_of(start.engine_request)];
  }
  for (const auto &[call, runs] : cluster.seen().tool_runs) {
    started.insert(call);
  }
  for (const final_answer &answer : cluster.seen().answers) {
    const std::string call = answer.program + "/" + answer.key;
    if (answer.completed && answer.text != answer.expected) {
      found.emplace_back(invariant::whole_answer,
                         fmt::format("{} was answered \"{}\", expected \"{}\"",
                                     call, answer.text, answer.expected));
    }
    const bool said_not_run =
        !answer.completed && answer.ran == wire::RAN_NOT_RUN;
    if (said_not_run && started.contains(call)) {
      found.emplace_back(invariant::not_run,
                         fmt::format("{} was refused as not run ({}) but ran",
                                     call, answer.code));
    }
    const auto tool_runs = cluster.seen().tool_runs.find(call);
    const std::uint32_t runs =
        answer.tool
            ? (tool_runs == cluster.seen().tool_runs.end() ? 0
                                                           : tool_runs->second)
            : starts[call];
    if (answer.unrepeatable && runs > 1) {
      found.emplace_back(invariant::at_most_once,
                         fmt::format("{} ran {} times", call, runs));
    }
  }
}

void check_drains(world &cluster, violations &found) {
  for (const engine_start &start : cluster.seen().engine_starts) {
    const auto drained = cluster.seen().drains_accepted.find(start.backend);
    const bool late = drained != cluster.seen().drains_accepted.end() &&
                      start.when > drained->second + drain_limit;
    if (late) {
      found.emplace_back(
          invariant::leaving_backend,
          fmt::format("{} started {} {} ms after its drain was accepted",
                      start.backend, start.engine_request,
                      (start.when - drained->second) / per_millisecond));
    }
  }
}

} // namespace

std::string_view name_of(invariant which) {
  return names.at(static_cast<std::size_t>(which));
}

bool verdict::violates(invariant which) const {
  return std::any_of(
      violations.begin(), violations.end(),
      [which](const auto &entry) { return entry.first == which; });
}

void configuration_monitor::sample(world &cluster) {
  const microseconds now = cluster.clock().now();
  std::uint64_t required_revision = 0; // newest revision that must be in force
  for (const auto &[revision, accepted] : cluster.seen().changes_accepted) {
    if (accepted + spread_limit <= now) {
      required_revision = std::max(required_revision, revision);
    }
  }
  for (std::size_t index = 0; index < cluster.node_count(); ++index) {
    if (!cluster.reachable(index)) {
      up_since_[index] = now;
      continue;
    }
    const std::uint64_t boot = cluster.node(index).members().self().boot();
    const std::uint64_t revision =
        cluster.node(index).configuration().revision();
    auto &[known_boot, known_revision] = revisions_[index];
    if (known_boot != boot) {
      known_boot = boot;
      known_revision = 0;
      up_since_[index] = now;
    }
    if (revision < known_revision) {
      errors_.push_back(fmt::format("node-{} went back from revision {} to {}",
                                    index, known_revision, revision));
    }
    known_revision = revision;
    const bool should_have_converged =
        up_since_[index] + spread_limit <= now &&
        cluster.last_fault_end() + spread_limit <= now;
    if (should_have_converged && revision < required_revision) {
      errors_.push_back(
          fmt::format("node-{} has revision {}, but {} must be in force", index,
                      revision, required_revision));
    }
  }
}

verdict check(world &cluster,
              const std::vector<std::shared_ptr<caller>> &callers,
              const configuration_monitor &monitor) {
  verdict result;
  check_order(cluster, result.violations);
  check_programs(cluster, callers, result.violations);
  check_memory(cluster, result.violations);
  check_answers(cluster, result.violations);
  check_drains(cluster, result.violations);
  if (cluster.seen().cut_by_planned_stop > 0) {
    result.violations.emplace_back(
        invariant::planned_stop,
        fmt::format("{} requests were cut off by planned stops",
                    cluster.seen().cut_by_planned_stop));
  }
  for (const std::string &text : monitor.errors()) {
    result.violations.emplace_back(invariant::configuration, text);
  }
  for (const std::string &text : cluster.seen().errors) {
    result.violations.emplace_back(invariant::liveness, text);
  }
  return result;
}

} // namespace heathtrestle::sim
