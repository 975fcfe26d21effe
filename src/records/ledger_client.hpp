// The gateway's side of one partition of the record group: finds the leader,
// asks again when an answer does not come, and joins what is asked at about the
// same time.
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
  /// "ip:port" on which the group's answers arrive.
  std::string address;
  /// The partition of the record group that is asked.
  std::uint32_t partition = 0;
  /// A question is asked again after this long at the least, and of a group
  /// that answers slowly after more (`retry_timeout`).
  duration_ms min_retry_timeout{250};
  duration_ms max_retry_timeout{1500};
  /// Ends that nobody waits for travel with the next question, at the latest
  /// after this long.
  duration_ms settle_delay{150};
  /// Ends that cannot be recorded are tried this long.
  duration_ms settle_timeout{30000};
  /// What this process has seen of watched objects; told with each question.
  std::function<wire::SeenRevisions()> seen;
  /// Gets what any gateway has seen, with each answer.
  std::function<void(const wire::SeenRevisions &)> on_seen;
  /// This process's own requests at replicas; told with a question, so often
  /// at most. Empty for a client that tells none.
  std::function<wire::ReplicaLoads()> loads;
  duration_ms loads_interval{200};
  /// Gets what the others have told, with the answer to such a question.
  std::function<void(const wire::SharedLoads &)> on_loads;
  /// How long callers are held while no leader answers: longer than an election
  /// after the loss of a leader, which takes about a second.
  duration_ms unserved_after{1500};
  /// Silence of all nodes after which their addresses are looked up again.
  duration_ms lookup_after{1000};
};

class ledger_client : public turn_ledger {
public:
  /// Sends one message to a node of the group.
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param send may be replaced in tests; does not block.
  ledger_client(asio::io_context &io, ledger_options options, sender send);

  asio::awaitable<turn_grant> begin(turn_request request,
                                    timestamp deadline) override;
  asio::awaitable<bool> finish(turn_end end, timestamp deadline) override;
  void settle(turn_end end) override;
  asio::awaitable<permit_answer> take_permit(permit_request request,
                                             timestamp deadline) override;

  /// Asks for the turns that lead to `last`, whichever program kept them.
  asio::awaitable<turn_grant> read(std::string last, timestamp deadline);

  /// Takes in an answer of the group.
  void on_message(const wire::Envelope &envelope);

  /// Storage nodes found elsewhere; they are added to those known.
  void learn_members(const wire::RecordMembers &members);
  [[nodiscard]] const wire::RecordMembers &members() const { return members_; }
  /// True when nothing has answered for a while though something was asked.
  [[nodiscard]] bool is_unresponsive() const;
  /// Since when something has been waiting for an answer while nothing at all
  /// was heard of this partition; the epoch when nothing waits.
  [[nodiscard]] timestamp unanswered_since() const;
  /// Asks the next node whether it is there; it answers at once.
  void probe();
  /// Ends the wait for grants and permits that have not come: they are
  /// `unavailable`.
  void cancel_grants();
  /// Ends that are not confirmed yet.
  [[nodiscard]] std::size_t unsettled() const { return unsettled_; }

  /// Resends what was not answered. To be called every `tick_interval`.
  void tick();
  static constexpr duration_ms tick_interval{25};

private:
  struct pending {
    explicit pending(asio::io_context &io) : done(io) {}

    wire::RecordChange change;
    timestamp added{};
    timestamp deadline{};
    timestamp sent{}; // zero: to be sent
    timestamp first_sent{};
    std::string sent_to; // the node that it was sent to
    std::uint32_t send_count = 0;
    bool awaited = false;
    bool answered = false;
    wire::RecordReplyItem reply;
    /// Cancelled when the answer is there.
    asio::steady_timer done;
  };
  using pending_ptr = std::shared_ptr<pending>;

  /// Refuses at once.
  [[nodiscard]] turn_grant refusal() const;
  /// Asks the node at `leader_` whether it is there.
  void probe_leader();
  /// Notices that no leader answers any more, and asks whether one is back.
  void update_breaker(timestamp now);
  /// Asks for a change and waits for its answer.
  asio::awaitable<pending_ptr> submit_and_wait(wire::RecordChange change,
                                               timestamp deadline);
  /// Has the copies that a turn brings recorded right before it: they are
  /// numbered before the question that is asked next, and travel with it.
  void send_copies(const turn_request &request, timestamp deadline);
  static turn_grant to_grant(const pending &entry);
  static permit_answer to_permit(const pending &entry);
  /// The answer, or a refusal where the partition has turned unserved
  /// meanwhile.
  [[nodiscard]] turn_grant outcome_of(const pending &entry) const;
  std::uint64_t add_pending(pending_ptr entry);
  asio::awaitable<void> wait_for(pending_ptr entry, std::uint64_t id);
  void flush_soon();
  void flush();
  void complete_requests(const wire::RecordReply &reply);
  void handle_not_leader(const wire::RecordReply &reply);
  void try_next_member();
  /// True when the node that was asked still counts as the leader and has not
  /// answered anything since.
  [[nodiscard]] bool leader_is_silent_since(const pending &entry) const;

  asio::io_context &io_;
  ledger_options options_;
  sender send_;
  std::map<std::uint64_t, pending_ptr> pending_;
  /// Begins at random: an answer to an earlier process at this address, which
  /// may come seconds after its end, must meet no id of this one.
  std::uint64_t next_id_;
  wire::RecordMembers members_;
  std::uint64_t members_hash_ = 0;
  std::string leader_;
  std::size_t next_member_ = 0;
  retry_timeout retry_timeout_;
  partition_circuit_breaker breaker_;
  /// A node has named `leader_`, and it was not asked since.
  bool leader_hint_unprobed_ = false;
  timestamp last_answer_{};
  timestamp leader_answered_{};
  timestamp first_unanswered_{};
  timestamp loads_sent_at_{};
  bool flush_posted_ = false;
  std::size_t unsettled_ = 0;
};

} // namespace heathtrestle::records
