// The permit that one request of a tenant with a quota needs for each attempt.
// Counted where it is sent: a second attempt needs a second permit, and one
// that waited too long for a place a new one. An attempt that its replica
// turned down hasn't used its permit up.
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
  /// @param request outlives this.
  /// @param deadline until when the client waits for its answer.
  send_permit(gateway &shared, const client_request &request,
              records::permit_request wanted, timestamp deadline);

  /// Begins to ask for a permit, unless one is good or asked for.
  void request();
  /// Waits until there is a good one, asking where that is needed.
  /// @return false when it was refused: see `refusal`.
  asio::awaitable<bool> wait();
  /// Why there is none.
  [[nodiscard]] refused refusal() const;
  /// Uses the permit up, in the instant before sending.
  /// @return false when it is void by now.
  [[nodiscard]] bool consume();
  /// The replica has not run what was sent with it.
  void return_unused() { used_ = false; }

private:
  /// What has become of a question, shared with who asks it.
  struct pending_request {
    explicit pending_request(asio::io_context &io) : answered(io) {}

    std::optional<records::permit_answer> answer;
    /// Cancelled when the answer is there.
    asio::steady_timer answered;
  };

  [[nodiscard]] bool is_valid() const;
  /// When it gives up waiting.
  [[nodiscard]] timestamp wait_deadline() const;

  gateway &gateway_;
  const client_request &request_;
  records::permit_request wanted_;
  timestamp deadline_;
  std::shared_ptr<pending_request> pending_; // null before the first
  bool used_ = false;
};

} // namespace heathtrestle::forwarding
