// The attempts of one request: what follows each of them, and why none is made.
#include "forwarding/http_status.hpp"
#include "forwarding/request_exchange.hpp"
#include "logging/log.hpp"

#include <string>
#include <utility>

#include <fmt/ranges.h>

namespace heathtrestle::forwarding {

namespace {

/// A zone drain lasts for seconds, but clients ignore a Retry-After that
/// exceeds most of their remaining time.
constexpr duration_ms zone_drain_retry{500};
/// A replica of the stream's version may start again or be rolled back to.
constexpr duration_ms other_version_retry{500};
/// The record group elects a leader within about a second.
constexpr duration_ms uncounted_crashes_retry{300};

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
      co_await crashes_->report();
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
      } else {
        on_no_target(send);
      }
    }
  }
}

void request_exchange::on_no_target(const send_step &step) {
  using routing::exclusion;
  const std::string_view reason = name_of(placement_.excluded_by);
  switch (placement_.excluded_by) {
  case exclusion::none:
    forget_ended(step);
    plan_->on_no_candidate();
    break;
  case exclusion::warming_up:
    gateway_.metrics().on_slow_start_wait();
    plan_->on_warming_up(placement_.next_admission);
    break;
  case exclusion::crash_limit:
    block_for_crashes();
    break;
  case exclusion::other_version:
    gateway_.metrics().on_refused(std::string(reason));
    plan_->on_blocked(reason, other_version_retry);
    break;
  case exclusion::outside_home:
    record_home_refusal(reason, {}, {});
    plan_->on_blocked(reason, home_retry);
    break;
  default:
    plan_->on_blocked(reason, zone_drain_retry);
    break;
  }
}

void request_exchange::block_for_crashes() {
  gateway_.metrics().on_refused(
      std::string(name_of(routing::exclusion::crash_limit)));
  const bool is_counted =
      crashes_->verdict() != records::send_verdict::unavailable;
  logging::line(logging::event::crash_limit_reached)
      .field("id", request_.attempt_id)
      .field("request", crashes_->name())
      .field("crashed", crashes_->count().crashed)
      .field("at_risk", crashes_->count().at_risk)
      .field("counted", is_counted)
      .field("attempts", attempts_)
      .write();
  if (is_counted) {
    plan_->on_failed_before("replicas have crashed under the request");
  } else {
    plan_->on_blocked("crashes under the request cannot be counted now",
                      uncounted_crashes_retry);
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
  const bool isolated = crashes_->is_isolated();
  ++attempts_;
  gateway_.replicas().begin_attempt(target, isolated);
  if (!isolated) {
    co_await attempt_at(target);
  } else if (co_await crashes_->claim(target)) {
    co_await attempt_at(target);
    crashes_->on_left(*target);
  } else {
    log_attempt(*target, attempt_outcome::not_sent, "another request keeps it");
    plan_->on_attempt(target->record.start(), attempt_outcome::not_sent);
  }
  gateway_.replicas().end_attempt(target, isolated);
}

asio::awaitable<void>
request_exchange::attempt_at(routing::instance_ptr target) {
  const routing::incarnation started = target->record.start();
  last_start_ = started;
  last_version_ = target->record.version;
  const auto connection = co_await connect_to(target->record);
  if (!connection) {
    const bool refused = connection.error() == connect_error::refused;
    const std::string_view reason =
        refused ? "connection refused" : "connection failed";
    gateway_.replicas().on_failed(*target, reason);
    if (refused) {
      gateway_.replicas().on_refused(*target);
      gateway_.watch().on_ended(started, replica_fate::crashed);
    }
    log_attempt(*target, attempt_outcome::not_sent, reason);
    plan_->on_attempt(started, attempt_outcome::not_sent);
    plan_->on_instance_ended(started);
    co_return;
  }
  active_ = connection.value();
  if (!co_await await_permit()) {
    gateway_.pool().release(started, active_, duration_ms{0});
    active_.reset();
    co_return;
  }
  const auto watched = watch_replica(target);
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
  if (replica_ended_) {
    last_failure_ = "the replica does not answer any more";
  }
  if (permit_ && end == attempt_outcome::not_executed) {
    permit_->return_unused();
  }
  if (end) {
    gateway_.metrics().on_attempt(std::string(name_of(*end)));
    log_attempt(*target, *end, last_failure_);
    plan_->on_attempt(started, *end);
    if (*end == attempt_outcome::lost) {
      co_await on_lost(target, watched->sent_at);
    }
  } else {
    gateway_.metrics().on_attempt("answered");
    was_answered_ = true;
  }
}

asio::awaitable<result_or<connection_ptr, connect_error>>
request_exchange::connect_to(const routing::instance_record &target) {
  // Nothing tells the answer to a request without an id from other answers.
  if (request_.attempt_id.empty()) {
    co_return co_await gateway_.pool().connect(target);
  }
  co_return co_await gateway_.pool().acquire(target, used_connections_);
}

std::shared_ptr<watched_attempt>
request_exchange::watch_replica(const routing::instance_ptr &target) {
  replica_ended_ = false;
  return gateway_.watch().begin(target, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->on_replica_ended();
    }
  });
}

asio::awaitable<void> request_exchange::on_lost(routing::instance_ptr target,
                                                timestamp sent_at) {
  const bool ended_by_gateway = client_gone_ || steady_now() >= deadline_;
  if (ended_by_gateway) {
    crashes_->on_aborted(std::move(target), sent_at);
    co_return;
  }
  gateway_.replicas().on_failed(*target, last_failure_);
  const replica_fate fate = co_await crashes_->on_lost(target, sent_at);
  if (fate == replica_fate::crashed) {
    gateway_.replicas().on_refused(*target);
  }
  if (fate != replica_fate::alive) {
    plan_->on_instance_ended(target->record.start());
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

} // namespace heathtrestle::forwarding
