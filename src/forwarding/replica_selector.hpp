// Which replica of a service a request goes to, and what this gateway knows of
// the replicas for that: the directory, how they answered, what they probably
// keep, and what other gateways have told. Sends nothing itself; closes the
// connections to replicas that have ended.
#pragma once

#include "balance/admission_share.hpp"
#include "balance/instance_choice.hpp"
#include "balance/slow_start.hpp"
#include "base/random.hpp"
#include "forwarding/attempt_plan.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/policy_switches.hpp"
#include "forwarding/upstream_pool.hpp"
#include "records/turn_ledger.hpp"
#include "routing/eligibility.hpp"
#include "routing/instance_directory.hpp"
#include "routing/rejected_entries.hpp"
#include "routing/residency.hpp"
#include "routing/route_table.hpp"
#include "routing/topology.hpp"
#include "routing/zone_drains.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

struct selector_options {
  routing::topology places;
  policy_switches policies;
  balance::engine_choice_options engine_choice;
  balance::plain_choice_options plain_choice;
  /// How long a replica that could not be reached is avoided.
  duration_ms avoid_for{1000};
  /// Time from the operator's request to drain a zone until its replicas get
  /// nothing more; zero where zones are not drained.
  duration_ms zone_drain{0};
  /// What replicas may get while they warm up.
  balance::slow_start_limits slow_start;
};

/// The replica that a request goes to, and what was known of it then.
struct placement {
  /// Null when no replica fits.
  routing::instance_ptr target;
  /// Tokens of the prompt that it was taken to lack.
  std::uint64_t missing_tokens = 0;
  /// Requests that were taken to run there.
  double running = 0;
  /// Without a target: what keeps the request from every replica that is up, so
  /// that waiting for one is in vain; `none` where one may become free.
  routing::exclusion excluded_by = routing::exclusion::none;
  /// Where all that fit are warming up: when one may be sent the request.
  timestamp next_admission{};
};

class replica_selector {
public:
  /// @param pool whose idle connections are preferred; outlives the selector.
  replica_selector(selector_options options, upstream_pool &pool)
      : options_(std::move(options)), pool_(pool),
        drains_(options_.zone_drain) {}

  /// Takes in a configuration.
  void apply(std::shared_ptr<const routing::route_table> routes);

  /// An entry that is new or was written again.
  void put(routing::instance_record record);
  /// The entry under this id cannot be one that a replica wrote: nothing is
  /// sent there until a sound one comes.
  void reject(const routing::instance_id &id, const std::string &reason);
  void remove(const routing::instance_id &id);
  /// Takes in a listing.
  /// @param rejected the entries of it that no replica can have written.
  void replace_all(std::vector<routing::instance_record> records,
                   const std::vector<routing::rejected_entry> &rejected = {});
  /// Entries that are rejected at present.
  [[nodiscard]] std::size_t rejected_entries() const {
    return rejected_.size();
  }
  [[nodiscard]] const routing::instance_directory &directory() const {
    return directory_;
  }
  /// The zones that get nothing new.
  [[nodiscard]] routing::zone_drains &drains() { return drains_; }
  [[nodiscard]] const routing::zone_drains &drains() const { return drains_; }
  /// Requests of this gateway at the replicas of a zone.
  [[nodiscard]] std::uint32_t running_in(const std::string &zone);
  [[nodiscard]] const routing::topology &places() const {
    return options_.places;
  }

  /// Chooses a replica of `service` that fits the step.
  /// @param home the regions that the request is bound to.
  [[nodiscard]] placement choose(const routing::service_id &service,
                                 const send_step &step,
                                 const client_request &request,
                                 const routing::residency &home);
  /// Asked again in the instant before a request is sent to a replica that was
  /// chosen earlier. Where nothing is against it the request counts as sent.
  [[nodiscard]] routing::exclusion claim_send(routing::instance &target,
                                              const client_request &request,
                                              const routing::residency &home);
  /// Takes note of replicas that have become warm; now and then.
  void end_slow_starts();
  /// Replicas that warm up, and admissions a second at them that are this
  /// gateway's.
  struct slow_start_totals {
    std::uint32_t cold = 0;
    std::uint32_t own_admissions = 0;
  };
  [[nodiscard]] slow_start_totals slow_starts() const;

  /// An engine of `service` keeps the beginning of a prompt, as the record of
  /// an earlier turn tells.
  void learn_prefix_location(const records::turn_place &place,
                             const routing::service_id &service,
                             const std::vector<balance::prompt_part> &prompt);

  /// This gateway's requests at engines, to be told to the others.
  [[nodiscard]] wire::ReplicaLoads engine_loads() const;
  /// What the other gateways have reported of theirs.
  void apply_shared_loads(const wire::SharedLoads &shared);

  /// The replica could not be reached or broke off.
  void on_failed(routing::instance &failed, std::string_view reason);
  /// An answer that is no stream.
  void on_answered(routing::instance &answered, const std::string &route,
                   double elapsed_ms);
  /// A stream that an engine has ended whole.
  /// @param from_start false when it only went on from an earlier engine's.
  void on_turn_answered(routing::instance &answered,
                        const balance::turn_observation &turn, bool from_start);

  /// What turns cost at the engines of each service, as learnt so far.
  [[nodiscard]] const std::map<routing::service_id, balance::engine_cost_model>
      &engine_models() const {
    return engine_models_;
  }

private:
  [[nodiscard]] routing::exclusion
  exclusion_of(const routing::instance &target, const routing::residency &home,
               const routing::traffic_place &place, timestamp now) const;
  /// When this gateway may send something to a replica that warms up.
  [[nodiscard]] timestamp next_send(const routing::instance &cold,
                                    timestamp now) const;
  void record_rejection(const routing::instance_id &id,
                        const std::string &reason, bool was_listed);
  /// A replica has just been taken out of the directory.
  void on_instance_removed(const routing::instance_ptr &gone);
  void apply_record(routing::instance_record record, bool written_again);
  void update_slow_start(routing::instance &entry);
  void end_slow_start(routing::instance &warm);
  void set_admissions(const routing::service_id &service);
  /// A replica as the policies see it.
  [[nodiscard]] balance::candidate candidate_of(const routing::instance &each,
                                                const client_request &request,
                                                timestamp now) const;
  /// Adds what the other gateways have at engines, and how those answer.
  void add_engine_loads(std::vector<balance::candidate> &candidates,
                        const std::vector<routing::instance_ptr> &engines,
                        double turn_ms, timestamp now) const;
  void update_prefix_capacity(const routing::service_id &service);
  /// Forgets what belongs to the earlier start.
  void on_started_again(const routing::instance &before,
                        const routing::instance_record &now);
  void log_outdated(const routing::instance_record &entry) const;
  /// @return false when it was not listed.
  bool unlist(const routing::instance_id &id);

  selector_options options_;
  upstream_pool &pool_;
  std::shared_ptr<const routing::route_table> routes_;
  routing::instance_directory directory_;
  routing::rejected_entries rejected_;
  /// No longer listed; requests of this gateway may still run there.
  std::vector<routing::instance_ptr> finishing_;
  routing::zone_drains drains_;
  /// Of the admissions of all replicas.
  balance::admission_share share_;
  std::map<routing::service_id, balance::engine_cost_model> engine_models_;
  /// Smoothed time of an answer, by route, in milliseconds.
  std::map<std::string, double> mean_response_ms_;
  std::mt19937_64 random_{draw_system_random()};
};

} // namespace heathtrestle::forwarding
