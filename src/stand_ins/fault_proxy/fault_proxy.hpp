// A TCP proxy on loopback that injects delays, stalls and resets. The fault
// soak puts one link in front of each listening address, so that network faults
// need no support in the programs under test.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace heathtrestle::stand_ins {

/// The fault injected into a link. The default value injects none.
struct link_fault {
  /// Delay before each read of data is forwarded, in both directions.
  duration_ms delay{0};
  /// Holds data sent to the upstream process until the fault ends.
  bool holds_requests = false;
  /// Holds data sent by the upstream process until the fault ends.
  bool holds_answers = false;
  /// Resets new connections at once.
  bool refuses = false;

  bool operator==(const link_fault &) const = default;
};

/// Parses a fault name of the control page: `sound`, `refuse`, `silent`,
/// `hold-requests`, `hold-answers`, or `delay-MS` with milliseconds.
/// @return `nullopt` for any other word.
std::optional<link_fault> parse_fault(std::string_view word);

/// Forwards connections from one listening address to one upstream process.
class proxy_link : public std::enable_shared_from_this<proxy_link> {
public:
  /// @param upstream "ip:port" of the process.
  proxy_link(asio::io_context &io, std::string upstream);

  /// Accepts connections at `address` until the proxy exits.
  result<void> listen(const std::string &address);

  /// Applies the fault to open and future connections.
  void set_fault(const link_fault &fault);
  /// Resets all open connections.
  void reset_connections();

  [[nodiscard]] std::size_t open_connections() const;

private:
  struct connection;
  using connection_ptr = std::shared_ptr<connection>;
  enum class direction : std::uint8_t { to_process, from_process };

  asio::awaitable<void> accept(tcp::acceptor acceptor);
  asio::awaitable<void> serve(connection_ptr conn);
  asio::awaitable<void> pump(connection_ptr conn, direction flow);
  [[nodiscard]] bool holds(direction flow) const;
  asio::awaitable<void> wait_until_released(connection_ptr conn,
                                            direction flow);

  asio::io_context &io_;
  std::string upstream_;
  link_fault fault_;
  std::map<std::uint64_t, std::weak_ptr<connection>> open_;
  std::uint64_t next_ = 0;
};

class fault_proxy {
public:
  explicit fault_proxy(asio::io_context &io) : io_(io) {}

  /// Adds a link.
  /// @return an error when it cannot listen at `listen`.
  result<void> add(const std::string &name, const std::string &listen,
                   const std::string &upstream);

  /// Executes the control request `/LINK/FAULT`. The fault `reset` resets the
  /// link's open connections. The link `all` selects every link.
  /// @return false, without any effect, when the link or fault is unknown.
  bool apply_command(std::string_view target);

private:
  asio::io_context &io_;
  std::map<std::string, std::shared_ptr<proxy_link>, std::less<>> links_;
};

} // namespace heathtrestle::stand_ins
