#include "objects/relay_order.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace heathtrestle::objects {

namespace {

/// With at least this many nodes for each watcher there is a second level.
/// Fewer nodes have few gateways, which the watchers serve themselves.
constexpr std::size_t nodes_per_watcher = 16;
/// One in this many nodes is a relay of the second level: enough that the
/// failure of one moves a small part of the gateways.
constexpr std::size_t nodes_per_relay = 4;

bool has_second_level(std::size_t nodes, std::size_t watchers) {
  return nodes >= watchers * nodes_per_watcher;
}

} // namespace

std::vector<relay_address>
sort_by_preference(std::vector<relay_address> relays) {
  std::sort(relays.begin(), relays.end(),
            [](const relay_address &left, const relay_address &right) {
              return std::tuple(stable_hash(left.name), left.name) <
                     std::tuple(stable_hash(right.name), right.name);
            });
  // The first of each zone, then the second of each, and so on.
  std::map<std::string, std::size_t> count_by_zone;
  std::vector<std::pair<std::size_t, relay_address>> by_rank;
  for (relay_address &each : relays) {
    const std::size_t rank = count_by_zone[each.zone]++;
    by_rank.emplace_back(rank, std::move(each));
  }
  std::stable_sort(by_rank.begin(), by_rank.end(),
                   [](const auto &left, const auto &right) {
                     return left.first < right.first;
                   });
  std::vector<relay_address> ordered;
  ordered.reserve(by_rank.size());
  for (auto &[rank, each] : by_rank) {
    ordered.push_back(std::move(each));
  }
  return ordered;
}

relay_order relays_of_gateway(std::vector<relay_address> nodes,
                              std::size_t watchers, const std::string &zone) {
  relay_order order{.relays = sort_by_preference(std::move(nodes)),
                    .preferred = watchers};
  std::vector<relay_address> &relays = order.relays;
  if (!has_second_level(relays.size(), watchers)) {
    return order;
  }
  const auto first = static_cast<std::ptrdiff_t>(watchers);
  std::rotate(relays.begin(), relays.begin() + first, relays.end());
  const auto count = static_cast<std::ptrdiff_t>(relays.size()) /
                     static_cast<std::ptrdiff_t>(nodes_per_relay);
  const auto level_end = relays.begin() + count;
  const auto own_zone_end = std::stable_partition(
      relays.begin(), level_end,
      [&zone](const relay_address &each) { return each.zone == zone; });
  const auto own = std::distance(relays.begin(), own_zone_end);
  order.preferred = static_cast<std::size_t>(own > 0 ? own : count);
  return order;
}

relay_order relays_of_node(std::vector<relay_address> nodes,
                           std::size_t watchers, const std::string &name) {
  std::vector<relay_address> sorted = sort_by_preference(std::move(nodes));
  if (!has_second_level(sorted.size(), watchers)) {
    return {};
  }
  sorted.resize(watchers);
  const bool watches = std::ranges::any_of(
      sorted, [&name](const relay_address &each) { return each.name == name; });
  if (watches) {
    return {};
  }
  return {.relays = std::move(sorted), .preferred = watchers};
}

} // namespace heathtrestle::objects
