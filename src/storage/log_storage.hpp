// Persistent storage of one replica in an SQLite database with a write-ahead
// log: its identity, its Raft hard state, the latest snapshot, the log with
// some entries before that snapshot, and the bodies of stored turns. Every
// change is one transaction that is synced before the call returns, so a power
// loss leaves the state before or after it.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "raft/consensus.hpp"
#include "records/turn_bodies.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace heathtrestle::storage {

/// The state recovered from disk at start.
struct recovered_state {
  /// Drawn when the database is created, so it differs after a loss of the
  /// disk.
  boot_id identity;
  /// True when the database did not exist before this start.
  bool is_new = false;
  raft::saved_replica replica;
  /// The state machine at `replica.applied`; empty before the first snapshot.
  /// Turns have no bodies, except from databases of versions that stored them
  /// here.
  wire::RecordSnapshot snapshot;
  /// The last known member list.
  wire::RecordMembers members;
};

class log_storage : public records::turn_bodies {
public:
  /// Opens or creates the database in `directory`.
  /// @param fresh_identity the identity of a new database.
  static result<std::unique_ptr<log_storage>>
  open(const std::string &directory, std::uint64_t fresh_identity);
  ~log_storage() override;
  log_storage(const log_storage &) = delete;
  log_storage &operator=(const log_storage &) = delete;

  /// Reads everything except the turn bodies, and deletes bodies that neither
  /// the snapshot nor the log refers to.
  result<recovered_state> recover();

  /// Stores turns with their bodies. They are buffered and written in batches
  /// and before each snapshot; until then their log entries restore them after
  /// a crash.
  result<void> keep(std::vector<wire::RecordTurn> turns);
  void drop(const std::vector<std::string> &ids);
  std::optional<wire::RecordTurn> read(const std::string &id) override;

  /// Writes the changes of one step; they are durable when it returns.
  /// @param snapshot the installed state; used when `changes.installed` is set.
  result<void> write(const raft::unsaved_changes &changes,
                     const wire::RecordSnapshot *snapshot);

  /// Writes a snapshot of the applied state and drops the log up to `base`. The
  /// dropped entries no longer count at once, but are deleted a few at a time
  /// by later writes.
  /// @param base where the log begins from now on; at or before `applied`.
  /// @param applied index of the last entry included in `snapshot`.
  result<void> compact(const raft::log_base &base, std::uint64_t applied,
                       const wire::RecordSnapshot &snapshot);

  result<void> write_members(const wire::RecordMembers &members);

  /// Bytes of log entries that a restart reads.
  [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }
  /// Bytes of log entries written since the last snapshot.
  [[nodiscard]] std::uint64_t bytes_since_snapshot() const {
    return bytes_since_snapshot_;
  }

private:
  struct database;
  explicit log_storage(std::unique_ptr<database> opened);
  result<void> put_base(const raft::log_base &base, std::uint64_t applied,
                        const wire::RecordSnapshot &snapshot);
  /// Deletes a few of the entries covered by the snapshot.
  result<void> delete_obsolete_entries();
  /// Writes the buffered insertions and deletions of turns; needs a
  /// transaction.
  result<void> flush_turns();
  result<void> delete_orphaned_turns(const recovered_state &state);

  std::unique_ptr<database> database_;
  bool created_ = false;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  /// Entries up to this index are to be deleted; 0 when none are left.
  std::uint64_t obsolete_through_ = 0;
  /// Turns not written yet, and their encoded size in bytes.
  std::unordered_map<std::string, wire::RecordTurn> unwritten_turns_;
  std::size_t unwritten_bytes_ = 0;
  std::vector<std::string> turns_to_delete_;
};

} // namespace heathtrestle::storage
