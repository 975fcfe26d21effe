// LRU cache of finished turns. Turns never change, so that a cached copy is
// always valid.
#pragma once

#include "records/turn_ledger.hpp"

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathtrestle::records {

class turn_cache {
public:
  /// @param capacity maximum total size of inputs and outputs in bytes.
  explicit turn_cache(std::size_t capacity) : capacity_(capacity) {}

  void put(retained_turn turn);

  /// Returns the chain that ends with turn `last`, oldest first; nothing unless
  /// the whole chain is cached.
  std::optional<std::vector<const retained_turn *>>
  chain(const std::string &last);

  void clear();

  [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
  using order = std::list<retained_turn>;

  std::size_t capacity_;
  std::size_t bytes_ = 0;
  order recent_; // the most recently used first
  std::unordered_map<std::string, order::iterator> by_id_;
};

} // namespace heathtrestle::records
