// Where the bodies of the stored turns lie in the log on disk, and how many
// bytes of each segment they take.
#pragma once

#include "storage/segment_log.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace heathtrestle::records {

class body_index {
public:
  /// Adds a body or moves a known one.
  void set(const storage::extent_key &key, const storage::location &where);
  void erase(const storage::extent_key &key);
  [[nodiscard]] bool contains(const storage::extent_key &key) const {
    return bodies_.contains(key);
  }
  [[nodiscard]] std::optional<storage::location>
  find(const storage::extent_key &key) const;
  /// Erases all bodies for which `predicate(key)` holds.
  template <typename Predicate> void erase_if(Predicate predicate) {
    std::vector<storage::extent_key> erased;
    for (const auto &[key, where] : bodies_) {
      if (predicate(key)) {
        erased.push_back(key);
      }
    }
    for (const storage::extent_key &key : erased) {
      erase(key);
    }
  }

  /// Bytes of bodies in a segment.
  [[nodiscard]] std::uint64_t live_bytes(std::uint64_t segment) const;
  /// Bytes of all bodies.
  [[nodiscard]] std::uint64_t live_bytes() const { return live_bytes_; }
  [[nodiscard]] std::vector<storage::extent_key>
  bodies_in(std::uint64_t segment) const;
  [[nodiscard]] std::vector<storage::located_extent> all() const;

private:
  struct key_hash {
    std::size_t operator()(const storage::extent_key &key) const {
      return key.low;
    }
  };

  std::unordered_map<storage::extent_key, storage::location, key_hash> bodies_;
  std::map<std::uint64_t, std::uint64_t> by_segment_;
  std::uint64_t live_bytes_ = 0;
};

} // namespace heathtrestle::records
