// Interface of the record group to the gateway: grants turns within a program's
// token budget, returns the history that a turn continues, records the end of
// turns durably, grants tenants' permits, and counts the replicas that crashed
// under a request.
#pragma once

#include "base/ids.hpp"
#include "base/request_identity.hpp"
#include "base/software_version.hpp"
#include "base/time.hpp"
#include "tenants/permit.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace heathtrestle::records {

/// The replica that answered a turn. Its prefix cache holds most of the prompt
/// of the conversation's next turn.
struct turn_place {
  std::string instance; // empty when it is not known
  /// Tokens of the conversation in the engine's cache at the end of the turn.
  std::uint64_t tokens = 0;

  bool operator==(const turn_place &) const = default;
};

/// A finished turn, kept for the turns that continue it. Immutable once it is
/// recorded.
struct retained_turn {
  std::string id;       // the attempt id of its request
  std::string previous; // the turn that it continued; empty for the first
  std::string input;    // the request body that the client sent
  std::string output;   // the data of its events, each followed by a line feed
  turn_place place;
};

/// A request for permission to run a turn.
struct turn_request {
  std::string program;
  std::string attempt; // unique for each attempt of a client
  /// The sequence of turns that this one belongs to. A client runs one attempt
  /// of a session at a time; empty when the session is not known.
  std::string session{};
  std::uint64_t budget = 0;
  /// Maximum number of tokens that this turn may generate.
  std::uint64_t most = 0;
  /// The turn to continue; empty for none.
  std::string previous;
  /// Whether the reply contains the turns of the chain, oldest first.
  bool want_history = false;
  /// How long the program and its turns are kept after their last use.
  duration_ms keep{0};
  /// How long the attempt may go on delivering tokens; zero when not known.
  duration_ms lifetime{0};
  /// The version of the replicas that are to run the turn's stream; empty when
  /// it is not recorded (`stream_origins`).
  software_version version{};
  /// Counts the versions chosen for this attempt. Above zero, the turn was
  /// granted before and the request only records another version.
  std::uint32_t version_choice = 0;
  /// The attempt that brought the first event of the stream that this attempt
  /// resumes; empty when it begins a stream.
  std::string resumes{};
  /// The attempt resumes a stream and its client does not name the attempt that
  /// brought the first event.
  bool resumes_unnamed = false;
  /// The chain to continue, oldest first, when the program's partition does not
  /// hold it. It is recorded there before the grant.
  std::vector<retained_turn> copies{};
};

enum class turn_verdict : std::uint8_t {
  granted,
  budget_spent,
  unknown_turn, // it is certain that no such turn is kept
  unavailable,  // no majority of the record group answered in time
};

/// What a turn was waiting for when its outcome was known.
enum class grant_step : std::uint8_t {
  grant,  // its program's partition
  search, // the other partitions, one of which may keep the previous turn
  copy,   // its program's partition, with the copied turns
};

/// An attempt whose reserved tokens keep other turns of its program waiting.
struct reservation_holder {
  std::string attempt; // empty for none
  duration_ms age{0};  // since its grant
  /// Nobody waits for its tokens any more (`token_account`).
  bool presumed_lost = false;
};

/// The version of the replicas that may run an attempt's stream.
struct stream_origin {
  software_version version; // empty when none is recorded
  /// It is the version of the stream that the attempt resumes.
  bool is_continuation = false;
};

/// The replicas that crashed while they ran one request, over all its attempts.
struct crash_count {
  request_identity request;
  std::uint32_t crashed = 0;
  /// Attempts that were allowed to be sent and whose outcome is not reported.
  std::uint32_t at_risk = 0;
};

/// Reports the replicas that crashed under an attempt, and asks whether it may
/// be sent to another one (`crash_history`).
struct crash_report {
  /// The account that counts the request: its program's, or its own.
  std::string account;
  request_identity request;
  std::string attempt;
  /// Counts the reports of this attempt, from 1.
  std::uint32_t number = 0;
  /// Names of the replicas that crashed since the last report.
  std::vector<std::string> crashed;
  bool wants_send = false;
  /// A replica has answered the request completely.
  bool completed = false;
  /// How long the count is kept.
  duration_ms keep{0};
};

/// Tells the gateways that replicas have crashed under a request.
struct crash_notice {
  request_identity request;
  /// The replica to which it is sent next (`routing::instance::load_key`); zero
  /// for none.
  std::uint32_t sent_to = 0;
  /// The replica that it has left, likewise, and whether that has ended.
  std::uint32_t left = 0;
  bool has_ended = false;
};

enum class send_verdict : std::uint8_t {
  allowed,
  /// Too many replicas have crashed under the request, or may crash under
  /// attempts at risk.
  refused,
  /// No majority of the record group answered in time.
  unavailable,
};

struct crash_verdict {
  send_verdict verdict = send_verdict::unavailable;
  crash_count count;
};

struct turn_grant {
  turn_verdict verdict = turn_verdict::unavailable;
  grant_step step = grant_step::grant;
  /// Partitions that were asked in this step and had not answered.
  std::vector<std::uint32_t> unanswered;
  /// When to retry after `unavailable`; zero when unknown.
  duration_ms retry_after{0};
  /// The request was sent more than once. After a refusal, a late copy of it
  /// may still be granted.
  bool was_resent = false;
  /// Oldest first; empty unless requested.
  std::vector<retained_turn> history;
  /// Tokens that count as used for good.
  std::uint64_t spent = 0;
  /// Tokens that are granted and may still be given back, including this
  /// turn's (`token_account::balance`).
  std::uint64_t reserved = 0;
  /// With `budget_spent`: an attempt that holds a reservation, if any.
  reservation_holder holder;
  /// The place of the turn that this one continues.
  turn_place previous_place;
  stream_origin origin;
  /// The requests of the program under which replicas have crashed.
  std::vector<crash_count> crashes;
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

/// A request for permission to send one request on a tenant's behalf.
struct permit_request {
  tenant_id tenant;
  tenants::quota_terms terms;
  /// True for the first request of a program.
  bool begins_program = false;
};

enum class permit_verdict : std::uint8_t {
  granted,
  /// The tenant has used up what it may send for now.
  used_up,
  /// The tenant's programs would exceed its quota if all began at once.
  paced,
  /// No leader answered in time.
  unavailable,
};

std::string_view name_of(permit_verdict verdict);

struct permit_answer {
  permit_verdict verdict = permit_verdict::unavailable;
  /// Expiry of the permit.
  timestamp good_until{};
  /// When to retry after a refusal; zero when unknown.
  duration_ms retry_after{0};
  /// The state on which the decision was based: permits counted in the window,
  /// the maximum number, and the part of the maximum that is the limit.
  std::uint64_t counted = 0;
  std::uint64_t most = 0;
  std::uint64_t limit = 0;
};

/// The location of a storage node.
struct storage_place {
  std::string node;
  std::string zone;
  std::string region; // empty when the node does not report it

  bool operator==(const storage_place &) const = default;
};

class turn_ledger {
public:
  turn_ledger() = default;
  turn_ledger(const turn_ledger &) = delete;
  turn_ledger &operator=(const turn_ledger &) = delete;
  virtual ~turn_ledger() = default;

  /// Requests a turn; returns by `deadline`. A grant is durable and counts
  /// against the budget until the turn's end is recorded (`token_account`).
  virtual boost::asio::awaitable<turn_grant> begin(turn_request request,
                                                   timestamp deadline) = 0;

  /// Records the end of a turn durably.
  /// @return false when that was not confirmed by `deadline`; it is still
  /// retried.
  virtual boost::asio::awaitable<bool> finish(turn_end end,
                                              timestamp deadline) = 0;

  /// Records the end of a turn in the background.
  virtual void settle(turn_end end) = 0;

  /// Requests a permit; returns by `deadline`. Every request sent on behalf of
  /// a tenant with a quota needs its own permit.
  virtual boost::asio::awaitable<permit_answer>
  take_permit(permit_request request, timestamp deadline) = 0;

  /// Reports crashes; returns by `deadline`. What is allowed is durable: it
  /// counts like a crash until the attempt reports again.
  virtual boost::asio::awaitable<crash_verdict>
  report_crashes(crash_report report, timestamp deadline) = 0;

  /// Tells all gateways of a request under which replicas have crashed. Best
  /// effort.
  virtual void announce(crash_notice notice) = 0;

  /// True while this process cannot reach the record group and other gateways
  /// can, so that its clients should be sent to those.
  [[nodiscard]] virtual bool cut_off() const { return false; }

  /// Returns the locations of the known storage nodes; recorded data may be
  /// stored at each of them.
  [[nodiscard]] virtual std::vector<storage_place> storage_places() const {
    return {};
  }
};

} // namespace heathtrestle::records
