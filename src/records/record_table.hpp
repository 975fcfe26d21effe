// The state machine of the record group: token budgets of programs, stored
// turns, and quota accounts of tenants. Only the parts of a turn that decisions
// need are held here; bodies are passed on to their storage (`turn_bodies`).
//
// A program's account holds everything that binds later attempts of its
// requests to earlier ones: the budget, the versions of streams, and the
// replicas that crashed. A request without a program has an account of its own
// when replicas have crashed under it.
//
// It is deterministic: time comes with each batch and never runs backwards, so
// the same batches in the same order leave the same state on every replica.
#pragma once

#include "records/crash_history.hpp"
#include "records/snapshot_image.hpp"
#include "records/stream_origins.hpp"
#include "records/token_account.hpp"
#include "records/turn_ledger.hpp"
#include "tenants/quota_account.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathtrestle::records {

class record_table {
public:
  /// Applies one log entry.
  /// @return the outcome of each change, in order, without ids; turns of
  /// histories carry no bodies.
  std::vector<wire::RecordReplyItem> apply(const wire::RecordBatch &batch);

  /// The outcome of a change that the state already decides and no later entry
  /// can change, so that no log entry is needed; nothing when the change must
  /// go through the log.
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::RecordChange &change) const;

  /// Turns with their bodies stored since the last call.
  std::vector<wire::RecordTurn> take_kept() { return std::exchange(kept_, {}); }
  /// Ids of turns dropped since the last call and not stored again.
  std::vector<std::string> take_dropped();

  /// The whole state in one message, without turn bodies.
  [[nodiscard]] wire::RecordSnapshot snapshot() const;
  /// The current state, split into parts.
  [[nodiscard]] snapshot_image image(std::size_t part_bytes) const;
  /// Replaces the state.
  /// @param snapshot its turns may include their bodies.
  void restore(wire::RecordSnapshot snapshot);

  /// The time of the partition by which permits are counted.
  [[nodiscard]] tenants::quota_time quota_time() const { return quota_time_; }
  [[nodiscard]] std::size_t programs() const { return programs_.size(); }
  [[nodiscard]] std::size_t turns() const { return turns_.size(); }
  /// Encoded size of the stored turns, including their bodies, in bytes.
  [[nodiscard]] std::size_t turn_bytes() const { return turn_bytes_; }

private:
  struct program {
    token_account tokens;
    stream_origins origins;
    crash_history crashes;
    std::uint64_t expires_ms = 0;
  };
  wire::RecordReplyItem apply(const wire::RecordChange &change);
  wire::RecordReplyItem begin(const wire::BeginTurn &wanted);
  [[nodiscard]] wire::RecordReplyItem read(const wire::ReadTurns &wanted) const;
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::BeginTurn &wanted) const;
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::EndTurn &ended) const;
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::ReportCrashes &reported) const;
  wire::RecordReplyItem keep(const wire::KeepTurns &copies);
  wire::RecordReplyItem end(const wire::EndTurn &ended);
  wire::RecordReplyItem reserve(const wire::ReserveQuota &wanted);
  wire::RecordReplyItem report(const wire::ReportCrashes &reported);
  /// @return null when there is no account or it has expired.
  [[nodiscard]] const program *find_account(const std::string &id) const;
  /// Adds the account's balance.
  void add_balance(const program &account, wire::RecordReplyItem &reply) const;
  static void add_origin(std::optional<wire::StreamOrigin> origin,
                         wire::RecordReplyItem &reply);
  /// Adds the balance, and for a granted turn its history and place and the
  /// program's crashes.
  void add_grant_details(const wire::BeginTurn &wanted, const program &account,
                         wire::RecordReplyItem &reply) const;
  /// The account, created or reset if it does not exist or has expired, with
  /// its expiry extended.
  program &account_of(const std::string &id, std::uint64_t keep_ms);
  /// @return null when the turn is not stored or has expired. An expired turn
  /// counts as absent whether or not a sweep has removed it, so that replicas
  /// that sweep at different times agree.
  [[nodiscard]] const stored_turn *find_turn(const std::string &id) const;
  void keep(const wire::RecordTurn &turn, std::uint64_t keep_ms);
  void add_history(const std::string &last, wire::RecordReplyItem &reply) const;
  void drop_expired();

  std::uint64_t now_ms_ = 0;
  std::uint64_t next_sweep_ms_ = 0;
  tenants::quota_time quota_time_ = 0;
  std::unordered_map<std::string, tenants::quota_account> quotas_;
  std::unordered_map<std::string, program> programs_;
  std::unordered_map<std::string, stored_turn> turns_;
  std::size_t turn_bytes_ = 0;
  std::vector<wire::RecordTurn> kept_;
  std::vector<std::string> dropped_;
};

} // namespace heathtrestle::records
