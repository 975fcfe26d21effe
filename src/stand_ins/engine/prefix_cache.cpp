#include "stand_ins/engine/prefix_cache.hpp"

#include "base/ids.hpp"

namespace heathtrestle::stand_ins {

namespace {

/// Calls `visit` with the key of each complete block of the text until `visit`
/// returns false.
template <typename Visit>
void for_each_block(std::string_view text, Visit visit) {
  std::uint64_t key = 0;
  for (std::size_t start = 0;
       start + prefix_cache::bytes_per_block <= text.size();
       start += prefix_cache::bytes_per_block) {
    key = stable_hash(text.substr(start, prefix_cache::bytes_per_block), key);
    if (!visit(key)) {
      return;
    }
  }
}

} // namespace

std::uint64_t prefix_cache::cached_tokens(std::string_view text) {
  std::uint64_t tokens = 0;
  for_each_block(text, [&](std::uint64_t key) {
    if (!blocks_.contains(key)) {
      return false;
    }
    tokens += tokens_per_block;
    return true;
  });
  return tokens;
}

void prefix_cache::store(const std::string &program, std::string_view text) {
  for_each_block(text, [&](std::uint64_t key) {
    touch(key, program);
    return true;
  });
}

void prefix_cache::release(const std::string &program) {
  const auto found = blocks_by_program_.find(program);
  if (found == blocks_by_program_.end()) {
    return;
  }
  const std::set<std::uint64_t> keys = std::move(found->second);
  blocks_by_program_.erase(found);
  for (const std::uint64_t key : keys) {
    const auto stored = blocks_.find(key);
    if (stored == blocks_.end()) {
      continue;
    }
    stored->second.holders.erase(program);
    if (stored->second.holders.empty()) {
      remove(key);
    }
  }
}

std::vector<std::uint64_t>
prefix_cache::blocks_of(const std::string &program) const {
  const auto found = blocks_by_program_.find(program);
  if (found == blocks_by_program_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

void prefix_cache::import(const std::string &program,
                          const std::vector<std::uint64_t> &blocks) {
  for (const std::uint64_t key : blocks) {
    touch(key, program);
  }
}

std::vector<std::string> prefix_cache::programs() const {
  std::vector<std::string> names;
  for (const auto &[program, keys] : blocks_by_program_) {
    names.push_back(program);
  }
  return names;
}

void prefix_cache::touch(std::uint64_t key, const std::string &program) {
  auto found = blocks_.find(key);
  if (found == blocks_.end()) {
    if (blocks_.size() >= capacity_ && !lru_.empty()) {
      remove(lru_.front());
    }
    lru_.push_back(key);
    found = blocks_.emplace(key, block{{}, std::prev(lru_.end())}).first;
    record(true, key);
  } else {
    lru_.splice(lru_.end(), lru_, found->second.age);
  }
  found->second.holders.insert(program);
  blocks_by_program_[program].insert(key);
}

void prefix_cache::remove(std::uint64_t key) {
  const auto found = blocks_.find(key);
  for (const std::string &holder : found->second.holders) {
    const auto held = blocks_by_program_.find(holder);
    if (held == blocks_by_program_.end()) {
      continue;
    }
    held->second.erase(key);
    if (held->second.empty()) {
      blocks_by_program_.erase(held);
    }
  }
  lru_.erase(found->second.age);
  blocks_.erase(found);
  record(false, key);
}

void prefix_cache::record(bool stored, std::uint64_t key) {
  events_.push_back(
      {.number = events_.size() + 1, .stored = stored, .block = key});
}

} // namespace heathtrestle::stand_ins
