// Serves one client request from its arrival to its final answer: obtains the
// tenant's permit and the turn's grant, sends the request to replicas as the
// retry policy (`attempt_plan`) decides, and forwards the answer.
//
// An answer that is not a stream is read completely before any of it is
// forwarded, so that a truncated answer never looks complete. A stream is
// forwarded event by event. If it breaks, it resumes at another replica when
// its route allows that; otherwise the client's connection is closed without
// the end of the stream.
#pragma once

#include "forwarding/answer_reader.hpp"
#include "forwarding/attempt_plan.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/client_stream.hpp"
#include "forwarding/crash_limit.hpp"
#include "forwarding/event_stream.hpp"
#include "forwarding/gateway.hpp"
#include "forwarding/program_turn.hpp"
#include "forwarding/send_permit.hpp"
#include "forwarding/stream_version.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

class request_exchange : public std::enable_shared_from_this<request_exchange> {
public:
  /// @param held the memory that is booked for the request.
  request_exchange(gateway &shared, tcp::socket &client, client_request request,
                   byte_budget::booking held);

  /// Serves the request.
  /// @return true when the connection may carry another request.
  asio::awaitable<bool> run();

private:
  /// Replicas and storage nodes take seconds to start. A client that retries
  /// sooner only uses up its attempts.
  static constexpr duration_ms home_retry{1000};
  static constexpr std::string_view record_outside_reason =
      "its record would leave its home regions";

  using response_head = answer_reader::response_head;

  /// The number and the times of the events received in one attempt.
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

  /// The body of an answer that is read before it is forwarded.
  struct buffered_body {
    std::string text;
    answer_memory memory;
  };

  /// How one attempt ended; empty when the client has been answered.
  using attempt_end = std::optional<attempt_outcome>;

  // Deadline and detection of disconnected clients.
  void arm_deadline();
  void watch_client();
  void on_client_gone();
  void abort_attempt();
  /// Breaks the attempt off if the request may go on elsewhere.
  void on_replica_ended();
  void disarm();

  // Tenants.
  /// @return true when the request may run; otherwise the client has been
  /// answered.
  asio::awaitable<bool> admit();
  asio::awaitable<void> refuse(const refused &refusal);
  /// Waits for a valid permit of the tenant's quota.
  /// @return true when there is one or none is needed; otherwise the client has
  /// been answered.
  asio::awaitable<bool> await_permit();
  asio::awaitable<void> refuse_for_quota();
  /// Obtains the permit and, for a turn, the grant.
  /// @return false when one was refused; then the client has been answered.
  asio::awaitable<bool> acquire_permissions();
  /// Answers a request whose admission was revoked before it was sent.
  asio::awaitable<void> refuse_before_send(refusal_cause cause);
  /// Returns whether a header field of the client is withheld from replicas.
  [[nodiscard]] bool is_private(boost::beast::string_view name) const;

  // The turn of a program.
  [[nodiscard]] bool needs_grant() const;
  /// Whether the turn would be recorded without its first events: only the
  /// attempts that forwarded them knew them.
  [[nodiscard]] bool lacks_first_events() const;
  /// @return true when the request may run; otherwise the client has been
  /// answered.
  asio::awaitable<bool> begin_turn();
  /// Requests the grant, also again while the budget is only reserved.
  asio::awaitable<records::turn_verdict> request_grant();
  /// Applies the history that came with the grant.
  void apply_history();
  asio::awaitable<void> refuse_turn(records::turn_verdict verdict);
  /// Waits before the grant is requested again.
  /// @return false when the client has left or too little time remains for
  /// another reply.
  asio::awaitable<bool> pause_for_budget();
  /// Checks that no storage node is outside the turn's home regions.
  /// @return false when one does; then the client has been answered.
  asio::awaitable<bool> check_storage_residency();
  [[nodiscard]] std::uint64_t used_tokens() const;

  // The software version of a stream's replicas.
  /// Whether the stream may continue at another replica.
  [[nodiscard]] bool is_resumable_stream() const;
  /// Whether the client names another attempt that began the stream.
  [[nodiscard]] bool resumes_named_stream() const;
  /// Whether another attempt of the client began the stream, and it does not
  /// say which.
  [[nodiscard]] bool resumes_unnamed_stream() const;
  /// Whether replicas of several versions are listed.
  [[nodiscard]] bool lists_several_versions() const;
  /// Returns the version at which the stream would be served now.
  [[nodiscard]] std::optional<software_version> preferred_version();
  /// Applies the version that the grant recorded.
  /// @return false when it is not known which version began the stream; then
  /// the client has been answered.
  asio::awaitable<bool> apply_recorded_version();
  /// Applies the only version that can have begun the stream.
  /// @return false when there is none; then the client has been answered.
  asio::awaitable<bool> apply_only_version();
  /// Chooses a replica of the stream's version, or one of another version while
  /// that can still change.
  asio::awaitable<placement> choose_replica(send_step step);
  /// Records that the stream is served at another version.
  /// @return false when that is not confirmed.
  asio::awaitable<bool> change_version(const software_version &version);
  /// Serves the stream at the version that was requested with the grant. The
  /// group may record it although its reply did not arrive in time.
  void keep_requested_version();
  /// Serves the stream at a version that is not recorded. Other gateways then
  /// cannot resume it while replicas of several versions serve.
  void serve_unrecorded(const software_version &version);

  // Attempts.
  asio::awaitable<void> run_attempts();
  /// Decides what follows when no replica may receive the request now.
  void on_no_target(const send_step &step);
  /// Ends the request because too many replicas have crashed under it, or
  /// because they cannot be counted.
  void block_for_crashes();
  /// Finds out why an attempt was lost.
  /// @param sent_at when the attempt was sent.
  asio::awaitable<void> on_lost(routing::instance_ptr target,
                                timestamp sent_at);
  /// Sends the request to a replica, unless that is kept by another request
  /// that may crash it.
  asio::awaitable<void> attempt(routing::instance_ptr target);
  asio::awaitable<void> attempt_at(routing::instance_ptr target);
  /// Returns a connection on which the request was not sent before.
  asio::awaitable<result_or<connection_ptr, connect_error>>
  connect_to(const routing::instance_record &target);
  /// Checks deadline, client and replica immediately before sending.
  /// @return true when the request may be sent; it is then counted as sent.
  bool claim_send_to(routing::instance &target);
  /// Watches the replica of the attempt until the result is released.
  std::shared_ptr<watched_attempt>
  watch_replica(const routing::instance_ptr &target);
  /// Notes that the replica of the attempt has sent something.
  void note_heard() { placement_.target->heard_at = steady_now(); }
  /// Logs and counts that the home regions prevent the request from being
  /// served.
  /// @param region the region outside of them; empty when there are several.
  void record_home_refusal(std::string_view cause, std::string_view node,
                           std::string_view region) const;
  asio::awaitable<attempt_end> exchange_with(routing::instance &target,
                                             connection_ptr connection);
  /// The body that is sent to replicas.
  [[nodiscard]] std::string_view body() const;
  asio::awaitable<bool> send(const routing::instance &target,
                             upstream_connection &connection);
  /// Reads response heads until the one that belongs to this request. Answers
  /// to other requests are discarded. An answer is known by the id of the
  /// request, which is on each connection sent once.
  asio::awaitable<bool> read_own_head(answer_reader &answer);
  /// Skips the body of an answer to another request.
  /// @return false when it is too long, or the connection broke.
  asio::awaitable<bool> skip_body(answer_reader &answer);
  /// Updates the cost model and the prefix cache estimate from a completed
  /// stream.
  void record_turn_timing(routing::instance &target, bool from_start);
  /// Returns the priority sent to the engine, from 0 (most urgent) to 9.
  [[nodiscard]] std::uint32_t engine_priority() const;
  [[nodiscard]] bool is_own(const response_head &head) const;
  asio::awaitable<bool> read_body(answer_reader &answer, buffered_body &body);
  asio::awaitable<attempt_end> relay_stream(answer_reader &answer);
  /// Notes what a part of the stream has brought.
  /// @return false when the stream brings bytes but no new events.
  bool note_progress(answer_reader &answer, std::size_t bytes,
                     bool has_new_events, bool is_within_event);
  /// Makes room for so many bytes of an answer, and books the memory.
  /// @return false when there is none.
  [[nodiscard]] static bool reserve(buffered_body &body, std::size_t bytes);
  /// Passes events on, and waits while the client has too many untaken ones.
  /// @return false when the client is gone.
  asio::awaitable<bool> forward_events(std::vector<stream_event> events);
  /// Writes a message as fast as the client takes it.
  /// @return false when the client is gone or takes nothing any more.
  template <typename Message>
  asio::awaitable<bool> write_message(Message &message);
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
  /// Returns the engine that answered and the number of tokens of the
  /// conversation that it has cached.
  [[nodiscard]] records::turn_place engine_location() const;
  template <typename Message>
  void copy_head(const response_head &head, Message &message) const;
  void log_end() const;
  void log_attempt(const routing::instance &target, attempt_outcome outcome,
                   std::string_view reason) const;
  [[nodiscard]] duration_ms remaining() const;
  /// Returns the milliseconds from arrival to `moment`, or -1 if `moment` is
  /// unset.
  [[nodiscard]] std::int64_t since_arrival(timestamp moment) const;

  gateway &gateway_;
  tcp::socket &client_;
  client_request request_;
  byte_budget::booking held_;
  std::shared_ptr<const routing::route_table> routes_;
  const routing::route *route_ = nullptr;
  routing::service_id service_;
  admitted caller_;
  /// The regions in which the request may be served; set on admission.
  routing::residency home_;
  std::optional<attempt_plan> plan_;

  timestamp deadline_{};
  asio::steady_timer deadline_timer_;
  asio::steady_timer pause_timer_;
  connection_ptr active_;
  /// The connections on which the request was sent. A replica may repeat an
  /// answer late, and the id does not tell that from the answer to another send
  /// of the same request.
  std::vector<connection_number> used_connections_;
  /// The current attempt was broken off because its replica has ended.
  bool replica_ended_ = false;
  bool watching_ = false;
  bool client_gone_ = false;
  bool done_ = false;

  std::optional<send_permit> permit_; // for tenants with a quota
  std::optional<program_turn> turn_;  // for requests that need a grant
  stream_version version_;            // of resumable streams
  std::optional<crash_limit> crashes_;
  /// The history and the input, when there is a history; else empty.
  std::string body_with_history_;
  /// Set once the head of a stream was sent.
  std::shared_ptr<client_stream> stream_;

  // The answer.
  bool keep_open_ = true;
  bool head_sent_ = false;
  /// A replica has answered the request completely.
  bool was_answered_ = false;
  std::optional<std::uint64_t> last_event_id_;
  std::uint64_t events_forwarded_ = 0;
  std::uint32_t status_ = 0;
  std::string_view reason_;
  routing::incarnation last_start_;
  software_version last_version_;
  std::string_view last_locality_ = "none";
  std::string last_failure_;
  std::uint32_t attempts_ = 0;

  /// State of the current attempt.
  placement placement_;
  relayed_events relayed_;
  /// An answer to another request came first.
  bool had_surplus_ = false;
  /// Bytes of the stream since its last new event.
  std::size_t eventless_bytes_ = 0;

  /// Times of the stages of the request; the epoch if a stage was not reached.
  timestamp sent_at_{};
  timestamp head_at_{};
  timestamp first_event_at_{};
};

} // namespace heathtrestle::forwarding
