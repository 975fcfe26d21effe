// Persistent storage of one partition's replica: its identity, its Raft hard
// state, the latest snapshot, the log with some entries before that snapshot,
// and the bodies of stored turns.
//
// Everything that changes is a frame of one segment log. A checkpoint file
// holds the snapshot and where the log begins, so that a start reads only the
// segments from there on. The body of a turn is written once, within the log
// entry that brings it, and read from there; segments outlive the entries
// while they hold bodies. A segment with few bodies left is emptied by copying
// these to the end of the log.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "raft/consensus.hpp"
#include "records/body_index.hpp"
#include "records/recovered_state.hpp"
#include "records/storage_counts.hpp"
#include "records/turn_bodies.hpp"
#include "storage/directory.hpp"
#include "storage/segment_log.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::records {

struct replica_storage_options {
  std::uint32_t segment_bytes = 4U << 20U;
  /// Bytes of bodies copied with each write while a segment is emptied.
  std::uint64_t copied_bytes_per_write = 32U << 10U;
};

class replica_storage : public turn_bodies {
public:
  struct opened {
    /// Null if the disk is damaged.
    std::unique_ptr<replica_storage> storage;
    recovered_state recovered;
    /// Why the disk cannot be used; empty if it can.
    std::string damage;
  };

  /// Opens the storage in `files`, or creates it in an empty directory. Bodies
  /// that neither the snapshot nor the log refers to are forgotten.
  /// @param fresh_identity the identity of a new disk.
  static result<opened> open(std::unique_ptr<storage::directory> files,
                             std::uint64_t fresh_identity,
                             replica_storage_options options = {});
  /// Deletes everything that this class stores in `files`.
  static result<void> erase(storage::directory &files);

  ~replica_storage() override = default;
  replica_storage(const replica_storage &) = delete;
  replica_storage &operator=(const replica_storage &) = delete;

  /// Stores turns with their bodies. Turns of log entries are on disk already;
  /// others are durable with the next write or snapshot.
  result<void> keep(const std::vector<wire::RecordTurn> &turns);
  void drop(const std::vector<std::string> &ids);
  std::optional<wire::RecordTurn> read(const std::string &id) override;

  /// Writes the changes of one step; they are durable when it returns.
  /// @param snapshot the installed state; used when `changes.installed` is set.
  result<void> write(const raft::unsaved_changes &changes,
                     const wire::RecordSnapshot *snapshot);

  /// Writes a snapshot of the applied state and drops the log up to `base`.
  /// @param base where the log begins from now on; at or before `applied`.
  /// @param applied index of the last entry included in `snapshot`.
  result<void> compact(const raft::log_base &base, std::uint64_t applied,
                       wire::RecordSnapshot snapshot);

  result<void> write_members(const wire::RecordMembers &members);

  /// Bytes of log entries that a restart reads.
  [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }
  /// Bytes of log entries written since the last snapshot.
  [[nodiscard]] std::uint64_t bytes_since_snapshot() const {
    return bytes_since_snapshot_;
  }
  [[nodiscard]] storage_counts counts() const;

private:
  /// An entry after the base.
  struct stored_entry {
    std::uint64_t segment = 0;
    std::uint64_t bytes = 0;
  };
  /// The turns of an entry that may not be applied yet.
  struct entry_turns {
    std::uint64_t index = 0;
    std::vector<storage::located_extent> turns;
  };

  replica_storage(std::unique_ptr<storage::directory> files,
                  replica_storage_options options);
  static result<opened> create(std::unique_ptr<replica_storage> made,
                               std::uint64_t identity);
  result<std::string> recover(const wire::ReplicaCheckpoint &checkpoint,
                              recovered_state &state);
  /// Takes over a frame found at start.
  /// @return the damage that it shows, if any.
  std::optional<std::string> replay(const storage::found_frame &frame,
                                    storage::log_position checkpointed,
                                    recovered_state &state);
  std::optional<std::string> replay_entry(const storage::found_frame &frame,
                                          recovered_state &state);
  /// Forgets entries from `index` on.
  void truncate(std::uint64_t index);
  result<void> append_entry(const wire::LogEntry &entry);
  result<void> append_hard_state(const raft::hard_state &hard);
  /// Finds the turn among those of entries that may not be applied yet, and
  /// forgets the turns of the entries before it.
  std::optional<storage::location>
  take_from_entries(const storage::extent_key &key);
  /// Where a body lies; that of an entry that is not applied yet included.
  [[nodiscard]] std::optional<storage::location>
  find_body(const storage::extent_key &key) const;
  result<void> install(const raft::log_base &base,
                       const wire::RecordSnapshot &snapshot);
  /// Writes the checkpoint; what it refers to is durable before.
  result<void> write_checkpoint(std::uint64_t applied,
                                wire::RecordSnapshot snapshot);
  /// Copies some bodies of a segment with few of them to the end of the log.
  result<void> copy_bodies();
  /// Deletes the segments that hold nothing that is needed.
  result<void> delete_empty_segments();
  /// The segment with the smallest share of bodies, if that is small enough to
  /// copy them.
  [[nodiscard]] std::optional<std::uint64_t> segment_to_empty() const;

  std::unique_ptr<storage::directory> files_;
  replica_storage_options options_;
  std::unique_ptr<storage::segment_log> log_;
  boot_id identity_;
  raft::hard_state hard_;
  raft::log_base base_;
  wire::RecordMembers members_;
  /// Entries of other generations are obsolete. It changes when a snapshot
  /// replaces the log.
  std::uint32_t generation_ = 1;
  /// Segments from here on are read at start and not emptied.
  std::uint64_t first_segment_ = 1;
  /// The entries after the base, in order.
  std::deque<stored_entry> entries_;
  std::deque<entry_turns> entry_turns_;
  /// At start, the first entry found without the ones before it and not
  /// truncated yet.
  std::optional<std::uint64_t> detached_entry_;
  body_index bodies_;
  /// The segment that is being emptied, and its bodies left to be copied.
  std::uint64_t emptied_segment_ = 0;
  std::vector<storage::extent_key> bodies_to_copy_;
  std::uint64_t log_bytes_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::uint64_t bytes_reclaimed_ = 0;
  std::uint64_t checkpoint_bytes_ = 0; // written since the start
};

} // namespace heathtrestle::records
