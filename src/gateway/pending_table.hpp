// The pending client requests of a gateway. Each is resent to the leader of its
// partition, with exponential backoff, until a final reply arrives or its
// deadline passes. Resending is safe for calls because each has an
// idempotency key.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "effects/step.hpp"
#include "membership/member_table.hpp"
#include "wire/messages.hpp"

#include <map>
#include <string>

namespace heathtrestle::gateway {

struct gateway_options {
  duration_ms resend_interval{700};
  /// The resend interval doubles with every resend, up to this.
  duration_ms max_resend_interval{2800};
  /// A request that could not be sent to any node fails after this.
  duration_ms not_ready_limit{6000};
  /// Time limit of requests that specify none.
  duration_ms default_time_limit{120000};
  std::uint64_t retry_after_ms = 1000;
};

struct gateway_view {
  effects::step &step;
  membership::member_table &members;
};

class pending_table {
public:
  explicit pending_table(gateway_options options);

  void on_arrived(gateway_view &view, const wire::ClientArrived &arrived);
  void on_gone(const wire::ClientGone &gone);
  void on_reply(gateway_view &view, const wire::ClientReply &reply);
  void on_chunk(gateway_view &view, const wire::StreamChunk &chunk);
  void tick(gateway_view &view);
  /// Fails all pending requests, when the node stops without waiting for them.
  void give_up_all(gateway_view &view);

  [[nodiscard]] std::size_t size() const { return pending_.size(); }

private:
  struct pending {
    wire::ClientRequest request;
    timestamp arrived{};
    timestamp deadline{};
    timestamp last_sent{};
    bool ever_sent = false;
    /// Term of the leader that the full request was sent to; 0 if none.
    std::uint64_t full_request_term = 0;
    duration_ms resend_delay{};
    /// The key was generated for this request, so no other gateway can have
    /// sent it.
    bool key_is_fresh = false;
    std::string streamed;       // text sent to the client
    std::string engine_request; // attempt that the last chunk came from
    std::string attempt_text;   // text received from that attempt
  };

  /// Sends the request to the leader, or to a random member while the leader is
  /// unknown. A call is sent as a reminder, without its content, to a leader
  /// that has been sent the full request before.
  void send(gateway_view &view, pending &waiting);
  void give_up(gateway_view &view, const std::string &request_id,
               const pending &waiting);

  gateway_options options_;
  std::map<std::string, pending> pending_; // by request id
};

} // namespace heathtrestle::gateway
