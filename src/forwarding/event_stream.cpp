#include "forwarding/event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

/// Returns the position after the first blank line at or after `from`, or npos.
std::size_t end_of_event(std::string_view text, std::size_t from) {
  while (true) {
    const std::size_t line_end = text.find('\n', from);
    if (line_end == std::string_view::npos) {
      return line_end;
    }
    std::size_t next = line_end + 1;
    if (next < text.size() && text[next] == '\r') {
      ++next;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
    from = line_end + 1;
  }
}

/// Returns the value of a line "name: value" without the space after the colon.
std::optional<std::string_view> value_of(std::string_view line,
                                         std::string_view name) {
  if (!line.starts_with(name) || line.size() <= name.size() ||
      line[name.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

} // namespace

stream_event parse_event(std::string bytes) {
  stream_event event;
  bool has_data = false;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const std::size_t line_end = rest.find('\n');
    std::string_view line = rest.substr(0, line_end);
    rest.remove_prefix(std::min(line.size() + 1, rest.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (const auto id = value_of(line, "id")) {
      std::uint64_t number = 0;
      const auto read =
          std::from_chars(id->data(), id->data() + id->size(), number);
      if (read.ec == std::errc{}) {
        event.id = number;
      }
    } else if (const auto data = value_of(line, "data")) {
      event.data += has_data ? "\n" : "";
      event.data += *data;
      has_data = true;
    }
  }
  event.bytes = std::move(bytes);
  return event;
}

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
  // The blank line may have started in the bytes received earlier.
  constexpr std::size_t longest_line_end = 3;
  const std::size_t overlap = std::min(partial_.size(), longest_line_end);
  std::size_t search = partial_.size() - overlap;
  partial_ += bytes;
  std::vector<stream_event> events;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = end_of_event(partial_, search);
    if (end == std::string::npos) {
      break;
    }
    events.push_back(parse_event(partial_.substr(begin, end - begin)));
    begin = end;
    search = end;
  }
  partial_.erase(0, begin);
  return events;
}

} // namespace heathtrestle::forwarding
