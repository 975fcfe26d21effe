// Selects the replica of a service that receives a request. Maintains the
// gateway's view of the replicas: the directory, response times and failures,
// estimated prefix caches, and the loads that other gateways report. It sends
// no requests, but closes pooled connections to replicas that have ended.
//
// The cost of a choice, of a load report and of a change of one record does not
// depend on the number of replicas: a choice compares a shortlist, and per-
// replica state is updated only for the replicas that are named.
#pragma once

#include "balance/admission_share.hpp"
#include "balance/instance_choice.hpp"
#include "balance/load_estimate.hpp"
#include "balance/slow_start.hpp"
#include "base/random.hpp"
#include "forwarding/attempt_plan.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/policy_switches.hpp"
#include "forwarding/prompt_holders.hpp"
#include "forwarding/replica_shortlist.hpp"
#include "forwarding/upstream_pool.hpp"
#include "records/turn_ledger.hpp"
#include "routing/eligibility.hpp"
#include "routing/instance_directory.hpp"
#include "routing/rejected_entries.hpp"
#include "routing/residency.hpp"
#include "routing/route_table.hpp"
#include "routing/topology.hpp"
#include "routing/version_history.hpp"
#include "routing/zone_drains.hpp"
#include "wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathtrestle::forwarding {

struct selector_options {
  routing::topology places;
  policy_switches policies;
  balance::engine_choice_options engine_choice;
  balance::plain_choice_options plain_choice;
  shortlist_options shortlist;
  /// Hash of this gateway's name: gateways prefer different replicas of plain
  /// services, so that each keeps its connections.
  std::uint64_t gateway_key = 0;
  /// How long a replica is avoided after a failure.
  duration_ms avoid_for{1000};
  /// How long a replica that has refused a connection gets no request.
  duration_ms refused_pause{500};
  /// How long a replica is avoided after another gateway has sent it a request
  /// that may crash it.
  duration_ms avoid_isolated_for{1000};
  /// Fraction of a service's replicas that requests are isolated at after a
  /// single crash.
  double isolated_share = 0.25;
  /// Time from the operator's request to drain a zone until its replicas
  /// receive no more requests; zero when zones are never drained.
  duration_ms zone_drain{0};
  /// No client waits longer than this for one stream.
  duration_ms max_stream_age{30000};
  /// How long a replica accepts requests after its drain was recorded.
  duration_ms drain_notice{0};
  /// Limits on the requests sent to a replica that is warming up.
  balance::slow_start_limits slow_start;
};

/// The selected replica and its estimated state at the time of the selection.
struct placement {
  /// Null when no replica is suitable.
  routing::instance_ptr target;
  /// Estimated number of prompt tokens that are missing from its prefix cache.
  std::uint64_t missing_tokens = 0;
  /// Estimated number of requests running there.
  double running = 0;
  /// Number of times that a replica was examined for the choice.
  std::size_t examined = 0;
  /// Without a target: the condition that excludes every listed replica, or
  /// `none` when a replica may become available.
  routing::exclusion excluded_by = routing::exclusion::none;
  /// When all suitable replicas are warming up: the time at which one of them
  /// may be sent a request.
  timestamp next_admission{};
};

class replica_selector {
public:
  /// @param pool whose idle connections are preferred; must outlive the
  /// selector.
  replica_selector(selector_options options, upstream_pool &pool)
      : options_(std::move(options)), pool_(pool),
        drains_(options_.zone_drain) {}

  /// Applies a new configuration.
  void apply(std::shared_ptr<const routing::route_table> routes);

  /// Adds an entry, or applies a rewritten one.
  void put(routing::instance_record record);
  /// Removes the replica because the entry under its id is invalid. Nothing is
  /// sent to it until a valid entry arrives.
  void reject(const routing::instance_id &id, const std::string &reason);
  void remove(const routing::instance_id &id);
  /// Replaces the directory by a complete listing.
  /// @param rejected the invalid entries of the listing.
  void replace_all(std::vector<routing::instance_record> records,
                   const std::vector<routing::rejected_entry> &rejected = {});
  /// The number of entries that are currently rejected.
  [[nodiscard]] std::size_t rejected_entries() const {
    return rejected_.size();
  }
  [[nodiscard]] const routing::instance_directory &directory() const {
    return directory_;
  }
  /// Returns the version that began a stream of which no record exists, if only
  /// one can have begun it.
  [[nodiscard]] std::optional<software_version>
  only_possible_version(const routing::service_id &service) const;
  /// Returns the version of all replicas that are listed or were lately, if it
  /// is one. Others may have come and left unseen.
  [[nodiscard]] std::optional<software_version>
  only_known_version(const routing::service_id &service) const;
  /// The zones that are being drained.
  [[nodiscard]] routing::zone_drains &drains() { return drains_; }
  [[nodiscard]] const routing::zone_drains &drains() const { return drains_; }
  /// Returns the number of this gateway's requests that are running at the
  /// replicas of a zone.
  [[nodiscard]] std::uint32_t running_in(const std::string &zone) const;
  [[nodiscard]] const routing::topology &places() const {
    return options_.places;
  }

  /// Chooses a replica of `service` that satisfies the step.
  /// @param home the regions that the request is bound to.
  [[nodiscard]] placement choose(const routing::service_id &service,
                                 const send_step &step,
                                 const client_request &request,
                                 const routing::residency &home);
  /// Checks again, immediately before sending, whether the request may go to
  /// the replica chosen earlier. When the result is `none`, the request is
  /// counted as sent.
  /// @param allows_draining as in `send_step`.
  [[nodiscard]] routing::exclusion claim_send(routing::instance &target,
                                              const client_request &request,
                                              const routing::residency &home,
                                              bool allows_draining = false);
  /// Ends the slow start of replicas that have become warm. Called
  /// periodically.
  void end_slow_starts();
  /// The number of replicas in slow start, and this gateway's share of their
  /// admissions per second.
  struct slow_start_totals {
    std::uint32_t cold = 0;
    std::uint32_t own_admissions = 0;
  };
  [[nodiscard]] slow_start_totals slow_starts() const;

  /// Counts a request of this gateway that goes to the replica as in flight.
  /// @param isolated whether it is kept apart from others (`send_step`).
  void begin_attempt(const routing::instance_ptr &target,
                     bool isolated = false);
  void end_attempt(const routing::instance_ptr &target, bool isolated = false);
  /// Returns whether few replicas of a service are taken by isolated requests.
  /// After a crash of many replicas all that ran there might be isolated, and
  /// the other requests would gather at the replicas that are left.
  [[nodiscard]] bool can_isolate_more(const routing::service_id &service) const;
  /// Notes that another gateway sends an isolated request to a replica. Of
  /// several requests the one with the lowest identity keeps the replica.
  /// @param load_key of the replica.
  void on_isolated_elsewhere(std::uint32_t load_key, request_identity request);
  /// Notes that an isolated request of another gateway has left a replica.
  /// @param has_ended whether the replica has ended meanwhile.
  void on_left_elsewhere(std::uint32_t load_key, bool has_ended);

  /// Records the prefix that an engine has cached, according to the record of
  /// an earlier turn.
  void learn_prefix_location(const records::turn_place &place,
                             const std::vector<balance::prompt_part> &prompt);
  /// Records that a request with this prompt was sent to the engine.
  /// @param generated tokens of the response, which extend the last part.
  void record_prefix(const routing::instance_ptr &target,
                     const std::vector<balance::prompt_part> &prompt,
                     std::uint64_t generated = 0);

  /// Returns this gateway's requests at engines, for the load report to other
  /// gateways.
  [[nodiscard]] wire::ReplicaLoads engine_loads() const;
  /// Applies the load report of the other gateways.
  void apply_shared_loads(const wire::SharedLoads &shared);
  /// The other gateways' requests at a replica, as last reported.
  [[nodiscard]] balance::reported_load
  load_by_others(const routing::instance &each) const;

  /// Records that the replica could not be reached or broke the connection off.
  void on_failed(routing::instance &failed, std::string_view reason);
  /// Records, after `on_failed`, that nothing listens at the replica's address.
  void on_refused(routing::instance &failed);
  /// Records a complete answer that is not a stream.
  void on_answered(routing::instance &answered, const std::string &route,
                   double elapsed_ms);
  /// Records a stream that an engine has completed.
  /// @param from_start false when it resumed the stream of an earlier engine.
  void on_turn_answered(routing::instance &answered,
                        const balance::turn_observation &turn, bool from_start);

  /// The learned cost model of the engines of each service.
  [[nodiscard]] const std::map<routing::service_id, balance::engine_cost_model>
      &engine_models() const {
    return engine_models_;
  }

private:
  class candidate_collector;

  /// Offers the replicas that a choice compares.
  void offer_candidates(const routing::service_id &service,
                        const send_step &step, const client_request &request,
                        candidate_collector &collector);
  /// Offers a part of a service that is too large to be compared as a whole.
  /// @return false when no zone may serve the request.
  bool offer_shortlist(const routing::service_id &service,
                       const client_request &request,
                       candidate_collector &collector);
  [[nodiscard]] routing::exclusion
  exclusion_of(const routing::instance &target, const routing::residency &home,
               const routing::drain_position &place, timestamp now,
               bool allows_draining) const;
  /// Returns whether the replica has begun to drain so recently that it still
  /// accepts requests.
  [[nodiscard]] bool accepts_last_work(const routing::instance &target,
                                       timestamp now) const;
  /// Returns when this gateway may send the next request to a replica in slow
  /// start.
  [[nodiscard]] timestamp next_send(const routing::instance &cold,
                                    timestamp now) const;
  void record_rejection(const routing::instance_id &id,
                        const std::string &reason, bool was_listed);
  /// Called after a replica was removed from the directory.
  void on_instance_removed(const routing::instance_ptr &gone);
  /// Whether a record arrived as a change or as a part of a listing, which
  /// repeats what was known and is logged as a whole.
  enum class record_source : std::uint8_t { change, listing };
  /// @return false when the record changed nothing.
  bool apply_record(routing::instance_record record, record_source source);
  void log_listed(const routing::instance_record &entry) const;
  void update_slow_start(const routing::instance_ptr &target);
  void end_slow_start(routing::instance &warm);
  /// Applies the configuration of the replica's service.
  void configure(routing::instance &each) const;
  /// @return null if no listed replica has the key.
  [[nodiscard]] routing::instance_ptr find_by_key(std::uint32_t load_key) const;
  /// Builds the view of a replica that the selection policies use.
  [[nodiscard]] balance::candidate candidate_of(const routing::instance &each,
                                                const client_request &request,
                                                timestamp now) const;
  /// Adds the load reported by other gateways and the engines' recent wait
  /// times.
  void add_engine_loads(std::vector<balance::candidate> &candidates,
                        const std::vector<routing::instance_ptr> &engines,
                        double turn_ms, timestamp now) const;
  /// Closes the connections that belong to the earlier incarnation.
  void on_started_again(const routing::instance &before,
                        const routing::instance_record &now);
  void log_outdated(const routing::instance_record &entry) const;
  /// Removes a replica from the directory.
  /// @return false when it was not listed.
  bool unlist(const routing::instance_id &id);

  selector_options options_;
  upstream_pool &pool_;
  std::shared_ptr<const routing::route_table> routes_;
  routing::instance_directory directory_;
  routing::rejected_entries rejected_;
  routing::version_history versions_;
  /// Since when no replica can have come and left unseen: a listing does not
  /// tell of those that were there between it and the one before. The maximum
  /// before the first listing.
  timestamp complete_since_ = timestamp::max();
  /// Replicas with requests of this gateway in flight; some may no longer be
  /// listed.
  std::set<routing::instance_ptr> busy_;
  /// Replicas in slow start.
  std::set<routing::instance_ptr> cold_;
  prompt_holders holders_;
  /// The requests of the other gateways by `instance::load_key`, their sum, and
  /// when they were reported.
  std::unordered_map<std::uint32_t, std::uint32_t> load_by_others_;
  double total_load_by_others_ = 0;
  timestamp load_reported_at_{};
  routing::zone_drains drains_;
  /// This gateway's share of the slow-start admissions of all replicas.
  balance::admission_share share_;
  std::map<routing::service_id, balance::engine_cost_model> engine_models_;
  /// Moving average of the response time in milliseconds, by route.
  std::map<std::string, double> mean_response_ms_;
  std::mt19937_64 random_{draw_system_random()};
};

} // namespace heathtrestle::forwarding
