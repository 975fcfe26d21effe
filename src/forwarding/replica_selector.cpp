#include "forwarding/replica_selector.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

/// Times have a resolution of one millisecond. A lower bound keeps ratios
/// finite.
constexpr double min_response_ms = 0.5;

/// A listing that changes more replicas than this is logged as one line.
constexpr std::size_t max_logged_changes = 32;

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

/// Builds the candidates of one choice and notes why replicas were left out.
class replica_selector::candidate_collector {
public:
  candidate_collector(const replica_selector &selector, const send_step &step,
                      const client_request &request,
                      const routing::residency &home)
      : selector_(selector), step_(step), request_(request), home_(home),
        now_(steady_now()),
        position_(is_first_attempt()
                      ? traffic_place_of(request, selector.drains_, now_)
                      : routing::drain_position{}) {}

  /// Adds the replica if it is suitable and was not added before.
  offer_result offer(const routing::instance_ptr &each) {
    ++examined_;
    const routing::incarnation start = each->record.start();
    const bool wanted = step_.only.empty() || step_.only.contains(start);
    if (!wanted) {
      return offer_result::unsuitable;
    }
    const routing::exclusion cause =
        selector_.exclusion_of(*each, home_, position_, now_);
    common_.add(cause);
    if (cause == routing::exclusion::warming_up) {
      next_admission_ =
          std::min(next_admission_, selector_.next_send(*each, now_));
    }
    if (cause != routing::exclusion::none || step_.excluded.contains(start)) {
      return offer_result::unsuitable;
    }
    if (is_shortlist_ && std::ranges::find(fitting_, each) != fitting_.end()) {
      return result_for(*each);
    }
    fitting_.push_back(each);
    candidates_.push_back(selector_.candidate_of(*each, request_, now_));
    return result_for(*each);
  }

  /// Returns whether the replicas of a zone may serve the request, and notes
  /// the reason if not.
  bool is_open(const std::string &zone) {
    const routing::exclusion cause = routing::zone_exclusion(
        zone, home_, selector_.options_.places, selector_.drains_, position_);
    const bool open = cause == routing::exclusion::none;
    if (!open) {
      common_.add(cause);
    }
    return open;
  }

  /// Replicas are offered more than once from now on.
  void begin_shortlist() { is_shortlist_ = true; }
  /// Makes the first suitable replica the one that the request's object hashes
  /// to.
  void set_home() {
    if (!candidates_.empty()) {
      candidates_.front().affinity = std::numeric_limits<std::uint64_t>::max();
    }
  }

  [[nodiscard]] bool empty() const { return fitting_.empty(); }
  [[nodiscard]] timestamp now() const { return now_; }
  [[nodiscard]] const std::vector<routing::instance_ptr> &fitting() const {
    return fitting_;
  }
  [[nodiscard]] std::vector<balance::candidate> &candidates() {
    return candidates_;
  }
  [[nodiscard]] placement no_target() const {
    return {.examined = examined_,
            .excluded_by = common_.cause(),
            .next_admission = next_admission_};
  }
  [[nodiscard]] std::size_t examined() const { return examined_; }

private:
  [[nodiscard]] bool is_first_attempt() const {
    return step_.only.empty() && step_.excluded.empty();
  }
  [[nodiscard]] offer_result result_for(const routing::instance &each) const {
    const double running =
        each.in_flight + selector_.load_by_others(each).running;
    const double bound =
        each.record.slots * selector_.options_.shortlist.free_share;
    const bool is_free = now_ >= each.avoid_until && running < bound;
    return is_free ? offer_result::free : offer_result::busy;
  }

  const replica_selector &selector_;
  const send_step &step_;
  const client_request &request_;
  const routing::residency &home_;
  timestamp now_;
  routing::drain_position position_;
  bool is_shortlist_ = false;
  std::size_t examined_ = 0;
  std::vector<routing::instance_ptr> fitting_;
  std::vector<balance::candidate> candidates_;
  common_exclusion common_;
  timestamp next_admission_ = timestamp::max();
};

void replica_selector::apply(
    std::shared_ptr<const routing::route_table> routes) {
  routes_ = std::move(routes);
  for (const auto &[id, each] : directory_.all()) {
    configure(*each);
  }
}

void replica_selector::configure(routing::instance &each) const {
  const routing::service *known =
      routes_ != nullptr ? routes_->find_service(each.record.service) : nullptr;
  const bool has_capacity = known != nullptr && known->engine.has_value() &&
                            known->engine->memory_tokens > 0;
  if (has_capacity) {
    each.prefixes.set_capacity(known->engine->memory_tokens);
  }
  if (!options_.slow_start.enforced()) {
    return;
  }
  const bool slow = known != nullptr && known->slow_start.has_value();
  each.slow_start.set_admissions(
      slow ? balance::admissions_per_second(
                 known->slow_start->requests_per_second, options_.slow_start)
           : 0);
}

void replica_selector::put(routing::instance_record record) {
  const routing::instance_id id = record.id;
  if (apply_record(std::move(record), record_source::change)) {
    log_listed(directory_.find(id)->record);
  }
}

bool replica_selector::apply_record(routing::instance_record record,
                                    record_source source) {
  const routing::instance_record entry = record;
  const routing::instance_ptr before = directory_.find(record.id);
  const routing::put_outcome outcome = directory_.put(std::move(record));
  bool changed = false;
  switch (outcome) {
  case routing::put_outcome::unchanged:
    break;
  case routing::put_outcome::outdated:
    if (rejected_.record(entry.id.value(), "of an earlier start")) {
      log_outdated(entry);
    }
    return false;
  case routing::put_outcome::missing_start_time:
    on_instance_removed(before);
    record_rejection(
        entry.id, "entry lacks the start time that an earlier entry had", true);
    return false;
  case routing::put_outcome::restarted:
    if (before != nullptr) {
      on_started_again(*before, entry);
    }
    [[fallthrough]];
  case routing::put_outcome::added:
  case routing::put_outcome::changed:
    configure(*directory_.find(entry.id));
    changed = true;
    break;
  }
  rejected_.forget(entry.id.value());
  if (changed || source == record_source::change) {
    update_slow_start(directory_.find(entry.id));
  }
  return changed;
}

void replica_selector::log_listed(const routing::instance_record &entry) const {
  logging::line(logging::event::instances_changed)
      .field("instance", entry.id.value())
      .field("service", entry.service.value())
      .field("born_ms", entry.born_ms)
      .field("state", entry.draining ? "draining" : "ready")
      .write();
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
void replica_selector::update_slow_start(const routing::instance_ptr &target) {
  routing::instance &entry = *target;
  if (entry.record.cold_for <= duration_ms{0}) {
    end_slow_start(entry);
    cold_.erase(target);
    return;
  }
  const timestamp now = steady_now();
  entry.slow_start.begin(now + entry.record.cold_for);
  cold_.insert(target);
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
  std::erase_if(cold_, [this, now](const routing::instance_ptr &each) {
    const bool ended = !each->listed || now >= each->slow_start.cold_until();
    if (ended && each->listed) {
      end_slow_start(*each);
    }
    return ended;
  });
}

replica_selector::slow_start_totals replica_selector::slow_starts() const {
  const timestamp now = steady_now();
  slow_start_totals figures;
  for (const routing::instance_ptr &each : cold_) {
    if (each->listed && each->slow_start.cold(now)) {
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
  std::vector<routing::instance_id> missing;
  for (const auto &[id, known] : directory_.all()) {
    if (!kept.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const routing::instance_id &id : missing) {
    unlist(id);
  }
  rejected_.retain_only(named);
  for (const routing::rejected_entry &each : rejected) {
    reject(routing::instance_id{each.name}, each.reason);
  }
  std::vector<routing::instance_id> changed;
  for (routing::instance_record &record : records) {
    const routing::instance_id id = record.id;
    if (apply_record(std::move(record), record_source::listing)) {
      changed.push_back(id);
    }
  }
  if (changed.size() > max_logged_changes) {
    logging::line(logging::event::instances_listed)
        .field("listed", directory_.size())
        .field("changed", changed.size())
        .field("gone", missing.size())
        .write();
    return;
  }
  for (const routing::instance_id &id : changed) {
    log_listed(directory_.find(id)->record);
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
    reports.push_back(load_by_others(*each));
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
  candidate_collector collector(*this, step, request, home);
  offer_candidates(service, step, request, collector);
  std::vector<balance::candidate> &candidates = collector.candidates();
  std::optional<std::size_t> chosen;
  if (request.prompt.empty()) {
    chosen =
        balance::choose_plain(candidates, random_(), options_.plain_choice);
  } else {
    balance::engine_choice_options engine_choice = options_.engine_choice;
    engine_choice.costs = engine_models_[service].costs();
    add_engine_loads(candidates, collector.fitting(),
                     engine_choice.costs.turn_ms, collector.now());
    chosen = balance::choose_engine(candidates, random_(), engine_choice);
  }
  if (!chosen) {
    return collector.no_target();
  }
  return {.target = collector.fitting()[*chosen],
          .missing_tokens = candidates[*chosen].missing_tokens,
          .running = candidates[*chosen].running,
          .examined = collector.examined()};
}

void replica_selector::offer_candidates(const routing::service_id &service,
                                        const send_step &step,
                                        const client_request &request,
                                        candidate_collector &collector) {
  const std::vector<routing::instance_ptr> &all =
      directory_.replicas_of(service);
  if (all.size() > options_.shortlist.whole_up_to) {
    for (const routing::incarnation &start : step.only) {
      if (directory_.contains(start)) {
        collector.offer(directory_.find(start.id));
      }
    }
    if (!step.only.empty()) {
      return;
    }
    const bool any_zone_open = offer_shortlist(service, request, collector);
    if (!any_zone_open || !collector.empty()) {
      return;
    }
  }
  for (const routing::instance_ptr &each : all) {
    collector.offer(each);
  }
}

bool replica_selector::offer_shortlist(const routing::service_id &service,
                                       const client_request &request,
                                       candidate_collector &collector) {
  collector.begin_shortlist();
  const offer_replica offer = [&collector](const routing::instance_ptr &each) {
    return collector.offer(each);
  };
  std::vector<zone_ring> zones = zones_by_distance(
      directory_.rings_of(service), options_.places, options_.gateway_key);
  std::erase_if(zones, [&collector](const zone_ring &each) {
    return !collector.is_open(std::string(each.zone));
  });
  if (request.prompt.empty()) {
    if (options_.policies.object_affinity && !request.object.empty()) {
      if (!zones.empty()) {
        offer_window(*zones.front().ring, stable_hash(request.object), 1,
                     options_.shortlist, offer);
      }
      collector.set_home();
    }
    offer_nearest(zones, options_.gateway_key, options_.shortlist, offer);
    return !zones.empty();
  }
  for (const routing::instance_ptr &holder : holders_.find(request.prompt)) {
    if (holder->record.service == service) {
      collector.offer(holder);
    }
  }
  const std::vector<routing::instance_ptr> &all =
      directory_.replicas_of(service);
  const std::uint64_t windows =
      window_count(total_load_by_others_, all.front()->record.slots,
                   zones.size(), options_.shortlist);
  offer_nearest(zones,
                window_key(request.prompt.front().id, random_() % windows),
                options_.shortlist, offer);
  return !zones.empty();
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

std::uint32_t replica_selector::running_in(const std::string &zone) const {
  std::uint32_t running = 0;
  for (const routing::instance_ptr &each : busy_) {
    running += each->record.zone == zone ? each->in_flight : 0;
  }
  return running;
}

void replica_selector::begin_attempt(const routing::instance_ptr &target) {
  ++target->in_flight;
  busy_.insert(target);
}

void replica_selector::end_attempt(const routing::instance_ptr &target) {
  --target->in_flight;
  if (target->in_flight == 0) {
    busy_.erase(target);
  }
}

void replica_selector::learn_prefix_location(
    const records::turn_place &place,
    const std::vector<balance::prompt_part> &prompt) {
  if (!options_.policies.turn_places) {
    return;
  }
  if (const routing::instance_ptr known =
          directory_.find_named(place.instance)) {
    record_prefix(known, balance::truncate_prompt(prompt, place.tokens));
  }
}

void replica_selector::record_prefix(
    const routing::instance_ptr &target,
    const std::vector<balance::prompt_part> &prompt, std::uint64_t generated) {
  target->prefixes.record(prompt, generated);
  holders_.record(prompt, target);
}

wire::ReplicaLoads replica_selector::engine_loads() const {
  wire::ReplicaLoads loads;
  for (const routing::instance_ptr &each : busy_) {
    if (each->listed && engine_models_.contains(each->record.service)) {
      loads.add_replicas(each->load_key);
      loads.add_running(each->in_flight);
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
  load_reported_at_ = steady_now() - duration_ms{shared.age_ms()};
  load_by_others_.clear();
  total_load_by_others_ = 0;
  const wire::ReplicaLoads &others = shared.others();
  const int listed = std::min(others.replicas_size(), others.running_size());
  for (int place = 0; place < listed; ++place) {
    load_by_others_[others.replicas(place)] = others.running(place);
    total_load_by_others_ += others.running(place);
  }
}

balance::reported_load
replica_selector::load_by_others(const routing::instance &each) const {
  const auto known = load_by_others_.find(each.load_key);
  const std::uint32_t running =
      known != load_by_others_.end() ? known->second : 0;
  return {.running = static_cast<double>(running), .at = load_reported_at_};
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
