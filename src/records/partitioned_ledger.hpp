// A gateway's client for the whole record group: one `ledger_client` per
// partition, and the search for turns that another partition holds.
#pragma once

#include "records/group_failure_detector.hpp"
#include "records/ledger_client.hpp"
#include "records/turn_ledger.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::records {

class partitioned_ledger : public turn_ledger {
public:
  /// @param options options of each client; the partition's number is set here.
  /// @param partitions at least one; the same number in every process.
  partitioned_ledger(asio::io_context &io, const ledger_options &options,
                     std::size_t partitions, const ledger_client::sender &send);

  /// When the program's partition does not know the previous turn, it is
  /// searched in all others; its chain is then copied durably to the program's
  /// partition before the turn is granted. Returns `unknown_turn` only when
  /// every partition has said so.
  asio::awaitable<turn_grant> begin(turn_request request,
                                    timestamp deadline) override;
  asio::awaitable<bool> finish(turn_end end, timestamp deadline) override;
  void settle(turn_end end) override;
  /// Asks the partition that keeps the tenant's account.
  asio::awaitable<permit_answer> take_permit(permit_request request,
                                             timestamp deadline) override;

  asio::awaitable<crash_verdict> report_crashes(crash_report report,
                                                timestamp deadline) override;
  /// Sends a notice to all known storage nodes, which forward it to the
  /// gateways that follow them.
  void announce(crash_notice notice) override;

  [[nodiscard]] bool cut_off() const override { return detector_.cut_off(); }
  [[nodiscard]] std::vector<storage_place> storage_places() const override;
  /// Updates the failure detector, and sends probes while the group is
  /// unreachable. To be called often.
  void check_reachability();
  /// Applies what other gateways reported while this one does not reach the
  /// group.
  void on_peer_reachability(peer_reachability reported);
  [[nodiscard]] const group_failure_detector &failure_detector() const {
    return detector_;
  }

  /// Handles a reply of the group.
  void on_message(const wire::Envelope &envelope);
  /// Adds storage nodes found by other means to the known ones.
  void learn_members(const wire::RecordMembers &members);
  [[nodiscard]] const wire::RecordMembers &members() const;
  /// True when any partition's client is unresponsive.
  [[nodiscard]] bool is_unresponsive() const;
  /// Number of turn ends not confirmed yet, over all partitions.
  [[nodiscard]] std::size_t unsettled() const;

  /// Ticks all clients; runs until the process ends.
  asio::awaitable<void> run();

private:
  struct turn_search;

  /// Searches all partitions but `home` for the chain that ends with `last`.
  /// Returns `unknown_turn` only when each of them says so.
  asio::awaitable<turn_grant> find_in_other_partitions(std::string last,
                                                       std::size_t home,
                                                       timestamp deadline);
  asio::awaitable<void> search_in(std::size_t number, std::string last,
                                  timestamp deadline,
                                  std::shared_ptr<turn_search> search);
  /// @param key a program or a tenant.
  ledger_client &client_of(const std::string &key);
  /// Makes the clients tick at their interval again.
  void end_pause();

  asio::io_context &io_;
  ledger_client::sender send_;
  asio::steady_timer tick_timer_;
  /// True while `run` waits for the longer interval of idle clients.
  bool paused_ = false;
  std::vector<std::unique_ptr<ledger_client>> clients_;
  group_failure_detector detector_;
  timestamp next_probe_{};
};

} // namespace heathtrestle::records
