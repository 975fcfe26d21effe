// The stand-in engine's prefix cache: blocks of prompt text, found by the hash
// of everything up to their end, limited in number, the least recently used
// evicted first.
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
  bool stored = false; // otherwise removed
  std::uint64_t block = 0;
};

class prefix_cache {
public:
  static constexpr std::size_t tokens_per_block = 16;
  static constexpr std::size_t bytes_per_block = 64;

  /// @param capacity blocks that fit.
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /// @return tokens at the start of the text that are cached.
  std::uint64_t cached_tokens(std::string_view text);
  /// Stores a text's blocks for a program.
  void store(const std::string &program, std::string_view text);
  /// Frees what only this program held.
  void release(const std::string &program);

  /// The blocks that a program holds, for export.
  [[nodiscard]] std::vector<std::uint64_t>
  blocks_of(const std::string &program) const;
  void import(const std::string &program,
              const std::vector<std::uint64_t> &blocks);

  [[nodiscard]] std::size_t used() const { return blocks_.size(); }
  [[nodiscard]] std::size_t capacity() const { return capacity_; }
  [[nodiscard]] std::vector<std::string> programs() const;
  /// All events so far, oldest first.
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
  std::list<std::uint64_t> by_age_; // least recently used first
  std::map<std::string, std::set<std::uint64_t>> held_;
  std::vector<cache_event> events_;
};

} // namespace heathtrestle::stand_ins
