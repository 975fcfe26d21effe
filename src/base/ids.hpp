// The identifiers used across subsystems.
#pragma once

#include "base/typed_id.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle {

/// A daemon by its configured name (hash of the name, see `make_node_id`).
using node_id = typed_id<std::uint64_t, struct node_id_tag>;
/// One start of a daemon; drawn at random when the process starts.
using boot_id = typed_id<std::uint64_t, struct boot_id_tag>;
/// A partition of the key space, from 0 to the founding partition count - 1.
using partition_id = typed_id<std::uint32_t, struct partition_id_tag>;
/// A leader's term in one partition; the fencing token of its commands.
using term_id = typed_id<std::uint64_t, struct term_id_tag>;
/// A position in a partition's log; the first entry has index 1.
using log_index = typed_id<std::uint64_t, struct log_index_tag>;
/// A program, by the id that its creator received.
using program_id = typed_id<std::string, struct program_id_tag>;
/// A back end by its configured name.
using backend_id = typed_id<std::string, struct backend_id_tag>;
/// A tenant by its configured name.
using tenant_id = typed_id<std::string, struct tenant_id_tag>;

/// One voting process; a process that restarts without its log is a different
/// replica.
struct replica_id {
  node_id node;
  boot_id boot;
  auto operator<=>(const replica_id &) const = default;
};

/// 64-bit hash of `text`, the same on every machine.
/// @param seed separates uses of the hash from each other.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// The id of the node configured under `name`.
node_id make_node_id(std::string_view name);

/// The partition that holds the record named `key`.
/// @param partitions the founding partition count, at least 1.
partition_id partition_of(std::string_view key, std::uint32_t partitions);

} // namespace heathtrestle

template <> struct fmt::formatter<heathtrestle::replica_id> {
  constexpr auto parse(format_parse_context &context) {
    return context.begin();
  }
  template <typename Context>
  auto format(const heathtrestle::replica_id &id, Context &context) const {
    return fmt::format_to(context.out(), "{:016x}/{:016x}", id.node.value(),
                          id.boot.value());
  }
};
