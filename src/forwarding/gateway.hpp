// The state that all client connections of a forwarding gateway share: the
// configuration, the replica selector, tenant admission, the connection pool
// and the turn cache. It is used from a single thread and is not locked.
#pragma once

#include "forwarding/answer_memory.hpp"
#include "forwarding/answer_reader.hpp"
#include "forwarding/attempt_plan.hpp"
#include "forwarding/byte_budget.hpp"
#include "forwarding/client_request.hpp"
#include "forwarding/client_stream.hpp"
#include "forwarding/crash_notices.hpp"
#include "forwarding/gateway_metrics.hpp"
#include "forwarding/header_names.hpp"
#include "forwarding/replica_selector.hpp"
#include "forwarding/replica_watch.hpp"
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
  /// Time limit for reading a request body after its header.
  duration_ms body_timeout{10000};
  answer_limits answers;
  /// Bytes of each answer that are buffered in any case.
  std::size_t free_answer_bytes = 64U << 10U;
  /// Bytes beyond them that all answers may take together.
  std::size_t large_answers_limit = 16U << 20U;
  /// Bytes that may be held for open requests (`byte_budget`); 0 for no limit.
  std::size_t held_bytes_limit = 0;
  client_stream_options client_streams;
  /// A client that reads slowly must not be taken for a dead one.
  liveness_options client_liveness{.unacknowledged = client_stall_limit};
  replica_watch_options watch;
  /// Number of announced crashes that are remembered (`crash_notices`).
  std::size_t crash_notices = 4096;
  /// Capacity of the turn cache in bytes.
  std::size_t turn_cache_bytes = 32U << 20U;
};

class client_session;

class gateway {
public:
  /// @param ledger must outlive the gateway.
  gateway(asio::io_context &io, gateway_options options,
          records::turn_ledger &ledger);
  /// Open sessions may outlive the gateway and are destroyed with `io`.
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Applies a configuration. One that is not newer than the current one is
  /// ignored.
  void apply_routes(routing::configuration settings);
  /// Returns the current routes; null until a configuration is known.
  [[nodiscard]] const std::shared_ptr<const routing::route_table> &
  routes() const {
    return routes_;
  }

  /// Returns the selector of replicas.
  [[nodiscard]] replica_selector &replicas() { return replicas_; }
  [[nodiscard]] const replica_selector &replicas() const { return replicas_; }

  /// Decides by `routes` whether a request is admitted on its arrival.
  admission admit(const client_request &request, const routing::route &route,
                  const routing::route_table &routes);
  /// Checks by the current routes whether an admitted request may still be
  /// sent.
  /// @return the cause for refusing it, if any.
  [[nodiscard]] std::optional<refusal_cause>
  recheck_admission(const client_request &request,
                    const routing::route &route) const;
  /// Records that the configuration was current at `moment`.
  void confirm_configuration(timestamp moment) { tenants_.confirm(moment); }
  /// Sets the callback that returns whether the other gateways cannot confirm
  /// their configuration either.
  void set_unconfirmed_everywhere(std::function<bool()> asked) {
    unconfirmed_everywhere_ = std::move(asked);
  }
  /// Sets the callback that returns whether the listed replicas were confirmed
  /// a moment ago.
  void set_replicas_are_current(std::function<bool()> asked) {
    replicas_are_current_ = std::move(asked);
  }
  /// Returns whether the list of replicas is known to be current. That of a
  /// process that stood still or was cut off is not.
  [[nodiscard]] bool replicas_are_current() const {
    return replicas_are_current_();
  }
  /// Returns the Retry-After for a request whose key cannot be verified: short
  /// when another gateway can serve it, otherwise the time in which the object
  /// store may recover.
  [[nodiscard]] duration_ms unconfirmed_retry();
  /// Logs and counts the answer to a permit request.
  void record_permit(const client_request &request,
                     const records::permit_request &wanted,
                     const records::permit_answer &answer);

  /// Returns whether the gateway accepts new clients: routes, replicas and zone
  /// drains are known, it is not draining, it is not cut off from the record
  /// group, and its configuration is fresh enough to verify keys.
  [[nodiscard]] bool ready() const {
    return !draining_ && routes_ != nullptr &&
           replicas_.directory().size() > 0 && replicas_.drains().known() &&
           !ledger_.cut_off() && keys_are_fresh();
  }
  /// Returns whether the configuration is recent enough to verify keys.
  [[nodiscard]] bool keys_are_fresh() const {
    return routes_ != nullptr &&
           tenants_.keys_are_fresh(*routes_, steady_now());
  }
  /// Refuses new requests with 503 from now on, so that the remaining time
  /// before the process stops is left to those in progress.
  void refuse_new_requests() { refusing_ = true; }
  [[nodiscard]] bool refusing() const { return refusing_; }
  /// Starts draining: requests are still answered, but each connection is
  /// closed after its answer.
  void begin_drain();
  [[nodiscard]] bool draining() const { return draining_; }
  /// Returns whether connections are closed after each answer, so that clients
  /// reconnect to another gateway.
  [[nodiscard]] bool should_close_connections() const {
    return draining_ || ledger_.cut_off() || !keys_are_fresh();
  }
  [[nodiscard]] std::size_t open_requests() const { return open_requests_; }
  /// Returns whether no client is connected.
  [[nodiscard]] bool idle() const { return sessions_.empty(); }

  /// Updates the metrics that are computed on request.
  void refresh_metrics();

  void on_request_started();
  void on_request_finished();
  /// Books memory that is held for a request.
  [[nodiscard]] byte_budget::booking open_booking() const {
    return byte_budget::booking(held_bytes_);
  }
  [[nodiscard]] const byte_budget &held_bytes() const { return *held_bytes_; }
  /// Books memory for an answer that is buffered.
  [[nodiscard]] answer_memory book_answer() const {
    return {open_booking(), byte_budget::booking(large_answers_),
            options_.free_answer_bytes};
  }
  /// Books memory for the incomplete event of a stream, beyond what is free.
  [[nodiscard]] answer_memory book_partial_event() const {
    return {byte_budget::booking(), byte_budget::booking(large_answers_),
            options_.free_answer_bytes};
  }
  void add_session(client_session &session) { sessions_.insert(&session); }
  void remove_session(client_session &session) { sessions_.erase(&session); }

  [[nodiscard]] asio::io_context &io() { return io_; }
  [[nodiscard]] const gateway_options &options() const { return options_; }
  [[nodiscard]] upstream_pool &pool() { return pool_; }
  [[nodiscard]] records::turn_ledger &ledger() { return ledger_; }
  [[nodiscard]] records::turn_cache &turns() { return turns_; }
  [[nodiscard]] routing::split_rotation &rotation() { return rotation_; }
  [[nodiscard]] gateway_metrics &metrics() { return metrics_; }
  /// The requests under which replicas have crashed lately.
  [[nodiscard]] crash_notices &crashes() { return crashes_; }
  /// The replicas that run requests, and those followed after one was lost.
  [[nodiscard]] replica_watch &watch() { return watch_; }

private:
  /// Logs a change in the state of the byte budget.
  void check_held_bytes();
  /// Clears the turn cache when home regions have changed, and logs home
  /// regions that contain no known zone.
  void apply_home_regions(const routing::configuration &settings);

  asio::io_context &io_;
  gateway_options options_;
  records::turn_ledger &ledger_;
  std::shared_ptr<const routing::route_table> routes_;
  /// Home regions of the configuration that contain no known zone.
  std::set<std::string> unknown_homes_;
  routing::split_rotation rotation_;
  tenant_gate tenants_;
  std::function<bool()> unconfirmed_everywhere_ = [] { return false; };
  std::function<bool()> replicas_are_current_ = [] { return true; };
  upstream_pool pool_;
  replica_selector replicas_;
  records::turn_cache turns_;
  gateway_metrics metrics_;
  crash_notices crashes_;
  replica_watch watch_;
  std::mt19937_64 random_{std::random_device{}()};
  /// Shared with the bookings, which may outlive the gateway.
  std::shared_ptr<byte_budget> held_bytes_;
  std::shared_ptr<byte_budget> large_answers_;
  byte_budget::state held_bytes_state_ = byte_budget::state::free;
  std::set<client_session *> sessions_;
  std::size_t open_requests_ = 0;
  bool draining_ = false;
  bool refusing_ = false;
};

} // namespace heathtrestle::forwarding
