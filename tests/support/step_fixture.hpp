// A test fixture with a step at a fixed time, which exposes the step's effects.
#pragma once

#include "effects/step.hpp"

#include <string>
#include <vector>

namespace heathtrestle::tests {

class step_fixture {
public:
  explicit step_fixture(std::uint64_t now_ms = 1000)
      : now_ms_(now_ms), step_(timestamp_from(now_ms), 7, effects_) {}

  effects::step &step() { return step_; }
  effects::effect_list &effects() { return effects_; }

  /// Returns the envelopes of the messages sent, without other effects.
  [[nodiscard]] std::vector<wire::Envelope> sent() const {
    std::vector<wire::Envelope> envelopes;
    for (const wire::Effect &effect : effects_) {
      if (effect.has_send()) {
        envelopes.push_back(effect.send().envelope());
      }
    }
    return envelopes;
  }

  template <typename Predicate>
  [[nodiscard]] std::size_t count(Predicate predicate) const {
    std::size_t number = 0;
    for (const wire::Effect &effect : effects_) {
      number += predicate(effect) ? 1 : 0;
    }
    return number;
  }

private:
  std::uint64_t now_ms_;
  effects::effect_list effects_;
  effects::step step_;
};

inline wire::Member make_member(const std::string &name,
                                const std::string &zone,
                                std::uint64_t boot = 1) {
  wire::Member member;
  member.set_node(make_node_id(name).value());
  member.set_boot(boot);
  member.set_name(name);
  member.set_rpc_address(name);
  member.set_zone(zone);
  member.set_incarnation(1);
  member.set_holds_partitions(true);
  return member;
}

} // namespace heathtrestle::tests
