// Structured logging: one JSON object a line, built with fmt.
//
// The volume is bounded: beyond a number of lines a second, lines are dropped
// and counted, and the count is told once the second is over. Lines of severity
// warning and above have an allowance of their own, so that a flood of ordinary
// lines does not hide a failure. A sink that does not take a line at once
// loses it: logging never blocks.
#pragma once

#include "logging/event_catalogue.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace heathtrestle::logging {

/// Where lines go.
enum class sink : std::uint8_t { standard_error, standard_output };

/// Lines a second that are written at most; 0 means no bound.
struct volume_limit {
  std::uint32_t ordinary = 0;
  std::uint32_t warnings = 0;
};

/// Sets what every line carries and the least severity that is written.
/// @param component the program's or the node's name.
void configure(std::string_view component, severity least,
               sink output = sink::standard_error, volume_limit limit = {});

/// Changes the least severity that is written.
void set_min_severity(severity least);

/// @return the severity named "debug", "info", "warning" or "error"; `info`
/// for any other name.
severity severity_from(std::string_view name);
std::string_view name_of(severity level);

/// Lines dropped since the start because of the bound or of a full sink.
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
