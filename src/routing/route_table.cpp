#include "routing/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

namespace heathtrestle::routing {

namespace {

std::string normalized_host(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

} // namespace

route_table::route_table(configuration settings)
    : settings_(std::move(settings)),
      keys_(std::exchange(settings_.tenants, {})) {
  for (const route &each : settings_.routes) {
    by_host_[normalized_host(each.host)].push_back(&each);
  }
  for (auto &[host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route *left, const route *right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
}

const route *route_table::find(std::string_view host,
                               std::string_view target) const {
  const auto routes = by_host_.find(normalized_host(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = path_of(target);
  const auto match = std::find_if(routes->second.begin(), routes->second.end(),
                                  [path](const route *each) {
                                    return path.starts_with(each->path_prefix);
                                  });
  return match == routes->second.end() ? nullptr : *match;
}

const service *route_table::find_service(const service_id &id) const {
  const auto match =
      std::find_if(settings_.services.begin(), settings_.services.end(),
                   [&id](const service &each) { return each.id == id; });
  return match == settings_.services.end() ? nullptr : &*match;
}

const service_id *split_rotation::next(const route &split) {
  if (split.services.empty()) {
    return nullptr;
  }
  if (split.services.size() == 1) {
    return &split.services.front().service;
  }
  std::vector<std::int64_t> &credits = credits_[split.name];
  credits.resize(split.services.size(), 0);
  std::int64_t total = 0;
  for (std::size_t index = 0; index < credits.size(); ++index) {
    credits[index] += split.services[index].weight;
    total += split.services[index].weight;
  }
  const auto highest = std::max_element(credits.begin(), credits.end());
  *highest -= total;
  const auto index = static_cast<std::size_t>(highest - credits.begin());
  return &split.services[index].service;
}

} // namespace heathtrestle::routing
