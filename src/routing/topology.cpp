#include "routing/topology.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::routing {

namespace {

auto invalid(const std::string &reason) {
  return fail(error_code::invalid_request, reason, "read the list of zones");
}

} // namespace

std::string_view name_of(locality where) {
  switch (where) {
  case locality::same_zone:
    return "same_zone";
  case locality::same_region:
    return "same_region";
  case locality::other_region:
    return "other_region";
  }
  return "unknown";
}

void describe_places(config::settings_schema &schema,
                     place_settings &settings) {
  schema.text("node.zone", settings.zone, "zone of this machine");
  schema.text("node.region", settings.region,
              "region of this machine; empty to take it from cluster.zones");
  schema.texts(
      "cluster.zones", settings.zones,
      "\"zone=region\" of each zone; empty where regions don't matter");
}

result<topology> topology::from_settings(const place_settings &settings) {
  topology built(settings.zone);
  built.region_ = settings.region;
  for (const std::string &each : settings.zones) {
    const std::size_t separator = each.find('=');
    const bool well_formed = separator != std::string::npos && separator > 0 &&
                             separator + 1 < each.size();
    if (!well_formed) {
      return invalid("\"" + each + "\" is not of the form zone=region");
    }
    const std::string name = each.substr(0, separator);
    if (!built.region_by_zone_.emplace(name, each.substr(separator + 1))
             .second) {
      return invalid("the zone \"" + name + "\" is listed twice");
    }
  }
  if (settings.zones.empty()) {
    return built;
  }
  const auto own = built.region_by_zone_.find(built.zone_);
  if (own == built.region_by_zone_.end()) {
    return invalid("node.zone \"" + built.zone_ + "\" is not in cluster.zones");
  }
  if (!built.region_.empty() && built.region_ != own->second) {
    return invalid("node.zone is in \"" + own->second +
                   "\", node.region is \"" + built.region_ + "\"");
  }
  built.region_ = own->second;
  return built;
}

std::string topology::region_of(const std::string &zone) const {
  if (has_one_region()) {
    return region_;
  }
  const auto found = region_by_zone_.find(zone);
  return found == region_by_zone_.end() ? std::string() : found->second;
}

bool topology::has_region(const std::string &region) const {
  return region == region_ ||
         std::any_of(region_by_zone_.begin(), region_by_zone_.end(),
                     [&](const auto &zone) { return zone.second == region; });
}

locality topology::locality_of(const std::string &zone) const {
  if (zone == zone_) {
    return locality::same_zone;
  }
  return region_of(zone) == region_ ? locality::same_region
                                    : locality::other_region;
}

} // namespace heathtrestle::routing
