// Counts the replicas that crashed while they ran a request, over all the
// attempts of its client at all gateways. A request under which several
// replicas have crashed is likely to crash the next one too, so it is not sent
// any more.
//
// An attempt that is sent after a crash is counted before it is sent, so that
// the count does not depend on its gateway living to report the outcome. A
// request that a replica answers completely is no longer suspected.
//
// Times are those of the partition's quota clock, in milliseconds.
#pragma once

#include "base/time.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace heathtrestle::records {

/// A request is sent to no further replica once this many have crashed under
/// it.
inline constexpr std::size_t max_crashed_replicas = 3;
/// How long crashes are kept after the last report, at least. Clients and
/// programs try a failed request again within seconds.
inline constexpr duration_ms min_crash_retention{60000};

class crash_history {
public:
  /// Applies a report.
  /// @return RECORD_GRANTED when the attempt may be sent to a replica, else
  /// RECORD_DONE, with the request's counts.
  wire::RecordReplyItem report(const wire::ReportCrashes &reported,
                               std::uint64_t now_ms);

  /// Returns the outcome of a report if it would change nothing: too many
  /// replicas have crashed, and the attempt only asks to be sent.
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::ReportCrashes &reported,
                  std::uint64_t now_ms) const;

  /// Adds the counts of all requests with crashes or attempts at risk.
  void add_counts(wire::RecordReplyItem &reply, std::uint64_t now_ms) const;

  /// Adds the history to a program of a snapshot.
  void save(wire::RecordProgram &saved) const;
  [[nodiscard]] static crash_history restore(const wire::RecordProgram &saved);

private:
  struct attempt_state {
    std::uint32_t last_report = 0;
    /// It was allowed to be sent and has not reported since.
    bool at_risk = false;
  };
  struct request_state {
    std::set<std::string> crashed; // names of replicas
    std::map<std::string, attempt_state> attempts;
    std::uint64_t expires_ms = 0;

    /// Number of attempts at risk.
    [[nodiscard]] std::size_t at_risk() const;
  };

  static void apply(const wire::ReportCrashes &reported,
                    request_state &request);
  static wire::CrashCount count_of(std::uint64_t id,
                                   const request_state &request);

  std::map<std::uint64_t, request_state> requests_;
};

} // namespace heathtrestle::records
