#include "routing/home_regions.hpp"

#include <map>
#include <vector>

namespace heathtrestle::routing {

namespace {

using homes_by_name = std::map<std::string, std::vector<std::string>>;

homes_by_name homes_of_routes(const configuration &settings) {
  homes_by_name homes;
  for (const route &each : settings.routes) {
    if (!each.home_regions.empty()) {
      homes.emplace(each.name, each.home_regions);
    }
  }
  return homes;
}

homes_by_name homes_of_tenants(const configuration &settings) {
  homes_by_name homes;
  for (const tenants::tenant &each : settings.tenants) {
    if (!each.home_regions.empty()) {
      homes.emplace(each.id.value(), each.home_regions);
    }
  }
  return homes;
}

} // namespace

std::set<std::string> unknown_home_regions(const configuration &settings,
                                           const topology &places) {
  std::set<std::string> unknown;
  for (const homes_by_name &homes :
       {homes_of_routes(settings), homes_of_tenants(settings)}) {
    for (const auto &[name, regions] : homes) {
      for (const std::string &region : regions) {
        if (!places.has_region(region)) {
          unknown.insert(region);
        }
      }
    }
  }
  return unknown;
}

bool same_home_regions(const configuration &left, const configuration &right) {
  return homes_of_routes(left) == homes_of_routes(right) &&
         homes_of_tenants(left) == homes_of_tenants(right);
}

} // namespace heathtrestle::routing
