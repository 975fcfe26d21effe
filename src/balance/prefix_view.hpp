// Which parts of prompts one engine probably keeps: what this gateway has sent
// there, the most recently used first, up to the engine's memory.
//
// Engines keep a part only together with all parts before it, and drop what
// was unused longest. Other gateways use the same engines, so this is a guess
// that errs to the low side; a wrong guess costs time, never correctness.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace heathtrestle::balance {

/// A part of a prompt. Of two parts with the same id the shorter is the
/// beginning of the longer: a conversation grows under one id.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;

  bool operator==(const prompt_part &) const = default;
};

/// The first tokens of a prompt, so many at most.
std::vector<prompt_part> truncate_prompt(const std::vector<prompt_part> &parts,
                                         std::uint64_t tokens);

class prefix_view {
public:
  /// @param capacity tokens that are taken to be kept at most.
  explicit prefix_view(std::uint64_t capacity) : capacity_(capacity) {}

  /// Tokens of a prompt that the engine would have to read.
  [[nodiscard]] std::uint64_t
  missing_tokens(const std::vector<prompt_part> &parts) const;

  /// A request with this prompt was sent to the engine.
  /// @param generated tokens that it made, which stay behind the last part.
  void record(const std::vector<prompt_part> &parts,
              std::uint64_t generated = 0);

  /// The memory of the engine, as its service's configuration tells it.
  void set_capacity(std::uint64_t capacity);

  [[nodiscard]] std::uint64_t tokens() const { return tokens_; }

private:
  void put(const prompt_part &part);
  void shrink();

  using order = std::list<prompt_part>;

  std::uint64_t capacity_;
  std::uint64_t tokens_ = 0;
  order recent_;
  std::unordered_map<std::uint64_t, order::iterator> by_id_;
};

} // namespace heathtrestle::balance
