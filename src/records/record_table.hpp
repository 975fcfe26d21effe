// The state machine of the record group: what each program has spent and
// reserved of its budget, the turns that are kept, and the permits of tenants.
// Of a turn it holds what decides; bodies pass through to whoever keeps them
// (`turn_bodies`).
//
// Deterministic: time comes with each batch and never runs backwards. The same
// batches in the same order leave the same state on every replica.
#pragma once

#include "records/snapshot_image.hpp"
#include "records/turn_ledger.hpp"
#include "tenants/quota_account.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathtrestle::records {

class record_table {
public:
  /// Applies one entry of the log.
  /// @return the outcome of each change, in order, without ids; histories name
  /// their turns without the bodies.
  std::vector<wire::RecordReplyItem> apply(const wire::RecordBatch &batch);

  /// The answer to a question whose outcome is in the state already, and that
  /// no later entry can change; nothing where the log has to decide. Such
  /// answers need no entry of their own.
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::RecordChange &change) const;

  /// Whole turns that were taken in since the last call.
  std::vector<wire::RecordTurn> take_kept() { return std::exchange(kept_, {}); }
  /// Turns that were dropped since the last call and are not kept anew.
  std::vector<std::string> take_dropped();

  /// The whole state in one message, without the turns' bodies.
  [[nodiscard]] wire::RecordSnapshot snapshot() const;
  /// The state as of now, in parts.
  [[nodiscard]] snapshot_image image(std::size_t part_bytes) const;
  /// @param snapshot its turns may come with their bodies.
  void restore(wire::RecordSnapshot snapshot);

  /// The partition's time by which permits are counted.
  [[nodiscard]] tenants::quota_time quota_time() const { return quota_time_; }
  [[nodiscard]] std::size_t programs() const { return programs_.size(); }
  [[nodiscard]] std::size_t turns() const { return turns_.size(); }
  /// Encoded size of the turns with their bodies.
  [[nodiscard]] std::size_t turn_bytes() const { return turn_bytes_; }

private:
  /// A program's account, in tokens.
  struct program {
    std::uint64_t spent = 0;
    std::uint64_t reserved = 0; // the sum of `open`
    std::map<std::string, std::uint64_t> open;
    /// Attempts whose end is known; a late copy of their beginning is refused.
    std::set<std::string> closed;
    std::uint64_t expires_ms = 0;
  };
  wire::RecordReplyItem apply(const wire::RecordChange &change);
  wire::RecordReplyItem begin(const wire::BeginTurn &wanted);
  [[nodiscard]] wire::RecordReplyItem read(const wire::ReadTurns &wanted) const;
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::BeginTurn &wanted) const;
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  decided_outcome(const wire::EndTurn &ended) const;
  wire::RecordReplyItem keep(const wire::KeepTurns &copies);
  wire::RecordReplyItem end(const wire::EndTurn &ended);
  wire::RecordReplyItem reserve(const wire::ReserveQuota &wanted);
  /// @return null when there is none, or it has expired.
  [[nodiscard]] const program *find_account(const std::string &id) const;
  /// Adds what a grant tells besides its verdict.
  void add_grant_details(const wire::BeginTurn &wanted, const program &account,
                         wire::RecordReplyItem &reply) const;
  /// The account, without what has expired.
  program &account_of(const std::string &id, std::uint64_t keep_ms);
  /// @return null when it was never kept or has expired. What has expired is
  /// absent from its time on, whether a sweep has been over it or not, so that
  /// replicas which sweep at other times still agree.
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
