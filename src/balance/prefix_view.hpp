// Models the prefix cache of one engine: an LRU list of the prompt parts that
// this gateway has sent to it, limited to the engine's memory.
//
// Engines cache a part only together with all parts before it and evict the
// least recently used. Requests of other gateways are not seen, so the model is
// an estimate; a wrong one costs time but never correctness.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace heathtrestle::balance {

/// A part of a prompt. A conversation grows under one id, so of two parts with
/// the same id the shorter is a prefix of the longer.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;

  bool operator==(const prompt_part &) const = default;
};

/// Returns the prefix of a prompt with at most `tokens` tokens.
std::vector<prompt_part> truncate_prompt(const std::vector<prompt_part> &parts,
                                         std::uint64_t tokens);

class prefix_view {
public:
  /// @param capacity tokens that the engine is assumed to cache at most.
  explicit prefix_view(std::uint64_t capacity) : capacity_(capacity) {}

  /// Tokens of a prompt that are not in the cache and would have to be read.
  [[nodiscard]] std::uint64_t
  missing_tokens(const std::vector<prompt_part> &parts) const;

  /// Records that a request with this prompt was sent to the engine.
  /// @param generated tokens of the response, which extend the last part.
  void record(const std::vector<prompt_part> &parts,
              std::uint64_t generated = 0);

  /// Sets the configured memory of the engine, in tokens, and evicts the
  /// excess.
  void set_capacity(std::uint64_t capacity);

  [[nodiscard]] std::uint64_t tokens() const { return tokens_; }

private:
  void put(const prompt_part &part);
  void evict();

  using order = std::list<prompt_part>;

  std::uint64_t capacity_;
  std::uint64_t tokens_ = 0;
  order recent_;
  std::unordered_map<std::uint64_t, order::iterator> by_id_;
};

} // namespace heathtrestle::balance
