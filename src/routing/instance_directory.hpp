// The replicas of all services as this gateway knows them: what the directory
// of the operator says of each, and what this gateway saw of it itself.
#pragma once

#include "balance/load_estimate.hpp"
#include "balance/prefix_view.hpp"
#include "balance/replica_speed.hpp"
#include "balance/slow_start.hpp"
#include "base/time.hpp"
#include "routing/configuration.hpp"
#include "routing/incarnation.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// What a replica says of itself.
struct instance_record {
  instance_id id;
  service_id service;
  std::string address; // "ip:port"
  std::string zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// When this start of it began, in milliseconds of the time of day; 0 where
  /// it is not told. A later one under the same id is another incarnation.
  std::uint64_t born_ms = 0;
  /// For how much longer it was warming up when it said so.
  duration_ms cold_for{0};

  [[nodiscard]] incarnation start() const {
    return {.id = id, .born_ms = born_ms};
  }

  bool operator==(const instance_record &) const = default;
};

/// Ids whose last start is remembered after they have left: a few times the
/// replicas of a large fleet, all of which may be replaced within the time that
/// a late entry can be on its way.
inline constexpr std::size_t max_ended_incarnations = 4096;

/// Tokens that an engine is taken to keep whose configuration does not tell:
/// a few long conversations, so that a wrong guess is cheap.
inline constexpr std::uint64_t unknown_engine_memory = 100000;

/// One replica and this gateway's own view of it. Shared with the requests
/// that are on it, which may outlast its place in the directory.
struct instance {
  instance_record record;
  /// False once the directory has dropped it.
  bool listed = true;
  /// Requests of this gateway that are on it.
  std::uint32_t in_flight = 0;
  /// Requests of the other gateways that were on it, as last reported.
  balance::reported_load others;
  /// Failures to reach it since it last answered.
  std::uint32_t consecutive_failures = 0;
  /// It gets new work before then only when nothing else is there.
  timestamp avoid_until{};
  /// How it answers in comparison with the others.
  balance::replica_speed speed;
  /// Whether it warms up, and what this gateway sends it meanwhile.
  balance::slow_start slow_start;
  /// What it probably keeps of prompts.
  balance::prefix_view prefixes{unknown_engine_memory};

  [[nodiscard]] bool accepts_work() const { return listed && !record.draining; }
};

using instance_ptr = std::shared_ptr<instance>;

/// What became of a record that was handed to the directory.
enum class put_outcome : std::uint8_t {
  unchanged,
  added,
  changed,
  /// The id has a later start: what was seen of the earlier one is forgotten.
  restarted,
  /// Of an earlier start than one that was seen: not taken in.
  outdated,
  /// Tells no start although the listed one did, so the replica did not write
  /// it: that one is in use no longer.
  missing_start_time,
};

class instance_directory {
public:
  /// Takes in a record that is new or has changed.
  put_outcome put(instance_record record);
  /// @return false when the instance was not known.
  bool remove(const instance_id &id);
  /// Replaces the whole directory by a listing.
  void replace_all(std::vector<instance_record> records);

  /// @return null when no instance of that id is listed.
  [[nodiscard]] instance_ptr find(const instance_id &id) const;
  /// True while this very start is listed.
  [[nodiscard]] bool contains(const incarnation &start) const;
  /// The replicas of a service, those that drain included.
  [[nodiscard]] const std::vector<instance_ptr> &
  replicas_of(const service_id &service) const;
  /// The replicas of all services.
  [[nodiscard]] const std::map<instance_id, instance_ptr> &all() const {
    return by_id_;
  }
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }
  [[nodiscard]] std::vector<instance_record> records() const;

private:
  put_outcome add(instance_record record, put_outcome outcome);

  ended_incarnations ended_{max_ended_incarnations};
  std::map<instance_id, instance_ptr> by_id_;
  std::map<service_id, std::vector<instance_ptr>> by_service_;
};

} // namespace heathtrestle::routing
