// Upkeep of replica sets by partition leaders: replacing voters whose process
// is gone or leaves, one replica at a time and through the partition's log.
#include "cluster/partition_table.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace heathtrestle::cluster {

namespace {

/// A learner that has not caught up after this long is given up.
constexpr duration_ms learner_patience{15000};
constexpr duration_ms failed_learner_pause{10000};

bool votes(const std::vector<replica_id> &voters, const replica_id &replica) {
  return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

} // namespace

bool partition_table::should_replace(const partition_view &view,
                                     const replica_id &voter) const {
  const membership::member_state *state = view.members.find(voter.node);
  if (state == nullptr || state->member.boot() != voter.boot.value()) {
    return true; // forgotten, or the node runs another process by now
  }
  if (state->member.leaving()) {
    return true;
  }
  const bool gone = state->member.status() >= wire::MEMBER_DEAD;
  return gone &&
         view.step.now() - state->status_since >= options_.replacement_delay;
}

void partition_table::maintain(partition_view &view, partition_id partition,
                               replica &target, raft::outbox &out) {
  const timestamp now = view.step.now();
  std::erase_if(target.failed_learners, [now](const auto &entry) {
    return now - entry.second >= failed_learner_pause;
  });
  if (target.learner.has_value()) {
    const replica_id learner = *target.learner;
    const bool hopeless = !view.members.is_running(learner) ||
                          now - target.learner_since >= learner_patience;
    if (target.log.caught_up(learner)) {
      std::vector<replica_id> voters = target.log.voters();
      voters.push_back(learner);
      if (!target.log.change_replicas(voters, now, out)) {
        target.learner.reset();
      }
    } else if (hopeless) {
      target.log.drop_learner(learner);
      target.failed_learners[learner] = now;
      target.learner.reset();
    }
    return;
  }
  if (const auto removed = voter_to_remove(view, target)) {
    std::vector<replica_id> voters = target.log.voters();
    std::erase(voters, *removed);
    target.log.change_replicas(voters, now, out);
    return;
  }
  add_replacement(view, partition, target, out);
}

std::optional<replica_id>
partition_table::voter_to_remove(partition_view &view,
                                 const replica &target) const {
  const std::vector<replica_id> &voters = target.log.voters();
  const replica_id self = view.members.self_replica();
  std::vector<replica_id> leaving;
  std::size_t staying = 0;
  for (const replica_id &voter : voters) {
    if (!should_replace(view, voter)) {
      ++staying;
    } else if (voter != self) {
      leaving.push_back(voter);
    }
  }
  const std::uint32_t wanted = view.members.founding()->replication();
  if (leaving.empty()) {
    return staying > wanted ? voter_in_shared_zone(view, target) : std::nullopt;
  }
  const bool replaced = staying >= wanted;
  // With no process to put in its place a voter that leaves on purpose may go
  // first, as long as two others hold every record.
  const bool planned = view.members.is_running(leaving.front());
  const bool nobody_left =
      staying >= 2 && view.members.running_count() <= voters.size();
  if (replaced || (planned && nobody_left)) {
    return leaving.front();
  }
  return std::nullopt;
}

bool partition_table::some_voter_is_gone_for_good(const partition_view &view,
                                                  const replica &target) const {
  const std::vector<replica_id> &voters = target.log.voters();
  if (voters.size() < view.members.founding()->replication()) {
    return true; // a place is free anyway
  }
  return std::any_of(
      voters.begin(), voters.end(), [&](const replica_id &voter) {
        const membership::member_state *state = view.members.find(voter.node);
        const bool another_process =
            state == nullptr || state->member.boot() != voter.boot.value();
        if (another_process || state->member.leaving()) {
          return true;
        }
        const bool dead = state->member.status() >= wire::MEMBER_DEAD;
        return dead && view.step.now() - state->status_since >=
                           options_.presumed_death_delay;
      });
}

std::optional<replica_id>
partition_table::voter_in_shared_zone(const partition_view &view,
                                      const replica &target) const {
  std::map<std::string, std::size_t> voters_in_zone;
  for (const replica_id &voter : target.log.voters()) {
    ++voters_in_zone[zone_of(view, voter)];
  }
  std::optional<replica_id> any;
  for (const replica_id &voter : target.log.voters()) {
    if (voter == view.members.self_replica()) {
      continue;
    }
    any = voter;
    if (voters_in_zone[zone_of(view, voter)] > 1) {
      return voter;
    }
  }
  return any;
}

std::string partition_table::zone_of(const partition_view &view,
                                     const replica_id &voter) {
  const membership::member_state *state = view.members.find(voter.node);
  return state == nullptr ? std::string() : state->member.zone();
}

void partition_table::add_replacement(partition_view &view,
                                      partition_id partition, replica &target,
                                      raft::outbox &out) {
  const std::vector<replica_id> &voters = target.log.voters();
  std::vector<std::string> zones;
  for (const replica_id &voter : voters) {
    if (!should_replace(view, voter)) {
      zones.push_back(zone_of(view, voter));
    }
  }
  const std::set<std::string> distinct(zones.begin(), zones.end());
  const std::uint32_t wanted = view.members.founding()->replication();
  const bool complete = zones.size() >= wanted;
  if (complete && (distinct.size() >= wanted || zones.size() > wanted)) {
    return;
  }
  std::vector<const wire::Member *> candidates;
  for (const wire::Member *member : view.members.running()) {
    // A set that is complete but crowded in a zone only wants another zone.
    const bool useful = !complete || !distinct.contains(member->zone());
    const bool fit = member->status() == wire::MEMBER_ALIVE &&
                     member->holds_partitions() && !member->leaving() &&
                     useful && !votes(voters, replica_of(*member)) &&
                     !target.failed_learners.contains(replica_of(*member));
    if (fit) {
      candidates.push_back(member);
    }
  }
  if (!complete && !some_voter_is_gone_for_good(view, target)) {
    // The silent voter may only be cut off and still hold every record. A
    // second replica in a zone that has one would not survive that zone, so
    // only another zone takes the place of a voter that may come back.
    std::erase_if(candidates, [&distinct](const wire::Member *member) {
      return distinct.contains(member->zone());
    });
  }
  const auto ranked =
      membership::rank_for_partition(partition, candidates, zones, 1);
  if (ranked.empty()) {
    return;
  }
  target.learner = replica_of(*ranked.front());
  target.learner_since = view.step.now();
  target.log.add_learner(*target.learner, view.step.now(), out);
}

} // namespace heathtrestle::cluster
