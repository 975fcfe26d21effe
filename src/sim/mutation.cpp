#include "sim/mutation.hpp"

#include <array>
#include <utility>

namespace heathtrestle::sim {

namespace {

constexpr std::array<std::pair<mutation, std::string_view>, 11> names{{
    {mutation::none, "none"},
    {mutation::same_identity_after_restart, "same_identity_after_restart"},
    {mutation::always_start, "always_start"},
    {mutation::no_release, "no_release"},
    {mutation::no_reservation, "no_reservation"},
    {mutation::no_drain, "no_drain"},
    {mutation::stop_without_drain, "stop_without_drain"},
    {mutation::crossed_replies, "crossed_replies"},
    {mutation::early_not_run, "early_not_run"},
    {mutation::no_relay, "no_relay"},
    {mutation::no_order, "no_order"},
}};

} // namespace

std::optional<mutation> mutation_named(std::string_view name) {
  for (const auto &[which, its_name] : names) {
    if (its_name == name) {
      return which;
    }
  }
  return std::nullopt;
}

std::string_view name_of(mutation which) {
  for (const auto &[each, its_name] : names) {
    if (each == which) {
      return its_name;
    }
  }
  return "none";
}

} // namespace heathtrestle::sim
