// Tracks the zones that the operator is draining; their replicas get no new
// requests until the drain is cancelled.
//
// A process that receives no updates keeps using its last list, however old:
// sending to no zone instead would turn an outage of the object store into one
// of the whole service. Only a process that has never received the list sends
// nothing, since a drain may be in progress. Pure logic; the caller passes the
// time.
#pragma once

#include "base/time.hpp"
#include "routing/zone_shift.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heathtrestle::routing {

/// Position of a request in the gradual drain of a zone.
struct drain_position {
  /// Uniformly distributed hash of the conversation. Nothing for a retried or
  /// resumed request, which is never sent to a drained zone again.
  std::optional<std::uint64_t> draw;
  timestamp now{};
};

class zone_drains {
public:
  struct drain {
    timestamp heard{};
    zone_shift shift;
    /// True once no request of this process runs in the zone.
    bool idle = false;
  };

  /// @param limit time from the operator's request until nothing may be sent
  /// to the zone; zero where zones are never drained.
  explicit zone_drains(duration_ms limit = duration_ms{0}) : limit_(limit) {}

  /// @return true when the zone was not drained before.
  bool put(const std::string &zone, timestamp now);
  /// @return true when the zone was drained before.
  bool remove(const std::string &zone, timestamp now);
  /// Records that the complete list was received.
  void set_known() { known_ = true; }
  /// Records that the list was complete at `moment`. Earlier moments are
  /// ignored.
  void confirm(timestamp moment);

  /// False until the list was received; always true if zones are never drained.
  [[nodiscard]] bool known() const { return limit_.count() == 0 || known_; }
  [[nodiscard]] bool drained(const std::string &zone) const {
    return drains_.contains(zone);
  }
  /// True if a request must not be sent to the zone.
  [[nodiscard]] bool blocks_requests(const std::string &zone,
                                     const drain_position &place) const;
  [[nodiscard]] const std::map<std::string, drain> &all() const {
    return drains_;
  }
  /// Records that no request runs in a drained zone any more.
  void set_idle(const std::string &zone);
  /// @return the maximum age of the list; nothing if it was never confirmed.
  [[nodiscard]] std::optional<duration_ms> age(timestamp now) const;

private:
  duration_ms limit_;
  bool known_ = false;
  std::optional<timestamp> confirmed_;
  std::map<std::string, drain> drains_;
  /// When the last drain of each zone was cancelled.
  std::map<std::string, timestamp> cancelled_at_;
};

} // namespace heathtrestle::routing
