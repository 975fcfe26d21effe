// One turn of a program at its gateway: leave to run it, the history that its
// prompt begins with, and the record of its end.
#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/gateway.hpp"
#include "records/turn_ledger.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace heathtrestle::forwarding {

class program_turn {
public:
  /// @param home the regions that the request is bound to.
  /// @param tenant whose program it is; empty where there are no tenants.
  /// @param deadline until when the client waits for its answer.
  program_turn(gateway &shared, const client_request &request,
               const routing::route &route, routing::residency home,
               const tenant_id &tenant, timestamp deadline);

  /// A node of the record group that what is to be kept of the turn must not
  /// get to. While there is one the turn cannot be kept.
  [[nodiscard]] std::optional<records::storage_place>
  storage_outside_home() const;

  /// Asks the record group once, for as long as a turn may wait for its grant.
  /// A turn that was refused may ask again.
  asio::awaitable<records::turn_verdict> begin();
  /// When a turn gives up waiting for its grant.
  [[nodiscard]] timestamp wait_deadline() const { return wait_deadline_; }
  /// True when the last refusal is for reservations alone: turns under way, or
  /// tries whose end is not recorded yet, may still give back what they hold.
  [[nodiscard]] bool budget_is_only_reserved() const;

  /// When a turn that the record group does not serve had better come back;
  /// zero where nothing is known.
  [[nodiscard]] duration_ms retry_after() const { return grant_.retry_after; }

  [[nodiscard]] bool granted() const { return granted_; }
  /// The epoch before the grant.
  [[nodiscard]] timestamp granted_at() const { return granted_at_; }
  /// The chain of earlier turns, as the replica is to read it before the input.
  [[nodiscard]] const std::string &history() const { return history_; }

  /// An event's data has reached the client.
  void add_output(std::string_view data);
  /// Where the turn was answered that this one goes on from.
  [[nodiscard]] const records::turn_place &previous_place() const {
    return grant_.previous_place;
  }
  /// Records the end durably. @return false when that is not confirmed in time;
  /// it goes on being tried.
  /// @param place the engine that answered.
  asio::awaitable<bool> record_end(std::uint64_t used_tokens,
                                   records::turn_place place);
  /// Gives back what a granted turn that is not kept has left.
  void settle(std::uint64_t used_tokens);

  /// Tells the log why the turn was refused.
  void log_refusal() const;

private:
  [[nodiscard]] records::turn_request make_request() const;
  /// Whether this process may hold copies of the program's turns.
  [[nodiscard]] bool may_cache() const;
  void append_history(const std::vector<records::retained_turn> &turns);

  gateway &gateway_;
  const client_request &request_;
  const routing::route &route_;
  routing::residency home_;
  timestamp deadline_;
  timestamp wait_deadline_;
  /// Its names carry the tenant's, as do those that the record group gets: what
  /// one tenant keeps does not exist for another.
  turn_header turn_;
  std::string attempt_;
  duration_ms retention_;
  /// The turn that a retained one goes on from; empty for none.
  std::string previous_;

  records::turn_grant grant_;
  bool granted_ = false;
  timestamp granted_at_{};
  std::string history_;
  bool history_known_ = false;
  std::string output_;
};

std::string_view name_of(records::turn_verdict verdict);

} // namespace heathtrestle::forwarding
