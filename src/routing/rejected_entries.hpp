// Remembers invalid entries of the replica directory, so that each is logged
// once and not at every listing. Bounded, so that a writer of many invalid
// entries cannot fill a gateway's memory or log.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace heathtrestle::routing {

struct rejected_entry {
  std::string name;
  /// Why the entry is invalid.
  std::string reason;
};

/// Further entries are neither stored nor logged: an operator who sees this
/// many looks for their writer, not at each of them.
inline constexpr std::size_t max_rejected_entries = 256;

class rejected_entries {
public:
  /// Records an invalid entry.
  /// @return true if it should be logged: it is new, or its reason has changed.
  bool record(const std::string &name, const std::string &reason);
  /// Removes an entry that is gone or has become valid.
  void forget(const std::string &name) { reasons_.erase(name); }
  /// Removes all entries that are not in a listing.
  void retain_only(const std::set<std::string> &listed);
  [[nodiscard]] std::size_t size() const { return reasons_.size(); }

private:
  std::map<std::string, std::string> reasons_;
};

} // namespace heathtrestle::routing
