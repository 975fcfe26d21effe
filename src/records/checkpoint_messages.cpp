#include "records/checkpoint_messages.hpp"

namespace heathtrestle::records {

wire::StoredHardState to_wire(const raft::hard_state &hard) {
  wire::StoredHardState message;
  message.set_term(hard.term);
  message.set_settled_voters(hard.settled_voters);
  if (hard.voted_for) {
    *message.mutable_voted_for() = heathtrestle::to_wire(*hard.voted_for);
  }
  return message;
}

raft::hard_state from_wire(const wire::StoredHardState &message) {
  raft::hard_state hard{.term = message.term(),
                        .voted_for = std::nullopt,
                        .settled_voters = message.settled_voters()};
  if (message.has_voted_for()) {
    hard.voted_for = heathtrestle::from_wire(message.voted_for());
  }
  return hard;
}

void set_base(wire::ReplicaCheckpoint &checkpoint, const raft::log_base &base) {
  checkpoint.set_base_index(base.index);
  checkpoint.set_base_term(base.term);
  for (const replica_id &voter : base.voters) {
    *checkpoint.mutable_base_replicas()->add_voters() =
        heathtrestle::to_wire(voter);
  }
}

raft::log_base base_of(const wire::ReplicaCheckpoint &checkpoint) {
  raft::log_base base{.index = checkpoint.base_index(),
                      .term = checkpoint.base_term(),
                      .voters = {}};
  for (const wire::ReplicaId &voter : checkpoint.base_replicas().voters()) {
    base.voters.push_back(heathtrestle::from_wire(voter));
  }
  return base;
}

wire::StoredBody to_wire(const storage::located_extent &body) {
  wire::StoredBody message;
  message.set_key_high(body.key.high);
  message.set_key_low(body.key.low);
  message.set_segment(body.where.segment);
  message.set_offset(body.where.offset);
  message.set_size(body.where.size);
  message.set_checksum(body.where.checksum);
  return message;
}

storage::located_extent from_wire(const wire::StoredBody &message) {
  return {.key = {.high = message.key_high(), .low = message.key_low()},
          .where = {.segment = message.segment(),
                    .offset = message.offset(),
                    .size = message.size(),
                    .checksum = message.checksum()}};
}

} // namespace heathtrestle::records
