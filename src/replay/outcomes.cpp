#include "replay/outcomes.hpp"

#include "core/node.hpp"
#include "replay/trace.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string_view>

#include <toml++/toml.h>

namespace heathtrestle::replay {

namespace {

constexpr std::array<std::string_view, 12> names{
    "calls_completed",     "calls_not_run",       "calls_unknown",
    "tools_started",       "tools_started_twice", "generations_started",
    "generations_resumed", "leaderships_gained",  "calls_resumed",
    "calls_stalled",       "memory_releases",     "effects_differing"};

std::optional<outcome_kind> kind_named(std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end()
             ? std::nullopt
             : std::optional(static_cast<outcome_kind>(found - names.begin()));
}

/// Counts outcomes from the effects of a replay.
class outcome_counter {
public:
  void add(const wire::Effect &effect) {
    switch (effect.body_case()) {
    case wire::Effect::kReplyToClient:
      add_reply(effect.reply_to_client().reply());
      return;
    case wire::Effect::kInvokeTool:
      if (effect.invoke_tool().start_allowed()) {
        ++at(outcome_kind::tools_started);
        const auto starts = ++tool_starts_[effect.invoke_tool().invocation()];
        at(outcome_kind::tools_started_twice) += starts == 2 ? 1 : 0;
      }
      return;
    case wire::Effect::kStartEngineRequest:
      ++at(effect.start_engine_request().start_allowed()
               ? outcome_kind::generations_started
               : outcome_kind::generations_resumed);
      return;
    case wire::Effect::kReleaseEngineMemory:
      ++at(outcome_kind::memory_releases);
      return;
    case wire::Effect::kLog:
      add_log(static_cast<logging::event>(effect.log().number()));
      return;
    default:
      return;
    }
  }

  void add_difference() { ++at(outcome_kind::effects_differing); }

  [[nodiscard]] std::vector<std::uint64_t> counts() const {
    return {counts_.begin(), counts_.end()};
  }

private:
  std::uint64_t &at(outcome_kind kind) {
    return counts_.at(static_cast<std::size_t>(kind));
  }

  void add_reply(const wire::ClientReply &reply) {
    const bool completed =
        reply.has_outcome() &&
        reply.outcome().call().state() == wire::CALL_COMPLETED;
    if (completed) {
      ++at(outcome_kind::calls_completed);
      return;
    }
    if (reply.has_program()) {
      return;
    }
    const wire::Failure &failure = reply.has_failure()
                                       ? reply.failure()
                                       : reply.outcome().call().failure();
    ++at(failure.ran() == wire::RAN_NOT_RUN ? outcome_kind::calls_not_run
                                            : outcome_kind::calls_unknown);
  }

  void add_log(logging::event event) {
    if (event == logging::event::leadership_gained) {
      ++at(outcome_kind::leaderships_gained);
    } else if (event == logging::event::call_resumed) {
      ++at(outcome_kind::calls_resumed);
    } else if (event == logging::event::call_stalled) {
      ++at(outcome_kind::calls_stalled);
    }
  }

  std::array<std::uint64_t, names.size()> counts_{};
  std::map<std::string, std::uint64_t> tool_starts_;
};

} // namespace

std::string_view name_of(outcome_kind kind) {
  return names.at(static_cast<std::size_t>(kind));
}

result<std::vector<expected_outcome>> read_outcomes(const std::string &path) {
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error &failure) {
    return fail(error_code::invalid_request,
                fmt::format("{}:{}: {}", path, failure.source().begin.line,
                            failure.description()),
                "read outcomes");
  }
  std::vector<expected_outcome> outcomes;
  for (const auto &[name, value] : document) {
    const auto kind = kind_named(name.str());
    const auto exact = value.value<std::uint64_t>();
    const auto *range = value.as_array();
    const bool has_range = range != nullptr && range->size() == 2 &&
                           range->get(0)->is_integer() &&
                           range->get(1)->is_integer();
    if (!kind.has_value() || (!exact.has_value() && !has_range)) {
      return fail(error_code::invalid_request,
                  fmt::format("{}:{}: {}: expected a known outcome with a "
                              "number or a range",
                              path, value.source().begin.line, name.str()),
                  "read outcomes");
    }
    outcomes.push_back(
        {.kind = *kind,
         .least = exact ? *exact : *range->get(0)->value<std::uint64_t>(),
         .most = exact ? *exact : *range->get(1)->value<std::uint64_t>()});
  }
  return outcomes;
}

std::vector<std::uint64_t>
replay_and_count(const std::vector<wire::TraceRecord> &trace) {
  const wire::TraceHeader &header = trace.front().header();
  core::node node(header.self(), options_of(header));
  outcome_counter counter;
  for (const wire::TraceRecord &record : trace) {
    if (!record.has_event()) {
      continue;
    }
    const effects::effect_list effects = node.reduce(record.event());
    const std::size_t recorded = record.effects().size();
    for (std::size_t index = 0; index < std::max(effects.size(), recorded);
         ++index) {
      const bool same =
          index < effects.size() && index < recorded &&
          effects[index].SerializeAsString() ==
              record.effects(static_cast<int>(index)).SerializeAsString();
      if (!same) {
        counter.add_difference();
      }
    }
    for (const wire::Effect &effect : effects) {
      counter.add(effect);
    }
  }
  return counter.counts();
}

} // namespace heathtrestle::replay
