// Entries of the replicas' directory that cannot be used, so that each is told
// once and not at every listing. Bounded: whoever fills the directory with
// entries of his own must not fill the memory or the log of a gateway.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace heathtrestle::routing {

struct rejected_entry {
  std::string name;
  /// What is wrong with it.
  std::string reason;
};

/// More are neither kept nor told one by one: an operator who sees this many
/// looks for their writer, not at each of them.
inline constexpr std::size_t max_rejected_entries = 256;

class rejected_entries {
public:
  /// @return true when it is to be told: the entry was not rejected before, or
  /// for another reason.
  bool record(const std::string &name, const std::string &reason);
  /// The entry has gone, or is sound.
  void forget(const std::string &name) { reasons_.erase(name); }
  /// Forgets the entries that a listing lacks.
  void retain_only(const std::set<std::string> &listed);
  [[nodiscard]] std::size_t size() const { return reasons_.size(); }

private:
  std::map<std::string, std::string> reasons_;
};

} // namespace heathtrestle::routing
