// Splits a text/event-stream into complete events, so that a stream that breaks
// is forwarded up to its last complete event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

/// One complete event.
struct stream_event {
  /// The bytes as received, including the terminating blank line.
  std::string bytes;
  /// The number in its id line, if any.
  std::optional<std::uint64_t> id;
  /// Its data lines, joined by line feeds.
  std::string data;
};

class event_splitter {
public:
  /// Appends received bytes.
  /// @return the events completed by them, in order.
  std::vector<stream_event> feed(std::string_view bytes);

  /// Returns whether no partial event is buffered.
  [[nodiscard]] bool at_boundary() const { return partial_.empty(); }
  /// The bytes of the partial event.
  [[nodiscard]] std::size_t buffered() const { return partial_.size(); }

private:
  std::string partial_;
};

/// Parses the id and the data of an event.
stream_event parse_event(std::string bytes);

} // namespace heathtrestle::forwarding
