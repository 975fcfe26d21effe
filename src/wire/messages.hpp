// The generated messages and conversions between them and typed ids.
#pragma once

#include "base/ids.hpp"
#include "wire/generated/heathtrestle.pb.h"

namespace heathtrestle {

inline replica_id from_wire(const wire::ReplicaId &id) {
  return {node_id{id.node()}, boot_id{id.boot()}};
}

inline wire::ReplicaId to_wire(const replica_id &id) {
  wire::ReplicaId message;
  message.set_node(id.node.value());
  message.set_boot(id.boot.value());
  return message;
}

/// The identity of a member's present process.
inline replica_id replica_of(const wire::Member &member) {
  return {node_id{member.node()}, boot_id{member.boot()}};
}

} // namespace heathtrestle
