// The disk of one replica: its identity, its hard state, a snapshot of what it
// has applied, the log from some way before that, and the bodies of kept turns.
// Kept in one SQLite database with a write-ahead log: every change is one
// transaction, synced before the call returns, so a loss of power leaves the
// state before it or after it and nothing between.
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

/// What a replica finds on its disk at its start.
struct recovered_state {
  /// Drawn when the database was made; another one after a loss of the disk.
  boot_id identity;
  /// True when the database was made by this start.
  bool is_new = false;
  raft::saved_replica replica;
  /// The state machine as of `replica.applied`; empty before the first. Turns
  /// come without their bodies, but from disks of versions that kept them here.
  wire::RecordSnapshot snapshot;
  /// Where the other members of the group were last seen.
  wire::RecordMembers members;
};

class log_storage : public records::turn_bodies {
public:
  /// Opens or makes the database in `directory`.
  /// @param fresh_identity the identity of a database that is made now.
  static result<std::unique_ptr<log_storage>>
  open(const std::string &directory, std::uint64_t fresh_identity);
  ~log_storage() override;
  log_storage(const log_storage &) = delete;
  log_storage &operator=(const log_storage &) = delete;

  /// Reads everything back but the bodies of turns, and drops bodies of which
  /// neither the snapshot nor the log knows.
  result<recovered_state> recover();

  /// Keeps whole turns. They are written when some have come together, and with
  /// each snapshot: until their entry leaves the log it brings them back.
  result<void> keep(std::vector<wire::RecordTurn> turns);
  void drop(const std::vector<std::string> &ids);
  std::optional<wire::RecordTurn> read(const std::string &id) override;

  /// Writes the changes of one step; durable when it returns.
  /// @param snapshot the state that was installed, when
  /// `changes.installed` is set.
  result<void> write(const raft::unsaved_changes &changes,
                     const wire::RecordSnapshot *snapshot);

  /// Writes a snapshot of what is applied, and drops the log up to `base`:
  /// its entries count no more at once, and are deleted a few with each write.
  /// @param base where the log is to begin; at `applied` or before it.
  /// @param applied the last entry that `snapshot` holds.
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
  /// Deletes a few of the entries that a snapshot has made needless.
  result<void> delete_obsolete_entries();
  /// Writes what `keep` and `drop` have left, within a transaction.
  result<void> flush_turns();
  result<void> delete_orphaned_turns(const recovered_state &state);

  std::unique_ptr<database> database_;
  bool created_ = false;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  /// Entries up to here are to be deleted; 0 when they are.
  std::uint64_t obsolete_through_ = 0;
  /// Turns that wait to be written, and their encoded size.
  std::unordered_map<std::string, wire::RecordTurn> unwritten_turns_;
  std::size_t unwritten_bytes_ = 0;
  std::vector<std::string> turns_to_delete_;
};

} // namespace heathtrestle::storage
