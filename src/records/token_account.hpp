// The token account of a program: the tokens that its turns have spent, and
// those reserved for attempts whose end is not recorded yet.
//
// All times are times of the log, in milliseconds, so that all replicas agree.
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
    std::uint64_t spent = 0;
    /// Tokens that attempts may still give back when they end.
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
  /// The oldest attempt with a reservation, if any.
  [[nodiscard]] std::optional<wire::ReservationHolder>
  oldest_holder(std::uint64_t now_ms) const;

  /// Adds the account to a program of a snapshot.
  void save(wire::RecordProgram &saved) const;
  [[nodiscard]] static token_account restore(const wire::RecordProgram &saved);

private:
  struct reservation {
    std::uint64_t most = 0;
    std::uint64_t granted_ms = 0;
  };

  std::uint64_t spent_ = 0;
  std::map<std::string, reservation> open_; // by attempt
  /// Attempts that have ended; a late copy of their beginning is refused.
  std::set<std::string> ended_;
};

} // namespace heathtrestle::records
