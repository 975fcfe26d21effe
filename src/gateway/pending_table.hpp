// The gateway role: requests of open connections, asked of the leader of their
// partition again and again until a final answer comes or patience ends.
// Repeating is safe because every request carries its own key.
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
  /// Each time nothing comes back the pause doubles, up to this.
  duration_ms longest_resend_interval{2800};
  /// A request that could not be sent to any leader is refused after this.
  duration_ms not_ready_limit{6000};
  /// A request without a time limit of its own is given up after this.
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
  /// Gives every open request its final answer, for a stop that cannot wait.
  void give_up_all(gateway_view &view);

  [[nodiscard]] std::size_t size() const { return pending_.size(); }

private:
  struct pending {
    wire::ClientRequest request;
    timestamp arrived{};
    timestamp deadline{};
    timestamp last_sent{};
    bool ever_sent = false;
    /// The term of the leader that was sent the whole request; 0: none.
    std::uint64_t sent_whole_to = 0;
    duration_ms resend_pause{};
    bool key_is_fresh = false;  // made here, so nobody else can have sent it
    std::string streamed;       // what the caller has been sent
    std::string engine_request; // attempt that chunks are taken from
    std::string attempt_text;   // what came of that attempt
  };

  /// Sends the request, as a reminder where the leader should have it.
  void send(gateway_view &view, pending &waiting);
  void give_up(gateway_view &view, const std::string &request_id,
               const pending &waiting);

  gateway_options options_;
  std::map<std::string, pending> pending_; // by request id
};

} // namespace heathtrestle::gateway
