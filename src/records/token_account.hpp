// The token account of a program: the tokens that its turns have spent, and
// those reserved for attempts whose end is not recorded yet.
//
// An attempt whose gateway dies never reports its end, so what it delivered
// stays unknown, between nothing and the most that was granted. Such an attempt
// is presumed lost once nobody waits for its tokens any more. A program may
// exceed its budget by the most of one turn, and the account spends this
// allowance on one presumed loss at a time: the program goes on at once, and
// what its clients receive stays within its budget and one turn's most, whether
// or not the attempt is really lost. Further losses are charged in full when
// their gateways have had time to report an end; a later report changes
// nothing, so a budget that was called spent stays spent.
//
// All times are those of the partition's quota clock, in milliseconds. All
// replicas agree on it; it never runs faster than real time and stands still
// while there is no leader to report to.
#pragma once

#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace heathtrestle::records {

class token_account {
public:
  /// What is left of the budget is the budget less both.
  struct balance {
    /// Never decreases.
    std::uint64_t spent = 0;
    /// Tokens that attempts may still give back when they end, without those
    /// that the allowance bears.
    std::uint64_t reserved = 0;
  };

  /// Reserves the tokens of an attempt.
  /// @return RECORD_GRANTED, also for an attempt that is open already;
  /// RECORD_BUDGET_SPENT when the budget does not hold the turn beside all that
  /// is spent and reserved; RECORD_UNAVAILABLE for an attempt that has ended.
  wire::RecordVerdict begin(const wire::BeginTurn &wanted,
                            std::uint64_t now_ms);
  /// Releases the reservation of an attempt and adds what it used. Later
  /// reports of the same attempt change nothing.
  void end(const std::string &attempt, std::uint64_t used);

  [[nodiscard]] bool is_open(const std::string &attempt) const {
    return open_.contains(attempt);
  }
  [[nodiscard]] bool has_ended(const std::string &attempt) const {
    return ended_.contains(attempt);
  }
  [[nodiscard]] balance current_balance() const;
  /// An attempt that holds a reservation, if any: the oldest of those that are
  /// not presumed lost, or else the oldest.
  [[nodiscard]] std::optional<wire::ReservationHolder>
  oldest_holder(std::uint64_t now_ms) const;

  /// Adds the account to a program of a snapshot.
  void save(wire::RecordProgram &saved) const;
  [[nodiscard]] static token_account restore(const wire::RecordProgram &saved);

private:
  struct reservation {
    std::uint64_t most = 0;
    std::string session;
    std::uint64_t granted_ms = 0;
    std::optional<std::uint64_t> ends_ms; // end of the lifetime, when known
    bool presumed_lost = false;

    /// True when its gateway has had time to report an end and did not.
    [[nodiscard]] bool is_given_up(std::uint64_t now_ms) const;
  };

  /// Presumes those open attempts lost for which nobody can be waiting: their
  /// lifetime is over, or their client has begun another attempt of the
  /// session.
  void presume_losses(const wire::BeginTurn &wanted, std::uint64_t now_ms);
  /// Ends the attempts that are given up, except for the largest, and charges
  /// the most that they may have delivered.
  void charge_given_up(std::uint64_t now_ms);

  std::uint64_t spent_ = 0;
  std::map<std::string, reservation> open_; // by attempt
  /// Attempts that have ended; a late copy of their beginning is refused.
  std::set<std::string> ended_;
};

} // namespace heathtrestle::records
