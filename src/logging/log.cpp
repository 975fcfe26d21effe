#include "logging/log.hpp"

#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace heathtrestle::logging {

namespace {

constexpr std::array<std::string_view, 4> severity_names{"debug", "info",
                                                         "warning", "error"};

/// The lines written and dropped in one second.
struct line_counts {
  std::int64_t second = 0;
  std::uint32_t ordinary = 0;
  std::uint32_t warnings = 0;
  std::uint64_t dropped = 0;
};

struct settings {
  std::string component = "heathtrestle";
  severity min_severity = severity::info;
  int descriptor = STDERR_FILENO;
  volume_limit limit;
  std::mutex mutex;
  line_counts counts;
  std::atomic<std::uint64_t> dropped{0};
};

settings &current() {
  static settings instance;
  return instance;
}

std::string quote_json(std::string_view text) {
  return boost::json::serialize(
      boost::json::value(boost::json::string_view(text.data(), text.size())));
}

using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

std::string format_line(wall_time now, const event_row &row,
                        std::string_view fields) {
  return fmt::format("{{\"time\":\"{:%FT%T}Z\",\"level\":\"{}\",\"component\":"
                     "{},\"event\":{},\"name\":\"{}\"{}}}\n",
                     now, name_of(row.level), quote_json(current().component),
                     static_cast<std::uint32_t>(row.number), row.name, fields);
}

void write_text(const std::string &text) {
  // One write per line keeps lines of several threads from interleaving.
  const auto written = ::write(current().descriptor, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    current().dropped.fetch_add(1, std::memory_order_relaxed);
  }
}

/// Counts a line against the volume limit of the present second.
/// @param dropped_before receives the number of lines dropped in a second that
/// is over.
/// @return true when the line may be written.
bool admit_line(severity level, wall_time now, std::uint64_t &dropped_before) {
  settings &shared = current();
  const std::scoped_lock lock(shared.mutex);
  line_counts &counts = shared.counts;
  const std::int64_t second = now.time_since_epoch().count() / 1000;
  if (second != counts.second) {
    dropped_before = counts.dropped;
    counts = line_counts{.second = second};
  }
  const bool is_warning = level >= severity::warning;
  std::uint32_t &count = is_warning ? counts.warnings : counts.ordinary;
  const std::uint32_t max_lines =
      is_warning ? shared.limit.warnings : shared.limit.ordinary;
  if (max_lines != 0 && count >= max_lines) {
    ++counts.dropped;
    shared.dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  ++count;
  return true;
}

void write_fields(event number, std::string_view fields) {
  const event_row &row = row_of(number);
  if (row.level < current().min_severity) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::uint64_t dropped_before = 0;
  const bool admitted = admit_line(row.level, now, dropped_before);
  if (dropped_before > 0) {
    write_text(format_line(now, row_of(event::log_lines_dropped),
                           fmt::format(",\"lines\":{}", dropped_before)));
  }
  if (admitted) {
    write_text(format_line(now, row, fields));
  }
}

} // namespace

void configure(std::string_view component, severity min_severity, sink output,
               volume_limit limit) {
  settings &shared = current();
  shared.component = std::string(component);
  shared.min_severity = min_severity;
  shared.descriptor =
      output == sink::standard_output ? STDOUT_FILENO : STDERR_FILENO;
  shared.limit = limit;
}

void set_min_severity(severity min_severity) {
  current().min_severity = min_severity;
}

severity severity_from(std::string_view name) {
  for (std::size_t index = 0; index < severity_names.size(); ++index) {
    if (severity_names.at(index) == name) {
      return static_cast<severity>(index);
    }
  }
  return severity::info;
}

std::string_view name_of(severity level) {
  return severity_names.at(static_cast<std::size_t>(level));
}

std::uint64_t dropped_lines() {
  return current().dropped.load(std::memory_order_relaxed);
}

void write(event number, std::string_view detail) {
  write_fields(number, fmt::format(",\"detail\":{}", quote_json(detail)));
}

line &line::field(std::string_view name, std::string_view value) {
  fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name,
                 quote_json(value));
  return *this;
}

void line::write() const { write_fields(number_, fields_); }

} // namespace heathtrestle::logging
