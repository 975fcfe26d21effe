// Snapshots on their way from a partition's leader to followers, in parts. One
// follower gets one part at a time: the next leaves when it has told that it
// holds the one before, so that a transfer never has more than a part of the
// link, and heartbeats and entries pass between. Pure, like `record_node`.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "records/snapshot_image.hpp"
#include "wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace heathtrestle::records {

struct snapshot_transfer_options {
  std::size_t part_bytes = std::size_t{96} << 10U;
  /// A part that is not acknowledged is sent again after this long.
  duration_ms resend_after{600};
  /// A follower that acknowledges nothing for this long is given up; it is
  /// asked for again when it is heard of.
  duration_ms give_up_after{3000};
};

/// The leader's side. Followers are served one after the other.
class snapshot_sender {
public:
  /// What is sent: a header without records, and the state that belongs to it.
  struct source {
    wire::SnapshotRequest header;
    snapshot_image image;
  };
  using take_source = std::function<source(std::size_t part_bytes)>;

  /// A part to be sent now.
  struct part {
    replica_id to;
    wire::SnapshotRequest request;
    /// Set on the first part of a transfer that begins.
    bool begins = false;
  };

  explicit snapshot_sender(snapshot_transfer_options options)
      : options_(options) {}

  /// A follower lacks entries that the log has dropped.
  void enqueue(const replica_id &follower);
  /// A follower holds all parts before `progress.next_part`.
  void on_progress(const wire::SnapshotProgress &progress, timestamp now);
  /// A follower that needs nothing more: removed, or dead.
  void cancel(const replica_id &follower);
  /// Forgets everything: this node does not lead any more.
  void clear();

  /// @param take called when a transfer begins; the state is as of then.
  /// @return the part that is due, if any.
  std::optional<part> next_due(timestamp now, const take_source &take);

private:
  struct transfer {
    replica_id to;
    source content;
    std::size_t next_part = 0;
    bool sent = false;
    timestamp sent_at{};
    timestamp last_progress{};
  };

  snapshot_transfer_options options_;
  std::deque<replica_id> waiting_;
  std::optional<transfer> current_;
};

/// The follower's side: collects the parts of one snapshot.
class snapshot_receiver {
public:
  /// Takes in a part, whose records are moved away.
  /// @return true when the snapshot is complete; `take` yields it then.
  bool receive(wire::SnapshotRequest &part);
  /// What to tell the leader after a part of that snapshot.
  [[nodiscard]] std::uint32_t next_part() const { return next_part_; }
  wire::RecordSnapshot take();

private:
  /// Which snapshot is being collected. Another leader's image of the same
  /// index may be cut otherwise.
  std::uint64_t term_ = 0;
  std::uint64_t last_index_ = 0;
  std::uint32_t next_part_ = 0;
  wire::RecordSnapshot collected_;
};

} // namespace heathtrestle::records
