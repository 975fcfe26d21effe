// The replicas of all services: their records in the replica directory, and
// this gateway's own observations of each.
#pragma once

#include "balance/prefix_view.hpp"
#include "balance/replica_speed.hpp"
#include "balance/slow_start.hpp"
#include "base/request_identity.hpp"
#include "base/software_version.hpp"
#include "base/time.hpp"
#include "routing/configuration.hpp"
#include "routing/incarnation.hpp"
#include "routing/replica_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// A replica's own entry in the directory.
struct instance_record {
  instance_id id;
  service_id service;
  std::string address; // "ip:port"
  std::string zone;
  software_version version;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Start time in milliseconds of wall-clock time; 0 if not reported. A later
  /// value under the same id is a new incarnation.
  std::uint64_t born_ms = 0;
  /// Remaining warm-up time when the record was written.
  duration_ms cold_for{0};

  [[nodiscard]] incarnation start() const {
    return {.id = id, .born_ms = born_ms, .version = version};
  }

  bool operator==(const instance_record &) const = default;
};

/// Number of removed ids whose latest start time is remembered at least. A
/// larger directory remembers as many as it lists, since all replicas may be
/// replaced while delayed entries are still in transit.
inline constexpr std::size_t min_ended_incarnations = 4096;

/// Assumed memory, in tokens, of an engine without a configured capacity: a few
/// long conversations, so that a wrong assumption costs little.
inline constexpr std::uint64_t unknown_engine_memory = 100000;

/// One replica and this gateway's observations of it. Shared with its in-flight
/// requests, which may outlive its directory entry.
struct instance {
  instance_record record;
  /// False once it was removed from the directory.
  bool listed = true;
  /// Position on the ring of its service and zone.
  std::uint64_t ring_point = 0;
  /// Position among the replicas of its service.
  std::size_t service_index = 0;
  /// Identifies this incarnation in load reports. Requests of an earlier
  /// incarnation do not load the later one.
  std::uint32_t load_key = 0;
  /// In-flight requests of this gateway.
  std::uint32_t in_flight = 0;
  /// Connection failures since its last response.
  std::uint32_t consecutive_failures = 0;
  /// Until then it gets new requests only if no other replica is available.
  timestamp avoid_until{};
  /// In-flight requests of this gateway that are likely to crash the replica.
  std::uint32_t isolated_in_flight = 0;
  /// Until then such a request of another gateway may run there, and which.
  timestamp isolated_until{};
  request_identity isolated_request{};
  /// When a change of its entry from ready to draining arrived; the epoch if
  /// none did.
  timestamp drain_seen_at{};
  /// It refused a connection, and gets no request until then: what refuses
  /// connections does not run.
  timestamp refused_until{};
  /// When it last sent anything to this gateway.
  timestamp heard_at{};
  /// Response times relative to the service.
  balance::replica_speed speed;
  /// Slow-start state, including the requests sent by this gateway.
  balance::slow_start slow_start;
  /// Estimated contents of its prefix cache.
  balance::prefix_view prefixes{unknown_engine_memory};

  [[nodiscard]] bool accepts_work() const { return listed && !record.draining; }
  /// Returns whether a request runs there that may crash it.
  [[nodiscard]] bool may_crash(timestamp now) const {
    return isolated_in_flight > 0 || now < isolated_until;
  }
};

/// Result of putting a record into the directory.
enum class put_outcome : std::uint8_t {
  unchanged,
  added,
  changed,
  /// A later incarnation replaced the known one; its observations were
  /// discarded.
  restarted,
  /// Ignored: the record belongs to an earlier incarnation than a known one.
  outdated,
  /// The record has no start time although the listed one has, so the replica
  /// did not write it. The listed instance was removed.
  missing_start_time,
};

class instance_directory {
public:
  /// Adds or updates a record.
  put_outcome put(instance_record record);
  /// @return false if the instance was not listed.
  bool remove(const instance_id &id);
  /// Replaces the contents of the directory with a complete listing.
  void replace_all(std::vector<instance_record> records);

  /// @return null if no instance with that id is listed.
  [[nodiscard]] instance_ptr find(const instance_id &id) const;
  /// True if exactly this incarnation is listed.
  [[nodiscard]] bool contains(const incarnation &start) const;
  /// The replicas of a service, including draining ones.
  [[nodiscard]] const std::vector<instance_ptr> &
  replicas_of(const service_id &service) const;
  /// The number of listed replicas of a service by version, including draining
  /// ones.
  [[nodiscard]] const std::map<software_version, std::size_t> &
  versions_of(const service_id &service) const;
  /// The rings of a service's replicas, by zone.
  [[nodiscard]] const std::map<std::string, replica_ring> &
  rings_of(const service_id &service) const;
  /// The replicas of all services.
  [[nodiscard]] const std::map<instance_id, instance_ptr> &all() const {
    return by_id_;
  }
  [[nodiscard]] const std::map<service_id, std::vector<instance_ptr>> &
  by_service() const {
    return by_service_;
  }
  /// Finds the incarnation with this name; a name without a start time matches
  /// any incarnation of the id.
  /// @return null if it is not listed.
  [[nodiscard]] instance_ptr find_named(const std::string &name) const;
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }
  [[nodiscard]] std::vector<instance_record> records() const;

private:
  put_outcome add(instance_record record, put_outcome outcome);
  void remove_from_service(const instance_ptr &removed);

  ended_incarnations ended_{min_ended_incarnations};
  std::map<instance_id, instance_ptr> by_id_;
  std::map<service_id, std::vector<instance_ptr>> by_service_;
  std::map<service_id, std::map<std::string, replica_ring>> rings_;
  std::map<service_id, std::map<software_version, std::size_t>> versions_;
};

} // namespace heathtrestle::routing
