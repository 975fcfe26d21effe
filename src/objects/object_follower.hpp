// The gateway's side of object replication: follows one storage node as its
// relay and switches to another when the relay stops answering or cannot watch
// the object store. While no relay is current, the gateway watches the store
// itself.
//
// All gateways together follow a few nodes, one more than may fail at once, so
// that some gateway hears of every change. The others learn from the revisions
// in the record group's answers that they are behind (`object_watch::hint`).
#pragma once

#include "objects/object_watch.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <string>
#include <vector>

namespace heathtrestle::objects {

/// A storage node that can serve as a relay.
struct relay_address {
  std::string name;
  std::string address; // "ip:port"
  std::string zone;

  bool operator==(const relay_address &) const = default;
};

struct follow_options {
  /// "ip:port" at which this gateway receives copies.
  std::string address;
  /// Number of relays that all gateways together follow while none has failed.
  std::size_t relays = 2;
  duration_ms heartbeat{250};
  /// A relay that has not confirmed its copies as current for this long is
  /// replaced. Covers two heartbeats and the time in which a relay starts to
  /// watch.
  duration_ms relay_timeout{600};
  /// How long a relay's confirmation keeps the copies current. Together with
  /// the time to find another relay it must stay well below the time within
  /// which changes have to take effect.
  duration_ms confirmation_validity{900};
  /// After startup the copies count as current for this long without a
  /// confirmation, so that relays are tried before the store is watched.
  duration_ms startup_grace_period{2500};
};

class object_follower {
public:
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param relays returns the storage nodes that are known at present.
  object_follower(asio::io_context &io, follow_options options,
                  std::function<std::vector<relay_address>()> relays,
                  sender send);

  /// Adds a kind to follow; `watch` must outlive the follower.
  void add(std::string kind, object_watch &watch);

  /// Calls `tick` at every heartbeat interval; runs until the process ends.
  asio::awaitable<void> run();
  /// Sends one heartbeat, after switching relays when the present one has timed
  /// out.
  void tick();
  void on_copies(const wire::ObjectCopies &copies);

  /// True while a relay has recently confirmed the copies, and during the
  /// startup grace period.
  [[nodiscard]] bool is_current() const;
  /// True while relays answer but none of those tried recently is current: the
  /// store is unavailable to them too.
  [[nodiscard]] bool no_relay_is_current() const;
  /// Address of the followed relay; empty before any is known.
  [[nodiscard]] const std::string &relay() const { return relay_; }

private:
  struct followed_kind {
    std::string kind;
    object_watch *watch = nullptr;
  };

  void apply_copy(const wire::CopiedKind &copied, object_watch &watch);
  static void record_confirmation(const wire::ObjectCopies &copies,
                                  const wire::CopiedKind &copied,
                                  object_watch &watch);
  void switch_to_next_relay();
  void send_heartbeat();
  object_watch *find_watch(const std::string &kind);

  asio::io_context &io_;
  follow_options options_;
  std::function<std::vector<relay_address>()> relays_;
  sender send_;
  std::vector<followed_kind> kinds_;
  std::string relay_;
  /// Index of the first relay to try, and the number tried since one was
  /// current.
  std::size_t first_relay_;
  std::size_t relays_tried_ = 0;
  timestamp started_at_;
  /// When the present relay was chosen or last confirmed its copies.
  timestamp last_useful_at_{};
  /// When a relay last sent a message, current or not.
  timestamp last_answer_at_{};
  /// The copies count as current until this time.
  timestamp current_until_{};
};

/// Sorts relays into the order in which gateways try them, the same on all
/// gateways. Neighbours are in different zones where possible.
std::vector<relay_address>
sort_by_preference(std::vector<relay_address> relays);

} // namespace heathtrestle::objects
