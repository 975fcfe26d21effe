// The quota permit of one request. Each attempt consumes one permit immediately
// before it is sent, so a further attempt needs a new one, as does a request
// that waited past the permit's expiry. A permit is reusable if the replica
// refused the attempt without executing it.
#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/gateway.hpp"
#include "forwarding/tenant_gate.hpp"
#include "records/turn_ledger.hpp"
#include "runtime/asio.hpp"

#include <memory>
#include <optional>

namespace heathtrestle::forwarding {

class send_permit {
public:
  /// @param request must outlive this object.
  /// @param deadline the time until which the client waits for its answer.
  send_permit(gateway &shared, const client_request &request,
              records::permit_request wanted, timestamp deadline);

  /// Starts requesting a permit, unless one is valid or already requested.
  void request();
  /// Waits for a valid permit, requesting one when needed.
  /// @return false when it was refused; see `refusal`.
  asio::awaitable<bool> wait();
  /// Returns why there is no valid permit.
  [[nodiscard]] refused refusal() const;
  /// Consumes the permit immediately before sending.
  /// @return false when it has expired.
  [[nodiscard]] bool consume();
  /// Makes the permit usable again after a replica refused the attempt.
  void return_unused() { used_ = false; }

private:
  /// The state of a request to the ledger, shared with the coroutine that waits
  /// for the answer.
  struct pending_request {
    explicit pending_request(asio::io_context &io) : answered(io) {}

    std::optional<records::permit_answer> answer;
    /// Cancelled when the answer has arrived.
    asio::steady_timer answered;
  };

  [[nodiscard]] bool is_valid() const;
  /// The time at which waiting for a permit ends.
  [[nodiscard]] timestamp wait_deadline() const;

  gateway &gateway_;
  const client_request &request_;
  records::permit_request wanted_;
  timestamp deadline_;
  std::shared_ptr<pending_request> pending_; // null before the first request
  bool used_ = false;
};

} // namespace heathtrestle::forwarding
