#include "config/relay.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathtrestle::config {

void relay::on_read(configuration_store &store,
                    const membership::member_table &members,
                    wire::ConfigurationDelta delta, effects::step &step) {
  if (store.apply(delta) != delta_outcome::applied) {
    return;
  }
  step.log(logging::event::configuration_applied,
           fmt::format("revision {} from the platform", store.revision()));
  delta.set_root(members.self_id().value());
  forward(members, delta, step);
}

void relay::on_delta(configuration_store &store,
                     const membership::member_table &members, node_id sender,
                     const wire::ConfigurationDelta &delta,
                     effects::step &step) {
  switch (store.apply(delta)) {
  case delta_outcome::applied:
    step.log(logging::event::configuration_applied,
             fmt::format("revision {} from a peer", store.revision()));
    if (delta.root() != 0) {
      forward(members, delta, step);
    }
    return;
  case delta_outcome::gap:
    pull(store, sender, step);
    return;
  case delta_outcome::already_known:
    return;
  }
}

void relay::on_pull(const configuration_store &store, node_id sender,
                    const wire::ConfigurationPull &pull, effects::step &step) {
  if (store.revision() <= pull.after_revision()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_configuration_delta() =
      store.changes_after(pull.after_revision());
  step.send(sender, std::move(envelope));
}

void relay::on_peer_revision(const configuration_store &store, node_id peer,
                             std::uint64_t revision, effects::step &step) {
  const bool due = step.now() - last_pull_ >= options_.pull_interval;
  if (revision > store.revision() && due) {
    pull(store, peer, step);
  }
}

void relay::tick(const membership::member_table &members, effects::step &step) {
  if (step.now() - last_check_ < options_.watcher_check_interval) {
    return;
  }
  last_check_ = step.now();
  std::vector<std::pair<std::uint64_t, node_id>> ranked;
  for (const wire::Member *member : members.running()) {
    if (member->status() == wire::MEMBER_ALIVE && !member->leaving()) {
      ranked.emplace_back(stable_hash(member->name(), 1),
                          node_id{member->node()});
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), options_.watchers));
  const bool watches =
      std::any_of(ranked.begin(), ranked.end(), [&members](const auto &entry) {
        return entry.second == members.self_id();
      });
  if (watches != watching_) {
    watching_ = watches;
    step.add().mutable_watch_platform()->set_watch(watches);
  }
}

void relay::forward(const membership::member_table &members,
                    const wire::ConfigurationDelta &delta,
                    effects::step &step) const {
  // The running members, sorted by id and rotated so that the root is first,
  // form an implicit tree: the children of position i are the fan_out members
  // from position fan_out*i+1.
  std::vector<node_id> order;
  for (const wire::Member *member : members.running()) {
    order.emplace_back(member->node());
  }
  std::sort(order.begin(), order.end());
  const auto root =
      std::lower_bound(order.begin(), order.end(), node_id{delta.root()});
  std::rotate(order.begin(), root == order.end() ? order.begin() : root,
              order.end());
  const auto self = std::find(order.begin(), order.end(), members.self_id());
  const auto position = static_cast<std::size_t>(self - order.begin());
  const std::size_t first = position * options_.fan_out + 1;
  const std::size_t end = std::min(order.size(), first + options_.fan_out);
  for (std::size_t child = first; child < end; ++child) {
    wire::Envelope envelope;
    *envelope.mutable_configuration_delta() = delta;
    step.send(order[child], std::move(envelope));
  }
}

void relay::pull(const configuration_store &store, node_id peer,
                 effects::step &step) {
  last_pull_ = step.now();
  wire::Envelope envelope;
  envelope.mutable_configuration_pull()->set_after_revision(store.revision());
  step.send(peer, std::move(envelope));
}

} // namespace heathtrestle::config
