// Upkeep of replica sets by partition leaders: replacing voters whose process
// is gone or leaves, one replica at a time and through the partition's log.
#include "cluster/partition_table.hpp"

#include <algorithm>

namespace heathtrestle::cluster {

namespace {

constexpr duration_ms learner_patience{15000};

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
  if (target.learner.has_value()) {
    const replica_id learner = *target.learner;
    const bool hopeless = !view.members.is_running(learner) ||
                          now - target.learner_since >= learner_patience;
    if (target.log.caught_up(learner)) {
      std::vector<replica_id> voters = target.log.voters();
      voters.push_back(learner);
      if (!target.log.change_replicas(std::move(voters), now, out)) {
        target.learner.reset();
      }
    } else if (hopeless) {
      target.log.drop_learner(learner);
      target.learner.reset();
    }
    return;
  }
  if (const auto removed = voter_to_remove(view, target)) {
    std::vector<replica_id> voters = target.log.voters();
    std::erase(voters, *removed);
    target.log.change_replicas(std::move(voters), now, out);
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
  if (leaving.empty()) {
    return std::nullopt;
  }
  const std::uint32_t wanted = view.members.founding()->replication();
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

void partition_table::add_replacement(partition_view &view,
                                      partition_id partition, replica &target,
                                      raft::outbox &out) {
  const std::vector<replica_id> &voters = target.log.voters();
  std::vector<std::string> zones;
  for (const replica_id &voter : voters) {
    const membership::member_state *state = view.members.find(voter.node);
    if (!should_replace(view, voter)) {
      zones.push_back(state->member.zone());
    }
  }
  if (zones.size() >= view.members.founding()->replication()) {
    return;
  }
  std::vector<const wire::Member *> candidates;
  for (const wire::Member *member : view.members.running()) {
    const bool fit = member->status() == wire::MEMBER_ALIVE &&
                     !member->leaving() && !votes(voters, replica_of(*member));
    if (fit) {
      candidates.push_back(member);
    }
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
