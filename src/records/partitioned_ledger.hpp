// The gateway's side of the whole record group: one client for each partition,
// and the way of a program that goes on from a turn of another partition.
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
  /// @param options of each client; the partition's number is filled in here.
  /// @param partitions one at least; the same number in every process.
  partitioned_ledger(asio::io_context &io, const ledger_options &options,
                     std::size_t partitions, const ledger_client::sender &send);

  /// A turn that the program's own partition does not know is looked for in all
  /// others; its chain is then copied over, durably, before the turn is
  /// granted. Unknown is said only when every partition has said so.
  asio::awaitable<turn_grant> begin(turn_request request,
                                    timestamp deadline) override;
  asio::awaitable<bool> finish(turn_end end, timestamp deadline) override;
  void settle(turn_end end) override;
  /// A tenant's account is kept by one partition.
  asio::awaitable<permit_answer> take_permit(permit_request request,
                                             timestamp deadline) override;

  [[nodiscard]] bool cut_off() const override { return detector_.cut_off(); }
  [[nodiscard]] std::vector<storage_place> storage_places() const override;
  /// Notices silence of the whole group, and its end. To be called often.
  void check_reachability();
  /// What other gateways say while this one hears nothing.
  void on_peer_reachability(peer_reachability reported);
  [[nodiscard]] const group_failure_detector &failure_detector() const {
    return detector_;
  }

  /// Takes in an answer of the group.
  void on_message(const wire::Envelope &envelope);
  /// Storage nodes found elsewhere; they are added to those known.
  void learn_members(const wire::RecordMembers &members);
  [[nodiscard]] const wire::RecordMembers &members() const;
  /// True when some partition has not answered for a while.
  [[nodiscard]] bool is_unresponsive() const;
  /// Ends that are not confirmed yet, in all partitions.
  [[nodiscard]] std::size_t unsettled() const;

  /// Resends what was not answered; runs until the process ends.
  asio::awaitable<void> run();

private:
  struct turn_search;

  /// Finds the chain that ends with `last` outside partition `home`. Unknown
  /// only when every other partition says so.
  asio::awaitable<turn_grant> find_in_other_partitions(std::string last,
                                                       std::size_t home,
                                                       timestamp deadline);
  asio::awaitable<void> search_in(std::size_t number, std::string last,
                                  timestamp deadline,
                                  std::shared_ptr<turn_search> search);
  /// @param key a program, or a tenant.
  ledger_client &client_of(const std::string &key);

  asio::io_context &io_;
  std::vector<std::unique_ptr<ledger_client>> clients_;
  group_failure_detector detector_;
  timestamp next_probe_{};
};

} // namespace heathtrestle::records
