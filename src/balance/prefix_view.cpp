#include "balance/prefix_view.hpp"

#include <algorithm>

namespace heathtrestle::balance {

std::uint64_t
prefix_view::missing_tokens(const std::vector<prompt_part> &parts) const {
  std::uint64_t missing = 0;
  bool all_before_kept = true;
  for (const prompt_part &part : parts) {
    all_before_kept = all_before_kept && by_id_.contains(part.id);
    missing += all_before_kept ? 0 : part.tokens;
  }
  return missing;
}

void prefix_view::record(const std::vector<prompt_part> &parts) {
  // The last part first, so that the shared beginning is dropped last.
  std::for_each(parts.rbegin(), parts.rend(), [this](const prompt_part &part) {
    const auto known = by_id_.find(part.id);
    if (known != by_id_.end()) {
      recent_.splice(recent_.begin(), recent_, known->second);
      return;
    }
    recent_.push_front(part);
    by_id_[part.id] = recent_.begin();
    tokens_ += part.tokens;
  });
  while (tokens_ > capacity_ && recent_.size() > 1) {
    tokens_ -= recent_.back().tokens;
    by_id_.erase(recent_.back().id);
    recent_.pop_back();
  }
}

} // namespace heathtrestle::balance
