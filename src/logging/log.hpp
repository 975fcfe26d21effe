// Structured logging: one JSON object per line.
//
// The volume is bounded: lines beyond a number per second are dropped, and
// their count is logged once the second is over. Lines of severity warning and
// above have a limit of their own, so that a flood of ordinary lines does not
// hide a failure. Logging never blocks: a line that the sink does not accept at
// once is lost.
#pragma once

#include "logging/event_catalogue.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace heathtrestle::logging {

/// The standard stream that lines are written to.
enum class sink : std::uint8_t { standard_error, standard_output };

/// The maximum number of lines per second; 0 means no bound.
struct volume_limit {
  std::uint32_t ordinary = 0;
  std::uint32_t warnings = 0;
};

/// Sets the component name in every line, the minimum severity, the sink and
/// the volume limit.
/// @param component the program's or the node's name.
void configure(std::string_view component, severity min_severity,
               sink output = sink::standard_error, volume_limit limit = {});

/// Changes the minimum severity that is written.
void set_min_severity(severity min_severity);

/// @return the severity named "debug", "info", "warning" or "error"; `info`
/// for any other name.
severity severity_from(std::string_view name);
std::string_view name_of(severity level);

/// Number of lines dropped since the start because of the volume limit or a
/// full sink.
std::uint64_t dropped_lines();

/// Writes one event. Safe to call from any thread.
void write(event number, std::string_view detail);

/// One event with named fields; written when `write` is called.
///
///     logging::line(event::request_finished).field("id", id).write();
class line {
public:
  explicit line(event number) : number_(number) {}

  line &field(std::string_view name, std::string_view value);
  line &field(std::string_view name, const char *value) {
    return field(name, std::string_view(value));
  }
  line &field(std::string_view name, bool value) {
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
    return *this;
  }
  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number> line &
  field(std::string_view name, Number value) {
    fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
    return *this;
  }

  /// Safe to call from any thread.
  void write() const;

private:
  event number_;
  std::string fields_;
};

} // namespace heathtrestle::logging
