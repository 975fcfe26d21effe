// Messages between daemons over ZeroMQ: one ROUTER socket that receives, and
// one DEALER socket for each peer that is being talked to.
//
// Delivery is at most once and nothing is queued for a peer that is not
// connected: whoever needs an answer asks again. Two frames a message: the
// protocol's name with its version and the cluster's name, and an Envelope.
#pragma once

#include "base/error.hpp"
#include "wire/messages.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace heathtrestle::rpc {

struct transport_options {
  std::string address; // "ip:port" to listen on
  std::string cluster; // messages of other clusters are rejected
  std::chrono::milliseconds idle_limit{30000};
};

struct transport_counts {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;
};

class transport {
public:
  using receiver = std::function<void(wire::Envelope)>;

  /// Starts the socket thread.
  /// @param receive called on that thread for every valid message.
  static result<std::unique_ptr<transport>> start(transport_options options,
                                                  receiver receive);
  ~transport();
  transport(const transport &) = delete;
  transport &operator=(const transport &) = delete;

  /// Hands a message to the socket thread. Safe to call from any thread.
  void send(std::string address, const wire::Envelope &envelope);

  [[nodiscard]] transport_counts counts() const;

private:
  struct state;
  explicit transport(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

} // namespace heathtrestle::rpc
