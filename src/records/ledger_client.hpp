// A gateway's client for one partition of the record group. Finds the leader,
// retries requests that are not answered, and batches requests that are made at
// about the same time.
#pragma once

#include "records/partition_circuit_breaker.hpp"
#include "records/retry_timeout.hpp"
#include "records/turn_ledger.hpp"
#include "rpc/transport.hpp"
#include "runtime/asio.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::records {

struct ledger_options {
  /// "ip:port" at which replies arrive.
  std::string address;
  /// The partition that requests are sent to.
  std::uint32_t partition = 0;
  /// Bounds of the timeout after which a request is sent again
  /// (`retry_timeout`).
  duration_ms min_retry_timeout{250};
  duration_ms max_retry_timeout{1500};
  /// Turn ends that no caller waits for are sent with the next request, or
  /// after this long at the latest.
  duration_ms settle_delay{150};
  /// Turn ends that cannot be recorded are retried for this long.
  duration_ms settle_timeout{30000};
  /// Returns the revisions of watched objects that this process has seen, sent
  /// with each request.
  std::function<wire::SeenRevisions()> seen;
  /// Called with each reply, with the revisions that any gateway has seen.
  std::function<void(const wire::SeenRevisions &)> on_seen;
  /// Returns this process's own load report, sent with a request at most once
  /// per `loads_interval`. Empty for a client that reports none.
  std::function<wire::ReplicaLoads()> loads;
  duration_ms loads_interval{200};
  /// Called when a request becomes pending.
  std::function<void()> on_pending;
  /// Called with the loads of the other gateways, which come with the reply to
  /// a load report.
  std::function<void(const wire::SharedLoads &)> on_loads;
  /// How long callers wait while no leader answers. Longer than an election
  /// after the loss of a leader, which takes about a second.
  duration_ms unserved_after{1500};
  /// The addresses of the nodes are looked up again after this long without a
  /// reply.
  duration_ms lookup_after{1000};
};

class ledger_client : public turn_ledger {
public:
  /// Sends one message to a node of the group.
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param send sends a message without blocking.
  ledger_client(asio::io_context &io, ledger_options options, sender send);

  asio::awaitable<turn_grant> begin(turn_request request,
                                    timestamp deadline) override;
  asio::awaitable<bool> finish(turn_end end, timestamp deadline) override;
  void settle(turn_end end) override;
  asio::awaitable<permit_answer> take_permit(permit_request request,
                                             timestamp deadline) override;

  asio::awaitable<crash_verdict> report_crashes(crash_report report,
                                                timestamp deadline) override;
  /// Does nothing: one client reaches the nodes of one partition.
  void announce(crash_notice) override {}

  /// Reads the chain of turns that ends with `last`, whichever program recorded
  /// them.
  asio::awaitable<turn_grant> read(std::string last, timestamp deadline);

  /// Handles a reply of the group; ignores other messages.
  void on_message(const wire::Envelope &envelope);

  /// Adds storage nodes found by other means to the known ones.
  void learn_members(const wire::RecordMembers &members);
  [[nodiscard]] const wire::RecordMembers &members() const { return members_; }
  /// True when no node is known, or when nothing was received for
  /// `lookup_after` while requests were waiting.
  [[nodiscard]] bool is_unresponsive() const;
  /// Since when a request has been waiting without any message from this
  /// partition; the epoch when none waits.
  [[nodiscard]] timestamp unanswered_since() const;
  /// Sends an empty request to the next node, which answers at once.
  void probe();
  /// Ends the wait for outstanding grants and permits with `unavailable`.
  void cancel_grants();
  /// Number of turn ends that are not confirmed yet.
  [[nodiscard]] std::size_t unsettled() const { return unsettled_; }

  /// Sends requests that are due and resends those that timed out. To be called
  /// every `tick_interval`.
  void tick();
  static constexpr duration_ms tick_interval{25};
  /// True when no request is pending and no probe is due, so that calls of
  /// `tick` may pause until `on_pending` is called.
  [[nodiscard]] bool idle() const {
    return pending_.empty() && first_unanswered_ == timestamp{} &&
           breaker_.is_served();
  }

private:
  struct pending {
    explicit pending(asio::io_context &io) : done(io) {}

    wire::RecordChange change;
    timestamp added{};
    timestamp deadline{};
    timestamp sent{}; // zero when the request is to be sent
    timestamp first_sent{};
    std::string sent_to; // address of the node it was last sent to
    std::uint32_t send_count = 0;
    bool awaited = false;
    bool answered = false;
    wire::RecordReplyItem reply;
    /// Cancelled when the reply arrives.
    asio::steady_timer done;
  };
  using pending_ptr = std::shared_ptr<pending>;

  /// Returns a refusal with the retry time of the circuit breaker.
  [[nodiscard]] turn_grant refusal() const;
  /// Probes the node at `leader_`.
  void probe_leader();
  /// Opens the circuit breaker when no leader answers, and sends probes while
  /// it is open.
  void update_breaker(timestamp now);
  /// Submits a change and waits for its reply.
  asio::awaitable<pending_ptr> submit_and_wait(wire::RecordChange change,
                                               timestamp deadline);
  /// Queues the copied turns of a request. They get an id before the request
  /// that is submitted next and are sent in the same message, so that they are
  /// recorded right before it.
  void send_copies(const turn_request &request, timestamp deadline);
  [[nodiscard]] turn_grant to_grant(const pending &entry) const;
  static permit_answer to_permit(const pending &entry);
  /// Returns the reply, or a refusal when the circuit breaker has opened
  /// meanwhile.
  [[nodiscard]] turn_grant outcome_of(const pending &entry) const;
  std::uint64_t add_pending(pending_ptr entry);
  asio::awaitable<void> wait_for(pending_ptr entry, std::uint64_t id);
  /// Gives up ends that could not be recorded for `settle_timeout`.
  void drop_expired_ends(timestamp now);
  void flush_soon();
  void flush();
  void complete_requests(const wire::RecordReply &reply);
  void handle_not_leader(const wire::RecordReply &reply);
  void try_next_member();
  /// True when the node that received the request is still considered the
  /// leader and has not answered since.
  [[nodiscard]] bool leader_is_silent_since(const pending &entry) const;

  asio::io_context &io_;
  ledger_options options_;
  sender send_;
  std::map<std::uint64_t, pending_ptr> pending_;
  /// Starts at random: a reply to an earlier process at this address, which may
  /// arrive seconds after its end, must not match an id of this one.
  std::uint64_t next_id_;
  wire::RecordMembers members_;
  std::uint64_t members_hash_ = 0;
  std::string leader_;
  std::size_t next_member_ = 0;
  retry_timeout retry_timeout_;
  partition_circuit_breaker breaker_;
  /// A node has named `leader_`, which was not probed since.
  bool leader_hint_unprobed_ = false;
  timestamp last_answer_{};
  timestamp leader_answered_{};
  timestamp first_unanswered_{};
  timestamp loads_sent_at_{};
  bool flush_posted_ = false;
  std::size_t unsettled_ = 0;
};

} // namespace heathtrestle::records
