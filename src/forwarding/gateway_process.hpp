// The process of a forwarding gateway: its listeners, the watches of the object
// store, the connection to the record group, the status pages and graceful
// shutdown.
#pragma once

#include "base/error.hpp"
#include "forwarding/gateway_settings.hpp"
#include "forwarding/header_names.hpp"
#include "objects/object_store.hpp"
#include "routing/configuration.hpp"
#include "routing/instance_directory.hpp"
#include "runtime/asio.hpp"

#include <functional>
#include <string>

#include <boost/json/value.hpp>

namespace heathtrestle::forwarding {

/// What the platform's adapter provides: names, formats and the object store.
struct gateway_binding {
  header_names headers;
  objects::object_store *store = nullptr;
  /// The object that holds the operator's configuration.
  std::string configuration_kind;
  std::string configuration_name;
  /// Kind of the objects that register replicas.
  std::string instance_kind;
  /// Kind of the objects that request the drain of a zone; they are named after
  /// the zone.
  std::string zone_drain_kind;
  std::function<result<routing::configuration>(const boost::json::value &)>
      read_configuration;
  std::function<result<routing::instance_record>(const std::string &name,
                                                 const boost::json::value &)>
      read_instance;
};

/// Runs the gateway until a signal ends the process.
/// @param reload reads the settings again; returns nothing when they are
/// invalid.
/// @return the exit code.
int run_gateway(asio::io_context &io, const gateway_settings &settings,
                const gateway_binding &binding,
                const std::function<std::optional<gateway_settings>()> &reload);

} // namespace heathtrestle::forwarding
