// The zones that the operator is draining: their replicas get nothing new until
// the operator takes the drain back. Keeps what this process has heard and how
// old that can be; decides, and is handed the time.
//
// A process that hears of nothing goes by what it heard last, however old: the
// other way, sending nothing anywhere, would turn an outage of the object store
// into one of the whole service. Only one that has never heard sends nothing,
// for it may have been started in the midst of a drain.
#pragma once

#include "base/time.hpp"
#include "routing/zone_shift.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heathtrestle::routing {

/// What tells the requests of a zone's traffic apart while that moves away.
struct drain_position {
  /// Evenly spread over conversations. Nothing for a request that was at a
  /// replica before: it does not go to a drained zone again.
  std::optional<std::uint64_t> draw;
  timestamp now{};
};

class zone_drains {
public:
  struct drain {
    timestamp heard{};
    zone_shift shift;
    /// True once nothing of this process runs in the zone any more.
    bool idle = false;
  };

  /// @param limit time from the operator's request until nothing may be sent
  /// to the zone; zero where zones are never drained.
  explicit zone_drains(duration_ms limit = duration_ms{0}) : limit_(limit) {}

  /// @return true when the zone was not drained before.
  bool put(const std::string &zone, timestamp now);
  /// @return true when the zone was drained before.
  bool remove(const std::string &zone, timestamp now);
  /// The whole list was heard.
  void set_known() { known_ = true; }
  /// What is known was complete at `moment`. Earlier moments change nothing.
  void confirm(timestamp moment);

  /// False while nothing was heard at all, where zones are drained.
  [[nodiscard]] bool known() const { return limit_.count() == 0 || known_; }
  [[nodiscard]] bool drained(const std::string &zone) const {
    return drains_.contains(zone);
  }
  /// True when a request may not go to the zone.
  [[nodiscard]] bool blocks_requests(const std::string &zone,
                                     const drain_position &place) const;
  [[nodiscard]] const std::map<std::string, drain> &all() const {
    return drains_;
  }
  /// Notes that nothing runs in a drained zone any more.
  void set_idle(const std::string &zone);
  /// @return how old what is known can be; nothing while it was never complete
  /// for certain.
  [[nodiscard]] std::optional<duration_ms> age(timestamp now) const;

private:
  duration_ms limit_;
  bool known_ = false;
  std::optional<timestamp> confirmed_;
  std::map<std::string, drain> drains_;
  /// When drains were taken back last, by zone.
  std::map<std::string, timestamp> taken_back_;
};

} // namespace heathtrestle::routing
