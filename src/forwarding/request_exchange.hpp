// One client request from its arrival to its final answer: leave to run it,
// attempts at replicas as the plan says, and the answer passed on.
//
// An answer that is no stream is read whole before any of it is passed on, so
// that one that breaks off never looks complete. A stream is passed on by whole
// events; where it breaks off it goes on at another replica if its route allows
// that, and else its connection ends without the stream's end.
#pragma once

#include "forwarding/attempt_plan.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/event_stream.hpp"
#include "forwarding/gateway.hpp"
#include "forwarding/program_turn.hpp"
#include "forwarding/send_permit.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace heathtrestle::forwarding {

class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
  request_exchange(gateway &shared, tcp::socket &client,
                   client_request request);

  /// @return true when the connection may carry another request.
  asio::awaitable<bool> run();

private:
  using response_parser = beast_http::response_parser<beast_http::buffer_body>;
  using response_head = beast_http::response_header<beast_http::fields>;

  /// The events that one attempt has brought, and when.
  struct relayed_events {
    std::uint64_t events = 0;
    timestamp first_at{};
    timestamp last_at{};

    void note(std::size_t count, timestamp now) {
      if (count > 0) {
        first_at = events == 0 ? now : first_at;
        last_at = now;
        events += count;
      }
    }
  };

  /// How one attempt ended. Nothing means that the client has its answer.
  using attempt_end = std::optional<attempt_outcome>;

  // Deadline and client watch.
  void arm_deadline();
  void watch_client();
  void on_client_gone();
  void abort_attempt();
  void disarm();

  // Tenants.
  /// @return true when the request may run; else it has its answer.
  asio::awaitable<bool> admit();
  asio::awaitable<void> refuse(const refused &refusal);
  /// @return true when its tenant's quota lets the request run; else it has its
  /// answer.
  asio::awaitable<bool> await_permit();
  asio::awaitable<void> refuse_for_quota();
  /// Leave to begin: the permit and, for a turn, its grant.
  asio::awaitable<bool> acquire_permissions();
  /// Ends a request that may not be sent any more.
  asio::awaitable<void> refuse_before_send(refusal_cause cause);
  /// True for fields of the client that no replica may see.
  [[nodiscard]] bool is_private(boost::beast::string_view name) const;

  // The turn of a program.
  [[nodiscard]] bool needs_grant() const;
  /// @return true when the request may run; else it has its answer.
  asio::awaitable<bool> begin_turn();
  /// @return false when what is to be kept of it would leave its home regions:
  /// then it has its answer.
  asio::awaitable<bool> check_storage_residency();
  [[nodiscard]] std::uint64_t used_tokens() const;

  // Attempts.
  asio::awaitable<void> run_attempts();
  asio::awaitable<void> attempt(routing::instance_ptr target);
  /// Asked in the instant before the request is sent to a replica. True only
  /// where it is sent then.
  bool claim_send_to(routing::instance &target);
  /// Tells the log and the metrics that its home regions keep it from being
  /// served.
  /// @param region the one outside; empty when there are several.
  void record_home_refusal(std::string_view cause, std::string_view node,
                           std::string_view region) const;
  asio::awaitable<attempt_end> exchange_with(routing::instance &target,
                                             connection_ptr connection);
  asio::awaitable<bool> send(const routing::instance &target,
                             upstream_connection &connection);
  /// Reads heads until the one of this request; surplus answers are dropped.
  asio::awaitable<bool> read_own_head(upstream_connection &connection,
                                      std::optional<response_parser> &parser);
  /// Learns from a stream that the engine has ended whole.
  void record_turn_timing(routing::instance &target, bool from_start);
  /// The rank at an engine: 0 is the most urgent, 9 the least.
  [[nodiscard]] std::uint32_t engine_priority() const;
  [[nodiscard]] bool is_own(const response_head &head) const;
  asio::awaitable<bool> read_body(upstream_connection &connection,
                                  response_parser &parser, std::string &body);
  asio::awaitable<attempt_end> relay_stream(upstream_connection &connection,
                                            response_parser &parser);
  asio::awaitable<bool> forward_events(std::vector<stream_event> events);
  void recycle(const routing::instance &target, connection_ptr connection,
               const response_head &head, bool keep_alive);
  void forget_ended(const send_step &step);

  // Answers.
  asio::awaitable<void> answer(std::uint32_t status, duration_ms retry_after,
                               std::string_view reason);
  asio::awaitable<void> forward_answer(const response_head &head,
                                       std::string body);
  asio::awaitable<bool> start_stream(const response_head &head);
  asio::awaitable<bool> finish_stream();
  /// The engine that answered, and what of the conversation it keeps.
  [[nodiscard]] records::turn_place engine_location() const;
  template <typename Message>
  void copy_head(const response_head &head, Message &message) const;
  void log_end() const;
  void log_attempt(const routing::instance &target, attempt_outcome outcome,
                   std::string_view reason) const;
  [[nodiscard]] duration_ms remaining() const;
  /// Milliseconds from the arrival to `moment`; -1 when it never came.
  [[nodiscard]] std::int64_t since_arrival(timestamp moment) const;

  gateway &gateway_;
  tcp::socket &client_;
  client_request request_;
  std::shared_ptr<const routing::route_table> routes_;
  const routing::route *route_ = nullptr;
  routing::service_id service_;
  admitted caller_;
  /// Where the request may be served; set when it is admitted.
  routing::residency home_;
  std::optional<attempt_plan> plan_;

  timestamp deadline_{};
  asio::steady_timer deadline_timer_;
  asio::steady_timer pause_timer_;
  connection_ptr active_;
  bool watching_ = false;
  bool client_gone_ = false;
  bool done_ = false;

  std::optional<send_permit> permit_; // of tenants with a quota
  std::optional<program_turn> turn_;  // of requests that need a grant
  std::string body_;                  // what the replica gets

  // The answer.
  bool keep_open_ = true;
  bool head_sent_ = false;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t events_forwarded_ = 0;
  std::uint32_t status_ = 0;
  std::string_view reason_;
  routing::incarnation last_start_;
  std::string_view last_locality_ = "none";
  std::string last_failure_;
  std::uint32_t attempts_ = 0;

  /// Of the present attempt.
  placement placement_;
  relayed_events relayed_;

  /// When the parts of the way were behind it; the epoch for never.
  timestamp sent_at_{};
  timestamp head_at_{};
  timestamp first_event_at_{};
};

} // namespace heathtrestle::forwarding
