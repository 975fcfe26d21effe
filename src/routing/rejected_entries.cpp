#include "routing/rejected_entries.hpp"

namespace heathtrestle::routing {

bool rejected_entries::record(const std::string &name,
                              const std::string &reason) {
  const auto known = reasons_.find(name);
  if (known != reasons_.end()) {
    const bool changed = known->second != reason;
    known->second = reason;
    return changed;
  }
  if (reasons_.size() >= max_rejected_entries) {
    return false;
  }
  reasons_.emplace(name, reason);
  return true;
}

void rejected_entries::retain_only(const std::set<std::string> &listed) {
  std::erase_if(reasons_, [&listed](const auto &each) {
    return !listed.contains(each.first);
  });
}

} // namespace heathtrestle::routing
