// The stand-in engine's prefix cache: a bounded LRU cache of prompt blocks.
// Each block is keyed by the hash of the whole text up to its end.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathtrestle::stand_ins {

struct cache_event {
  std::uint64_t number = 0;
  bool stored = false; // false: removed
  std::uint64_t block = 0;
};

class prefix_cache {
public:
  static constexpr std::size_t tokens_per_block = 16;
  static constexpr std::size_t bytes_per_block = 64;

  /// @param capacity maximum number of blocks.
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// @return the number of tokens in the longest cached prefix of the text.
  std::uint64_t cached_tokens(std::string_view text);
  /// Stores the complete blocks of a text and records the program as a holder.
  void store(const std::string &program, std::string_view text);
  /// Removes the program as a holder, and evicts blocks without a holder.
  void release(const std::string &program);

  /// Returns the keys of the blocks that a program holds, for export.
  [[nodiscard]] std::vector<std::uint64_t>
  blocks_of(const std::string &program) const;
  void import(const std::string &program,
              const std::vector<std::uint64_t> &blocks);

  [[nodiscard]] std::size_t used() const { return blocks_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::vector<std::string> programs() const;
  /// Returns all store and removal events, oldest first.
  [[nodiscard]] const std::vector<cache_event> &events() const {
    return events_;
  }

private:
  struct block {
    std::set<std::string> holders;
    std::list<std::uint64_t>::iterator age;
  };

  void touch(std::uint64_t key, const std::string &program);
  void remove(std::uint64_t key);
  void record(bool stored, std::uint64_t key);

  std::size_t capacity_;
  std::unordered_map<std::uint64_t, block> blocks_;
  std::list<std::uint64_t> lru_; // least recently used first
  std::map<std::string, std::set<std::uint64_t>> blocks_by_program_;
  std::vector<cache_event> events_;
};

} // namespace heathtrestle::stand_ins
