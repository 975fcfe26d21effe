// The software versions at which a program's attempts run their streams. What
// replicas of two versions write does not fit together, so a stream that a
// client resumes continues at the version that began it, whichever gateway the
// client reaches.
//
// The version of an attempt is recorded before its first event leaves the
// gateway. An attempt that resumes a stream takes over the version of the
// attempt that began it; where the client does not name that, the version of
// all recorded attempts of the program, if they have the same. The gateway may
// choose another version until the first event, and numbers its choices, so
// that a late copy of an earlier one changes nothing.
//
// Times are those of the partition's quota clock, in milliseconds.
#pragma once

#include "base/time.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heathtrestle::records {

/// How long a version is kept after the attempt's time is over. A client may
/// wait longer for a stream than the route lets one attempt run.
inline constexpr duration_ms stream_origin_retention{30000};

class stream_origins {
public:
  /// Records the version that an attempt chose, unless a later choice or the
  /// version of the resumed stream goes before it.
  /// @return the version that the attempt may run at; nothing when `wanted`
  /// names none and continues none.
  std::optional<wire::StreamOrigin> record(const wire::BeginTurn &wanted,
                                           std::uint64_t now_ms);

  /// Returns the outcome of `record` if it would change nothing.
  [[nodiscard]] std::optional<wire::StreamOrigin>
  recorded(const wire::BeginTurn &wanted) const;

  /// Adds the origins to a program of a snapshot.
  void save(wire::RecordProgram &saved) const;
  [[nodiscard]] static stream_origins restore(const wire::RecordProgram &saved);

private:
  struct origin {
    std::string version;
    std::uint32_t choice = 0;
    /// The version is that of the stream that the attempt resumes.
    bool is_continuation = false;
    std::uint64_t expires_ms = 0;
  };

  [[nodiscard]] origin resolve(const wire::BeginTurn &wanted) const;
  /// Returns the version of an attempt, if it is recorded.
  [[nodiscard]] std::optional<std::string>
  version_of(const std::string &attempt) const;
  /// Returns the version of all recorded attempts, if it is one.
  [[nodiscard]] std::optional<std::string> only_version() const;
  static wire::StreamOrigin to_wire(const origin &known);

  std::map<std::string, origin> by_attempt_;
};

} // namespace heathtrestle::records
