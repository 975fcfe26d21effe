#include "membership/member_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include <fmt/format.h>

namespace heathtrestle::membership {

namespace {

/// Each update is sent this many times the binary logarithm of the cluster
/// size.
constexpr double transmission_factor = 3.0;
constexpr std::size_t members_per_message = 8;
constexpr std::size_t leaders_per_message = 16;

bool overrides(const wire::Member &update, const wire::Member &known) {
  if (update.incarnation() != known.incarnation()) {
    return update.incarnation() > known.incarnation();
  }
  if (update.status() != known.status()) {
    return update.status() > known.status();
  }
  return update.leaving() && !known.leaving();
}

logging::event event_of(wire::MemberStatus status) {
  switch (status) {
  case wire::MEMBER_SUSPECT:
    return logging::event::member_suspected;
  case wire::MEMBER_DEAD:
    return logging::event::member_dead;
  case wire::MEMBER_LEFT:
    return logging::event::member_left;
  default:
    return logging::event::member_joined;
  }
}

std::uint64_t rendezvous_weight(partition_id partition,
                                const wire::Member &member) {
  const std::array<std::uint64_t, 2> key{partition.value(), member.node()};
  return stable_hash({reinterpret_cast<const char *>(key.data()), sizeof key});
}

/// Takes the items that were sent least often and counts them as sent.
template <typename Key, typename Item>
std::vector<Item> take_gossip(std::map<Key, rumor<Item>> &rumors,
                              std::size_t max_count) {
  std::vector<Key> keys;
  keys.reserve(rumors.size());
  for (const auto &[key, each] : rumors) {
    keys.push_back(key);
  }
  const std::size_t count = std::min(max_count, keys.size());
  std::partial_sort(keys.begin(),
                    keys.begin() + static_cast<std::ptrdiff_t>(count),
                    keys.end(), [&rumors](const Key &left, const Key &right) {
                      return rumors.at(left).transmissions_left >
                             rumors.at(right).transmissions_left;
                    });
  keys.resize(count);
  std::vector<Item> taken;
  for (const Key &key : keys) {
    rumor<Item> &next_rumor = rumors.at(key);
    taken.push_back(next_rumor.item);
    if (--next_rumor.transmissions_left == 0) {
      rumors.erase(key);
    }
  }
  return taken;
}

} // namespace

member_table::member_table(wire::Member self) : self_id_(self.node()) {
  enqueue_gossip(self);
  members_[self_id_].member = std::move(self);
}

const wire::Member &member_table::self() const {
  return members_.at(self_id_).member;
}

void member_table::merge(const wire::Member &update, effects::step &step) {
  const node_id node{update.node()};
  if (node == self_id_) {
    wire::Member &own = members_.at(self_id_).member;
    const bool about_this_boot = update.boot() == own.boot();
    if (!about_this_boot && update.incarnation() > own.incarnation()) {
      step.log(
          logging::event::duplicate_node_name,
          fmt::format("another process uses the node name {}", own.name()));
      return;
    }
    const bool needs_refutation = about_this_boot &&
                                  update.status() != own.status() &&
                                  update.incarnation() >= own.incarnation();
    if (needs_refutation) {
      own.set_incarnation(update.incarnation() + 1);
      enqueue_gossip(own);
      step.log(logging::event::member_refuted, own.name());
    }
    return;
  }
  const auto known = members_.find(node);
  if (known != members_.end() && !overrides(update, known->second.member)) {
    return;
  }
  const bool is_new = known == members_.end();
  if (is_new && update.status() >= wire::MEMBER_DEAD) {
    return; // a member that is already gone need not be tracked
  }
  const bool status_changed =
      is_new || known->second.member.status() != update.status();
  member_state &state = members_[node];
  state.member = update;
  if (status_changed) {
    state.status_since = step.now();
    step.log(event_of(update.status()), update.name());
  }
  enqueue_gossip(update);
}

void member_table::set_status(node_id node, wire::MemberStatus status,
                              effects::step &step) {
  const auto found = members_.find(node);
  if (found == members_.end() || found->second.member.status() == status) {
    return;
  }
  found->second.member.set_status(status);
  found->second.status_since = step.now();
  enqueue_gossip(found->second.member);
  step.log(event_of(status), found->second.member.name());
}

void member_table::set_self_leaving(effects::step & /*step*/) {
  wire::Member &own = members_.at(self_id_).member;
  own.set_leaving(true);
  own.set_incarnation(own.incarnation() + 1);
  enqueue_gossip(own);
}

void member_table::set_self_left(effects::step & /*step*/) {
  wire::Member &own = members_.at(self_id_).member;
  own.set_status(wire::MEMBER_LEFT);
  own.set_incarnation(own.incarnation() + 1);
  enqueue_gossip(own);
}

void member_table::record_configuration_revision(node_id node,
                                                 std::uint64_t revision) {
  const auto found = members_.find(node);
  if (found != members_.end()) {
    found->second.configuration_revision =
        std::max(found->second.configuration_revision, revision);
  }
}

const member_state *member_table::find(node_id node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

bool member_table::is_running(const replica_id &replica) const {
  const member_state *state = find(replica.node);
  return state != nullptr && state->member.boot() == replica.boot.value() &&
         state->member.status() < wire::MEMBER_DEAD;
}

std::vector<const wire::Member *> member_table::running() const {
  std::vector<const wire::Member *> result;
  for (const auto &[node, state] : members_) {
    if (state.member.status() < wire::MEMBER_DEAD) {
      result.push_back(&state.member);
    }
  }
  return result;
}

std::size_t member_table::running_count() const {
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [](const auto &entry) {
        return entry.second.member.status() < wire::MEMBER_DEAD;
      }));
}

void member_table::remove_dead_members(duration_ms age, timestamp now) {
  std::erase_if(members_, [age, now](const auto &entry) {
    return entry.second.member.status() >= wire::MEMBER_DEAD &&
           now > entry.second.status_since + age;
  });
}

bool member_table::merge(const wire::LeaderHint &hint) {
  const partition_id partition{hint.partition()};
  const auto known = leaders_.find(partition);
  if (known != leaders_.end() && known->second.term() >= hint.term()) {
    return false;
  }
  leaders_[partition] = hint;
  leader_rumors_[partition] = {hint, transmissions()};
  return true;
}

std::optional<wire::LeaderHint>
member_table::leader_of(partition_id partition) const {
  const auto known = leaders_.find(partition);
  if (known == leaders_.end() || known->second.node() == 0) {
    return std::nullopt;
  }
  return known->second;
}

void member_table::set_founding(const wire::Founding &founding) {
  if (!founding_.has_value()) {
    founding_ = founding;
  }
}

std::uint32_t member_table::partitions() const {
  return founding_.has_value() ? founding_->partitions() : 0;
}

std::vector<replica_id>
member_table::founding_voters(partition_id partition) const {
  std::vector<replica_id> voters;
  if (!founding_.has_value()) {
    return voters;
  }
  std::vector<const wire::Member *> founders;
  for (const wire::Member &founder : founding_->founders()) {
    founders.push_back(&founder);
  }
  for (const wire::Member *member :
       rank_for_partition(partition, founders, {}, founding_->replication())) {
    voters.push_back(replica_of(*member));
  }
  return voters;
}

void member_table::attach_gossip(wire::Envelope &envelope) {
  for (wire::Member &member :
       take_gossip(member_rumors_, members_per_message)) {
    *envelope.add_members() = std::move(member);
  }
  for (wire::LeaderHint &hint :
       take_gossip(leader_rumors_, leaders_per_message)) {
    *envelope.add_leaders() = std::move(hint);
  }
}

wire::MembershipSync member_table::full_sync(bool reply_wanted) const {
  wire::MembershipSync sync;
  sync.set_reply_wanted(reply_wanted);
  for (const auto &[node, state] : members_) {
    *sync.add_members() = state.member;
  }
  for (const auto &[partition, hint] : leaders_) {
    *sync.add_leaders() = hint;
  }
  if (founding_.has_value()) {
    *sync.mutable_founding() = *founding_;
  }
  return sync;
}

void member_table::enqueue_gossip(const wire::Member &member) {
  member_rumors_[node_id{member.node()}] = {member, transmissions()};
}

std::uint32_t member_table::transmissions() const {
  const double size =
      static_cast<double>(std::max<std::size_t>(2, members_.size()));
  return static_cast<std::uint32_t>(
      std::ceil(transmission_factor * std::log2(size)));
}

std::vector<const wire::Member *>
rank_for_partition(partition_id partition,
                   const std::vector<const wire::Member *> &candidates,
                   const std::vector<std::string> &taken, std::size_t count) {
  std::vector<std::pair<std::uint64_t, const wire::Member *>> ranked;
  ranked.reserve(candidates.size());
  for (const wire::Member *member : candidates) {
    ranked.emplace_back(rendezvous_weight(partition, *member), member);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto &left, const auto &right) {
              return std::pair(left.first, left.second->node()) >
                     std::pair(right.first, right.second->node());
            });
  std::set<std::string> zones(taken.begin(), taken.end());
  std::vector<const wire::Member *> chosen;
  std::vector<const wire::Member *> repeated_zone;
  for (const auto &[weight, member] : ranked) {
    const bool new_zone = zones.insert(member->zone()).second;
    (new_zone ? chosen : repeated_zone).push_back(member);
  }
  chosen.insert(chosen.end(), repeated_zone.begin(), repeated_zone.end());
  if (chosen.size() > count) {
    chosen.resize(count);
  }
  return chosen;
}

} // namespace heathtrestle::membership
