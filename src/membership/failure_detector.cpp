#include "membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::membership {

namespace {

std::vector<node_id> other_members(const member_table &members, bool running) {
  std::vector<node_id> result;
  for (const auto &[node, state] : members.members()) {
    const bool is_running = state.member.status() < wire::MEMBER_DEAD;
    if (node != members.self_id() && is_running == running) {
      result.push_back(node);
    }
  }
  return result;
}

} // namespace

failure_detector::failure_detector(detector_options options,
                                   std::vector<std::string> seeds)
    : options_(options), seeds_(std::move(seeds)),
      sync_pause_(options.first_sync_interval) {}

void failure_detector::tick(member_table &members, effects::step &step) {
  join(members, step);
  check_probes(members, step);
  if (step.now() >= next_probe_) {
    check_suspects(members, step);
    next_probe_ = step.now() + options_.probe_interval;
    members.remove_dead_members(options_.dead_retention, step.now());
    start_probe(members, step);
  }
  tick_sync(members, step);
}

void failure_detector::tick_sync(const member_table &members,
                                 effects::step &step) {
  if (step.now() < next_sync_) {
    return;
  }
  const bool first = next_sync_ == timestamp{};
  if (!first) {
    sync(members, step);
  }
  // A new member syncs often; later updates travel with the probes, and syncs
  // only repair missed ones. The random jitter keeps members that started
  // together from syncing together.
  sync_pause_ = std::min(2 * sync_pause_, options_.sync_interval);
  const auto pause = static_cast<std::size_t>(sync_pause_.count());
  next_sync_ = step.now() + sync_pause_ / 2 +
               duration_ms{static_cast<std::int64_t>(step.draw_below(pause))};
}

void failure_detector::handle(const wire::Envelope &from,
                              const wire::Ping &ping,
                              const member_table &members,
                              effects::step &step) {
  wire::Envelope envelope;
  envelope.mutable_ack()->set_sequence(ping.sequence());
  const member_state *sender = members.find(node_id{from.from()});
  if (sender != nullptr && sender->member.status() != wire::MEMBER_ALIVE) {
    // Lets a member that is falsely believed dead refute it.
    *envelope.add_members() = sender->member;
  }
  step.send(node_id{from.from()}, std::move(envelope));
}

void failure_detector::handle(const wire::Ack &ack, member_table &members,
                              effects::step &step) {
  const auto relayed = relayed_.find(ack.sequence());
  if (relayed != relayed_.end()) {
    wire::Envelope envelope;
    envelope.mutable_ack()->set_sequence(relayed->second.requester_sequence);
    step.send(relayed->second.requester, std::move(envelope));
    relayed_.erase(relayed);
    return;
  }
  const auto found = probes_.find(ack.sequence());
  if (found == probes_.end()) {
    return;
  }
  const member_state *target = members.find(found->second.target);
  if (target != nullptr && target->member.status() == wire::MEMBER_SUSPECT) {
    // Only this node's view: the member itself refutes the suspicion.
    members.set_status(found->second.target, wire::MEMBER_ALIVE, step);
  }
  probes_.erase(found);
}

void failure_detector::handle(const wire::Envelope &from,
                              const wire::PingRequest &request,
                              effects::step &step) {
  const std::uint64_t sequence = next_sequence_++;
  relayed_[sequence] = {node_id{from.from()}, request.sequence(), step.now()};
  wire::Envelope envelope;
  envelope.mutable_ping()->set_sequence(sequence);
  step.send(node_id{request.target()}, std::move(envelope));
}

void failure_detector::handle(const wire::Envelope &from,
                              const wire::MembershipSync &sync,
                              member_table &members, effects::step &step) {
  for (const wire::Member &member : sync.members()) {
    members.merge(member, step);
  }
  for (const wire::LeaderHint &hint : sync.leaders()) {
    members.merge(hint);
  }
  if (sync.reply_wanted()) {
    wire::Envelope envelope;
    *envelope.mutable_membership_sync() = members.full_sync(false);
    step.send(node_id{from.from()}, std::move(envelope));
  }
}

void failure_detector::join(member_table &members, effects::step &step) {
  if (step.now() < next_join_) {
    return;
  }
  next_join_ = step.now() + options_.join_interval;
  if (members.running_count() > 1) {
    if (members.founding().has_value()) {
      return;
    }
    sync(members, step); // a peer may know of a founding that was missed here
    return;
  }
  for (const std::string &seed : seeds_) {
    if (seed == members.self().rpc_address()) {
      continue;
    }
    wire::Envelope envelope;
    *envelope.mutable_membership_sync() = members.full_sync(true);
    step.send_to_address(seed, std::move(envelope));
  }
}

void failure_detector::start_probe(const member_table &members,
                                   effects::step &step) {
  const bool probe_dead = step.draw_below(options_.probes_per_dead_probe) == 0;
  std::vector<node_id> candidates = other_members(members, !probe_dead);
  if (candidates.empty()) {
    candidates = other_members(members, true);
  }
  if (candidates.empty()) {
    return;
  }
  const node_id target = candidates[step.draw_below(candidates.size())];
  const std::uint64_t sequence = next_sequence_++;
  probes_[sequence] = {target, step.now(), false};
  wire::Envelope envelope;
  envelope.mutable_ping()->set_sequence(sequence);
  step.send(target, std::move(envelope));
}

void failure_detector::check_probes(member_table &members,
                                    effects::step &step) {
  std::vector<std::uint64_t> failed;
  for (auto &[sequence, pending] : probes_) {
    const auto age = step.now() - pending.sent;
    if (age >= options_.probe_timeout) {
      failed.push_back(sequence);
    } else if (age >= options_.direct_timeout && !pending.indirect_sent) {
      pending.indirect_sent = true;
      std::vector<node_id> helpers = other_members(members, true);
      std::erase(helpers, pending.target);
      for (std::size_t sent_requests = 0;
           sent_requests < options_.indirect_probes && !helpers.empty();
           ++sent_requests) {
        const std::size_t picked = step.draw_below(helpers.size());
        wire::Envelope envelope;
        envelope.mutable_ping_request()->set_sequence(sequence);
        envelope.mutable_ping_request()->set_target(pending.target.value());
        step.send(helpers[picked], std::move(envelope));
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(picked));
      }
    }
  }
  for (const std::uint64_t sequence : failed) {
    const member_state *target = members.find(probes_.at(sequence).target);
    if (target != nullptr && target->member.status() == wire::MEMBER_ALIVE) {
      members.set_status(probes_.at(sequence).target, wire::MEMBER_SUSPECT,
                         step);
    }
    probes_.erase(sequence);
  }
  std::erase_if(relayed_, [this, &step](const auto &entry) {
    return step.now() - entry.second.sent >= options_.probe_timeout;
  });
}

void failure_detector::check_suspects(member_table &members,
                                      effects::step &step) {
  std::vector<node_id> expired;
  for (const auto &[node, state] : members.members()) {
    const bool suspect = state.member.status() == wire::MEMBER_SUSPECT;
    if (suspect &&
        step.now() - state.status_since >= options_.suspicion_timeout) {
      expired.push_back(node);
    }
  }
  for (const node_id node : expired) {
    members.set_status(node, wire::MEMBER_DEAD, step);
  }
}

void failure_detector::sync(const member_table &members, effects::step &step) {
  const std::vector<node_id> candidates = other_members(members, true);
  if (candidates.empty()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_membership_sync() = members.full_sync(true);
  step.send(candidates[step.draw_below(candidates.size())],
            std::move(envelope));
}

} // namespace heathtrestle::membership
