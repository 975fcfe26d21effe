// Conversions between what a replica keeps on disk and its encoded form.
#pragma once

#include "raft/consensus.hpp"
#include "storage/segment_log.hpp"
#include "wire/messages.hpp"

namespace heathtrestle::records {

wire::StoredHardState to_wire(const raft::hard_state &hard);
raft::hard_state from_wire(const wire::StoredHardState &message);

void set_base(wire::ReplicaCheckpoint &checkpoint, const raft::log_base &base);
raft::log_base base_of(const wire::ReplicaCheckpoint &checkpoint);

wire::StoredBody to_wire(const storage::located_extent &body);
storage::located_extent from_wire(const wire::StoredBody &message);

} // namespace heathtrestle::records
