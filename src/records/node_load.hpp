// Load statistics of a storage node, logged every second: messages received by
// kind, repeated requests, queue length and waiting time, and the time its
// thread spends in each phase of a step. They show whether a node that replies
// late is overloaded, and by what.
#pragma once

#include "base/time.hpp"
#include "records/request_counts.hpp"
#include "records/storage_counts.hpp"
#include "wire/messages.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace heathtrestle::records {

/// Kinds of messages, grouped by processing cost.
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

/// Phases of a step.
enum class step_phase : std::uint8_t {
  /// Messages and timers are processed.
  reduce,
  /// Changes are written to disk.
  write,
  /// Committed entries are applied and new turns are stored.
  apply,
  /// Turn bodies are read for histories and snapshots.
  read_bodies,
  /// Messages are encoded and passed to the transport.
  send,
  /// The log is compacted into a snapshot.
  compact,
};
constexpr std::size_t step_phases = 6;

std::string_view name_of(message_kind kind);
std::string_view name_of(step_phase phase);
message_kind kind_of(const wire::Envelope &envelope);

/// Totals over one reporting interval.
struct load_totals {
  std::array<std::uint64_t, message_kinds> messages{};
  std::array<std::chrono::microseconds, step_phases> spent{};
  request_counts requests;
  /// Turns sent in histories, and the size of their bodies in bytes.
  std::uint64_t history_turns = 0;
  std::uint64_t history_bytes = 0;
  /// Maximum number of messages queued, and longest time in the queue.
  std::size_t longest_queue = 0;
  duration_ms longest_wait{0};
  storage_counts disk;

  bool operator==(const load_totals &) const = default;
};

class node_load {
public:
  void on_message(const wire::Envelope &envelope) {
    ++totals_.messages[static_cast<std::size_t>(kind_of(envelope))];
  }
  /// Records that the queue was emptied.
  /// @param count number of messages taken from the queue.
  /// @param oldest arrival time of the first of them.
  void on_queue(std::size_t count, timestamp oldest, timestamp now);
  void on_requests(const request_counts &counts) { totals_.requests += counts; }
  void on_history(std::size_t turns, std::size_t bytes);
  /// @param counts of all partitions, since the start.
  void on_disk(const storage_counts &counts) { disk_ = counts; }
  void on_spent(step_phase phase, std::chrono::microseconds time) {
    totals_.spent[static_cast<std::size_t>(phase)] += time;
  }

  /// Returns the totals since the last report when a report is due and any
  /// requests arrived.
  std::optional<load_totals> take_report(timestamp now);

private:
  load_totals totals_;
  storage_counts disk_;
  storage_counts reported_disk_;
  timestamp next_report_{};
};

/// Writes the totals to the log.
void log_load(const load_totals &totals);

/// Adds its lifetime to a phase.
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
