#include "forwarding/gateway.hpp"

#include "forwarding/client_session.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace heathtrestle::forwarding {

gateway::gateway(asio::io_context &io, gateway_options options,
                 records::turn_ledger &ledger)
    : io_(io), options_(std::move(options)), ledger_(ledger),
      pool_(io, options_.pool), turns_(options_.turn_cache_bytes) {}

gateway::~gateway() {
  for (client_session *session : sessions_) {
    session->on_gateway_gone();
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
  metrics_.set_configuration_version(
      static_cast<double>(settings.version.value()));
  routes_ = std::make_shared<const routing::route_table>(std::move(settings));
}

void gateway::put_instance(routing::instance_record record) {
  const std::string id = record.id.value();
  const std::string service = record.service.value();
  const bool draining = record.draining;
  if (directory_.put(std::move(record))) {
    logging::line(logging::event::instances_changed)
        .field("instance", id)
        .field("service", service)
        .field("state", draining ? "draining" : "ready")
        .write();
  }
}

void gateway::remove_instance(const routing::instance_id &id) {
  if (directory_.remove(id)) {
    pool_.drop(id);
    logging::line(logging::event::instances_changed)
        .field("instance", id.value())
        .field("state", "gone")
        .write();
  }
}

void gateway::replace_instances(std::vector<routing::instance_record> records) {
  std::set<routing::instance_id> kept;
  for (const routing::instance_record &record : records) {
    kept.insert(record.id);
  }
  for (const routing::instance_record &known : directory_.records()) {
    if (!kept.contains(known.id)) {
      remove_instance(known.id);
    }
  }
  for (routing::instance_record &record : records) {
    put_instance(std::move(record));
  }
}

routing::instance_ptr gateway::choose(const routing::service_id &service,
                                      const send_step &step,
                                      const client_request &request) {
  const timestamp now = steady_now();
  std::vector<routing::instance_ptr> fitting;
  double fastest = std::numeric_limits<double>::infinity();
  for (const routing::instance_ptr &each : directory_.of(service)) {
    const routing::instance_id &id = each->record.id;
    const bool wanted = step.only.empty() || step.only.contains(id);
    if (!each->accepts_work() || !wanted || step.excluded.contains(id)) {
      continue;
    }
    fitting.push_back(each);
    if (each->pace_ms > 0) {
      fastest = std::min(fastest, each->pace_ms);
    }
  }
  std::vector<balance::candidate> candidates;
  for (const routing::instance_ptr &each : fitting) {
    const std::string &id = each->record.id.value();
    const bool known = each->pace_ms > 0;
    candidates.push_back(
        {.in_flight = each->in_flight,
         .slots = each->record.slots,
         .same_zone = each->record.zone == options_.zone,
         .suspect = now < each->avoid_until,
         .slowdown = known ? each->pace_ms / fastest : 1,
         .missing_tokens = each->prefixes.missing_tokens(request.prompt),
         .affinity = request.object.empty()
                         ? 0
                         : balance::rendezvous_weight(request.object, id)});
  }
  const auto chosen =
      request.prompt.empty()
          ? balance::choose_plain(candidates, random_(), options_.plain_cost)
          : balance::choose_engine(candidates, random_(), options_.engine_cost);
  return chosen ? fitting[*chosen] : nullptr;
}

void gateway::on_instance_failed(routing::instance &failed,
                                 std::string_view reason) {
  ++failed.consecutive_failures;
  failed.avoid_until = steady_now() + options_.avoid_for;
  logging::line(logging::event::instance_avoided)
      .field("instance", failed.record.id.value())
      .field("address", failed.record.address)
      .field("reason", reason)
      .field("failures", failed.consecutive_failures)
      .field("for_ms", options_.avoid_for.count())
      .write();
}

void gateway::on_instance_answered(routing::instance &answered,
                                   double pace_ms) {
  constexpr double weight = 0.05;
  answered.consecutive_failures = 0;
  answered.avoid_until = {};
  answered.pace_ms = answered.pace_ms == 0
                         ? pace_ms
                         : (1 - weight) * answered.pace_ms + weight * pace_ms;
}

void gateway::begin_drain() {
  draining_ = true;
  const std::set<client_session *> open = sessions_;
  for (client_session *session : open) {
    session->begin_drain();
  }
}

} // namespace heathtrestle::forwarding
