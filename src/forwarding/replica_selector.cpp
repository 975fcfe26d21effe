#include "forwarding/replica_selector.hpp"

#include "logging/log.hpp"

#include <algorithm>
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

} // namespace

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
  const bool was_ready = before != nullptr && before->accepts_work();
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
  const bool begins_drain =
      was_ready && before->listed && before->record.draining;
  if (begins_drain && source == record_source::change) {
    before->drain_seen_at = steady_now();
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
      .field("software", entry.version.value())
      .field("born_ms", entry.born_ms)
      .field("state", entry.draining ? "draining" : "ready")
      .write();
}

void replica_selector::on_started_again(const routing::instance &before,
                                        const routing::instance_record &now) {
  const routing::incarnation ended = before.record.start();
  versions_.on_unlisted(before.record.service, before.record.version,
                        steady_now());
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
  if (!unlist(id)) {
    complete_since_ = steady_now(); // nothing is known of what has left
  }
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
  versions_.on_unlisted(gone->record.service, gone->record.version,
                        steady_now());
  logging::line(logging::event::instances_changed)
      .field("instance", gone->record.id.value())
      .field("state", "gone")
      .write();
}

void replica_selector::replace_all(
    std::vector<routing::instance_record> records,
    const std::vector<routing::rejected_entry> &rejected) {
  complete_since_ = steady_now();
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

std::optional<software_version> replica_selector::only_possible_version(
    const routing::service_id &service) const {
  const timestamp earliest = steady_now() - options_.max_stream_age;
  return complete_since_ > earliest ? std::nullopt
                                    : only_known_version(service);
}

std::optional<software_version>
replica_selector::only_known_version(const routing::service_id &service) const {
  const timestamp earliest = steady_now() - options_.max_stream_age;
  std::set<software_version> possible =
      versions_.unlisted_since(service, earliest);
  for (const auto &[version, replicas] : directory_.versions_of(service)) {
    possible.insert(version);
  }
  return possible.size() == 1 ? std::optional(*possible.begin()) : std::nullopt;
}

std::uint32_t replica_selector::running_in(const std::string &zone) const {
  std::uint32_t running = 0;
  for (const routing::instance_ptr &each : busy_) {
    running += each->record.zone == zone ? each->in_flight : 0;
  }
  return running;
}

void replica_selector::begin_attempt(const routing::instance_ptr &target,
                                     bool isolated) {
  ++target->in_flight;
  target->isolated_in_flight += isolated ? 1 : 0;
  busy_.insert(target);
}

void replica_selector::end_attempt(const routing::instance_ptr &target,
                                   bool isolated) {
  --target->in_flight;
  target->isolated_in_flight -= isolated ? 1 : 0;
  if (target->in_flight == 0) {
    busy_.erase(target);
  }
}

bool replica_selector::can_isolate_more(
    const routing::service_id &service) const {
  const timestamp now = steady_now();
  const auto &replicas = directory_.replicas_of(service);
  // One that has failed already serves nobody.
  const auto taken = std::ranges::count_if(replicas, [now](const auto &each) {
    return each->may_crash(now) && now >= each->avoid_until;
  });
  return static_cast<double>(taken) <
         options_.isolated_share * static_cast<double>(replicas.size());
}

routing::instance_ptr
replica_selector::find_by_key(std::uint32_t load_key) const {
  const auto &all = directory_.all();
  const auto found = std::ranges::find_if(all, [load_key](const auto &each) {
    return each.second->load_key == load_key;
  });
  return found != all.end() ? found->second : nullptr;
}

void replica_selector::on_isolated_elsewhere(std::uint32_t load_key,
                                             request_identity request) {
  const routing::instance_ptr target = find_by_key(load_key);
  if (target == nullptr) {
    return;
  }
  const timestamp now = steady_now();
  const bool is_kept =
      now < target->isolated_until && target->isolated_request < request;
  target->isolated_request = is_kept ? target->isolated_request : request;
  target->isolated_until = now + options_.avoid_isolated_for;
}

void replica_selector::on_left_elsewhere(std::uint32_t load_key,
                                         bool has_ended) {
  const routing::instance_ptr target = find_by_key(load_key);
  if (target == nullptr) {
    return;
  }
  target->isolated_until = {};
  if (has_ended) {
    on_failed(*target, "it has ended, as another gateway reports");
    on_refused(*target);
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

void replica_selector::on_refused(routing::instance &failed) {
  failed.refused_until = steady_now() + options_.refused_pause;
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
