// Cuts a text/event-stream into whole events, so that a stream whose replica
// breaks off is passed on up to its last whole event and no further.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

/// One whole event.
struct stream_event {
  /// Its bytes as received, the blank line at its end included.
  std::string bytes;
  /// The number in its id line, when it has one.
  std::optional<std::uint64_t> id;
  /// Its data lines, joined by line feeds.
  std::string data;
};

class event_splitter {
public:
  /// @return the events that are whole now, in order.
  std::vector<stream_event> feed(std::string_view bytes);

  /// True when the stream stands between two events.
  [[nodiscard]] bool at_boundary() const { return partial_.empty(); }

private:
  std::string partial_;
};

/// Reads the id and the data of an event.
stream_event parse_event(std::string bytes);

} // namespace heathtrestle::forwarding
