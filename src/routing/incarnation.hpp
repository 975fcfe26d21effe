// Identifies one start of a replica. A restarted replica keeps its id, but
// nothing learned about the earlier start or sent to it applies to the new one.
#pragma once

#include "base/software_version.hpp"
#include "routing/configuration.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace heathtrestle::routing {

struct incarnation {
  instance_id id;
  /// Start time in milliseconds of wall-clock time; 0 if the replica does not
  /// report it, in which case the id has a single incarnation.
  std::uint64_t born_ms = 0;
  /// A process runs one version, so another version is another start.
  software_version version{};

  auto operator<=>(const incarnation &) const = default;
};

/// The name of an incarnation in messages and records: "id@born_ms", or the id
/// if the start time is unknown.
std::string name_of(const incarnation &start);

/// Remembers the latest start time of each id that has left the directory, so
/// that a delayed entry does not restore an earlier incarnation. Bounded: the
/// ids with the earliest start times are dropped first, since their delayed
/// entries are the least likely to still arrive.
class ended_incarnations {
public:
  explicit ended_incarnations(std::size_t capacity) : capacity_(capacity) {}

  /// Raises the number of ids that are remembered.
  void reserve(std::size_t capacity) {
    capacity_ = std::max(capacity_, capacity);
  }
  /// Adds an incarnation that has left. Ignored if its start time is unknown.
  void add(const incarnation &ended);
  /// @return 0 if the id is unknown.
  [[nodiscard]] std::uint64_t latest_born_ms(const instance_id &id) const;
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }

private:
  std::size_t capacity_;
  std::map<instance_id, std::uint64_t> by_id_;
  std::set<std::pair<std::uint64_t, instance_id>> by_age_;
};

} // namespace heathtrestle::routing
