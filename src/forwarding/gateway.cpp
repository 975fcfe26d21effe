#include "forwarding/gateway.hpp"

#include "forwarding/client_session.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

/// Times are measured in whole milliseconds; none is taken for zero.
constexpr double shortest_answer_ms = 0.5;

std::uint32_t load_key(const routing::instance_id &id) {
  return static_cast<std::uint32_t>(stable_hash(id.value()));
}

} // namespace

gateway::gateway(asio::io_context &io, gateway_options options,
                 records::turn_ledger &ledger)
    : io_(io), options_(std::move(options)), ledger_(ledger),
      tenants_(options_.tenants, steady_now()), pool_(io, options_.pool),
      turns_(options_.turn_cache_bytes) {
  if (!options_.policies.patience) {
    options_.plan.patience = 0;
  }
}

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
  tenants_.apply(*routes_, steady_now());
  for (const routing::instance_record &each : directory_.records()) {
    set_engine_memory(each.service);
  }
}

void gateway::set_engine_memory(const routing::service_id &service) {
  const routing::service *known =
      routes_ != nullptr ? routes_->find_service(service) : nullptr;
  const bool told = known != nullptr && known->engine.has_value() &&
                    known->engine->memory_tokens > 0;
  if (!told) {
    return;
  }
  for (const routing::instance_ptr &each : directory_.of(service)) {
    each->prefixes.set_capacity(known->engine->memory_tokens);
  }
}

void gateway::put_instance(routing::instance_record record) {
  const std::string id = record.id.value();
  const std::string service = record.service.value();
  const routing::service_id service_id = record.service;
  const bool draining = record.draining;
  if (directory_.put(std::move(record))) {
    set_engine_memory(service_id);
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

balance::candidate gateway::candidate_of(const routing::instance &each,
                                         const client_request &request,
                                         timestamp now) const {
  const policy_switches &policies = options_.policies;
  balance::candidate view;
  view.running = each.in_flight;
  view.slots = each.record.slots;
  view.same_zone =
      !policies.zone_preference || each.record.zone == options_.zone;
  view.suspect = policies.avoidance && now < each.avoid_until;
  if (policies.replica_speed) {
    view.slowdown = each.speed.slowdown();
  }
  view.connected =
      policies.connection_reuse && pool_.has_idle(each.record.id, now);
  if (policies.prefix_view) {
    view.missing_tokens = each.prefixes.missing_tokens(request.prompt);
  }
  if (policies.object_affinity && !request.object.empty()) {
    view.affinity =
        balance::rendezvous_weight(request.object, each.record.id.value());
  }
  return view;
}

// Gateways report engines to each other only: answers of plain replicas are
// shorter than any report is old.
void gateway::add_engine_loads(
    std::vector<balance::candidate> &candidates,
    const std::vector<routing::instance_ptr> &engines, double turn_ms,
    timestamp now) const {
  std::vector<balance::reported_load> reports;
  reports.reserve(engines.size());
  for (const routing::instance_ptr &each : engines) {
    reports.push_back(each->others);
  }
  const auto others = balance::estimate_loads(reports, now, turn_ms);
  for (std::size_t index = 0; index < engines.size(); ++index) {
    balance::candidate &view = candidates[index];
    view.running += others[index].running;
    view.running_spread = others[index].spread;
    view.draw_weight = others[index].newcomers;
    if (options_.policies.engine_wait) {
      view.wait_ms = engines[index]->speed.wait_ms(now);
    }
  }
}

placement gateway::choose(const routing::service_id &service,
                          const send_step &step,
                          const client_request &request) {
  const timestamp now = steady_now();
  const bool on_engine = !request.prompt.empty();
  balance::engine_choice_options engine_choice = options_.engine_choice;
  if (on_engine) {
    engine_choice.costs = engine_models_[service].costs();
  }
  std::vector<routing::instance_ptr> fitting;
  std::vector<balance::candidate> candidates;
  for (const routing::instance_ptr &each : directory_.of(service)) {
    const routing::instance_id &id = each->record.id;
    const bool wanted = step.only.empty() || step.only.contains(id);
    if (!each->accepts_work() || !wanted || step.excluded.contains(id)) {
      continue;
    }
    fitting.push_back(each);
    candidates.push_back(candidate_of(*each, request, now));
  }
  if (on_engine) {
    add_engine_loads(candidates, fitting, engine_choice.costs.turn_ms, now);
  }
  const auto chosen =
      on_engine
          ? balance::choose_engine(candidates, random_(), engine_choice)
          : balance::choose_plain(candidates, random_(), options_.plain_choice);
  if (!chosen) {
    return {};
  }
  return {.target = fitting[*chosen],
          .missing_tokens = candidates[*chosen].missing_tokens,
          .running = candidates[*chosen].running};
}

void gateway::learn_place(const records::turn_place &place,
                          const routing::service_id &service,
                          const std::vector<balance::prompt_part> &prompt) {
  if (!options_.policies.turn_places) {
    return;
  }
  const auto &instances = directory_.of(service);
  const auto found =
      std::find_if(instances.begin(), instances.end(), [&](const auto &each) {
        return each->record.id.value() == place.instance;
      });
  if (found != instances.end()) {
    (*found)->prefixes.record(balance::beginning_of(prompt, place.tokens));
  }
}

wire::ReplicaLoads gateway::engine_loads() const {
  wire::ReplicaLoads loads;
  for (const auto &[service, model] : engine_models_) {
    for (const routing::instance_ptr &each : directory_.of(service)) {
      if (each->in_flight > 0) {
        loads.add_replicas(load_key(each->record.id));
        loads.add_running(each->in_flight);
      }
    }
  }
  return loads;
}

void gateway::take_shared_loads(const wire::SharedLoads &shared) {
  if (!options_.policies.shared_loads) {
    return;
  }
  metrics_.set_sharing_gateways(shared.gateways());
  const timestamp at = steady_now() - duration_ms{shared.age_ms()};
  std::unordered_map<std::uint32_t, std::uint32_t> running;
  const wire::ReplicaLoads &others = shared.others();
  const int listed = std::min(others.replicas_size(), others.running_size());
  for (int place = 0; place < listed; ++place) {
    running[others.replicas(place)] = others.running(place);
  }
  for (const auto &[id, each] : directory_.all()) {
    const auto found = running.find(load_key(id));
    const std::uint32_t reported = found != running.end() ? found->second : 0;
    each->others = {.running = static_cast<double>(reported), .at = at};
  }
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

std::optional<refusal_cause>
gateway::objection(const client_request &request,
                   const routing::route &route) const {
  return tenants_.objection(request, route, *routes_, steady_now());
}

duration_ms gateway::unconfirmed_retry() {
  constexpr duration_ms elsewhere{20};
  // A call of a tool has some 0.4 s left to wait, and fails its program when it
  // comes back in vain.
  constexpr duration_ms store_away{300};
  if (!unconfirmed_everywhere_()) {
    return elsewhere;
  }
  const auto spread = static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(store_away.count() / 3));
  return store_away + duration_ms{spread};
}

wire::TenantUsage gateway::tenant_usage() {
  wire::TenantUsage told;
  told.set_covered_ms(static_cast<std::uint32_t>(
      tenants_.quotas().covered(steady_now()).count()));
  for (const tenants::tenant_usage &each :
       tenants_.quotas().own_usage(steady_now())) {
    told.add_tenants(each.tenant);
    told.add_requests(each.asked.requests);
    told.add_programs(each.asked.programs);
  }
  return told;
}

void gateway::take_tenant_usage(const wire::TenantUsage &others) {
  const int listed = std::min(
      {others.tenants_size(), others.requests_size(), others.programs_size()});
  std::vector<tenants::tenant_usage> usage;
  usage.reserve(static_cast<std::size_t>(listed));
  for (int place = 0; place < listed; ++place) {
    usage.push_back({.tenant = others.tenants(place),
                     .asked = {.requests = others.requests(place),
                               .programs = others.programs(place)}});
  }
  tenants_.quotas().take_others(usage, duration_ms{others.covered_ms()},
                                steady_now());
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

void gateway::on_instance_sound(routing::instance &answered) {
  answered.consecutive_failures = 0;
  answered.avoid_until = {};
}

void gateway::on_answered(routing::instance &answered, const std::string &route,
                          double elapsed_ms) {
  // Answers of one route differ by their content: the mean of some fifty.
  constexpr double weight = 0.02;
  on_instance_sound(answered);
  const double taken = std::max(elapsed_ms, shortest_answer_ms);
  double &usual = answer_ms_.try_emplace(route, taken).first->second;
  answered.speed.note_time(taken, usual);
  usual += weight * (taken - usual);
}

void gateway::on_turn_answered(routing::instance &answered,
                               const balance::turn_observation &turn,
                               bool from_start) {
  on_instance_sound(answered);
  balance::engine_cost_model &model = engine_models_[answered.record.service];
  if (turn.event_gap_ms > 0) {
    answered.speed.note_time(turn.event_gap_ms,
                             model.event_gap_ms(turn.running));
  }
  if (from_start) {
    const double expected =
        model.first_event_ms(turn.missing_tokens, turn.running);
    answered.speed.note_first_event(turn.first_event_ms - expected,
                                    steady_now());
    if (options_.policies.learnt_costs) {
      model.observe(turn);
    }
  }
}

void gateway::refresh_metrics() {
  metrics_.set_open_requests(static_cast<double>(open_requests_));
  const auto age = tenants_.freshness().age(steady_now());
  metrics_.set_configuration_age(
      age ? std::chrono::duration<double>(*age).count() : -1);
  for (const auto &[service, model] : engine_models_) {
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
