// Keeps a request from crashing one replica after the other. The replicas that
// crashed under a request are counted in the record group, over all the
// attempts of its client at all gateways; once too many have, it is sent to
// none.
//
// A request costs nothing here until a replica crashes under it. From then on
// each send is allowed by the group beforehand (`records::crash_history`).
#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/gateway.hpp"
#include "forwarding/replica_check.hpp"
#include "records/turn_ledger.hpp"
#include "routing/instance_directory.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::forwarding {

class crash_limit {
public:
  /// @param request must outlive this object.
  /// @param deadline the time until which the client waits for its answer.
  crash_limit(gateway &shared, const client_request &request,
              const routing::route &route, const tenant_id &tenant,
              timestamp deadline);

  /// Applies the counts of the program's requests that came with a grant.
  void learn(const std::vector<records::crash_count> &counts);

  /// Asks for permission to send the request if replicas have crashed under it.
  /// @return false when it may not be sent; see `verdict`.
  asio::awaitable<bool> allow_send();
  [[nodiscard]] records::send_verdict verdict() const { return last_.verdict; }
  /// Returns the request's identity as text, for the log.
  [[nodiscard]] std::string name();
  /// Returns the last known count.
  [[nodiscard]] const records::crash_count &count() const {
    return last_.count;
  }

  /// Decides whether the request is kept apart from others at its next replica,
  /// which it is likely to crash. One crash says little, since it counts
  /// against all that ran at the replica; after it the request is isolated only
  /// while few replicas of the service are taken by such requests.
  bool decide_isolation(const routing::service_id &service);
  /// Returns the last decision.
  [[nodiscard]] bool is_isolated() const { return is_isolated_; }
  /// Tells the other gateways to which replica an isolated request is sent, and
  /// waits shortly, so that two of them do not share one.
  /// @return false when another one keeps the replica.
  asio::awaitable<bool> claim(routing::instance_ptr target);
  /// Tells the other gateways that an isolated request has left a replica.
  void on_left(const routing::instance &target);

  /// Finds out what became of a replica at which an attempt was lost, and
  /// counts a crash.
  /// @param sent_at when the attempt was sent.
  asio::awaitable<replica_fate> on_lost(routing::instance_ptr target,
                                        timestamp sent_at);
  /// Notes that this gateway has broken an attempt off, since its client left
  /// or its deadline passed.
  void on_aborted(routing::instance_ptr target, timestamp sent_at);

  /// Reports the crashes that are not reported yet, before the client is
  /// answered, since it may retry at once. Waits a short time.
  asio::awaitable<void> report();
  /// Reports the end of the request in the background. Without an answer, the
  /// replicas that may have survived its attempts are followed
  /// (`replica_watch`), and counted if they end.
  /// @param completed whether a replica has answered it completely.
  void finish(bool completed);

private:
  static constexpr std::uint32_t crashes_to_isolate = 2;

  /// An attempt whose replica was not found to have ended.
  struct unresolved_attempt {
    routing::instance_ptr target;
    timestamp sent_at{};
  };

  [[nodiscard]] request_identity identity();
  [[nodiscard]] records::crash_report make_report(bool wants_send,
                                                  bool completed);
  [[nodiscard]] static std::string draw_attempt();
  void add_crash(const routing::instance &target);
  /// Applies the group's answer in `last_`.
  void apply_verdict();
  /// Counts a crash of the replica once it is known to have ended.
  /// @param is_at_risk whether the group counts the attempt until then.
  void follow(const unresolved_attempt &lost, bool is_at_risk);

  gateway &gateway_;
  const client_request &request_;
  tenant_id tenant_;
  duration_ms retention_;
  timestamp deadline_;

  /// Computed when it is needed first.
  std::optional<request_identity> identity_;
  /// Distinguishes this attempt of the client from its others.
  std::string attempt_;
  std::uint32_t reports_ = 0;
  /// The replicas that are known to have crashed under the request, at any
  /// gateway.
  std::uint32_t crashes_ = 0;
  bool may_send_ = false;
  bool is_isolated_ = false;
  std::vector<std::string> unreported_; // names of replicas
  std::vector<unresolved_attempt> unresolved_;
  records::crash_verdict last_;
};

} // namespace heathtrestle::forwarding
