// A TCP proxy on loopback that injects faults into what passes through it. The
// fault soak puts one link before each address of a process, so that links can
// be disturbed from outside the programs under test.
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

/// What is wrong with a link. A sound link has the default value.
struct link_fault {
  /// Every piece of data is passed on this much later, in both directions.
  duration_ms delay{0};
  /// Bytes towards the listening process are held back until the fault ends.
  bool holds_requests = false;
  /// Bytes from the listening process are held back until the fault ends.
  bool holds_answers = false;
  /// New connections are reset at once.
  bool refuses = false;

  bool operator==(const link_fault &) const = default;
};

/// Reads a fault as the control page spells it: `sound`, `refuse`, `silent`,
/// `hold-requests`, `hold-answers`, or `delay-MS` with milliseconds.
/// @return nothing for any other word.
std::optional<link_fault> parse_fault(std::string_view word);

/// One listening address and the process behind it.
class proxy_link : public std::enable_shared_from_this<proxy_link> {
public:
  /// @param upstream "ip:port" of the process.
  proxy_link(asio::io_context &io, std::string upstream);

  /// Accepts connections at `address` until the process ends.
  result<void> listen(const std::string &address);

  /// Takes effect on open connections and on those to come.
  void set_fault(const link_fault &fault);
  /// Resets all connections that are open.
  void reset_connections();

  [[nodiscard]] std::size_t open_connections() const;

private:
  struct connection;
  using connection_ptr = std::shared_ptr<connection>;
  enum class direction : std::uint8_t { to_process, from_process };

  asio::awaitable<void> accept(tcp::acceptor acceptor);
  asio::awaitable<void> serve(connection_ptr over);
  asio::awaitable<void> pump(connection_ptr over, direction way);
  [[nodiscard]] bool holds(direction way) const;
  asio::awaitable<void> wait_until_passing(connection_ptr over, direction way);

  asio::io_context &io_;
  std::string upstream_;
  link_fault fault_;
  std::map<std::uint64_t, std::weak_ptr<connection>> open_;
  std::uint64_t next_ = 0;
};

class fault_proxy {
public:
  explicit fault_proxy(asio::io_context &io) : io_(io) {}

  /// @return an error when `listen` is no free address.
  result<void> add(const std::string &name, const std::string &listen,
                   const std::string &upstream);

  /// Carries out `/LINK/FAULT`; the fault `reset` ends the link's connections.
  /// The link `all` stands for every link.
  /// @return false when link or fault is not known; nothing was done then.
  bool carry_out(std::string_view target);

private:
  asio::io_context &io_;
  std::map<std::string, std::shared_ptr<proxy_link>, std::less<>> links_;
};

} // namespace heathtrestle::stand_ins
