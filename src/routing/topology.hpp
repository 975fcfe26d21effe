// Which zones there are, in which regions they lie, and how far away another
// zone is from here. Regions are far from one another: a way there and back
// costs a caller tens of milliseconds, and its bytes are paid for.
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

/// How far another place is from this process, nearest first.
enum class locality : std::uint8_t {
  same_zone,
  same_region,
  other_region,
};

std::string_view name_of(locality where);

/// Where a process is, as its settings tell.
struct place_settings {
  std::string zone;
  /// Empty to take it from `zones`.
  std::string region;
  /// "zone=region" of each zone; empty where regions don't matter.
  std::vector<std::string> zones;
};

/// Adds them to a program's schema.
void describe_places(config::settings_schema &schema, place_settings &settings);

class topology {
public:
  /// A process that was told nothing: its zone alone, in a region without a
  /// name. All other zones count as of that region too.
  explicit topology(std::string zone = {}) : zone_(std::move(zone)) {}

  /// @return `invalid_request` naming the zone without a region, the one that
  /// stands twice, or the own zone that isn't listed or lies elsewhere.
  static result<topology> from_settings(const place_settings &settings);

  [[nodiscard]] const std::string &zone() const { return zone_; }
  [[nodiscard]] const std::string &region() const { return region_; }
  /// The region of a zone; empty for one that isn't listed, which is part of no
  /// region that anybody could name as a home.
  [[nodiscard]] std::string region_of(const std::string &zone) const;
  /// True for a region that some zone lies in, and for the own one.
  [[nodiscard]] bool has_region(const std::string &region) const;
  [[nodiscard]] locality locality_of(const std::string &zone) const;
  /// True when no zone was listed: then all zones count as one region.
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
