#include "routing/instance_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace heathtrestle::routing {

put_outcome instance_directory::put(instance_record record) {
  const auto known = by_id_.find(record.id);
  if (known == by_id_.end()) {
    return record.born_ms < ended_.latest_born_ms(record.id)
               ? put_outcome::outdated
               : add(std::move(record), put_outcome::added);
  }
  instance_record &present = known->second->record;
  if (record.born_ms == 0 && present.born_ms != 0) {
    remove(record.id);
    return put_outcome::missing_start_time;
  }
  if (record.born_ms < present.born_ms) {
    return put_outcome::outdated;
  }
  if (record.born_ms > present.born_ms) {
    remove(record.id);
    return add(std::move(record), put_outcome::restarted);
  }
  if (record.version != present.version) {
    remove(record.id);
    return add(std::move(record), put_outcome::restarted);
  }
  if (record.service != present.service) {
    remove(record.id);
    return add(std::move(record), put_outcome::changed);
  }
  const bool same = present == record;
  const bool moved = present.zone != record.zone;
  if (moved) {
    rings_[present.service][present.zone].remove(*known->second);
  }
  present = std::move(record);
  if (moved) {
    rings_[present.service][present.zone].add(known->second);
  }
  return same ? put_outcome::unchanged : put_outcome::changed;
}

put_outcome instance_directory::add(instance_record record,
                                    put_outcome outcome) {
  auto added = std::make_shared<instance>();
  added->record = std::move(record);
  added->ring_point = stable_hash(added->record.id.value());
  added->slow_start = balance::slow_start(added->ring_point);
  added->load_key =
      static_cast<std::uint32_t>(stable_hash(name_of(added->record.start())));
  std::vector<instance_ptr> &service = by_service_[added->record.service];
  added->service_index = service.size();
  service.push_back(added);
  rings_[added->record.service][added->record.zone].add(added);
  ++versions_[added->record.service][added->record.version];
  by_id_.emplace(added->record.id, std::move(added));
  ended_.reserve(std::max(min_ended_incarnations, by_id_.size()));
  return outcome;
}

bool instance_directory::remove(const instance_id &id) {
  const auto known = by_id_.find(id);
  if (known == by_id_.end()) {
    return false;
  }
  const instance_ptr removed = known->second;
  by_id_.erase(known);
  removed->listed = false;
  ended_.add(removed->record.start());
  remove_from_service(removed);
  return true;
}

void instance_directory::remove_from_service(const instance_ptr &removed) {
  std::vector<instance_ptr> &service = by_service_[removed->record.service];
  service.back()->service_index = removed->service_index;
  std::swap(service[removed->service_index], service.back());
  service.pop_back();
  rings_[removed->record.service][removed->record.zone].remove(*removed);
  auto &versions = versions_[removed->record.service];
  const auto counted = versions.find(removed->record.version);
  if (--counted->second == 0) {
    versions.erase(counted);
  }
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

instance_ptr instance_directory::find(const instance_id &id) const {
  const auto known = by_id_.find(id);
  return known == by_id_.end() ? nullptr : known->second;
}

bool instance_directory::contains(const incarnation &start) const {
  const instance_ptr known = find(start.id);
  return known != nullptr && known->record.start() == start;
}

const std::vector<instance_ptr> &
instance_directory::replicas_of(const service_id &service) const {
  static const std::vector<instance_ptr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

const std::map<software_version, std::size_t> &
instance_directory::versions_of(const service_id &service) const {
  static const std::map<software_version, std::size_t> none;
  const auto found = versions_.find(service);
  return found == versions_.end() ? none : found->second;
}

const std::map<std::string, replica_ring> &
instance_directory::rings_of(const service_id &service) const {
  static const std::map<std::string, replica_ring> none;
  const auto found = rings_.find(service);
  return found == rings_.end() ? none : found->second;
}

instance_ptr instance_directory::find_named(const std::string &name) const {
  if (instance_ptr whole = find(instance_id{name})) {
    return whole;
  }
  const std::size_t end_of_id = name.rfind('@');
  instance_ptr known = find(instance_id{name.substr(0, end_of_id)});
  const bool same = known != nullptr && name_of(known->record.start()) == name;
  return same ? known : nullptr;
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
