// What the gateway asks of the record group about the turns of programs: leave
// to run one within the program's budget, the history that it goes on from, and
// the durable record of its end.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "tenants/permit.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heathtrestle::records {

/// Where a turn was answered: the next one of its conversation finds most of
/// its prompt read there.
struct turn_place {
  std::string instance; // empty when it is not known
  /// Tokens of the conversation that the engine's memory held at its end.
  std::uint64_t tokens = 0;

  bool operator==(const turn_place &) const = default;
};

/// A finished turn, as it is kept for the turns that go on from it. Never
/// changes once it is recorded.
struct retained_turn {
  std::string id;       // the attempt id of its request
  std::string previous; // the turn that it went on from; empty for the first
  std::string input;    // the body that its client sent
  std::string output;   // the data of its events, a line feed behind each
  turn_place place;
};

/// Asks leave to run a turn.
struct turn_request {
  std::string program;
  std::string attempt; // unique for each try of a client
  std::uint64_t budget = 0;
  /// The most tokens that this turn may generate.
  std::uint64_t most = 0;
  /// The turn to go on from; empty for none.
  std::string previous;
  /// Whether the answer brings the turns of the chain, oldest first.
  bool want_history = false;
  /// How long the program and its turns are kept after their last use.
  duration_ms keep{0};
  /// The chain to go on from, oldest first, where the program's partition does
  /// not keep it; it does from the grant on.
  std::vector<retained_turn> copies{};
};

enum class turn_verdict : std::uint8_t {
  granted,
  budget_spent,
  unknown_turn, // no such turn is kept, and that is certain
  unavailable,  // no majority of the record group answered in time
};

struct turn_grant {
  turn_verdict verdict = turn_verdict::unavailable;
  /// Of an unavailable one: when to come back; zero where nothing is known.
  duration_ms retry_after{0};
  /// Oldest first, when it was asked for.
  std::vector<retained_turn> history;
  std::uint64_t spent = 0;    // tokens settled
  std::uint64_t reserved = 0; // tokens granted and not settled, this turn's too
  /// Where the turn was answered that this one goes on from.
  turn_place previous_place;
};

/// The end of a turn: what it used of its grant and what is kept of it.
struct turn_end {
  std::string program;
  std::string attempt;
  std::uint64_t used = 0; // tokens that reached the client
  /// Kept when its id is not empty.
  retained_turn kept;
  duration_ms keep{0};
};

/// Asks leave to send one request in a tenant's name.
struct permit_request {
  tenant_id tenant;
  tenants::quota_terms terms;
  /// The first request of a program.
  bool begins_program = false;
};

enum class permit_verdict : std::uint8_t {
  granted,
  /// The tenant has used up what it may send for now.
  used_up,
  /// Its programs would need more than its quota if all began at once.
  paced,
  /// No leader answered in time.
  unavailable,
};

std::string_view name_of(permit_verdict verdict);

struct permit_answer {
  permit_verdict verdict = permit_verdict::unavailable;
  /// Until when a request may be sent with it.
  timestamp good_until{};
  /// Of a refusal: when to come back; zero where nothing is known.
  duration_ms retry_after{0};
  /// What the partition decided by: permits in the window, how many there may
  /// be, and how many of these are the limit.
  std::uint64_t counted = 0;
  std::uint64_t most = 0;
  std::uint64_t limit = 0;
};

/// Where a node of the record group lies.
struct storage_place {
  std::string node;
  std::string zone;
  std::string region; // empty when the node doesn't tell

  bool operator==(const storage_place &) const = default;
};

class turn_ledger {
public:
  turn_ledger() = default;
  turn_ledger(const turn_ledger &) = delete;
  turn_ledger &operator=(const turn_ledger &) = delete;
  virtual ~turn_ledger() = default;

  /// Returns by `deadline`. A grant is durable, and counts as spent in full
  /// until the turn's end is recorded.
  virtual boost::asio::awaitable<turn_grant> begin(turn_request request,
                                                   timestamp deadline) = 0;

  /// Records the end of a turn durably.
  /// @return false when that could not be confirmed by `deadline`; it goes on
  /// being tried.
  virtual boost::asio::awaitable<bool> finish(turn_end end,
                                              timestamp deadline) = 0;

  /// Records the end of a turn some time soon.
  virtual void settle(turn_end end) = 0;

  /// Returns by `deadline`. Every request that is sent in the name of a tenant
  /// with a quota needs a permit of its own.
  virtual boost::asio::awaitable<permit_answer>
  take_permit(permit_request request, timestamp deadline) = 0;

  /// True while this process cannot reach the record group and others can: it
  /// had better send its clients to them.
  [[nodiscard]] virtual bool cut_off() const { return false; }

  /// The nodes known to this process; what is recorded may get to each of them.
  [[nodiscard]] virtual std::vector<storage_place> storage_places() const {
    return {};
  }
};

} // namespace heathtrestle::records
