#include "forwarding/request_exchange.hpp"

#include "forwarding/http_status.hpp"
#include "forwarding/socket_options.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace heathtrestle::forwarding {

namespace {

using field = beast_http::field;

constexpr std::size_t read_chunk_bytes = 16384;
constexpr duration_ms startup_retry{500};
constexpr duration_ms drain_retry{50};
constexpr std::string_view answered_reason = "answered";

std::string_view to_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the value of "timeout=N" in the Keep-Alive field; zero if absent.
duration_ms keep_alive_of(const beast_http::fields &head) {
  const std::string_view value = to_view(head[field::keep_alive]);
  constexpr std::string_view key = "timeout=";
  const std::size_t start = value.find(key);
  if (start == std::string_view::npos) {
    return duration_ms{0};
  }
  std::string_view number = value.substr(start + key.size());
  number = number.substr(0, number.find_first_of(", ;"));
  return std::chrono::seconds(
      static_cast<std::int64_t>(parse_number(number).value_or(0)));
}

double milliseconds_since(timestamp moment) {
  return std::chrono::duration<double, std::milli>(steady_now() - moment)
      .count();
}

} // namespace

request_exchange::request_exchange(gateway &shared, tcp::socket &client,
                                   client_request request,
                                   byte_budget::booking held)
    : gateway_(shared), client_(client), request_(std::move(request)),
      held_(std::move(held)), routes_(shared.routes()),
      deadline_timer_(shared.io()), pause_timer_(shared.io()) {}

asio::awaitable<bool> request_exchange::run() {
  const auto self = shared_from_this();
  keep_open_ = request_.message.keep_alive();
  const bool leaving = gateway_.refusing();
  if (!routes_ || leaving) {
    co_await answer(status_unavailable, leaving ? drain_retry : startup_retry,
                    leaving ? "this gateway is leaving"
                            : "no configuration yet");
    log_end();
    co_return keep_open_;
  }
  route_ = routes_->find(to_view(request_.message[field::host]),
                         to_view(request_.message.target()));
  if (route_ == nullptr) {
    co_await answer(status_not_found, duration_ms{0}, "no such route");
    log_end();
    co_return keep_open_;
  }
  if (!co_await admit()) {
    log_end();
    co_return keep_open_;
  }
  arm_deadline();
  watch_client();
  if (const auto *part = gateway_.rotation().next(*route_)) {
    service_ = *part;
  }
  crashes_.emplace(gateway_, request_, *route_, caller_.tenant, deadline_);
  if (co_await acquire_permissions()) {
    co_await run_attempts();
  }
  crashes_->finish(was_answered_);
  if (turn_) {
    turn_->settle(used_tokens());
  }
  if (stream_) {
    client_gone_ = !co_await stream_->flush() || client_gone_;
  }
  disarm();
  log_end();
  co_return keep_open_ && !client_gone_;
}

// Deadline and detection of disconnected clients.

void request_exchange::arm_deadline() {
  const duration_ms client_limit =
      request_.client_deadline.value_or(route_->timeout);
  const bool bounded = route_->timeout.count() > 0;
  const duration_ms limit =
      bounded ? std::min(client_limit, route_->timeout) : client_limit;
  deadline_ = request_.arrived + limit;
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self && !self->done_) {
          self->abort_attempt();
        }
      });
}

void request_exchange::watch_client() {
  watching_ = true;
  client_.async_wait(
      tcp::socket::wait_read,
      [weak = weak_from_this()](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (!self || self->done_) {
          return;
        }
        self->watching_ = false;
        if (!failure && peer_has_closed(self->client_)) {
          self->on_client_gone();
        }
      });
}

void request_exchange::on_client_gone() {
  client_gone_ = true;
  pause_timer_.cancel();
  // A non-idempotent request is left to finish: its effect may be wanted even
  // if nobody receives the answer.
  const bool worth_stopping =
      route_->kind != routing::request_kind::non_idempotent;
  if (worth_stopping) {
    abort_attempt();
  }
}

void request_exchange::abort_attempt() {
  pause_timer_.cancel();
  if (active_) {
    boost::system::error_code ignored;
    active_->socket.close(ignored);
  }
}

void request_exchange::on_replica_ended() {
  if (route_->repeatable() && active_) {
    replica_ended_ = true;
    abort_attempt();
  }
}

void request_exchange::disarm() {
  done_ = true;
  deadline_timer_.cancel();
  if (watching_) {
    boost::system::error_code ignored;
    client_.cancel(ignored);
  }
}

duration_ms request_exchange::remaining() const {
  return std::max(deadline_ - steady_now(), duration_ms{0});
}

// One attempt.

asio::awaitable<request_exchange::attempt_end>
request_exchange::exchange_with(routing::instance &target,
                                connection_ptr connection) {
  last_locality_ =
      name_of(gateway_.replicas().places().locality_of(target.record.zone));
  gateway_.metrics().on_sent(std::string(last_locality_));
  sent_at_ = steady_now();
  used_connections_.push_back(connection->number);
  if (!co_await send(target, *connection)) {
    last_failure_ = "the connection broke while the request was sent";
    co_return attempt_outcome::lost;
  }
  answer_reader answer(*connection, gateway_.options().answers);
  if (!co_await read_own_head(answer)) {
    co_return attempt_outcome::lost;
  }
  const response_head head = answer.head();
  const std::uint32_t status = head.result_int();
  const std::string_view refusal =
      to_view(head[gateway_.options().headers.not_executed]);
  const bool not_executed = status == status_misdirected || !refusal.empty();
  const bool is_stream = status == status_ok && !not_executed &&
                         route_->kind == routing::request_kind::streaming;
  head_at_ = steady_now();
  if (is_stream) {
    gateway_.replicas().record_prefix(placement_.target, request_.prompt);
    const bool from_start = events_forwarded_ == 0;
    relayed_ = {};
    const attempt_end end = co_await relay_stream(answer);
    if (!end) {
      record_turn_timing(target, from_start);
      recycle(target, std::move(connection), head, answer.keep_alive());
    }
    co_return end;
  }
  buffered_body body{.text = {}, .memory = gateway_.book_answer()};
  if (!co_await read_body(answer, body)) {
    co_return attempt_outcome::lost;
  }
  recycle(target, std::move(connection), head, answer.keep_alive());
  const bool another_may_take_it = status == status_unavailable ||
                                   status == status_too_many ||
                                   status == status_misdirected;
  if (not_executed && another_may_take_it) {
    last_failure_ = "refused by the replica";
    if (status == status_misdirected) {
      gateway_.replicas().on_failed(target, "another replica has its address");
    }
    co_return attempt_outcome::not_executed;
  }
  const bool success = status < status_success_end;
  const bool proven =
      !to_view(head[gateway_.options().headers.signature]).empty();
  if ((success && !proven) || head_sent_) {
    // A resumed stream can only continue with a stream.
    last_failure_ = "an unsigned answer, or no stream to resume from";
    co_return attempt_outcome::lost;
  }
  gateway_.replicas().on_answered(target, route_->name,
                                  milliseconds_since(sent_at_));
  co_await forward_answer(head, std::move(body.text));
  co_return std::nullopt;
}

void request_exchange::record_turn_timing(routing::instance &target,
                                          bool from_start) {
  const auto events = static_cast<double>(relayed_.events);
  if (relayed_.events == 0) {
    return;
  }
  const auto span =
      static_cast<double>((relayed_.last_at - relayed_.first_at).count());
  gateway_.replicas().record_prefix(placement_.target, request_.prompt,
                                    used_tokens());
  gateway_.replicas().on_turn_answered(
      target,
      {.missing_tokens = static_cast<double>(placement_.missing_tokens),
       .running = placement_.running,
       .first_event_ms =
           static_cast<double>((relayed_.first_at - sent_at_).count()),
       .event_gap_ms = events > 1 ? span / (events - 1) : 0,
       .events = events},
      from_start);
}

std::string_view request_exchange::body() const {
  return body_with_history_.empty() ? std::string_view(request_.message.body())
                                    : std::string_view(body_with_history_);
}

asio::awaitable<bool> request_exchange::send(const routing::instance &target,
                                             upstream_connection &connection) {
  const header_names &names = gateway_.options().headers;
  const auto &incoming = request_.message;
  beast_http::request<beast_http::span_body<const char>> outgoing;
  outgoing.method_string(incoming.method_string());
  outgoing.target(incoming.target());
  outgoing.version(11);
  const std::string_view connection_field =
      to_view(incoming[field::connection]);
  for (const auto &each : incoming) {
    const std::string_view name = to_view(each.name_string());
    const bool dropped = is_private(each.name_string()) ||
                         is_hop_by_hop(name, connection_field) ||
                         each.name() == field::expect;
    if (!dropped) {
      outgoing.insert(each.name(), each.name_string(), each.value());
    }
  }
  outgoing.set(names.deadline_ms, std::to_string(remaining().count()));
  outgoing.set(names.expected_instance, target.record.id.value());
  outgoing.set(names.request_priority, std::to_string(engine_priority()));
  if (!caller_.tenant.value().empty()) {
    outgoing.set(names.tenant, caller_.tenant.value());
  }
  if (last_event_id_) {
    outgoing.set(names.last_event_id, std::to_string(*last_event_id_));
  }
  outgoing.body() = {body().data(), body().size()};
  const bool framed = incoming.has_content_length() || incoming.chunked();
  if (framed || !body().empty()) {
    outgoing.content_length(body().size());
  }
  const auto [failure, written] =
      co_await beast_http::async_write(connection.socket, outgoing, as_result);
  co_return !failure;
}

std::uint32_t request_exchange::engine_priority() const {
  // More urgent routes have priority. A program that has missed its deadline
  // gains little from being served and must not delay those that can still meet
  // theirs.
  constexpr std::uint32_t most_urgent = 2;
  constexpr std::uint32_t route_ranks = 3;
  constexpr std::uint32_t late = 6;
  const policy_switches &policies = gateway_.options().selection.policies;
  const bool is_late =
      policies.late_priority && request_.program_deadline &&
      *request_.program_deadline <= steady_now() - request_.arrived;
  if (is_late) {
    return late;
  }
  const std::uint32_t rank =
      policies.route_priority
          ? std::min(caller_.priority.value_or(route_->priority), route_ranks)
          : 1;
  return most_urgent + rank;
}

bool request_exchange::is_own(const response_head &head) const {
  const header_names &names = gateway_.options().headers;
  const std::string_view echoed = to_view(head[names.attempt_id]);
  return echoed == request_.attempt_id;
}

asio::awaitable<bool> request_exchange::read_own_head(answer_reader &answer) {
  const answer_limits &limits = gateway_.options().answers;
  const bool to_head = request_.message.method() == beast_http::verb::head;
  had_surplus_ = false;
  std::uint32_t interim = 0;
  std::uint32_t surplus = 0;
  while (surplus < limits.surplus_answers &&
         interim <= limits.interim_answers) {
    const auto read = co_await answer.read_head(to_head);
    if (!read) {
      last_failure_ = "no answer: " + describe(read.error());
      co_return false;
    }
    const response_head &head = answer.head();
    const bool informational = head.result_int() < status_informational_end;
    if (!informational && is_own(head)) {
      note_heard();
      co_return true;
    }
    interim += informational ? 1 : 0;
    surplus += informational ? 0 : 1;
    had_surplus_ = had_surplus_ || !informational;
    if (!co_await skip_body(answer)) {
      break;
    }
  }
  last_failure_ = "received only interim answers, or those to other requests";
  co_return false;
}

asio::awaitable<bool> request_exchange::skip_body(answer_reader &answer) {
  answer.limit_body_time(deadline_);
  std::uint64_t skipped = 0;
  std::array<char, read_chunk_bytes> chunk{};
  while (!answer.is_done()) {
    const auto part = co_await answer.read_part(chunk);
    if (!part) {
      co_return false;
    }
    skipped += part.value();
    if (skipped > gateway_.options().answers.surplus_bytes) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> request_exchange::read_body(answer_reader &answer,
                                                  buffered_body &body) {
  answer.limit_body_time(deadline_);
  std::size_t needed = answer.announced_length().value_or(0);
  std::array<char, read_chunk_bytes> chunk{};
  while (!answer.is_done()) {
    const auto part = co_await answer.read_part(chunk);
    if (!part) {
      last_failure_ = "the answer is not complete: " + describe(part.error());
      co_return false;
    }
    needed = std::max(needed, body.text.size() + part.value());
    if (!reserve(body, needed)) {
      last_failure_ = "the answer is not complete: no memory for it";
      co_return false;
    }
    note_heard();
    body.text.append(chunk.data(), part.value());
  }
  co_return true;
}

bool request_exchange::reserve(buffered_body &body, std::size_t bytes) {
  const std::size_t capacity = body.text.capacity();
  if (bytes <= capacity) {
    return true;
  }
  const std::size_t grown =
      body.text.empty() ? bytes : std::max(bytes, 2 * capacity);
  // While the text moves it takes both its old and its new place.
  if (!body.memory.try_resize(body.text.size() + grown)) {
    return false;
  }
  body.text.reserve(grown);
  return true;
}

asio::awaitable<request_exchange::attempt_end>
request_exchange::relay_stream(answer_reader &answer) {
  const response_head head = answer.head();
  if (!head_sent_ && !co_await start_stream(head)) {
    co_return attempt_outcome::lost;
  }
  if (attempts_ > 1 && last_event_id_) {
    logging::line(logging::event::stream_resumed)
        .field("id", request_.attempt_id)
        .field("instance", last_start_.id.value())
        .field("software", last_version_.value())
        .field("after", *last_event_id_)
        .write();
  }
  event_splitter splitter;
  answer_memory partial_event = gateway_.book_partial_event();
  eventless_bytes_ = 0;
  std::array<char, read_chunk_bytes> chunk{};
  while (!answer.is_done()) {
    const auto part = co_await answer.read_part(chunk);
    if (!part) {
      last_failure_ = "the stream broke: " + describe(part.error());
      co_return attempt_outcome::lost;
    }
    auto events = splitter.feed({chunk.data(), part.value()});
    relayed_.note(events.size(), steady_now());
    const std::uint64_t forwarded = events_forwarded_;
    if (!events.empty() && !co_await forward_events(std::move(events))) {
      last_failure_ = "writing to the client failed";
      co_return attempt_outcome::lost;
    }
    const bool has_new_events = events_forwarded_ > forwarded;
    if (!partial_event.try_resize(splitter.buffered()) ||
        !note_progress(answer, part.value(), has_new_events,
                       !splitter.at_boundary())) {
      last_failure_ = "the stream brings no events";
      co_return attempt_outcome::lost;
    }
  }
  if (!splitter.at_boundary()) {
    last_failure_ = "the stream ended within an event";
    co_return attempt_outcome::lost;
  }
  if (!co_await finish_stream()) {
    // The replica's stream is complete; only the end of the client's is
    // missing.
    keep_open_ = false;
  }
  status_ = status_ok;
  co_return std::nullopt;
}

bool request_exchange::note_progress(answer_reader &answer, std::size_t bytes,
                                     bool has_new_events,
                                     bool is_within_event) {
  if (has_new_events) {
    note_heard();
    eventless_bytes_ = 0;
  } else {
    eventless_bytes_ += bytes;
  }
  const bool is_late = !has_new_events && answer.is_event_late();
  if (has_new_events) {
    answer.set_within_event(false); // the next one begins
  }
  answer.set_within_event(is_within_event);
  return !is_late && eventless_bytes_ <= gateway_.options().answers.event_bytes;
}

asio::awaitable<bool>
request_exchange::forward_events(std::vector<stream_event> events) {
  std::string fresh;
  for (stream_event &event : events) {
    const bool repeated =
        event.id && last_event_id_ && *event.id <= *last_event_id_;
    if (repeated) {
      continue;
    }
    if (event.id) {
      last_event_id_ = event.id;
    }
    if (turn_) {
      turn_->add_output(event.data);
    }
    fresh += event.bytes;
    ++events_forwarded_;
    version_.on_event();
  }
  if (fresh.empty()) {
    co_return true;
  }
  const bool first = events_forwarded_ == events.size();
  stream_->write(fmt::format("{:x}\r\n{}\r\n", fresh.size(), fresh));
  if (first) {
    first_event_at_ = steady_now();
    gateway_.metrics().on_first_event(
        route_->name,
        std::chrono::duration<double>(steady_now() - request_.arrived).count());
  }
  const bool has_room = co_await stream_->wait_for_room();
  client_gone_ = client_gone_ || !has_room;
  co_return has_room;
}

void request_exchange::recycle(const routing::instance &target,
                               connection_ptr connection,
                               const response_head &head, bool keep_alive) {
  const bool surplus = had_surplus_ || connection->buffer.size() > 0;
  const bool has_id = !request_.attempt_id.empty();
  if (keep_alive && has_id && !surplus && connection->socket.is_open()) {
    gateway_.pool().release(target.record.start(), std::move(connection),
                            keep_alive_of(head));
  }
}

// Answers.

asio::awaitable<void> request_exchange::answer(std::uint32_t status,
                                               duration_ms retry_after,
                                               std::string_view reason) {
  status_ = status;
  reason_ = reason;
  if (head_sent_ || client_gone_) {
    keep_open_ = false; // the stream must not look complete
    co_return;
  }
  beast_http::response<beast_http::string_body> message;
  message.result(status);
  message.set(gateway_.options().headers.attempt_id, request_.attempt_id);
  if (retry_after.count() > 0) {
    message.set(
        field::retry_after,
        fmt::format("{:.3f}",
                    std::chrono::duration<double>(retry_after).count()));
  }
  if (status == status_unauthorized) {
    message.set(field::www_authenticate,
                gateway_.options().headers.credential_scheme);
  }
  message.body() = std::string(reason) + "\n";
  keep_open_ = keep_open_ && !gateway_.should_close_connections();
  message.keep_alive(keep_open_);
  message.prepare_payload();
  co_await write_message(message);
}

template <typename Message>
asio::awaitable<bool> request_exchange::write_message(Message &message) {
  beast_http::serializer<false, typename Message::body_type,
                         typename Message::fields_type>
      serializer(message);
  stall_guard guard(client_, gateway_.options().client_streams.stall_limit);
  while (!serializer.is_done() && !client_gone_) {
    const auto [failure, written] =
        co_await beast_http::async_write_some(client_, serializer, as_result);
    guard.on_progress();
    client_gone_ = client_gone_ || failure;
  }
  co_return !client_gone_;
}

template <typename Message>
void request_exchange::copy_head(const response_head &head,
                                 Message &message) const {
  message.result(head.result_int());
  message.reason(head.reason());
  const std::string_view connection = to_view(head[field::connection]);
  for (const auto &each : head) {
    if (!is_hop_by_hop(to_view(each.name_string()), connection)) {
      message.insert(each.name(), each.name_string(), each.value());
    }
  }
}

asio::awaitable<void>
request_exchange::forward_answer(const response_head &head, std::string body) {
  status_ = head.result_int();
  reason_ = answered_reason;
  if (client_gone_) {
    co_return;
  }
  beast_http::response<beast_http::string_body> message;
  copy_head(head, message);
  keep_open_ = keep_open_ && !gateway_.should_close_connections();
  message.keep_alive(keep_open_);
  message.body() = std::move(body);
  message.prepare_payload();
  co_await write_message(message);
}

asio::awaitable<bool>
request_exchange::start_stream(const response_head &head) {
  head_sent_ = true;
  beast_http::response<beast_http::empty_body> message;
  copy_head(head, message);
  keep_open_ = keep_open_ && !gateway_.should_close_connections();
  message.keep_alive(keep_open_);
  message.chunked(true);
  beast_http::response_serializer<beast_http::empty_body> serializer(message);
  const auto [failure, written] =
      co_await beast_http::async_write_header(client_, serializer, as_result);
  client_gone_ = client_gone_ || failure;
  stream_ = std::make_shared<client_stream>(client_, gateway_.open_booking(),
                                            gateway_.options().client_streams);
  co_return !failure;
}

records::turn_place request_exchange::engine_location() const {
  std::uint64_t tokens = used_tokens();
  for (const balance::prompt_part &part : request_.prompt) {
    tokens += part.tokens;
  }
  return {.instance = name_of(last_start_), .tokens = tokens};
}

asio::awaitable<bool> request_exchange::finish_stream() {
  const bool keeps = route_->retained && turn_ && turn_->granted();
  const auto outside = keeps ? turn_->storage_outside_home() : std::nullopt;
  if (outside) {
    record_home_refusal("storage_outside_home", outside->node, outside->region);
    reason_ = record_outside_reason;
    co_return false;
  }
  if (keeps && !co_await turn_->record_end(used_tokens(), engine_location())) {
    reason_ = "the turn could not be recorded in time";
    co_return false;
  }
  reason_ = answered_reason;
  stream_->write("0\r\n\r\n");
  const bool written = co_await stream_->flush();
  client_gone_ = client_gone_ || !written;
  co_return written;
}

std::int64_t request_exchange::since_arrival(timestamp moment) const {
  return moment == timestamp{} ? -1 : (moment - request_.arrived).count();
}

void request_exchange::log_end() const {
  const bool ok =
      status_ > 0 && status_ < status_success_end && reason_ == answered_reason;
  const auto elapsed = steady_now() - request_.arrived;
  const std::string route = route_ != nullptr ? route_->name : "none";
  gateway_.metrics().on_finished(
      route, status_, std::chrono::duration<double>(elapsed).count());
  logging::line(ok ? logging::event::request_finished
                   : logging::event::request_failed)
      .field("id", request_.attempt_id)
      .field("program", request_.program)
      .field("tenant", caller_.tenant.value())
      .field("route", route)
      .field("version", routes_ ? routes_->version().value() : 0)
      .field("instance", last_start_.id.value())
      .field("software", last_version_.value())
      .field("locality", last_locality_)
      .field("attempts", attempts_)
      .field(
          "client_resumes_after",
          to_view(request_.message[gateway_.options().headers.last_event_id]))
      .field("resumes", request_.resumes)
      .field("previous", request_.previous_turn)
      .field("status", status_)
      .field("events", events_forwarded_)
      .field("missing_tokens", placement_.missing_tokens)
      .field("running", placement_.running)
      .field("reason", reason_)
      .field("client_left", client_gone_)
      .field("granted_ms",
             since_arrival(turn_ ? turn_->granted_at() : timestamp{}))
      .field("sent_ms", since_arrival(sent_at_))
      .field("head_ms", since_arrival(head_at_))
      .field("first_event_ms", since_arrival(first_event_at_))
      .field("elapsed_ms", elapsed.count())
      .field("deadline_ms", since_arrival(deadline_))
      .write();
}

} // namespace heathtrestle::forwarding
