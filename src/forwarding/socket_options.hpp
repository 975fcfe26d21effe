// Options that keep a connection from hanging on a peer that says nothing more.
#pragma once

#include "base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace heathtrestle::forwarding {

struct liveness_options {
  /// A connection ends when sent bytes stay unacknowledged this long.
  duration_ms unacknowledged{1000};
  /// Silence before the first probe, and between probes.
  int probe_interval_s = 1;
  int probes = 2;
};

/// Sends small writes at once and ends the connection when its peer is gone.
/// An option that the system refuses is left out.
void enable_liveness_checks(boost::asio::ip::tcp::socket &socket,
                            const liveness_options &options);

/// True when the peer has closed the connection or broken it off. Bytes that
/// wait to be read do not count as an end.
bool peer_has_closed(boost::asio::ip::tcp::socket &socket);

/// True when nothing waits to be read and the peer has not closed.
bool is_open_and_idle(boost::asio::ip::tcp::socket &socket);

} // namespace heathtrestle::forwarding
