// Maps zones to regions and classifies the distance of a zone from this
// process. Traffic between regions costs tens of milliseconds per round trip
// and is billed.
#pragma once

#include "base/error.hpp"
#include "config/settings_schema.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathtrestle::routing {

/// Distance of a zone from this process, nearest first.
enum class locality : std::uint8_t {
  same_zone,
  same_region,
  other_region,
};

std::string_view name_of(locality where);

/// Settings that locate a process.
struct place_settings {
  std::string zone;
  /// Empty to derive it from `zones`.
  std::string region;
  /// "zone=region" of each zone; empty if regions are not used.
  std::vector<std::string> zones;
};

/// Adds the settings to a program's schema.
void describe_places(config::settings_schema &schema, place_settings &settings);

class topology {
public:
  /// A topology without configured regions: all zones are in one unnamed
  /// region.
  explicit topology(std::string zone = {}) : zone_(std::move(zone)) {}

  /// @return `invalid_request` if an entry is malformed or a zone is listed
  /// twice, or if the own zone is not listed or its region contradicts
  /// `region`.
  static result<topology> from_settings(const place_settings &settings);

  [[nodiscard]] const std::string &zone() const { return zone_; }
  [[nodiscard]] const std::string &region() const { return region_; }
  /// The region of a zone; empty for an unlisted zone, which therefore matches
  /// no home region.
  [[nodiscard]] std::string region_of(const std::string &zone) const;
  /// True for the own region and any region that contains a zone.
  [[nodiscard]] bool has_region(const std::string &region) const;
  [[nodiscard]] locality locality_of(const std::string &zone) const;
  /// True if no zones are configured; all zones then count as one region.
  [[nodiscard]] bool has_one_region() const { return region_by_zone_.empty(); }
  [[nodiscard]] const std::map<std::string, std::string> &zones() const {
    return region_by_zone_;
  }

  bool operator==(const topology &) const = default;

private:
  std::string zone_;
  std::string region_;
  std::map<std::string, std::string> region_by_zone_;
};

} // namespace heathtrestle::routing
