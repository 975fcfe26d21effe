#include "forwarding/prompt_holders.hpp"

#include <algorithm>

namespace heathtrestle::forwarding {

void prompt_holders::record(const std::vector<balance::prompt_part> &prompt,
                            const routing::instance_ptr &holder) {
  for (const balance::prompt_part &part : prompt) {
    const auto known = by_part_.find(part.id);
    if (known != by_part_.end()) {
      known->second->holder = holder;
      recent_.splice(recent_.begin(), recent_, known->second);
      continue;
    }
    recent_.push_front({.part = part.id, .holder = holder});
    by_part_[part.id] = recent_.begin();
  }
  while (by_part_.size() > capacity_) {
    by_part_.erase(recent_.back().part);
    recent_.pop_back();
  }
}

std::vector<routing::instance_ptr>
prompt_holders::find(const std::vector<balance::prompt_part> &prompt) const {
  std::vector<routing::instance_ptr> holders;
  // The last part is the conversation's own; the ones before it are shared.
  std::for_each(prompt.rbegin(), prompt.rend(), [&](const auto &part) {
    const auto known = by_part_.find(part.id);
    const routing::instance_ptr holder =
        known != by_part_.end() ? known->second->holder.lock() : nullptr;
    const bool usable = holder != nullptr && holder->listed;
    if (usable && std::ranges::find(holders, holder) == holders.end()) {
      holders.push_back(holder);
    }
  });
  return holders;
}

} // namespace heathtrestle::forwarding
