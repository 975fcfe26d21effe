#include "forwarding/request_exchange.hpp"

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
#include <fmt/ranges.h>

namespace heathtrestle::forwarding {

namespace {

using field = beast_http::field;

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_unauthorized = 401;
constexpr std::uint32_t status_payment_required = 402;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_misdirected = 421;
constexpr std::uint32_t status_bad_gateway = 502;
constexpr std::uint32_t status_unavailable = 503;
constexpr std::uint32_t status_gateway_timeout = 504;
constexpr std::uint32_t status_success_end = 300;
constexpr std::uint32_t status_informational_end = 200;
constexpr std::uint32_t status_too_many = 429;
constexpr std::size_t read_chunk_bytes = 16384;
constexpr duration_ms startup_retry{500};
constexpr duration_ms drain_retry{50};
constexpr duration_ms ledger_retry{300};
/// Short, because another gateway can serve the request at once.
constexpr duration_ms elsewhere_retry{20};
/// The interval at which a turn requests its grant again while the budget is
/// reserved by other turns.
constexpr duration_ms budget_pause{100};
/// A turn requests its grant again only while this much of its wait is left for
/// the reply. A grant whose reply comes too late reserves tokens that nobody
/// uses, and keeps the program's other turns waiting.
constexpr duration_ms grant_reply_time{150};
/// Replicas and storage nodes take seconds to start. A client that retries
/// sooner only uses up its attempts.
constexpr duration_ms home_retry{1000};
/// A zone drain lasts for seconds, but clients ignore a Retry-After that
/// exceeds most of their remaining time.
constexpr duration_ms zone_drain_retry{500};
/// A replica of the stream's version may start again or be rolled back to.
constexpr duration_ms other_version_retry{500};
constexpr std::string_view record_outside_reason =
    "its record would leave its home regions";
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

std::string_view name_of(attempt_outcome outcome) {
  switch (outcome) {
  case attempt_outcome::not_sent:
    return "not_sent";
  case attempt_outcome::not_executed:
    return "not_executed";
  case attempt_outcome::lost:
    return "lost";
  }
  return "unknown";
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
  if (co_await acquire_permissions()) {
    co_await run_attempts();
  }
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

// Tenants.

asio::awaitable<bool> request_exchange::admit() {
  const admission decided = gateway_.admit(request_, *route_, *routes_);
  if (const auto *refusal = std::get_if<refused>(&decided)) {
    co_await refuse(*refusal);
    co_return false;
  }
  caller_ = std::get<admitted>(decided);
  home_ = {.route_regions = route_->home_regions,
           .tenant_regions = caller_.home_regions};
  co_return true;
}

asio::awaitable<bool> request_exchange::acquire_permissions() {
  if (caller_.permit) {
    permit_.emplace(gateway_, request_, *caller_.permit, deadline_);
    permit_->request();
  }
  // A program's first turn is refused most often, so it requests a grant only
  // after it has a permit. Later turns request both at the same time.
  const bool permit_first = caller_.permit && caller_.permit->begins_program;
  if (permit_first && !co_await await_permit()) {
    co_return false;
  }
  if (needs_grant() && !co_await begin_turn()) {
    co_return false;
  }
  co_return co_await await_permit();
}

asio::awaitable<bool> request_exchange::await_permit() {
  if (!permit_) {
    co_return true;
  }
  const bool granted = co_await permit_->wait();
  if (!granted) {
    co_await refuse_for_quota();
  }
  co_return granted;
}

asio::awaitable<void> request_exchange::refuse_for_quota() {
  const refused refusal = permit_->refusal();
  gateway_.metrics().on_refused(std::string(name_of(refusal.cause)));
  if (plan_ && plan_->may_have_run()) {
    co_await answer(status_bad_gateway, duration_ms{0},
                    "its quota bears no further attempt, and it may have run");
  } else {
    co_await refuse(refusal);
  }
}

asio::awaitable<void> request_exchange::refuse(const refused &refusal) {
  switch (refusal.cause) {
  case refusal_cause::unknown_key:
    co_await answer(status_unauthorized, duration_ms{0}, "no such key");
    break;
  case refusal_cause::stale_keys:
    keep_open_ = false; // the next connection may reach another gateway
    co_await answer(status_unavailable, gateway_.unconfirmed_retry(),
                    "the configuration cannot be confirmed");
    break;
  case refusal_cause::over_quota:
    co_await answer(status_too_many, refusal.retry_after,
                    "the tenant is over its quota");
    break;
  case refusal_cause::paced_programs:
    co_await answer(status_too_many, refusal.retry_after,
                    "the tenant's quota bears no further program yet");
    break;
  case refusal_cause::unknown_quota:
    if (gateway_.ledger().cut_off()) {
      keep_open_ = false; // the next connection reaches another gateway
    }
    co_await answer(status_unavailable,
                    gateway_.ledger().cut_off()
                        ? elsewhere_retry
                        : std::max(ledger_retry, refusal.retry_after),
                    "the tenant's quota cannot be asked for");
    break;
  }
}

asio::awaitable<void>
request_exchange::refuse_before_send(refusal_cause cause) {
  if (plan_->may_have_run()) {
    co_await answer(status_bad_gateway, duration_ms{0},
                    "its key holds no longer, and it may have run");
  } else {
    co_await refuse({.cause = cause});
  }
}

bool request_exchange::is_private(boost::beast::string_view name) const {
  const header_names &names = gateway_.options().headers;
  const auto same = [name](const std::string &other) {
    return boost::beast::iequals(name, other);
  };
  const bool is_key =
      same(names.credential) && !gateway_.routes()->keys().empty();
  return is_key || std::any_of(names.gateway_only.begin(),
                               names.gateway_only.end(), same);
}

// The turn of a program.

bool request_exchange::needs_grant() const {
  return request_.turn.has_value() || route_->retained || is_resumable_stream();
}

asio::awaitable<bool> request_exchange::pause_for_budget() {
  const timestamp last_request = turn_->wait_deadline() - grant_reply_time;
  if (client_gone_ || steady_now() + budget_pause >= last_request) {
    co_return false;
  }
  pause_timer_.expires_after(budget_pause);
  co_await pause_timer_.async_wait(as_result);
  co_return !client_gone_ && steady_now() < last_request;
}

asio::awaitable<bool> request_exchange::begin_turn() {
  turn_.emplace(gateway_, request_, *route_, home_, caller_.tenant, deadline_);
  if (!co_await check_storage_residency()) {
    co_return false;
  }
  turn_->set_version(preferred_version());
  if (turn_->records_only_version() && !resumes_stream() && !has_versions()) {
    turn_->shorten_wait();
  }
  records::turn_verdict verdict = co_await turn_->begin();
  while (turn_->budget_is_only_reserved()) {
    if (!co_await pause_for_budget()) {
      break;
    }
    verdict = co_await turn_->begin();
  }
  if (verdict == records::turn_verdict::granted) {
    // The grant may have added storage nodes to the known ones.
    if (!co_await check_storage_residency()) {
      co_return false;
    }
    if (!turn_->history().empty()) {
      body_with_history_ = turn_->history() + request_.message.body();
      held_.grow(turn_->history().size() + body_with_history_.size());
    }
    gateway_.replicas().learn_prefix_location(turn_->previous_place(),
                                              request_.prompt);
    co_return co_await apply_recorded_version();
  }
  const bool may_run_unrecorded =
      verdict == records::turn_verdict::unavailable &&
      turn_->records_only_version() && !resumes_stream();
  if (may_run_unrecorded) {
    co_return true;
  }
  turn_->cancel_copies();
  turn_->log_refusal();
  if (turn_->budget_is_only_reserved()) {
    co_await answer(status_unavailable, ledger_retry,
                    "budget held by turns under way");
  } else if (verdict == records::turn_verdict::budget_spent) {
    co_await answer(status_payment_required, duration_ms{0}, "budget spent");
  } else if (verdict == records::turn_verdict::unknown_turn) {
    co_await answer(status_not_found, duration_ms{0}, "no such turn");
  } else if (gateway_.ledger().cut_off()) {
    keep_open_ = false; // the next connection reaches another gateway
    co_await answer(status_unavailable, elsewhere_retry,
                    "this gateway is cut off from the record group");
  } else {
    co_await answer(status_unavailable,
                    std::max(ledger_retry, turn_->retry_after()),
                    "record group unavailable");
  }
  co_return false;
}

asio::awaitable<bool> request_exchange::check_storage_residency() {
  const auto outside = turn_->storage_outside_home();
  if (outside) {
    record_home_refusal("storage_outside_home", outside->node, outside->region);
    co_await answer(status_unavailable, home_retry, record_outside_reason);
  }
  co_return !outside;
}

std::uint64_t request_exchange::used_tokens() const {
  const routing::service *target = routes_->find_service(service_);
  const std::uint64_t tokens_per_event = target != nullptr && target->engine
                                             ? target->engine->tokens_per_event
                                             : 1;
  return events_forwarded_ * tokens_per_event;
}

// The software version of a stream's replicas.

bool request_exchange::is_resumable_stream() const {
  return route_->kind == routing::request_kind::streaming && route_->resumable;
}

bool request_exchange::resumes_stream() const {
  return is_resumable_stream() && !request_.resumes.empty();
}

bool request_exchange::has_versions() const {
  const auto &listed = gateway_.replicas().directory().versions_of(service_);
  return listed.size() > 1;
}

std::optional<software_version> request_exchange::preferred_version() {
  const auto &listed = gateway_.replicas().directory().versions_of(service_);
  if (!is_resumable_stream() || listed.empty()) {
    return std::nullopt;
  }
  const bool is_decided = !has_versions() || resumes_stream();
  if (is_decided) {
    return listed.begin()->first;
  }
  const placement preferred =
      gateway_.replicas().choose(service_, send_step{}, request_, home_);
  return preferred.target ? std::optional(preferred.target->record.version)
                          : std::nullopt;
}

asio::awaitable<bool> request_exchange::apply_recorded_version() {
  const records::stream_origin &origin = turn_->origin();
  const bool is_recorded = !origin.version.value().empty();
  if (!resumes_stream()) {
    if (is_recorded) {
      version_.choose(origin.version);
    }
    co_return true;
  }
  if (origin.is_continuation) {
    version_.fix(origin.version);
    co_return true;
  }
  const auto only = gateway_.replicas().only_possible_version(service_);
  if (only) {
    version_.fix(*only);
    co_return true;
  }
  gateway_.metrics().on_refused("unknown_version");
  co_await answer(status_unavailable, duration_ms{0},
                  "the software version that began the stream is not known");
  co_return false;
}

asio::awaitable<placement> request_exchange::choose_replica(send_step step) {
  step.version = version_.required();
  placement chosen =
      gateway_.replicas().choose(service_, step, request_, home_);
  if (!is_resumable_stream()) {
    co_return chosen;
  }
  if (!chosen.target && step.version && !version_.is_final()) {
    step.version.reset();
    chosen = gateway_.replicas().choose(service_, step, request_, home_);
  }
  if (!chosen.target && version_.is_final()) {
    // Its last replicas may all be draining.
    step.allows_draining = true;
    chosen = gateway_.replicas().choose(service_, step, request_, home_);
  }
  if (!chosen.target) {
    co_return chosen;
  }
  const software_version found = chosen.target->record.version;
  const bool is_required = version_.required() == found;
  if (!is_required && !co_await change_version(found)) {
    chosen.target = nullptr;
  }
  co_return chosen;
}

asio::awaitable<bool>
request_exchange::change_version(const software_version &version) {
  if (!turn_->granted() || version.value().empty()) {
    serve_unrecorded(version);
    co_return true;
  }
  version_.withdraw();
  const auto recorded = co_await turn_->change_version(version);
  if (!recorded) {
    co_return false;
  }
  if (!recorded->value().empty()) {
    version_.choose(*recorded);
    co_return *recorded == version;
  }
  const bool none_recorded = turn_->origin().version.value().empty();
  if (none_recorded) {
    serve_unrecorded(version);
  }
  co_return none_recorded;
}

void request_exchange::serve_unrecorded(const software_version &version) {
  version_.fix(version);
  logging::line(logging::event::stream_version_unrecorded)
      .field("id", request_.attempt_id)
      .field("service", service_.value())
      .field("software", version.value())
      .field("granted", turn_->granted())
      .write();
}

// Attempts.

asio::awaitable<void> request_exchange::run_attempts() {
  plan_.emplace(route_->repeatable(), route_->max_attempts, request_.arrived,
                deadline_, gateway_.options().plan);
  while (status_ == 0) {
    const bool stop = client_gone_ && !plan_->may_have_run();
    if (client_gone_ && (stop || route_->repeatable())) {
      reason_ = "client left";
      co_return;
    }
    const next_step step = plan_->next(steady_now());
    if (const auto *wait = std::get_if<wait_step>(&step)) {
      pause_timer_.expires_after(wait->pause);
      co_await pause_timer_.async_wait(as_result);
    } else if (const auto *final = std::get_if<answer_step>(&step)) {
      const bool late = steady_now() >= deadline_ && plan_->may_have_run();
      co_await answer(late ? status_gateway_timeout : final->status,
                      final->retry_after, final->reason);
    } else {
      const auto &send = std::get<send_step>(step);
      placement_ = co_await choose_replica(send);
      if (const auto cause = gateway_.recheck_admission(request_, *route_)) {
        co_await refuse_before_send(*cause);
      } else if (placement_.target) {
        co_await attempt(placement_.target);
      } else if (placement_.excluded_by == routing::exclusion::warming_up) {
        gateway_.metrics().on_slow_start_wait();
        plan_->on_warming_up(placement_.next_admission);
      } else if (placement_.excluded_by == routing::exclusion::other_version) {
        gateway_.metrics().on_refused(
            std::string(name_of(placement_.excluded_by)));
        plan_->on_blocked(name_of(placement_.excluded_by), other_version_retry);
      } else if (placement_.excluded_by == routing::exclusion::outside_home) {
        record_home_refusal(name_of(placement_.excluded_by), {}, {});
        plan_->on_blocked(name_of(placement_.excluded_by), home_retry);
      } else if (placement_.excluded_by != routing::exclusion::none) {
        plan_->on_blocked(name_of(placement_.excluded_by), zone_drain_retry);
      } else {
        forget_ended(send);
        plan_->on_no_candidate();
      }
    }
  }
}

void request_exchange::forget_ended(const send_step &step) {
  for (const routing::incarnation &start : step.only) {
    if (!gateway_.replicas().directory().contains(start)) {
      plan_->on_instance_ended(start);
    }
  }
}

asio::awaitable<void> request_exchange::attempt(routing::instance_ptr target) {
  ++attempts_;
  const routing::incarnation started = target->record.start();
  last_start_ = started;
  last_version_ = target->record.version;
  gateway_.replicas().begin_attempt(target);
  const auto connection = co_await gateway_.pool().acquire(target->record);
  if (!connection) {
    gateway_.replicas().end_attempt(target);
    const bool refused = connection.error() == connect_error::refused;
    const std::string_view reason =
        refused ? "connection refused" : "connection failed";
    gateway_.replicas().on_failed(*target, reason);
    log_attempt(*target, attempt_outcome::not_sent, reason);
    plan_->on_attempt(started, attempt_outcome::not_sent);
    plan_->on_instance_ended(started);
    co_return;
  }
  active_ = connection.value();
  if (!co_await await_permit()) {
    gateway_.pool().release(started, active_, duration_ms{0});
    active_.reset();
    gateway_.replicas().end_attempt(target);
    co_return;
  }
  attempt_end end = attempt_outcome::not_sent;
  // The conditions of the selection may have changed while connecting.
  const auto refusal = gateway_.recheck_admission(request_, *route_);
  if (!refusal && claim_send_to(*target)) {
    const bool sends = !permit_ || permit_->consume();
    if (sends) {
      end = co_await exchange_with(*target, active_);
    }
  } else {
    gateway_.pool().release(started, active_, duration_ms{0});
  }
  active_.reset();
  gateway_.replicas().end_attempt(target);
  if (permit_ && end == attempt_outcome::not_executed) {
    permit_->return_unused();
  }
  if (end) {
    gateway_.metrics().on_attempt(std::string(name_of(*end)));
    log_attempt(*target, *end, last_failure_);
    plan_->on_attempt(started, *end);
    const bool ended_by_gateway = client_gone_ || steady_now() >= deadline_;
    if (*end == attempt_outcome::lost && !ended_by_gateway) {
      gateway_.replicas().on_failed(*target, last_failure_);
    }
  } else {
    gateway_.metrics().on_attempt("answered");
  }
}

bool request_exchange::claim_send_to(routing::instance &target) {
  if (client_gone_ || steady_now() >= deadline_) {
    last_failure_ =
        "the client disconnected or the deadline passed before it was sent";
    return false;
  }
  const auto cause = gateway_.replicas().claim_send(target, request_, home_,
                                                    version_.is_final());
  if (cause != routing::exclusion::none) {
    last_failure_ = name_of(cause);
    return false;
  }
  return true;
}

void request_exchange::record_home_refusal(std::string_view cause,
                                           std::string_view node,
                                           std::string_view region) const {
  gateway_.metrics().on_refused(std::string(cause));
  logging::line(logging::event::outside_home_refused)
      .field("id", request_.attempt_id)
      .field("tenant", caller_.tenant.value())
      .field("route", route_->name)
      .field("cause", cause)
      .field("route_regions",
             fmt::format("{}", fmt::join(route_->home_regions, ",")))
      .field("tenant_regions",
             fmt::format("{}", fmt::join(caller_.home_regions, ",")))
      .field("node", node)
      .field("region", region)
      .field("own_region", gateway_.replicas().places().region())
      .field("attempts", attempts_)
      .write();
}

asio::awaitable<request_exchange::attempt_end>
request_exchange::exchange_with(routing::instance &target,
                                connection_ptr connection) {
  last_locality_ =
      name_of(gateway_.replicas().places().locality_of(target.record.zone));
  gateway_.metrics().on_sent(std::string(last_locality_));
  sent_at_ = steady_now();
  if (!co_await send(target, *connection)) {
    last_failure_ = "the connection broke while the request was sent";
    co_return attempt_outcome::lost;
  }
  std::optional<response_parser> parser;
  if (!co_await read_own_head(*connection, parser)) {
    co_return attempt_outcome::lost;
  }
  const response_head head = parser->get().base();
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
    const attempt_end end = co_await relay_stream(*connection, *parser);
    if (!end) {
      record_turn_timing(target, from_start);
      recycle(target, std::move(connection), head, parser->keep_alive());
    }
    co_return end;
  }
  std::string body;
  if (!co_await read_body(*connection, *parser, body)) {
    last_failure_ = "the connection broke before the answer was complete";
    co_return attempt_outcome::lost;
  }
  recycle(target, std::move(connection), head, parser->keep_alive());
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
  co_await forward_answer(head, std::move(body));
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
  if (!echoed.empty()) {
    return echoed == request_.attempt_id;
  }
  // A refusal may omit the id of the request that it refuses.
  return !to_view(head[names.not_executed]).empty() ||
         head.result_int() == status_misdirected || request_.attempt_id.empty();
}

asio::awaitable<bool>
request_exchange::read_own_head(upstream_connection &connection,
                                std::optional<response_parser> &parser) {
  constexpr int most_surplus_answers = 4;
  for (int surplus = 0; surplus < most_surplus_answers; ++surplus) {
    parser.emplace();
    parser->body_limit(gateway_.options().answer_limit);
    parser->skip(request_.message.method() == beast_http::verb::head);
    const auto [failure, bytes] = co_await beast_http::async_read_header(
        connection.socket, connection.buffer, *parser, as_result);
    if (failure) {
      last_failure_ = "no answer: " + failure.message();
      co_return false;
    }
    const response_head &head = parser->get().base();
    const bool informational = head.result_int() < status_informational_end;
    if (!informational && is_own(head)) {
      co_return true;
    }
    std::string discarded;
    if (!co_await read_body(connection, *parser, discarded)) {
      break;
    }
  }
  last_failure_ = "received only answers to other requests";
  co_return false;
}

asio::awaitable<bool>
request_exchange::read_body(upstream_connection &connection,
                            response_parser &parser, std::string &body) {
  std::array<char, read_chunk_bytes> chunk{};
  while (!parser.is_done()) {
    auto &target = parser.get().body();
    target.data = chunk.data();
    target.size = chunk.size();
    const auto [failure, bytes] = co_await beast_http::async_read_some(
        connection.socket, connection.buffer, parser, as_result);
    const bool whole = !failure || failure == beast_http::error::need_buffer;
    if (!whole) {
      co_return false;
    }
    const std::size_t filled = chunk.size() - parser.get().body().size;
    body.append(chunk.data(), filled);
    held_.grow(filled);
  }
  co_return true;
}

asio::awaitable<request_exchange::attempt_end>
request_exchange::relay_stream(upstream_connection &connection,
                               response_parser &parser) {
  const response_head head = parser.get().base();
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
  std::array<char, read_chunk_bytes> chunk{};
  while (!parser.is_done()) {
    auto &target = parser.get().body();
    target.data = chunk.data();
    target.size = chunk.size();
    const auto [failure, bytes] = co_await beast_http::async_read_some(
        connection.socket, connection.buffer, parser, as_result);
    const std::size_t filled = chunk.size() - parser.get().body().size;
    auto events = splitter.feed({chunk.data(), filled});
    relayed_.note(events.size(), steady_now());
    if (!events.empty() && !co_await forward_events(std::move(events))) {
      last_failure_ = "writing to the client failed";
      co_return attempt_outcome::lost;
    }
    if (failure && failure != beast_http::error::need_buffer) {
      last_failure_ = "the stream broke: " + failure.message();
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
  const bool surplus = connection->buffer.size() > 0;
  if (keep_alive && !surplus && connection->socket.is_open()) {
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

void request_exchange::log_attempt(const routing::instance &target,
                                   attempt_outcome outcome,
                                   std::string_view reason) const {
  const auto event = outcome == attempt_outcome::lost
                         ? logging::event::attempt_lost
                         : logging::event::attempt_not_executed;
  logging::line(event)
      .field("id", request_.attempt_id)
      .field("attempt", attempts_)
      .field("instance", target.record.id.value())
      .field("outcome", name_of(outcome))
      .field("reason", reason)
      .field("in_flight", target.in_flight)
      .field("remaining_ms", remaining().count())
      .write();
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
