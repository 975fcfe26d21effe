// A storage node as a process: the record group's runtime with its disk, the
// directory by which it finds its group, the operator's requests to empty it,
// and its metrics page.
#pragma once

#include "config/settings_schema.hpp"
#include "objects/object_store.hpp"
#include "records/partitions.hpp"
#include "routing/topology.hpp"
#include "runtime/asio.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::records {

struct store_settings {
  std::string name;
  routing::place_settings places;
  std::string rpc_address;
  /// Where others reach `rpc_address`; empty where it is the same.
  std::string advertised_rpc_address;
  std::string metrics_address;
  std::string data_directory;
  std::vector<std::string> seeds;
  std::string store_address;
  bool first_start = false;
  /// Storage nodes that may be lost at once, disks and all.
  std::uint64_t tolerated_losses = 1;
  std::uint64_t partitions = 0;
  std::uint64_t store_writes_per_second = 0;
  /// How long a replica may get new work after its leaving was recorded.
  duration_ms drain_notice{1500};
  /// Time from the operator's request to drain a zone until its replicas get
  /// nothing more; zero where zones are not drained.
  duration_ms zone_drain{0};
  /// Time within which a key that was taken away must stop working everywhere;
  /// zero when that is not promised.
  duration_ms key_revocation{0};
  std::string log_level = "info";
  std::uint64_t log_lines = 200;
};

void describe_settings(config::settings_schema &schema,
                       store_settings &settings);

/// What the platform's adapter brings along.
struct store_binding {
  objects::object_store *store = nullptr;
  /// Kind of the operator's requests to empty a machine, named after its node.
  std::string retirement_kind;
  /// Kinds of the objects that gateways follow through this node: the
  /// operator's configuration, the replicas, and the zones that are drained.
  std::string configuration_kind;
  std::string instance_kind;
  std::string zone_drain_kind;
  /// The status that tells how far such a request has come.
  std::function<boost::json::value(bool completed)> retirement_status;
  /// What such a status says; nothing when it says neither.
  std::function<std::optional<bool>(const boost::json::value &)>
      retirement_completed;
};

/// Runs until a signal ends the process.
/// @return the exit code.
int run_store(asio::io_context &io, const store_settings &settings,
              const store_binding &binding);

} // namespace heathtrestle::records
