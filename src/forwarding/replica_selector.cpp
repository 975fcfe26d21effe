#include "forwarding/replica_selector.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

/// Times have a resolution of one millisecond. A lower bound keeps ratios
/// finite.
constexpr double min_response_ms = 0.5;

/// The key of a replica in load reports. It identifies the incarnation, because
/// requests of an earlier incarnation do not load the later one.
std::uint32_t load_key(const routing::instance &each) {
  return static_cast<std::uint32_t>(stable_hash(name_of(each.record.start())));
}

void clear_failures(routing::instance &answered) {
  answered.consecutive_failures = 0;
  answered.avoid_until = {};
}

/// Finds the exclusion that applies to all replicas of a service.
class common_exclusion {
public:
  /// Adds one replica's exclusion.
  void add(routing::exclusion cause) {
    using routing::exclusion;
    if (cause == exclusion::leaving) {
      return; // ignored: a leaving replica is replaced by another
    }
    open_ = open_ || cause == exclusion::none;
    cause_ = cause_ == exclusion::warming_up ? cause_ : cause;
  }

  /// Returns `none` if at least one replica is not excluded.
  [[nodiscard]] routing::exclusion cause() const {
    return open_ ? routing::exclusion::none : cause_;
  }

private:
  bool open_ = false;
  routing::exclusion cause_ = routing::exclusion::none;
};

/// All turns of a program leave a drained zone at the same time, so that
/// another zone computes its prompt only once. Other requests have no cached
/// conversation and leave the zone at once.
routing::drain_position traffic_place_of(const client_request &request,
                                         const routing::zone_drains &drains,
                                         timestamp now) {
  const bool follows_conversation = !drains.all().empty() &&
                                    !request.prompt.empty() &&
                                    !request.program.empty();
  return {.draw = follows_conversation
                      ? std::optional(stable_hash(request.program))
                      : std::nullopt,
          .now = now};
}

} // namespace

void replica_selector::apply(
    std::shared_ptr<const routing::route_table> routes) {
  routes_ = std::move(routes);
  for (const routing::instance_record &each : directory_.records()) {
    update_prefix_capacity(each.service);
    set_admissions(each.service);
  }
}

void replica_selector::set_admissions(const routing::service_id &service) {
  if (!options_.slow_start.enforced()) {
    return;
  }
  const routing::service *known =
      routes_ != nullptr ? routes_->find_service(service) : nullptr;
  const bool slow = known != nullptr && known->slow_start.has_value();
  const std::uint32_t admissions =
      slow ? balance::admissions_per_second(
                 known->slow_start->requests_per_second, options_.slow_start)
           : 0;
  for (const routing::instance_ptr &each : directory_.replicas_of(service)) {
    each->slow_start.set_admissions(admissions);
  }
}

void replica_selector::update_prefix_capacity(
    const routing::service_id &service) {
  const routing::service *known =
      routes_ != nullptr ? routes_->find_service(service) : nullptr;
  const bool has_capacity = known != nullptr && known->engine.has_value() &&
                            known->engine->memory_tokens > 0;
  if (!has_capacity) {
    return;
  }
  for (const routing::instance_ptr &each : directory_.replicas_of(service)) {
    each->prefixes.set_capacity(known->engine->memory_tokens);
  }
}

void replica_selector::put(routing::instance_record record) {
  apply_record(std::move(record), true);
}

void replica_selector::apply_record(routing::instance_record record,
                                    bool written_again) {
  const routing::instance_record entry = record;
  const routing::instance_ptr before = directory_.find(record.id);
  const routing::put_outcome outcome = directory_.put(std::move(record));
  switch (outcome) {
  case routing::put_outcome::unchanged:
    break;
  case routing::put_outcome::outdated:
    if (rejected_.record(entry.id.value(), "of an earlier start")) {
      log_outdated(entry);
    }
    return;
  case routing::put_outcome::missing_start_time:
    on_instance_removed(before);
    record_rejection(
        entry.id, "entry lacks the start time that an earlier entry had", true);
    return;
  case routing::put_outcome::restarted:
    if (before != nullptr) {
      finishing_.push_back(before);
      on_started_again(*before, entry);
    }
    [[fallthrough]];
  case routing::put_outcome::added:
  case routing::put_outcome::changed:
    update_prefix_capacity(entry.service);
    set_admissions(entry.service);
    logging::line(logging::event::instances_changed)
        .field("instance", entry.id.value())
        .field("service", entry.service.value())
        .field("born_ms", entry.born_ms)
        .field("state", entry.draining ? "draining" : "ready")
        .write();
    written_again = true;
    break;
  }
  rejected_.forget(entry.id.value());
  if (written_again) {
    update_slow_start(*directory_.find(entry.id));
  }
}

void replica_selector::on_started_again(const routing::instance &before,
                                        const routing::instance_record &now) {
  const routing::incarnation ended = before.record.start();
  // Two processes cannot listen on the same address, so there the earlier one
  // has certainly ended. At another address it may still be finishing its
  // requests.
  const bool same_address = before.record.address == now.address;
  if (same_address && ended.born_ms != 0) {
    pool_.close_all(ended);
  } else {
    pool_.close_idle(ended);
  }
  logging::line(logging::event::instance_started_again)
      .field("instance", now.id.value())
      .field("born_before_ms", ended.born_ms)
      .field("born_ms", now.born_ms)
      .field("same_address", same_address)
      .field("in_flight", before.in_flight)
      .write();
}

void replica_selector::log_outdated(
    const routing::instance_record &entry) const {
  const routing::instance_ptr listed = directory_.find(entry.id);
  logging::line(logging::event::instance_entry_outdated)
      .field("instance", entry.id.value())
      .field("born_ms", entry.born_ms)
      .field("listed_born_ms", listed ? listed->record.born_ms : 0)
      .write();
}

void replica_selector::reject(const routing::instance_id &id,
                              const std::string &reason) {
  record_rejection(id, reason, unlist(id));
}

void replica_selector::record_rejection(const routing::instance_id &id,
                                        const std::string &reason,
                                        bool was_listed) {
  if (rejected_.record(id.value(), reason)) {
    logging::line(logging::event::instance_entry_rejected)
        .field("instance", id.value())
        .field("reason", reason)
        .field("was_listed", was_listed)
        .write();
  }
}

// An entry holds the remaining warm-up time at the moment it was written. Its
// age is unknown, so the time is counted from now: a replica may be treated as
// cold for too long, never for too short.
void replica_selector::update_slow_start(routing::instance &entry) {
  if (entry.record.cold_for <= duration_ms{0}) {
    end_slow_start(entry);
    return;
  }
  const timestamp now = steady_now();
  entry.slow_start.begin(now + entry.record.cold_for);
  if (!entry.slow_start.cold(now)) {
    return;
  }
  logging::line(logging::event::replica_turned_cold)
      .field("instance", entry.record.id.value())
      .field("service", entry.record.service.value())
      .field("born_ms", entry.record.born_ms)
      .field("for_ms", entry.record.cold_for.count())
      .field("admissions_per_second", entry.slow_start.admissions())
      .field("own", entry.slow_start.owned_admissions(share_, now))
      .write();
}

void replica_selector::end_slow_start(routing::instance &warm) {
  if (!warm.slow_start.begun()) {
    return;
  }
  warm.slow_start.end();
  if (warm.slow_start.admissions() > 0) {
    logging::line(logging::event::replica_turned_warm)
        .field("instance", warm.record.id.value())
        .field("service", warm.record.service.value())
        .field("sent", warm.slow_start.sent())
        .field("own", warm.slow_start.owned_admissions(share_, steady_now()))
        .write();
  }
}

void replica_selector::end_slow_starts() {
  const timestamp now = steady_now();
  for (const auto &[id, each] : directory_.all()) {
    if (now >= each->slow_start.cold_until()) {
      end_slow_start(*each);
    }
  }
}

replica_selector::slow_start_totals replica_selector::slow_starts() const {
  const timestamp now = steady_now();
  slow_start_totals figures;
  for (const auto &[id, each] : directory_.all()) {
    if (each->slow_start.cold(now)) {
      ++figures.cold;
      figures.own_admissions += each->slow_start.owned_admissions(share_, now);
    }
  }
  return figures;
}

void replica_selector::remove(const routing::instance_id &id) {
  rejected_.forget(id.value());
  unlist(id);
}

bool replica_selector::unlist(const routing::instance_id &id) {
  const routing::instance_ptr known = directory_.find(id);
  if (known == nullptr) {
    return false;
  }
  directory_.remove(id);
  on_instance_removed(known);
  return true;
}

void replica_selector::on_instance_removed(const routing::instance_ptr &gone) {
  finishing_.push_back(gone);
  pool_.close_idle(gone->record.start());
  logging::line(logging::event::instances_changed)
      .field("instance", gone->record.id.value())
      .field("state", "gone")
      .write();
}

void replica_selector::replace_all(
    std::vector<routing::instance_record> records,
    const std::vector<routing::rejected_entry> &rejected) {
  std::set<routing::instance_id> kept;
  std::set<std::string> named;
  for (const routing::instance_record &record : records) {
    kept.insert(record.id);
    named.insert(record.id.value());
  }
  for (const routing::rejected_entry &each : rejected) {
    named.insert(each.name);
  }
  for (const routing::instance_record &known : directory_.records()) {
    if (!kept.contains(known.id)) {
      unlist(known.id);
    }
  }
  rejected_.retain_only(named);
  for (const routing::rejected_entry &each : rejected) {
    reject(routing::instance_id{each.name}, each.reason);
  }
  for (routing::instance_record &record : records) {
    apply_record(std::move(record), false);
  }
}

balance::candidate replica_selector::candidate_of(const routing::instance &each,
                                                  const client_request &request,
                                                  timestamp now) const {
  const policy_switches &policies = options_.policies;
  balance::candidate view;
  view.running = each.in_flight;
  view.slots = each.record.slots;
  view.same_zone = !policies.zone_preference ||
                   options_.places.locality_of(each.record.zone) ==
                       routing::locality::same_zone;
  view.suspect = policies.avoidance && now < each.avoid_until;
  if (policies.replica_speed) {
    view.slowdown = each.speed.slowdown();
  }
  view.connected =
      policies.connection_reuse && pool_.has_idle(each.record.start(), now);
  if (policies.prefix_view) {
    view.missing_tokens = each.prefixes.missing_tokens(request.prompt);
  }
  if (policies.object_affinity && !request.object.empty()) {
    view.affinity =
        balance::rendezvous_weight(request.object, each.record.id.value());
  }
  return view;
}

// Load reports cover engines only: plain replicas answer faster than reports
// arrive.
void replica_selector::add_engine_loads(
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
    view.draw_weight = others[index].expected_arrivals;
    if (options_.policies.engine_wait) {
      view.wait_ms = engines[index]->speed.wait_ms(now);
    }
  }
}

placement replica_selector::choose(const routing::service_id &service,
                                   const send_step &step,
                                   const client_request &request,
                                   const routing::residency &home) {
  const timestamp now = steady_now();
  const bool on_engine = !request.prompt.empty();
  balance::engine_choice_options engine_choice = options_.engine_choice;
  if (on_engine) {
    engine_choice.costs = engine_models_[service].costs();
  }
  std::vector<routing::instance_ptr> fitting;
  std::vector<balance::candidate> candidates;
  common_exclusion common;
  const bool first_attempt = step.only.empty() && step.excluded.empty();
  const routing::drain_position place =
      first_attempt ? traffic_place_of(request, drains_, now)
                    : routing::drain_position{};
  timestamp next_admission = timestamp::max();
  for (const routing::instance_ptr &each : directory_.replicas_of(service)) {
    const routing::incarnation start = each->record.start();
    const bool wanted = step.only.empty() || step.only.contains(start);
    if (!wanted) {
      continue;
    }
    const routing::exclusion cause = exclusion_of(*each, home, place, now);
    common.add(cause);
    if (cause == routing::exclusion::warming_up) {
      next_admission = std::min(next_admission, next_send(*each, now));
    }
    if (cause != routing::exclusion::none || step.excluded.contains(start)) {
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
    return {.excluded_by = common.cause(), .next_admission = next_admission};
  }
  return {.target = fitting[*chosen],
          .missing_tokens = candidates[*chosen].missing_tokens,
          .running = candidates[*chosen].running};
}

routing::exclusion replica_selector::exclusion_of(
    const routing::instance &target, const routing::residency &home,
    const routing::drain_position &place, timestamp now) const {
  const routing::exclusion lasting =
      routing::exclusion_of(target, home, options_.places, drains_, place);
  if (lasting != routing::exclusion::none || !target.slow_start.cold(now)) {
    return lasting;
  }
  return next_send(target, now) > now ? routing::exclusion::warming_up
                                      : routing::exclusion::none;
}

timestamp replica_selector::next_send(const routing::instance &cold,
                                      timestamp now) const {
  const timestamp warm = cold.slow_start.cold_until();
  return std::min(cold.slow_start.next_admission(share_, now).value_or(warm),
                  warm);
}

routing::exclusion
replica_selector::claim_send(routing::instance &target,
                             const client_request &request,
                             const routing::residency &home) {
  const timestamp now = steady_now();
  const routing::exclusion cause =
      exclusion_of(target, home, traffic_place_of(request, drains_, now), now);
  if (cause == routing::exclusion::none) {
    target.slow_start.record_sent(now);
  }
  return cause;
}

std::uint32_t replica_selector::running_in(const std::string &zone) {
  std::uint32_t running = 0;
  std::erase_if(finishing_, [](const routing::instance_ptr &each) {
    return each->in_flight == 0;
  });
  for (const routing::instance_ptr &each : finishing_) {
    running += each->record.zone == zone ? each->in_flight : 0;
  }
  for (const auto &[id, each] : directory_.all()) {
    running += each->record.zone == zone ? each->in_flight : 0;
  }
  return running;
}

void replica_selector::learn_prefix_location(
    const records::turn_place &place, const routing::service_id &service,
    const std::vector<balance::prompt_part> &prompt) {
  if (!options_.policies.turn_places) {
    return;
  }
  const auto &instances = directory_.replicas_of(service);
  const auto found =
      std::find_if(instances.begin(), instances.end(), [&](const auto &each) {
        // Records may name the id without the incarnation. Such an entry is
        // accepted, since a wrong guess only costs time.
        return place.instance == name_of(each->record.start()) ||
               place.instance == each->record.id.value();
      });
  if (found != instances.end()) {
    (*found)->prefixes.record(balance::truncate_prompt(prompt, place.tokens));
  }
}

wire::ReplicaLoads replica_selector::engine_loads() const {
  wire::ReplicaLoads loads;
  for (const auto &[service, model] : engine_models_) {
    for (const routing::instance_ptr &each : directory_.replicas_of(service)) {
      if (each->in_flight > 0) {
        loads.add_replicas(load_key(*each));
        loads.add_running(each->in_flight);
      }
    }
  }
  return loads;
}

void replica_selector::apply_shared_loads(const wire::SharedLoads &shared) {
  share_.update({.end = shared.arc_end(), .length = shared.arc_length()},
                timestamp_from(shared.told_ms()), steady_now());
  if (!options_.policies.shared_loads) {
    return;
  }
  const timestamp at = steady_now() - duration_ms{shared.age_ms()};
  std::unordered_map<std::uint32_t, std::uint32_t> running;
  const wire::ReplicaLoads &others = shared.others();
  const int listed = std::min(others.replicas_size(), others.running_size());
  for (int place = 0; place < listed; ++place) {
    running[others.replicas(place)] = others.running(place);
  }
  for (const auto &[id, each] : directory_.all()) {
    const auto found = running.find(load_key(*each));
    const std::uint32_t reported = found != running.end() ? found->second : 0;
    each->others = {.running = static_cast<double>(reported), .at = at};
  }
}

void replica_selector::on_failed(routing::instance &failed,
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

void replica_selector::on_answered(routing::instance &answered,
                                   const std::string &route,
                                   double elapsed_ms) {
  // Answers of one route differ in size, so the average covers about fifty.
  constexpr double weight = 0.02;
  clear_failures(answered);
  const double taken = std::max(elapsed_ms, min_response_ms);
  double &mean = mean_response_ms_.try_emplace(route, taken).first->second;
  answered.speed.record_duration(taken, mean);
  mean += weight * (taken - mean);
}

void replica_selector::on_turn_answered(routing::instance &answered,
                                        const balance::turn_observation &turn,
                                        bool from_start) {
  clear_failures(answered);
  balance::engine_cost_model &model = engine_models_[answered.record.service];
  if (turn.event_gap_ms > 0) {
    answered.speed.record_duration(turn.event_gap_ms,
                                   model.event_gap_ms(turn.running));
  }
  if (from_start) {
    const double expected =
        model.first_event_ms(turn.missing_tokens, turn.running);
    answered.speed.record_first_event(turn.first_event_ms - expected,
                                      steady_now());
    if (options_.policies.learnt_costs) {
      model.observe(turn);
    }
  }
}

} // namespace heathtrestle::forwarding
