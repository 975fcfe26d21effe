#include "balance/prefix_view.hpp"

#include <algorithm>
#include <iterator>

namespace heathtrestle::balance {

std::vector<prompt_part> truncate_prompt(const std::vector<prompt_part> &parts,
                                         std::uint64_t tokens) {
  std::vector<prompt_part> beginning;
  for (const prompt_part &part : parts) {
    if (tokens == 0) {
      break;
    }
    const std::uint64_t taken = std::min(part.tokens, tokens);
    beginning.push_back({.id = part.id, .tokens = taken});
    tokens -= taken;
  }
  return beginning;
}

std::uint64_t
prefix_view::missing_tokens(const std::vector<prompt_part> &parts) const {
  std::uint64_t missing = 0;
  for (const prompt_part &part : parts) {
    const auto known = by_id_.find(part.id);
    const bool reached = missing == 0 && known != by_id_.end();
    const std::uint64_t kept = reached ? known->second->tokens : 0;
    missing += part.tokens - std::min(kept, part.tokens);
  }
  return missing;
}

void prefix_view::record(const std::vector<prompt_part> &parts,
                         std::uint64_t generated) {
  if (parts.empty()) {
    return;
  }
  // Inserts the last part first, so that the shared prefix is evicted last.
  prompt_part last = parts.back();
  last.tokens += generated;
  put(last);
  std::for_each(std::next(parts.rbegin()), parts.rend(),
                [this](const prompt_part &part) { put(part); });
  evict();
}

void prefix_view::set_capacity(std::uint64_t capacity) {
  capacity_ = capacity;
  evict();
}

void prefix_view::put(const prompt_part &part) {
  const auto known = by_id_.find(part.id);
  if (known == by_id_.end()) {
    recent_.push_front(part);
    by_id_[part.id] = recent_.begin();
    tokens_ += part.tokens;
    return;
  }
  prompt_part &kept = *known->second;
  const std::uint64_t longer = std::max(kept.tokens, part.tokens);
  tokens_ += longer - kept.tokens;
  kept.tokens = longer;
  recent_.splice(recent_.begin(), recent_, known->second);
}

void prefix_view::evict() {
  while (tokens_ > capacity_ && recent_.size() > 1) {
    tokens_ -= recent_.back().tokens;
    by_id_.erase(recent_.back().id);
    recent_.pop_back();
  }
}

} // namespace heathtrestle::balance
