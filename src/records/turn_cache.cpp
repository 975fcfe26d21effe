#include "records/turn_cache.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

std::size_t size_of(const retained_turn &turn) {
  return turn.input.size() + turn.output.size();
}

} // namespace

void turn_cache::put(retained_turn turn) {
  if (by_id_.contains(turn.id)) {
    return;
  }
  bytes_ += size_of(turn);
  recent_.push_front(std::move(turn));
  by_id_.emplace(recent_.front().id, recent_.begin());
  while (bytes_ > capacity_ && recent_.size() > 1) {
    bytes_ -= size_of(recent_.back());
    by_id_.erase(recent_.back().id);
    recent_.pop_back();
  }
}

void turn_cache::clear() {
  recent_.clear();
  by_id_.clear();
  bytes_ = 0;
}

std::optional<std::vector<const retained_turn *>>
turn_cache::chain(const std::string &last) {
  std::vector<const retained_turn *> turns;
  const std::string *id = &last;
  while (!id->empty()) {
    const auto found = by_id_.find(*id);
    if (found == by_id_.end() || turns.size() > by_id_.size()) {
      return std::nullopt;
    }
    recent_.splice(recent_.begin(), recent_, found->second);
    turns.push_back(&*found->second);
    id = &found->second->previous;
  }
  std::reverse(turns.begin(), turns.end());
  return turns;
}

} // namespace heathtrestle::records
