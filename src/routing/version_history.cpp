#include "routing/version_history.hpp"

namespace heathtrestle::routing {

namespace {

/// Longer than any span that is asked for.
constexpr duration_ms max_age{600000};

} // namespace

void version_history::on_unlisted(const service_id &service,
                                  const software_version &version,
                                  timestamp now) {
  std::map<software_version, timestamp> &versions = unlisted_[service];
  std::erase_if(versions, [now](const auto &entry) {
    return entry.second + max_age < now;
  });
  versions[version] = now;
}

std::set<software_version>
version_history::unlisted_since(const service_id &service,
                                timestamp since) const {
  std::set<software_version> found;
  const auto known = unlisted_.find(service);
  if (known == unlisted_.end()) {
    return found;
  }
  for (const auto &[version, at] : known->second) {
    if (at >= since) {
      found.insert(version);
    }
  }
  return found;
}

} // namespace heathtrestle::routing
