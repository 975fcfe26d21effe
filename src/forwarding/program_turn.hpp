// One turn of a program: obtains its grant from the turn ledger, assembles the
// conversation history that precedes its prompt, and records its end.
#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/gateway.hpp"
#include "records/turn_ledger.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::forwarding {

class program_turn {
public:
  /// @param home the regions that the request is bound to.
  /// @param tenant the tenant of the program; empty where there are no tenants.
  /// @param deadline the time until which the client waits for its answer.
  program_turn(gateway &shared, const client_request &request,
               const routing::route &route, routing::residency home,
               const tenant_id &tenant, timestamp deadline);

  /// Returns a storage node of the record group that is outside the home
  /// regions of the turn's record, if any. The turn cannot be recorded while
  /// there is one.
  [[nodiscard]] std::optional<records::storage_place>
  storage_outside_home() const;

  /// Sets the version of the replicas that are to run the turn, which is
  /// recorded with the grant; nothing for a version that is not recorded.
  void set_version(std::optional<software_version> version) {
    version_ = std::move(version);
  }
  [[nodiscard]] const std::optional<software_version> &version() const {
    return version_;
  }
  /// The recorded version, after the grant.
  [[nodiscard]] const records::stream_origin &origin() const {
    return grant_.origin;
  }
  /// The program's requests under which replicas have crashed, after the grant.
  [[nodiscard]] const std::vector<records::crash_count> &crashes() const {
    return grant_.crashes;
  }
  /// Records another version for a granted turn.
  /// @return the recorded version, empty when the group records none; nothing
  /// when there is no confirmation, and any of the versions may be recorded.
  asio::awaitable<std::optional<software_version>>
  change_version(software_version version);
  /// Whether the grant serves only to record the version: the request belongs
  /// to no program, and nothing of it is retained.
  [[nodiscard]] bool records_only_version() const {
    return !request_.turn && !route_.retained;
  }

  /// Waits only briefly for the grant, since the request can do without.
  void shorten_wait();

  /// Requests the grant once, waiting until `wait_deadline`. May be called
  /// again after a refusal.
  asio::awaitable<records::turn_verdict> begin();
  /// The time at which the turn stops waiting for its grant.
  [[nodiscard]] timestamp wait_deadline() const { return wait_deadline_; }
  /// Returns whether the last refusal is due only to reserved tokens, which
  /// unfinished turns or unrecorded attempts may still release.
  [[nodiscard]] bool budget_is_only_reserved() const;

  /// The delay after which to retry when the record group is unavailable; zero
  /// if unknown.
  [[nodiscard]] duration_ms retry_after() const { return grant_.retry_after; }

  [[nodiscard]] bool granted() const { return granted_; }
  /// The time of the grant; the epoch before it.
  [[nodiscard]] timestamp granted_at() const { return granted_at_; }
  /// The text of the earlier turns, which the replica reads before the input.
  [[nodiscard]] const std::string &history() const { return history_; }

  /// Appends the data of an event forwarded to the client to the turn's output.
  void add_output(std::string_view data);
  /// The engine that answered the previous turn.
  [[nodiscard]] const records::turn_place &previous_place() const {
    return grant_.previous_place;
  }
  /// Records the end of the turn durably.
  /// @param place the engine that answered.
  /// @return false when the record is not confirmed by the deadline; the ledger
  /// keeps trying.
  asio::awaitable<bool> record_end(std::uint64_t used_tokens,
                                   records::turn_place place);
  /// Settles a granted turn that is not recorded, releasing its unused tokens.
  void settle(std::uint64_t used_tokens);

  /// Cancels copies of the request that may still arrive after the turn was
  /// refused for good: one of them could be granted, and nobody would end it.
  void cancel_copies();

  /// Logs why the turn was refused.
  void log_refusal() const;

private:
  [[nodiscard]] records::turn_request make_request() const;
  /// Tells the group that the attempt ended without a recorded turn.
  void end_attempt(std::uint64_t used_tokens);
  /// Returns whether this gateway may cache the program's turns.
  [[nodiscard]] bool may_cache() const;
  void append_history(const std::vector<records::retained_turn> &turns);

  gateway &gateway_;
  const client_request &request_;
  const routing::route &route_;
  routing::residency home_;
  timestamp deadline_;
  timestamp wait_deadline_;
  /// The program and turn names are prefixed with the tenant, as they are in
  /// the ledger, so that tenants cannot read each other's turns.
  turn_header turn_;
  std::string attempt_;
  duration_ms retention_;
  /// The turn that a retained turn continues; empty for none.
  std::string previous_;
  /// The attempt that began the stream that this one resumes; empty for none.
  std::string resumes_;
  std::optional<software_version> version_;
  std::uint32_t version_choice_ = 0;

  records::turn_grant grant_;
  bool granted_ = false;
  /// The group may still receive copies of the request.
  bool copies_in_flight_ = false;
  timestamp granted_at_{};
  std::string history_;
  bool history_known_ = false;
  std::string output_;
};

std::string_view name_of(records::turn_verdict verdict);
std::string_view name_of(records::grant_step step);

} // namespace heathtrestle::forwarding
