// The permissions that a request needs before it is sent: the admission and the
// permit of its tenant, the grant of its turn, and the software version of the
// replicas that may serve its stream.
#include "forwarding/http_status.hpp"
#include "forwarding/request_exchange.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

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

} // namespace

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
  if (lacks_first_events()) {
    gateway_.metrics().on_refused("unknown_events");
    co_await answer(status_unavailable, duration_ms{0},
                    "the first events of the turn are not known");
    co_return false;
  }
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

bool request_exchange::lacks_first_events() const {
  return route_->retained && request_.resumes_after_event;
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
  const bool can_do_without =
      turn_->records_only_version() && !resumes_named_stream();
  if (can_do_without && !lists_several_versions()) {
    turn_->shorten_wait();
  }
  const records::turn_verdict verdict = co_await request_grant();
  if (verdict == records::turn_verdict::granted) {
    // The grant may have added storage nodes to the known ones.
    if (!co_await check_storage_residency()) {
      co_return false;
    }
    crashes_->learn(turn_->crashes());
    apply_history();
    co_return co_await apply_recorded_version();
  }
  if (verdict == records::turn_verdict::unavailable && can_do_without) {
    if (resumes_unnamed_stream()) {
      co_return co_await apply_only_version();
    }
    keep_requested_version();
    co_return true;
  }
  co_await refuse_turn(verdict);
  co_return false;
}

asio::awaitable<records::turn_verdict> request_exchange::request_grant() {
  records::turn_verdict verdict = co_await turn_->begin();
  while (turn_->budget_is_only_reserved()) {
    if (!co_await pause_for_budget()) {
      break;
    }
    verdict = co_await turn_->begin();
  }
  co_return verdict;
}

void request_exchange::apply_history() {
  if (!turn_->history().empty()) {
    body_with_history_ = turn_->history() + request_.message.body();
    held_.grow(turn_->history().size() + body_with_history_.size());
  }
  gateway_.replicas().learn_prefix_location(turn_->previous_place(),
                                            request_.prompt);
}

asio::awaitable<void>
request_exchange::refuse_turn(records::turn_verdict verdict) {
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

bool request_exchange::resumes_named_stream() const {
  return is_resumable_stream() && !request_.resumes.empty();
}

bool request_exchange::resumes_unnamed_stream() const {
  return is_resumable_stream() && request_.resumes.empty() &&
         request_.resumes_after_event;
}

bool request_exchange::lists_several_versions() const {
  const auto &listed = gateway_.replicas().directory().versions_of(service_);
  return listed.size() > 1;
}

std::optional<software_version> request_exchange::preferred_version() {
  const auto &listed = gateway_.replicas().directory().versions_of(service_);
  if (!is_resumable_stream() || listed.empty()) {
    return std::nullopt;
  }
  if (resumes_unnamed_stream() && lists_several_versions()) {
    return std::nullopt; // only one that is known may be recorded
  }
  const bool is_decided = !lists_several_versions() || resumes_named_stream();
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
  if (!resumes_named_stream() && !resumes_unnamed_stream()) {
    if (is_recorded) {
      version_.choose(origin.version);
    }
    co_return true;
  }
  if (origin.is_continuation) {
    version_.fix(origin.version);
    co_return true;
  }
  co_return co_await apply_only_version();
}

asio::awaitable<bool> request_exchange::apply_only_version() {
  // Clients need not name the attempt, so their streams go on unless several
  // versions are known. A name that the group does not know is unexpected.
  const replica_selector &replicas = gateway_.replicas();
  std::optional<software_version> only;
  if (resumes_unnamed_stream()) {
    only = replicas.only_known_version(service_);
  } else if (gateway_.replicas_are_current()) {
    only = replicas.only_possible_version(service_);
  }
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
  if (!co_await crashes_->allow_send()) {
    co_return placement{.excluded_by = routing::exclusion::crash_limit};
  }
  step.version = version_.required();
  step.is_isolated = crashes_->decide_isolation(service_);
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

void request_exchange::keep_requested_version() {
  const std::optional<software_version> &requested = turn_->version();
  if (requested && !requested->value().empty()) {
    serve_unrecorded(*requested);
  }
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

} // namespace heathtrestle::forwarding
