#include "logging/log.hpp"

#include <array>
#include <chrono>
#include <cstdio>
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

struct settings {
  std::string component = "heathtrestle";
  severity least = severity::info;
};

settings &current() {
  static settings instance;
  return instance;
}

std::string quoted(std::string_view text) {
  return boost::json::serialize(
      boost::json::value(boost::json::string_view(text.data(), text.size())));
}

} // namespace

void configure(std::string_view component, severity least) {
  current() = {std::string(component), least};
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

void write(event number, std::string_view detail) {
  const event_row &row = row_of(number);
  if (row.level < current().least) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const std::string line =
      fmt::format("{{\"time\":\"{:%FT%T}Z\",\"level\":\"{}\",\"component\":{},"
                  "\"event\":{},\"name\":\"{}\",\"detail\":{}}}\n",
                  now, name_of(row.level), quoted(current().component),
                  static_cast<std::uint32_t>(number), row.name, quoted(detail));
  // One call a line, so that lines of several threads do not mix.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace heathtrestle::logging
