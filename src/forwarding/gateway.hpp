// What all client connections of one forwarding gateway share. Used from one
// thread only, so nothing here is locked.
#pragma once

#include "forwarding/attempt_plan.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/gateway_metrics.hpp"
#include "forwarding/header_names.hpp"
#include "forwarding/replica_selector.hpp"
#include "forwarding/tenant_gate.hpp"
#include "forwarding/upstream_pool.hpp"
#include "records/turn_cache.hpp"
#include "records/turn_ledger.hpp"
#include "routing/route_table.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace heathtrestle::forwarding {

struct gateway_options {
  std::string name;
  header_names headers;
  selector_options selection;
  tenant_gate_options tenants;
  pool_options pool;
  plan_limits plan;
  /// Time to read a body whose header is complete.
  duration_ms body_timeout{10000};
  /// Largest answer that is held in memory before it is passed on, bytes.
  std::uint64_t answer_limit = 16U << 20U;
  /// Bytes of retained turns that are kept here.
  std::size_t turn_cache_bytes = 32U << 20U;
};

class client_session;

class gateway {
public:
  /// @param ledger outlives the gateway.
  gateway(asio::io_context &io, gateway_options options,
          records::turn_ledger &ledger);
  /// Sessions that are still open may be destroyed later, with `io`.
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Takes in a configuration. An older one than the present is ignored: what
  /// is in force only moves up.
  void apply_routes(routing::configuration settings);
  /// Null until a configuration is known.
  [[nodiscard]] const std::shared_ptr<const routing::route_table> &
  routes() const {
    return routes_;
  }

  /// Which replica a request goes to, and what is known of them.
  [[nodiscard]] replica_selector &replicas() { return replicas_; }
  [[nodiscard]] const replica_selector &replicas() const { return replicas_; }

  /// Decides on a request that has just come, by `routes`.
  admission admit(const client_request &request, const routing::route &route,
                  const routing::route_table &routes);
  /// Why a request that was admitted may not be sent any more, if it may not.
  [[nodiscard]] std::optional<refusal_cause>
  recheck_admission(const client_request &request,
                    const routing::route &route) const;
  /// The configuration was current at `moment`.
  void confirm_configuration(timestamp moment) { tenants_.confirm(moment); }
  /// Tells whether the other gateways cannot confirm theirs either.
  void set_unconfirmed_everywhere(std::function<bool()> asked) {
    unconfirmed_everywhere_ = std::move(asked);
  }
  /// When to come back with a key that cannot be relied on at the moment: soon
  /// where another gateway can serve, else when the store may be back.
  [[nodiscard]] duration_ms unconfirmed_retry();
  /// Tells the log and the metrics how a request for a permit was answered.
  void record_permit(const client_request &request,
                     const records::permit_request &wanted,
                     const records::permit_answer &answer);

  /// True once routes, replicas and the zones that are drained are known, until
  /// this gateway's own drain begins, and while
  /// this gateway is not the only one that cannot serve turns.
  [[nodiscard]] bool ready() const {
    return !draining_ && routes_ != nullptr &&
           replicas_.directory().size() > 0 && replicas_.drains().known() &&
           !ledger_.cut_off() && keys_are_fresh();
  }
  /// False while the configuration is too old to tell whose a key is.
  [[nodiscard]] bool keys_are_fresh() const {
    return routes_ != nullptr &&
           tenants_.keys_are_fresh(*routes_, steady_now());
  }
  /// From now on new requests are refused as not run: what is left of the time
  /// to stop is for those under way.
  void refuse_new_requests() { refusing_ = true; }
  [[nodiscard]] bool refusing() const { return refusing_; }
  /// Answers what is under way and what still comes, and closes each
  /// connection behind its answer.
  void begin_drain();
  [[nodiscard]] bool draining() const { return draining_; }
  /// True while clients had better come to another gateway with their next
  /// request: their connections are closed behind the answers.
  [[nodiscard]] bool should_close_connections() const {
    return draining_ || ledger_.cut_off() || !keys_are_fresh();
  }
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
  /// True while no client is connected.
  [[nodiscard]] bool idle() const { return sessions_.empty(); }

  /// Brings those figures up to date that are worked out when asked for.
  void refresh_metrics();

  void on_request_started() { ++open_requests_; }
  void on_request_finished() { --open_requests_; }
  void add_session(client_session &session) { sessions_.insert(&session); }
  void remove_session(client_session &session) { sessions_.erase(&session); }

  [[nodiscard]] asio::io_context &io() { return io_; }
  [[nodiscard]] const gateway_options &options() const { return options_; }
  [[nodiscard]] upstream_pool &pool() { return pool_; }
  [[nodiscard]] records::turn_ledger &ledger() { return ledger_; }
  [[nodiscard]] records::turn_cache &turns() { return turns_; }
  [[nodiscard]] routing::split_rotation &rotation() { return rotation_; }
  [[nodiscard]] gateway_metrics &metrics() { return metrics_; }

private:
  /// Drops copies that may lie here no longer, and tells of home regions that
  /// nobody knows.
  void apply_home_regions(const routing::configuration &settings);

  asio::io_context &io_;
  gateway_options options_;
  records::turn_ledger &ledger_;
  std::shared_ptr<const routing::route_table> routes_;
  /// Home regions of the configuration in which no zone lies.
  std::set<std::string> unknown_homes_;
  routing::split_rotation rotation_;
  tenant_gate tenants_;
  std::function<bool()> unconfirmed_everywhere_ = [] { return false; };
  upstream_pool pool_;
  replica_selector replicas_;
  records::turn_cache turns_;
  gateway_metrics metrics_;
  std::mt19937_64 random_{std::random_device{}()};
  std::set<client_session *> sessions_;
  std::size_t open_requests_ = 0;
  bool draining_ = false;
  bool refusing_ = false;
};

} // namespace heathtrestle::forwarding
