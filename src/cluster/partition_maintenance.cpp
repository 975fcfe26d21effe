// Replica set maintenance by partition leaders: replaces voters whose process
// is dead or leaving and spreads replicas over zones. Membership changes go
// through the partition's log, one replica at a time.
#include "cluster/partition_table.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace heathtrestle::cluster {

namespace {

/// A learner that has not caught up after this time is dropped.
constexpr duration_ms learner_catch_up_timeout{15000};
/// A dropped learner is not chosen again before this time has passed.
constexpr duration_ms failed_learner_retry_delay{10000};

bool is_voter(const std::vector<replica_id> &voters,
              const replica_id &replica) {
  return std::find(voters.begin(), voters.end(), replica) != voters.end();
}

} // namespace

bool partition_table::should_replace(const partition_view &view,
                                     const replica_id &voter) const {
  const membership::member_state *state = view.members.find(voter.node);
  if (state == nullptr || state->member.boot() != voter.boot.value()) {
    return true; // unknown member, or the node's process has restarted
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
    return now - entry.second >= failed_learner_retry_delay;
  });
  if (target.learner.has_value()) {
    const replica_id learner = *target.learner;
    const bool failed = !view.members.is_running(learner) ||
                        now - target.learner_since >= learner_catch_up_timeout;
    if (target.log.caught_up(learner)) {
      std::vector<replica_id> voters = target.log.voters();
      voters.push_back(learner);
      if (!target.log.change_replicas(voters, now, out)) {
        target.learner.reset();
      }
    } else if (failed) {
      target.log.drop_learner(learner);
      target.failed_learners[learner] = now;
      target.learner.reset();
    }
    return;
  }
  if (const auto removed = select_voter_to_remove(view, target)) {
    std::vector<replica_id> voters = target.log.voters();
    std::erase(voters, *removed);
    target.log.change_replicas(voters, now, out);
    return;
  }
  add_replacement(view, partition, target, out);
}

std::optional<replica_id>
partition_table::select_voter_to_remove(partition_view &view,
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
    return staying > wanted ? select_surplus_voter(view, target) : std::nullopt;
  }
  const bool replaced = staying >= wanted;
  // If there is no spare process to replace it, a voter that is still running
  // and shuts down as planned may be removed first, as long as two others stay.
  const bool planned = view.members.is_running(leaving.front());
  const bool no_spare_process =
      staying >= 2 && view.members.running_count() <= voters.size();
  if (replaced || (planned && no_spare_process)) {
    return leaving.front();
  }
  return std::nullopt;
}

bool partition_table::has_vacancy_or_lost_voter(const partition_view &view,
                                                const replica &target) const {
  const std::vector<replica_id> &voters = target.log.voters();
  if (voters.size() < view.members.founding()->replication()) {
    return true; // the set has a vacancy
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
partition_table::select_surplus_voter(const partition_view &view,
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
    // A complete set that shares a zone only needs a member of a new zone.
    const bool useful = !complete || !distinct.contains(member->zone());
    const bool fit = member->status() == wire::MEMBER_ALIVE &&
                     member->holds_partitions() && !member->leaving() &&
                     useful && !is_voter(voters, replica_of(*member)) &&
                     !target.failed_learners.contains(replica_of(*member));
    if (fit) {
      candidates.push_back(member);
    }
  }
  if (!complete && !has_vacancy_or_lost_voter(view, target)) {
    // The unreachable voter may only be partitioned and still hold the whole
    // log. A second replica in an occupied zone would be lost together with
    // that zone, so a voter that may return is replaced only from a new zone.
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
