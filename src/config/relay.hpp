// Distributes the shared configuration within a region. A few watchers
// read it from the platform and forward each change along a tree of the running
// members; a node that misses changes or joins pulls them from a peer, so that
// the platform serves only the watchers and may be down meanwhile.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/configuration_store.hpp"
#include "effects/step.hpp"
#include "membership/member_table.hpp"

#include <cstddef>

namespace heathtrestle::config {

struct relay_options {
  std::size_t watchers = 2;
  std::size_t fan_out = 8;
  duration_ms pull_interval{500};
  duration_ms watcher_check_interval{1000};
};

class relay {
public:
  explicit relay(relay_options options) : options_(options) {}

  /// Applies a delta that this node read from the platform, and forwards it.
  void on_read(configuration_store &store,
               const membership::member_table &members,
               wire::ConfigurationDelta delta, effects::step &step);
  void on_delta(configuration_store &store,
                const membership::member_table &members, node_id sender,
                const wire::ConfigurationDelta &delta, effects::step &step);
  void on_pull(const configuration_store &store, node_id sender,
               const wire::ConfigurationPull &pull, effects::step &step);
  /// Pulls from a peer that reports a later revision, at most once per
  /// `pull_interval`.
  void on_peer_revision(const configuration_store &store, node_id peer,
                        std::uint64_t revision, effects::step &step);
  /// Checks whether this node is one of the watchers, and starts or stops
  /// watching the platform when that has changed.
  void tick(const membership::member_table &members, effects::step &step);

private:
  void forward(const membership::member_table &members,
               const wire::ConfigurationDelta &delta,
               effects::step &step) const;
  void pull(const configuration_store &store, node_id peer,
            effects::step &step);

  relay_options options_;
  timestamp last_pull_{};
  timestamp last_check_{};
  bool watching_ = false;
};

} // namespace heathtrestle::config
