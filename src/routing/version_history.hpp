// The software versions of replicas that were listed until recently, by
// service. Tells which versions can have begun a stream of which no record
// exists.
#pragma once

#include "base/software_version.hpp"
#include "base/time.hpp"
#include "routing/configuration.hpp"

#include <map>
#include <set>

namespace heathtrestle::routing {

class version_history {
public:
  /// Records that a replica of the version is no longer listed.
  void on_unlisted(const service_id &service, const software_version &version,
                   timestamp now);

  /// Returns the versions of which a replica was unlisted after `since`.
  [[nodiscard]] std::set<software_version>
  unlisted_since(const service_id &service, timestamp since) const;

private:
  /// When a replica of the version was last unlisted. Old entries are dropped.
  std::map<service_id, std::map<software_version, timestamp>> unlisted_;
};

} // namespace heathtrestle::routing
