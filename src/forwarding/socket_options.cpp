#include "forwarding/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace heathtrestle::forwarding {

namespace {

void set_option(int descriptor, int level, int name, int value) {
  [[maybe_unused]] const int refused =
      ::setsockopt(descriptor, level, name, &value, sizeof value);
}

enum class peek_result : std::uint8_t { nothing, bytes, closed };

peek_result peek(boost::asio::ip::tcp::socket &socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, sizeof byte,
                               MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return peek_result::bytes;
  }
  const bool nothing_yet =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return nothing_yet ? peek_result::nothing : peek_result::closed;
}

} // namespace

void enable_liveness_checks(boost::asio::ip::tcp::socket &socket,
                            const liveness_options &options) {
  const int descriptor = socket.native_handle();
  set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(options.unacknowledged.count()));
  set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, options.probe_interval_s);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, options.probe_interval_s);
  set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, options.probes);
}

bool peer_has_closed(boost::asio::ip::tcp::socket &socket) {
  return peek(socket) == peek_result::closed;
}

bool is_open_and_idle(boost::asio::ip::tcp::socket &socket) {
  return peek(socket) == peek_result::nothing;
}

} // namespace heathtrestle::forwarding
