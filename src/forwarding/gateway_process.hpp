// A forwarding gateway as a process: its listeners, the copies of the objects
// that it follows, its way to the record group, its pages, and its planned
// stop.
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

/// What the platform's adapter brings along: names, formats and calls.
struct gateway_binding {
  header_names headers;
  objects::object_store *store = nullptr;
  /// Where the operator's configuration is kept.
  std::string configuration_kind;
  std::string configuration_name;
  /// Kind of the objects by which replicas register.
  std::string instance_kind;
  /// Kind of the operator's requests to drain a zone, named after the zone.
  std::string zone_drain_kind;
  std::function<result<routing::configuration>(const boost::json::value &)>
      read_configuration;
  std::function<result<routing::instance_record>(const std::string &name,
                                                 const boost::json::value &)>
      read_instance;
};

/// Runs until a signal ends the process.
/// @param reload reads the settings again; nothing when they do not fit.
/// @return the exit code.
int run_gateway(asio::io_context &io, const gateway_settings &settings,
                const gateway_binding &binding,
                const std::function<std::optional<gateway_settings>()> &reload);

} // namespace heathtrestle::forwarding
