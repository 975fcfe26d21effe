// What one reduction has at hand: the event's time and randomness, and the
// list of effects it adds to. Nothing here does I/O.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "logging/event_catalogue.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::effects {

using effect_list = std::vector<wire::Effect>;

class step {
public:
  step(timestamp now, std::uint64_t random, effect_list &effects)
      : now_(now), generator_(static_cast<std::uint32_t>(random)),
        effects_(effects) {}

  [[nodiscard]] timestamp now() const { return now_; }

  /// A pseudo-random number that replays the same from the same event.
  std::uint64_t draw() {
    const std::uint64_t high = generator_();
    return (high << 31U) ^ generator_();
  }

  /// @return a number below `bound`, which is at least 1.
  std::size_t draw_below(std::size_t bound) {
    return static_cast<std::size_t>(draw() % bound);
  }

  /// Adds an empty effect to be filled in.
  wire::Effect &add() { return effects_.emplace_back(); }

  /// Sends to whichever process the node has now.
  void send(node_id to, wire::Envelope envelope) {
    wire::SendMessage &message = *add().mutable_send();
    message.set_to(to.value());
    *message.mutable_envelope() = std::move(envelope);
  }

  /// Sends to one process; a later start of the node ignores it.
  void send(const replica_id &to, wire::Envelope envelope) {
    envelope.set_to_boot(to.boot.value());
    send(to.node, std::move(envelope));
  }

  /// Sends to an address whose node is not known yet.
  void send_to_address(std::string address, wire::Envelope envelope) {
    wire::SendMessage &message = *add().mutable_send();
    message.set_address(std::move(address));
    *message.mutable_envelope() = std::move(envelope);
  }

  void log(logging::event number, std::string detail) {
    wire::LogEvent &event = *add().mutable_log();
    event.set_number(static_cast<std::uint32_t>(number));
    event.set_detail(std::move(detail));
  }

private:
  timestamp now_;
  std::minstd_rand generator_;
  effect_list &effects_;
};

} // namespace heathtrestle::effects
