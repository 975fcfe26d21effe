// What a storage node is kept busy with, second by second: the messages that
// it takes in by kind, the questions among them that it had been asked before,
// how long messages wait for their turn, and where its thread's time goes.
// Tells whether a node that answers late is overrun, and by what.
#pragma once

#include "base/time.hpp"
#include "wire/messages.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace heathtrestle::records {

/// Kinds of messages that cost a node differently.
enum class message_kind : std::uint8_t {
  request,
  append_request,
  append_reply,
  heartbeat,
  vote,
  snapshot,
  follow_objects,
  other,
};
constexpr std::size_t message_kinds = 8;

/// Parts of a step.
enum class step_phase : std::uint8_t {
  /// Messages are reduced.
  reduce,
  /// The disk takes what is to last.
  write,
  /// Committed entries are applied, and what was kept is written.
  apply,
  /// Bodies of turns are read for histories and snapshots.
  read_bodies,
  /// Messages are encoded and handed to the transport.
  send,
  /// A snapshot is written.
  compact,
};
constexpr std::size_t step_phases = 6;

std::string_view name_of(message_kind kind);
std::string_view name_of(step_phase phase);
message_kind kind_of(const wire::Envelope &envelope);

/// Sums since some moment.
struct load_totals {
  std::array<std::uint64_t, message_kinds> messages{};
  std::array<std::chrono::microseconds, step_phases> spent{};
  /// Questions that were taken up, and copies of questions that were being
  /// answered already.
  std::uint64_t requests = 0;
  std::uint64_t repeated_requests = 0;
  /// Questions that were answered without an entry of the log.
  std::uint64_t settled_requests = 0;
  /// Turns with their bodies that went out in answers, and the bytes of their
  /// bodies.
  std::uint64_t history_turns = 0;
  std::uint64_t history_bytes = 0;
  /// The most messages that waited at once, and the longest that one waited.
  std::size_t longest_queue = 0;
  duration_ms longest_wait{0};

  bool operator==(const load_totals &) const = default;
};

class node_load {
public:
  void on_message(const wire::Envelope &envelope) {
    ++totals_.messages[static_cast<std::size_t>(kind_of(envelope))];
  }
  /// @param count messages that are taken from the queue now.
  /// @param oldest when the first of them arrived.
  void on_queue(std::size_t count, timestamp oldest, timestamp now);
  void on_requests(std::uint64_t taken, std::uint64_t repeated,
                   std::uint64_t settled);
  void on_history(std::size_t turns, std::size_t bytes);
  void on_spent(step_phase phase, std::chrono::microseconds time) {
    totals_.spent[static_cast<std::size_t>(phase)] += time;
  }

  /// What came together since the last report, once a report is due; nothing of
  /// a node that was idle meanwhile.
  std::optional<load_totals> take_report(timestamp now);

private:
  load_totals totals_;
  timestamp next_report_{};
};

/// Writes the report's line to the log.
void log_load(const load_totals &totals);

/// Adds the time that it lives to a part of the work.
class phase_timer {
public:
  phase_timer(node_load &load, step_phase phase)
      : load_(load), phase_(phase), begun_(std::chrono::steady_clock::now()) {}
  ~phase_timer() {
    load_.on_spent(phase_,
                   std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::steady_clock::now() - begun_));
  }
  phase_timer(const phase_timer &) = delete;
  phase_timer &operator=(const phase_timer &) = delete;

private:
  node_load &load_;
  step_phase phase_;
  std::chrono::steady_clock::time_point begun_;
};

} // namespace heathtrestle::records
