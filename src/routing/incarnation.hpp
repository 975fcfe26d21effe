// One start of a replica. A replica that starts again keeps its id, and nothing
// else: what was learnt of the earlier start, and what was sent to it, does not
// hold for the later one.
#pragma once

#include "routing/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace heathtrestle::routing {

struct incarnation {
  instance_id id;
  /// When it started, in milliseconds of the time of day; 0 where it is not
  /// told. Then an id has one incarnation only.
  std::uint64_t born_ms = 0;

  auto operator<=>(const incarnation &) const = default;
};

/// How gateways name an incarnation to each other and in records: the bare id
/// where no start is told.
std::string name_of(const incarnation &start);

/// The newest start of each id that has left the directory, so that an entry
/// that arrives late does not bring an earlier one back. Bounded: the ids that
/// started longest ago are forgotten first, for their late entries are the
/// least likely to be still on their way.
class ended_incarnations {
public:
  explicit ended_incarnations(std::size_t most) : most_(most) {}

  /// An incarnation has left; one without a told start leaves no trace.
  void add(const incarnation &ended);
  /// @return 0 when nothing is known of the id.
  [[nodiscard]] std::uint64_t latest_born_ms(const instance_id &id) const;
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }

private:
  std::size_t most_;
  std::map<instance_id, std::uint64_t> by_id_;
  std::set<std::pair<std::uint64_t, instance_id>> by_age_;
};

} // namespace heathtrestle::routing
