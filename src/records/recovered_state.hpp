// The state of one partition's replica as read from disk at start.
#pragma once

#include "base/ids.hpp"
#include "raft/consensus.hpp"
#include "wire/messages.hpp"

namespace heathtrestle::records {

struct recovered_state {
  /// Drawn when the disk is first used, so it differs after a loss of the disk.
  boot_id identity;
  /// True when the disk was empty before this start.
  bool is_new = false;
  raft::saved_replica replica;
  /// The state machine at `replica.applied`; empty before the first snapshot.
  /// Turns have no bodies.
  wire::RecordSnapshot snapshot;
  /// The last known member list.
  wire::RecordMembers members;
};

} // namespace heathtrestle::records
