// The choice among the replicas of a service: which replicas are compared and
// which of them is taken.
#include "forwarding/replica_selector.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

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
    const routing::exclusion cause = exclusion_of(*each);
    common_.add(cause);
    if (cause == routing::exclusion::warming_up) {
      next_admission_ =
          std::min(next_admission_, selector_.next_send(*each, now_));
    }
    if (cause != routing::exclusion::none || step_.excluded.contains(start)) {
      return offer_result::unsuitable;
    }
    if (now_ < each->refused_until) {
      return offer_result::unsuitable;
    }
    if (step_.is_isolated && each->may_crash(now_)) {
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
  [[nodiscard]] routing::exclusion
  exclusion_of(const routing::instance &each) const {
    using routing::exclusion;
    const exclusion cause = selector_.exclusion_of(each, home_, position_, now_,
                                                   step_.allows_draining);
    const bool is_other_version =
        step_.version && *step_.version != each.record.version;
    const bool may_serve_others =
        cause == exclusion::none || cause == exclusion::warming_up;
    return is_other_version && may_serve_others ? exclusion::other_version
                                                : cause;
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
  view.suspect =
      each.may_crash(now) || (policies.avoidance && now < each.avoid_until);
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
  if (step.is_isolated) {
    // Its next replica may crash as well, so the fewest requests share it.
    chosen = balance::choose_least_loaded(candidates, random_());
  } else if (request.prompt.empty()) {
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

routing::exclusion
replica_selector::exclusion_of(const routing::instance &target,
                               const routing::residency &home,
                               const routing::drain_position &place,
                               timestamp now, bool allows_draining) const {
  const bool takes_last_work =
      allows_draining && accepts_last_work(target, now);
  const routing::exclusion lasting =
      takes_last_work ? routing::zone_exclusion(target.record.zone, home,
                                                options_.places, drains_, place)
                      : routing::exclusion_of(target, home, options_.places,
                                              drains_, place);
  if (lasting != routing::exclusion::none || !target.slow_start.cold(now)) {
    return lasting;
  }
  return next_send(target, now) > now ? routing::exclusion::warming_up
                                      : routing::exclusion::none;
}

bool replica_selector::accepts_last_work(const routing::instance &target,
                                         timestamp now) const {
  // Half of the notice is left for the time until the drain was seen here.
  const bool was_seen = target.drain_seen_at != timestamp{};
  return target.listed && target.record.draining && was_seen &&
         now < target.drain_seen_at + options_.drain_notice / 2;
}

timestamp replica_selector::next_send(const routing::instance &cold,
                                      timestamp now) const {
  const timestamp warm = cold.slow_start.cold_until();
  return std::min(cold.slow_start.next_admission(share_, now).value_or(warm),
                  warm);
}

routing::exclusion replica_selector::claim_send(routing::instance &target,
                                                const client_request &request,
                                                const routing::residency &home,
                                                bool allows_draining) {
  const timestamp now = steady_now();
  const routing::exclusion cause =
      exclusion_of(target, home, traffic_place_of(request, drains_, now), now,
                   allows_draining);
  if (cause == routing::exclusion::none) {
    target.slow_start.record_sent(now);
  }
  return cause;
}

} // namespace heathtrestle::forwarding
