#include "bench/workload.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace heathtrestle::bench {

namespace {

using generator = boost::random::mt19937_64;

constexpr std::string_view model = "model-a";
constexpr std::string_view booking_tool = "booking";
constexpr std::string_view lookup_tool = "lookup";
constexpr double milliseconds_per_second = 1000.0;

/// Distribution parameters of one kind of program.
struct program_shape {
  std::string name;
  std::string program_class;
  double share = 1.0; // weight among the kinds of a profile
  std::uint32_t least_turns = 1;
  double median_turns = 3;
  double turn_spread = 0.4; // sigma of the lognormal distribution
  std::uint32_t most_turns = 40;
  double median_prompt_bytes = 300;
  double median_answer_tokens = 32;
  double median_pause_ms = 120; // tool or human time between turns
  double sub_agent_chance = 0.0;
  double booking_chance = 0.0; // at the end of the program
};

std::vector<program_shape> shapes_of(std::string_view profile) {
  if (profile == "ensam") {
    return {{.name = "gift-aid-check",
             .program_class = "urgent",
             .share = 0.3,
             .median_turns = 3,
             .median_prompt_bytes = 500},
            {.name = "donor-matching",
             .program_class = "standard",
             .share = 0.5,
             .least_turns = 3,
             .median_turns = 9,
             .turn_spread = 0.6,
             .median_prompt_bytes = 900,
             .median_pause_ms = 500,
             .sub_agent_chance = 0.15,
             .booking_chance = 0.5},
            {.name = "lookup",
             .program_class = "standard",
             .share = 0.2,
             .median_turns = 2}};
  }
  return {{.name = "label-drafting",
           .program_class = "counter",
           .share = 0.5,
           .median_turns = 3,
           .median_prompt_bytes = 400,
           .booking_chance = 0.4},
          {.name = "meter-check",
           .program_class = "counter",
           .share = 0.2,
           .median_turns = 2},
          {.name = "dispute-review",
           .program_class = "review",
           .share = 0.3,
           .least_turns = 3,
           .median_turns = 7,
           .turn_spread = 0.6,
           .median_prompt_bytes = 1500,
           .median_answer_tokens = 48,
           .median_pause_ms = 300,
           .sub_agent_chance = 0.3,
           .booking_chance = 0.2}};
}

double lognormal(generator &random, double median, double sigma) {
  return boost::random::lognormal_distribution<>(std::log(median),
                                                 sigma)(random);
}

bool chance(generator &random, double probability) {
  return boost::random::uniform_01<>()(random) < probability;
}

std::string make_text(generator &random, std::size_t bytes) {
  static constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz ";
  const boost::random::uniform_int_distribution<std::size_t> pick(
      0, letters.size() - 1);
  std::string text;
  text.reserve(bytes);
  for (std::size_t index = 0; index < bytes; ++index) {
    text += letters[pick(random)];
  }
  return text;
}

call_plan make_chat(generator &random, const program_shape &shape,
                    std::string agent, double scale) {
  constexpr double text_spread = 0.5;
  constexpr double pause_spread = 0.8;
  call_plan call;
  call.agent = std::move(agent);
  call.target = model;
  const double bytes =
      lognormal(random, shape.median_prompt_bytes * scale, text_spread);
  call.text = make_text(
      random, std::max<std::size_t>(8, static_cast<std::size_t>(bytes)));
  call.max_tokens = static_cast<std::uint32_t>(std::clamp(
      lognormal(random, shape.median_answer_tokens, text_spread), 4.0, 256.0));
  call.pause = std::chrono::milliseconds(static_cast<std::int64_t>(
      lognormal(random, shape.median_pause_ms * scale, pause_spread)));
  return call;
}

call_plan make_tool(std::string_view tool, bool unrepeatable) {
  call_plan call;
  call.kind = call_kind::tool;
  call.target = tool;
  call.text = "case";
  call.unrepeatable = unrepeatable;
  return call;
}

program_plan make_program(generator &random, const program_shape &shape,
                          double scale) {
  program_plan program;
  program.program_class = shape.program_class;
  program.name = shape.name;
  const double drawn = lognormal(random, shape.median_turns, shape.turn_spread);
  const auto turns = std::clamp(static_cast<std::uint32_t>(drawn),
                                shape.least_turns, shape.most_turns);
  constexpr double lookup_chance = 0.2;
  constexpr std::uint32_t side_agents = 2;
  for (std::uint32_t turn = 0; turn < turns; ++turn) {
    stage_plan stage;
    if (chance(random, shape.sub_agent_chance)) {
      for (std::uint32_t side = 0; side < side_agents; ++side) {
        stage.calls.push_back(make_chat(
            random, shape, fmt::format("side-{}-{}", turn, side), scale));
      }
    } else {
      stage.calls.push_back(make_chat(random, shape, "main", scale));
    }
    program.stages.push_back(std::move(stage));
    if (chance(random, lookup_chance)) {
      program.stages.push_back({{make_tool(lookup_tool, false)}});
    }
  }
  if (chance(random, shape.booking_chance)) {
    program.stages.push_back({{make_tool(booking_tool, true)}});
  }
  return program;
}

/// @return an index drawn in proportion to the weights.
template <typename Items, typename Weight>
std::size_t pick_weighted(generator &random, const Items &items,
                          Weight weight) {
  double total = 0;
  for (const auto &item : items) {
    total += weight(item);
  }
  double point = boost::random::uniform_01<>()(random) * total;
  for (std::size_t index = 0; index < items.size(); ++index) {
    point -= weight(items[index]);
    if (point < 0) {
      return index;
    }
  }
  return items.size() - 1;
}

void set_urgent_share(std::vector<program_shape> &shapes,
                      const std::string &urgent, double share) {
  double urgent_total = 0;
  double other_total = 0;
  for (const program_shape &shape : shapes) {
    (shape.program_class == urgent ? urgent_total : other_total) += shape.share;
  }
  for (program_shape &shape : shapes) {
    const bool is_urgent = shape.program_class == urgent;
    shape.share *=
        is_urgent ? share / urgent_total : (1.0 - share) / other_total;
  }
}

} // namespace

profile profile_named(std::string_view name) {
  if (name == "ensam") {
    return {.name = "ensam",
            .zones = {"port-louis-1", "port-louis-2", "port-louis-3",
                      "port-louis-4"},
            .engines = 14,
            .tenants = {{"harbour-relief", 1},
                        {"parish-fund", 1},
                        {"cyclone-aid", 1},
                        {"seed-trust", 1}},
            .classes = {{"urgent", 0}, {"standard", 2}}};
  }
  return {.name = "bagmati-valley",
          .zones = {"kathmandu-1", "kathmandu-2", "kathmandu-3"},
          .engines = 12,
          .tenants = {{"ward-office", 2}, {"depot", 1}},
          .classes = {{"counter", 0}, {"review", 2}}};
}

std::vector<program_plan> make_workload(const workload_options &options) {
  generator random(options.seed);
  const profile owner = profile_named(options.profile);
  std::vector<program_shape> shapes = shapes_of(owner.name);
  if (options.urgent_share >= 0) {
    set_urgent_share(shapes, owner.classes.front().name, options.urgent_share);
  }
  const boost::random::exponential_distribution<> gap(
      options.arrivals_per_second);
  std::vector<program_plan> programs;
  double now_ms = 0;
  for (std::uint32_t number = 0; number < options.programs; ++number) {
    now_ms += gap(random) * milliseconds_per_second;
    const std::size_t shape = pick_weighted(
        random, shapes, [](const program_shape &each) { return each.share; });
    program_plan program = make_program(random, shapes[shape], options.scale);
    program.arrival =
        std::chrono::milliseconds(static_cast<std::int64_t>(now_ms));
    const boost::random::uniform_int_distribution<std::size_t> tenant(
        0, owner.tenants.size() - 1);
    program.tenant = owner.tenants[tenant(random)].name;
    for (stage_plan &stage : program.stages) {
      for (call_plan &call : stage.calls) {
        call.unrepeatable =
            call.unrepeatable || (options.unrepeatable_share > 0 &&
                                  chance(random, options.unrepeatable_share));
      }
    }
    programs.push_back(std::move(program));
  }
  return programs;
}

} // namespace heathtrestle::bench
