#include "routing/incarnation.hpp"

#include <fmt/format.h>

namespace heathtrestle::routing {

std::string name_of(const incarnation &start) {
  return start.born_ms == 0
             ? start.id.value()
             : fmt::format("{}@{}", start.id.value(), start.born_ms);
}

void ended_incarnations::add(const incarnation &ended) {
  const std::uint64_t known = latest_born_ms(ended.id);
  if (ended.born_ms <= known) {
    return;
  }
  by_age_.erase({known, ended.id});
  by_id_[ended.id] = ended.born_ms;
  by_age_.emplace(ended.born_ms, ended.id);
  if (by_id_.size() > capacity_) {
    by_id_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
}

std::uint64_t ended_incarnations::latest_born_ms(const instance_id &id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? 0 : found->second;
}

} // namespace heathtrestle::routing
