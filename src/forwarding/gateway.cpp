#include "forwarding/gateway.hpp"

#include "forwarding/client_session.hpp"
#include "logging/log.hpp"
#include "records/crash_history.hpp"
#include "routing/home_regions.hpp"

#include <algorithm>
#include <utility>

#include <fmt/ranges.h>

namespace heathtrestle::forwarding {

gateway::gateway(asio::io_context &io, gateway_options options,
                 records::turn_ledger &ledger)
    : io_(io), options_(std::move(options)), ledger_(ledger),
      tenants_(options_.tenants), pool_(io, options_.pool),
      replicas_(options_.selection, pool_), turns_(options_.turn_cache_bytes),
      crashes_(options_.crash_notices, records::min_crash_retention),
      watch_(*this, options_.watch),
      held_bytes_(std::make_shared<byte_budget>(options_.held_bytes_limit)),
      large_answers_(
          std::make_shared<byte_budget>(options_.large_answers_limit)) {
  if (!options_.selection.policies.patience) {
    options_.plan.wait_fraction = 0;
  }
}

gateway::~gateway() {
  for (client_session *session : sessions_) {
    session->on_gateway_destroyed();
  }
}

void gateway::apply_routes(routing::configuration settings) {
  if (routes_ != nullptr && settings.version <= routes_->version()) {
    return;
  }
  logging::line(logging::event::routes_applied)
      .field("version", settings.version.value())
      .field("before", routes_ ? routes_->version().value() : 0)
      .field("routes", settings.routes.size())
      .write();
  apply_home_regions(settings);
  metrics_.set_configuration_version(
      static_cast<double>(settings.version.value()));
  routes_ = std::make_shared<const routing::route_table>(std::move(settings));
  replicas_.apply(routes_);
}

void gateway::apply_home_regions(const routing::configuration &settings) {
  const bool moved = routes_ != nullptr &&
                     !routing::same_home_regions(routes_->settings(), settings);
  if (moved) {
    turns_.clear(); // only a cache: allowed turns are fetched again
  }
  auto unknown = routing::unknown_home_regions(settings, replicas_.places());
  if (unknown != unknown_homes_ && !unknown.empty()) {
    logging::line(logging::event::home_region_unknown)
        .field("version", settings.version.value())
        .field("regions", fmt::format("{}", fmt::join(unknown, ",")))
        .write();
  }
  unknown_homes_ = std::move(unknown);
}

admission gateway::admit(const client_request &request,
                         const routing::route &route,
                         const routing::route_table &routes) {
  admission decided = tenants_.admit(request, route, routes, steady_now());
  if (const auto *against = std::get_if<refused>(&decided)) {
    metrics_.on_refused(std::string(name_of(against->cause)));
  }
  return decided;
}

void gateway::record_permit(const client_request &request,
                            const records::permit_request &wanted,
                            const records::permit_answer &answer) {
  const bool granted = answer.verdict == records::permit_verdict::granted;
  metrics_.on_permit(std::string(name_of(answer.verdict)));
  if (granted) {
    tenants_.record_program_start(request);
  }
  constexpr std::uint64_t noted_share = 2; // logged from half of the limit
  if (granted && answer.counted * noted_share < answer.limit) {
    return;
  }
  logging::line(logging::event::tenant_quota_decided)
      .field("id", request.attempt_id)
      .field("tenant", wanted.tenant.value())
      .field("begins_program", wanted.begins_program)
      .field("version", wanted.terms.version)
      .field("decision", name_of(answer.verdict))
      .field("counted", answer.counted)
      .field("most", answer.most)
      .field("limit", answer.limit)
      .field("retry_after_ms", answer.retry_after.count())
      .write();
}

std::optional<refusal_cause>
gateway::recheck_admission(const client_request &request,
                           const routing::route &route) const {
  return tenants_.recheck_admission(request, route, *routes_, steady_now());
}

duration_ms gateway::unconfirmed_retry() {
  constexpr duration_ms elsewhere{20};
  // A tool call has about 0.4 s left, and its program fails if a retry is
  // refused as well.
  constexpr duration_ms store_away{300};
  if (!unconfirmed_everywhere_()) {
    return elsewhere;
  }
  const auto spread = static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(store_away.count() / 3));
  return store_away + duration_ms{spread};
}

void gateway::on_request_started() {
  ++open_requests_;
  check_held_bytes();
}

void gateway::on_request_finished() {
  --open_requests_;
  check_held_bytes();
}

void gateway::check_held_bytes() {
  const byte_budget::state now = held_bytes_->current();
  if (now == held_bytes_state_) {
    return;
  }
  logging::line(logging::event::held_bytes_changed)
      .field("state", name_of(now))
      .field("before", name_of(held_bytes_state_))
      .field("held_bytes", held_bytes_->held())
      .field("limit_bytes", held_bytes_->limit())
      .field("open_requests", open_requests_)
      .write();
  held_bytes_state_ = now;
}

void gateway::refresh_metrics() {
  metrics_.set_held_bytes(static_cast<double>(held_bytes_->held()),
                          static_cast<double>(held_bytes_->limit()));
  metrics_.set_open_requests(static_cast<double>(open_requests_));
  const auto age = tenants_.freshness().age(steady_now());
  metrics_.set_configuration_age(
      age ? std::chrono::duration<double>(*age).count() : -1);
  metrics_.set_rejected_entries(
      static_cast<double>(replicas_.rejected_entries()));
  const auto slow_starts = replicas_.slow_starts();
  metrics_.set_slow_starts(slow_starts.cold, slow_starts.own_admissions);
  for (const auto &[service, model] : replicas_.engine_models()) {
    metrics_.set_engine_costs(service.value(), model.costs());
  }
}

void gateway::begin_drain() {
  draining_ = true;
  const std::set<client_session *> open = sessions_;
  for (client_session *session : open) {
    session->begin_drain();
  }
}

} // namespace heathtrestle::forwarding
