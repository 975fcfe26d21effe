// The disk of one replica: its identity, its hard state, the snapshot that its
// log begins with, and the log. Kept in one SQLite database with a write-ahead
// log: every change is one transaction, synced before the call returns, so a
// loss of power leaves the state before it or after it and nothing between.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "raft/consensus.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace heathtrestle::storage {

/// What a replica finds on its disk at its start.
struct recovered_state {
  /// Drawn when the database was made; another one after a loss of the disk.
  boot_id identity;
  /// True when the database was made by this start.
  bool is_new = false;
  raft::saved_replica replica;
  /// The state machine at the base of the log; empty before the first.
  wire::RecordSnapshot snapshot;
  /// Where the other members of the group were last seen.
  wire::RecordMembers members;
};

class log_storage {
public:
  /// Opens or makes the database in `directory`.
  /// @param fresh_identity the identity of a database that is made now.
  static result<std::unique_ptr<log_storage>>
  open(const std::string &directory, std::uint64_t fresh_identity);
  ~log_storage();
  log_storage(const log_storage &) = delete;
  log_storage &operator=(const log_storage &) = delete;

  /// Reads everything back.
  result<recovered_state> recover();

  /// Writes the changes of one step; durable when it returns.
  /// @param snapshot the state that was installed, when
  /// `changes.installed` is set.
  result<void> write(const raft::unsaved_changes &changes,
                     const wire::RecordSnapshot *snapshot);

  /// Replaces the log up to `base` by a snapshot of the state there.
  result<void> compact(const raft::log_base &base,
                       const wire::RecordSnapshot &snapshot);

  result<void> write_members(const wire::RecordMembers &members);

  /// Bytes of log entries written since the last snapshot.
  [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
  struct database;
  explicit log_storage(std::unique_ptr<database> opened);
  result<void> put_base(const raft::log_base &base,
                        const wire::RecordSnapshot &snapshot);

  std::unique_ptr<database> database_;
  bool made_now_ = false;
  std::uint64_t log_bytes_ = 0;
};

} // namespace heathtrestle::storage
