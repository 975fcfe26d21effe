// Socket options that detect a dead peer, and checks of a connection's state.
#pragma once

#include "base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace heathtrestle::forwarding {

struct liveness_options {
  /// The connection fails when sent bytes stay unacknowledged for this long.
  duration_ms unacknowledged{1000};
  /// Idle time before the first keep-alive probe, and between probes.
  int probe_interval_s = 1;
  int probes = 2;
};

/// Disables Nagle's algorithm and enables TCP keep-alive and the user timeout.
/// Options that the system rejects are ignored.
void enable_liveness_checks(boost::asio::ip::tcp::socket &socket,
                            const liveness_options &options);

/// Returns whether the peer has closed or reset the connection. Unread bytes do
/// not count as an end.
bool peer_has_closed(boost::asio::ip::tcp::socket &socket);

/// Returns whether no bytes are unread and the peer has not closed.
bool is_open_and_idle(boost::asio::ip::tcp::socket &socket);

} // namespace heathtrestle::forwarding
