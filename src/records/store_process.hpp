// The process of a storage node: the record runtime and its disk, the directory
// by which it finds its group, the relay of watched objects to gateways,
// requests to retire nodes, and the metrics page.
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
  /// Address at which others reach `rpc_address`; empty when it is the same.
  std::string advertised_rpc_address;
  std::string metrics_address;
  std::string data_directory;
  std::vector<std::string> seeds;
  std::string store_address;
  bool first_start = false;
  /// Number of storage nodes, including their disks, that may be lost at once.
  std::uint64_t tolerated_losses = 1;
  std::uint64_t partitions = 0;
  std::uint64_t store_writes_per_second = 0;
  /// Time for which a replica may get new work after its removal was recorded.
  duration_ms drain_notice{1500};
  /// Time from the operator's request to drain a zone until its replicas get no
  /// more work; zero when zones are not drained.
  duration_ms zone_drain{0};
  /// Time within which a revoked key must stop working everywhere; zero when
  /// that is not guaranteed.
  duration_ms key_revocation{0};
  std::string log_level = "info";
  std::uint64_t log_lines = 200;
};

void describe_settings(config::settings_schema &schema,
                       store_settings &settings);

/// Object store, object kinds and status format supplied by the platform's
/// adapter.
struct store_binding {
  objects::object_store *store = nullptr;
  /// Kind of the operator's requests to retire a machine; each is named after
  /// its node.
  std::string retirement_kind;
  /// Kinds of the objects that gateways follow through this node: the
  /// configuration, the replicas, and the drained zones.
  std::string configuration_kind;
  std::string instance_kind;
  std::string zone_drain_kind;
  /// Creates the status that reports whether a request is completed.
  std::function<boost::json::value(bool completed)> retirement_status;
  /// Reads such a status; nothing when it is of another form.
  std::function<std::optional<bool>(const boost::json::value &)>
      retirement_completed;
};

/// Runs the process until a signal stops it.
/// @return the exit code.
int run_store(asio::io_context &io, const store_settings &settings,
              const store_binding &binding);

} // namespace heathtrestle::records
