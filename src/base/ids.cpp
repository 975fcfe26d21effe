#include "base/ids.hpp"

#include <xxhash.h>

namespace heathtrestle {

namespace {
constexpr std::uint64_t partition_seed = 1;
} // namespace

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

node_id make_node_id(std::string_view name) {
  return node_id{stable_hash(name)};
}

partition_id partition_of(std::string_view key, std::uint32_t partitions) {
  const std::uint64_t hash = stable_hash(key, partition_seed);
  return partition_id{static_cast<std::uint32_t>(hash % partitions)};
}

} // namespace heathtrestle
