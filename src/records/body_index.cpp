#include "records/body_index.hpp"

namespace heathtrestle::records {

void body_index::set(const storage::extent_key &key,
                     const storage::location &where) {
  erase(key);
  bodies_.emplace(key, where);
  by_segment_[where.segment] += where.size;
  live_bytes_ += where.size;
}

void body_index::erase(const storage::extent_key &key) {
  const auto found = bodies_.find(key);
  if (found == bodies_.end()) {
    return;
  }
  const storage::location &where = found->second;
  const auto in_segment = by_segment_.find(where.segment);
  in_segment->second -= where.size;
  if (in_segment->second == 0) {
    by_segment_.erase(in_segment);
  }
  live_bytes_ -= where.size;
  bodies_.erase(found);
}

std::optional<storage::location>
body_index::find(const storage::extent_key &key) const {
  const auto found = bodies_.find(key);
  return found == bodies_.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t body_index::live_bytes(std::uint64_t segment) const {
  const auto found = by_segment_.find(segment);
  return found == by_segment_.end() ? 0 : found->second;
}

std::vector<storage::extent_key>
body_index::bodies_in(std::uint64_t segment) const {
  std::vector<storage::extent_key> keys;
  for (const auto &[key, where] : bodies_) {
    if (where.segment == segment) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<storage::located_extent> body_index::all() const {
  std::vector<storage::located_extent> found;
  found.reserve(bodies_.size());
  for (const auto &[key, where] : bodies_) {
    found.push_back({.key = key, .where = where});
  }
  return found;
}

} // namespace heathtrestle::records
