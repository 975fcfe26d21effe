// Transfers snapshots from a partition's leader to followers in parts. One
// follower at a time is sent one part at a time: the next part is sent once the
// previous one is acknowledged, so that heartbeats and entries can use the link
// in between. Performs no I/O; the caller sends the parts.
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
  /// Retransmission timeout of a part.
  duration_ms resend_after{600};
  /// A transfer without any acknowledgement for this long is abandoned. It
  /// starts again when the follower is next found to need a snapshot.
  duration_ms give_up_after{3000};
};

/// The sending side, on the leader. Followers are served one after the other.
class snapshot_sender {
public:
  /// The content of a transfer: a header without records, and the state it
  /// describes.
  struct source {
    wire::SnapshotRequest header;
    snapshot_image image;
  };
  using take_source = std::function<source(std::size_t part_bytes)>;

  /// One part to send and its recipient.
  struct part {
    replica_id to;
    wire::SnapshotRequest request;
    /// True when a new transfer begins with this part.
    bool begins = false;
  };

  explicit snapshot_sender(snapshot_transfer_options options)
      : options_(options) {}

  /// Queues a follower that lacks entries which the log has dropped.
  void enqueue(const replica_id &follower);
  /// Handles an acknowledgement: the follower holds all parts before
  /// `progress.next_part`.
  void on_progress(const wire::SnapshotProgress &progress, timestamp now);
  /// Cancels the transfer to a follower that was removed or is dead.
  void cancel(const replica_id &follower);
  /// Cancels all transfers, after the loss of leadership.
  void clear();

  /// Returns the part that is due, if any, and starts the next transfer when
  /// none is in progress.
  /// @param take called when a transfer begins; provides the current state.
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

/// The receiving side, on a follower: assembles the parts of one snapshot.
class snapshot_receiver {
public:
  /// Adds a part; its records are moved out of the message.
  /// @return true when the snapshot is complete and `take` returns it.
  bool receive(wire::SnapshotRequest &part);
  /// The number of the next part that is needed, for the acknowledgement.
  [[nodiscard]] std::uint32_t next_part() const { return next_part_; }
  wire::RecordSnapshot take();

private:
  /// Identify the snapshot being assembled. The term is included because
  /// another leader may divide the state at the same index differently.
  std::uint64_t term_ = 0;
  std::uint64_t last_index_ = 0;
  std::uint32_t next_part_ = 0;
  wire::RecordSnapshot collected_;
};

} // namespace heathtrestle::records
