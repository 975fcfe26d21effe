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

/// A part of a prompt; equal ids have equal content.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;

  bool operator==(const prompt_part &) const = default;
};

class prefix_view {
public:
  /// @param capacity tokens that are taken to be kept at most.
  explicit prefix_view(std::uint64_t capacity) : capacity_(capacity) {}

  /// Tokens of a prompt that the engine would have to read.
  [[nodiscard]] std::uint64_t
  missing_tokens(const std::vector<prompt_part> &parts) const;

  /// A request with this prompt was sent to the engine.
  void record(const std::vector<prompt_part> &parts);

  [[nodiscard]] std::uint64_t tokens() const { return tokens_; }

private:
  using order = std::list<prompt_part>;

  std::uint64_t capacity_;
  std::uint64_t tokens_ = 0;
  order recent_;
  std::unordered_map<std::uint64_t, order::iterator> by_id_;
};

} // namespace heathtrestle::balance
