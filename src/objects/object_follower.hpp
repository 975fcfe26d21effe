// The follower's side of object replication: follows one storage node as its
// relay and switches to another when the relay stops answering or is not
// current. While no relay is current, the process watches the object store
// itself. Followers are the gateways and, in a large fleet, most of the relays.
//
// The nodes that watch the store are a few, one more than may fail at once, so
// that some gateway hears of every change. The others learn from the revisions
// in the record group's answers that they are behind (`object_watch::hint`).
#pragma once

#include "objects/object_watch.hpp"
#include "objects/relay_order.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <string>
#include <vector>

namespace heathtrestle::objects {

struct follow_options {
  /// "ip:port" at which this gateway receives copies.
  std::string address;
  /// Further relays whose broadcasts this process receives, so that it misses
  /// none while its own relay is down.
  std::size_t further_relays = 0;
  /// Interval at which it registers with these.
  duration_ms registration_interval{500};
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
  /// The grace period extends to this while a relay is loading its first copy.
  /// A list of tens of thousands of objects takes seconds.
  duration_ms loading_grace_period{10000};
  /// The copies count as current for so long after the last confirmation while
  /// the relay lists a long kind again. Other relays are likely to list it too.
  duration_ms loading_validity{2500};
};

class object_follower {
public:
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param relays returns the relays to follow, by the storage nodes that are
  /// known at present.
  object_follower(asio::io_context &io, follow_options options,
                  std::function<relay_order()> relays, sender send);

  /// Adds a kind to follow; `watch` must outlive the follower.
  void add(std::string kind, object_watch &watch);

  /// Calls `tick` at every heartbeat interval; runs until the process ends.
  asio::awaitable<void> run();
  /// Sends one heartbeat, after switching relays when the present one has timed
  /// out.
  void tick();
  /// Follows again after a pause: starts over with the startup grace period,
  /// and calls `tick`.
  void restart();
  void on_copies(const wire::ObjectCopies &copies);

  /// True while a relay has recently confirmed the copies, and during the
  /// startup grace period.
  [[nodiscard]] bool is_current() const;
  /// When the copies were last known to be complete: a current relay has
  /// confirmed them in answer to a heartbeat that was sent then. The epoch if
  /// none has.
  [[nodiscard]] timestamp confirmed_at() const { return confirmed_at_; }
  /// True while relays answer but none of those tried recently is current: the
  /// store is unavailable to them too.
  [[nodiscard]] bool no_relay_is_current() const;
  /// Address of the followed relay; empty before any is known.
  [[nodiscard]] const std::string &relay() const { return relay_; }
  [[nodiscard]] duration_ms heartbeat() const { return options_.heartbeat; }

private:
  struct followed_kind {
    std::string kind;
    object_watch *watch = nullptr;
  };

  /// Called when the relay answered that it is loading a copy.
  void on_loading();
  /// True until a relay has been current, for as long as one is likely to
  /// become it.
  [[nodiscard]] bool is_starting() const;
  void apply_copy(const wire::CopiedKind &copied, object_watch &watch);
  static void record_confirmation(const wire::ObjectCopies &copies,
                                  const wire::CopiedKind &copied,
                                  object_watch &watch);
  void switch_to_next_relay();
  void send_heartbeat();
  /// Registers for the broadcasts of the further relays.
  void register_with_others();
  object_watch *find_watch(const std::string &kind);

  asio::io_context &io_;
  follow_options options_;
  std::function<relay_order()> relays_;
  sender send_;
  std::vector<followed_kind> kinds_;
  std::string relay_;
  /// Its place in the order of relays.
  std::size_t relay_place_ = 0;
  timestamp next_registration_{};
  /// The number of relays tried since one was current.
  std::size_t relays_tried_ = 0;
  timestamp started_at_;
  /// When the present relay was chosen or last confirmed its copies.
  timestamp last_useful_at_{};
  /// When a relay last sent a message, current or not.
  timestamp last_answer_at_{};
  /// When the present relay last reported that it is loading a copy.
  timestamp last_loading_at_{};
  /// When a relay last confirmed the copies as current.
  timestamp last_current_at_{};
  timestamp confirmed_at_{};
  /// The copies count as current until this time.
  timestamp current_until_{};
};

} // namespace heathtrestle::objects
