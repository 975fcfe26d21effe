#include "routing/instance_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace heathtrestle::routing {

bool instance_directory::put(instance_record record) {
  const auto known = by_id_.find(record.id);
  if (known != by_id_.end() &&
      known->second->record.service == record.service) {
    const bool changed = !(known->second->record == record);
    known->second->record = std::move(record);
    return changed;
  }
  if (known != by_id_.end()) {
    remove(record.id);
  }
  auto added = std::make_shared<instance>();
  added->record = std::move(record);
  added->slow_start =
      balance::slow_start(stable_hash(added->record.id.value()));
  by_service_[added->record.service].push_back(added);
  by_id_.emplace(added->record.id, std::move(added));
  return true;
}

bool instance_directory::remove(const instance_id &id) {
  const auto known = by_id_.find(id);
  if (known == by_id_.end()) {
    return false;
  }
  const instance_ptr removed = known->second;
  by_id_.erase(known);
  removed->listed = false;
  std::erase(by_service_[removed->record.service], removed);
  return true;
}

void instance_directory::replace_all(std::vector<instance_record> records) {
  std::set<instance_id> listed;
  for (const instance_record &record : records) {
    listed.insert(record.id);
  }
  std::vector<instance_id> missing;
  for (const auto &[id, known] : by_id_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const instance_id &id : missing) {
    remove(id);
  }
  for (instance_record &record : records) {
    put(std::move(record));
  }
}

const std::vector<instance_ptr> &
instance_directory::of(const service_id &service) const {
  static const std::vector<instance_ptr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

std::vector<instance_record> instance_directory::records() const {
  std::vector<instance_record> all;
  all.reserve(by_id_.size());
  for (const auto &[id, known] : by_id_) {
    all.push_back(known->record);
  }
  return all;
}

} // namespace heathtrestle::routing
