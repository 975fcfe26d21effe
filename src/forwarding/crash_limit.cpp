#include "forwarding/crash_limit.hpp"

#include "base/random.hpp"
#include "forwarding/request_identity.hpp"
#include "logging/log.hpp"
#include "records/crash_history.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace heathtrestle::forwarding {

namespace {

/// Fraction of the remaining time for which a request waits for the permission
/// to be sent. It leaves time for the attempt.
constexpr double permission_wait_fraction = 0.4;
/// How long an answer is delayed until the crashes are reported.
constexpr duration_ms max_answer_delay{100};
/// How long an isolated request waits for others that were sent to its replica
/// at the same time. Longer than a notice takes within a region.
constexpr duration_ms claim_wait{15};
/// How long the end of a request is reported. Longer than an election of the
/// record group takes.
constexpr duration_ms end_report_timeout{10000};

/// Returns the account that counts a request. Accounts of requests without a
/// program start with a line feed, which no program's name does.
std::string account_of(const client_request &request, const tenant_id &tenant,
                       request_identity identity) {
  if (request.turn) {
    return scoped_name(tenant, request.turn->program);
  }
  return fmt::format("\n{:016x}", identity.value());
}

/// Logs what became of a replica at which an attempt of the request was lost.
void log_fate(const std::string &attempt_id, request_identity request,
              const routing::instance &target, replica_fate fate) {
  logging::line(logging::event::replica_checked)
      .field("id", attempt_id)
      .field("request", fmt::format("{:016x}", request.value()))
      .field("instance", target.record.id.value())
      .field("fate", name_of(fate))
      .write();
}

/// Announces a crash, and again for gateways and storage nodes that are down at
/// first.
asio::awaitable<void> announce_repeatedly(gateway &shared,
                                          request_identity request) {
  constexpr std::array pauses{duration_ms{300}, duration_ms{700},
                              duration_ms{2000}};
  shared.ledger().announce({.request = request});
  asio::steady_timer timer(shared.io());
  for (const duration_ms pause : pauses) {
    timer.expires_after(pause);
    co_await timer.async_wait(as_result);
    shared.ledger().announce({.request = request});
  }
}

/// Remembers a crash under a request at this gateway, and tells the others.
/// @param is_turn whether they hear of it with the turn's grant instead.
void note_crash(gateway &shared, request_identity request, bool is_turn) {
  shared.metrics().on_crash();
  shared.crashes().add(request, steady_now());
  if (!is_turn) {
    asio::co_spawn(shared.io(), announce_repeatedly(shared, request),
                   asio::detached);
  }
}

/// Reports until the group has answered or a time limit has passed.
asio::awaitable<void> report_end(gateway &shared,
                                 records::crash_report report) {
  const std::string attempt = report.attempt;
  const request_identity request = report.request;
  const auto answer = co_await shared.ledger().report_crashes(
      std::move(report), steady_now() + end_report_timeout);
  if (answer.verdict == records::send_verdict::unavailable) {
    logging::line(logging::event::crash_unreported)
        .field("request", fmt::format("{:016x}", request.value()))
        .field("attempt", attempt)
        .write();
  }
}

} // namespace

crash_limit::crash_limit(gateway &shared, const client_request &request,
                         const routing::route &route, const tenant_id &tenant,
                         timestamp deadline)
    : gateway_(shared), request_(request), tenant_(tenant),
      retention_(std::max(route.retention, records::min_crash_retention) +
                 (deadline - request.arrived)),
      deadline_(deadline) {
  const crash_notices &notices = gateway_.crashes();
  const bool is_announced =
      !notices.empty() && notices.contains(identity(), steady_now());
  crashes_ = is_announced ? 1 : 0;
}

request_identity crash_limit::identity() {
  if (!identity_) {
    identity_ = identity_of(request_, gateway_.options().headers, tenant_);
  }
  return *identity_;
}

std::string crash_limit::name() {
  return fmt::format("{:016x}", identity().value());
}

void crash_limit::learn(const std::vector<records::crash_count> &counts) {
  for (const records::crash_count &each : counts) {
    if (each.request == identity()) {
      crashes_ = std::max(crashes_, each.crashed + each.at_risk);
    }
  }
}

records::crash_report crash_limit::make_report(bool wants_send,
                                               bool completed) {
  if (attempt_.empty()) {
    attempt_ = draw_attempt();
  }
  return {.account = account_of(request_, tenant_, identity()),
          .request = identity(),
          .attempt = attempt_,
          .number = ++reports_,
          .crashed = unreported_,
          .wants_send = wants_send,
          .completed = completed,
          .keep = retention_};
}

asio::awaitable<bool> crash_limit::allow_send() {
  if (crashes_ == 0 || may_send_) {
    co_return true;
  }
  const timestamp now = steady_now();
  const timestamp wait_until =
      now + std::chrono::duration_cast<duration_ms>(permission_wait_fraction *
                                                    (deadline_ - now));
  last_ = co_await gateway_.ledger().report_crashes(make_report(true, false),
                                                    wait_until);
  apply_verdict();
  may_send_ = last_.verdict == records::send_verdict::allowed;
  co_return may_send_;
}

std::string crash_limit::draw_attempt() {
  return fmt::format("{:016x}", draw_system_random());
}

asio::awaitable<replica_fate> crash_limit::on_lost(routing::instance_ptr target,
                                                   timestamp sent_at) {
  const routing::incarnation start = target->record.start();
  const auto known_end = gateway_.watch().known_end(start);
  const replica_fate fate =
      known_end ? *known_end : co_await check_replica(gateway_, *target);
  log_fate(request_.attempt_id, identity(), *target, fate);
  if (fate == replica_fate::alive) {
    unresolved_.push_back({.target = std::move(target), .sent_at = sent_at});
    co_return fate;
  }
  if (fate == replica_fate::crashed) {
    gateway_.watch().on_ended(start, fate);
  }
  add_crash(*target);
  co_return fate;
}

void crash_limit::on_aborted(routing::instance_ptr target, timestamp sent_at) {
  const auto known_end = gateway_.watch().known_end(target->record.start());
  log_fate(request_.attempt_id, identity(), *target,
           known_end.value_or(replica_fate::unknown));
  if (known_end) {
    add_crash(*target);
  } else {
    unresolved_.push_back({.target = std::move(target), .sent_at = sent_at});
  }
}

void crash_limit::add_crash(const routing::instance &target) {
  unreported_.push_back(routing::name_of(target.record.start()));
  ++crashes_;
  may_send_ = false;
  note_crash(gateway_, identity(), request_.turn.has_value());
}

asio::awaitable<void> crash_limit::report() {
  if (unreported_.empty()) {
    co_return;
  }
  last_ = co_await gateway_.ledger().report_crashes(
      make_report(false, false), steady_now() + max_answer_delay);
  apply_verdict();
}

void crash_limit::apply_verdict() {
  if (last_.verdict != records::send_verdict::unavailable) {
    unreported_.clear();
    crashes_ = std::max(crashes_, last_.count.crashed);
  }
}

bool crash_limit::decide_isolation(const routing::service_id &service) {
  is_isolated_ =
      crashes_ >= crashes_to_isolate ||
      (crashes_ > 0 && gateway_.replicas().can_isolate_more(service));
  return is_isolated_;
}

asio::awaitable<bool> crash_limit::claim(routing::instance_ptr target) {
  gateway_.ledger().announce(
      {.request = identity(), .sent_to = target->load_key});
  asio::steady_timer timer(gateway_.io(), claim_wait);
  co_await timer.async_wait(as_result);
  const bool is_claimed = steady_now() < target->isolated_until;
  co_return !is_claimed || identity() <= target->isolated_request;
}

void crash_limit::on_left(const routing::instance &target) {
  gateway_.ledger().announce(
      {.request = identity(),
       .left = target.load_key,
       .has_ended = steady_now() < target.refused_until});
}

void crash_limit::finish(bool completed) {
  if (completed) {
    unresolved_.clear(); // the answer shows that the request is sound
  }
  // An attempt at risk stays counted until its replica's fate is known.
  const bool stays_at_risk = may_send_ && !unresolved_.empty();
  const bool has_news = !unreported_.empty() || may_send_ || completed;
  if (crashes_ > 0 && has_news && !stays_at_risk) {
    asio::co_spawn(gateway_.io(),
                   report_end(gateway_, make_report(false, completed)),
                   asio::detached);
  }
  for (const unresolved_attempt &lost : unresolved_) {
    const bool is_last = &lost == &unresolved_.back();
    follow(lost, stays_at_risk && is_last);
  }
}

void crash_limit::follow(const unresolved_attempt &lost, bool is_at_risk) {
  records::crash_report report = make_report(false, false);
  if (!is_at_risk) {
    // A report of this attempt may come later, so this one is by itself.
    report.attempt = draw_attempt();
  }
  report.crashed.clear();
  auto on_fate = [&shared = gateway_, report, is_at_risk, target = lost.target,
                  attempt_id = request_.attempt_id,
                  is_turn = request_.turn.has_value()](replica_fate fate) {
    records::crash_report late = report;
    const bool has_ended = fate != replica_fate::alive;
    if (has_ended) {
      log_fate(attempt_id, late.request, *target, fate);
      note_crash(shared, late.request, is_turn);
      late.crashed.push_back(routing::name_of(target->record.start()));
    }
    if (has_ended || is_at_risk) {
      asio::co_spawn(shared.io(), report_end(shared, std::move(late)),
                     asio::detached);
    }
  };
  gateway_.watch().follow(lost.target, lost.sent_at, std::move(on_fate));
}

} // namespace heathtrestle::forwarding
