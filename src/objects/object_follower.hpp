// A gateway's side of the shared copies: it follows one storage node and takes
// another one when that falls silent or cannot watch the object store itself.
// While none will do, the gateway watches the store on its own.
//
// All gateways together follow a few nodes, one more than may be lost at once,
// so that whatever is lost somebody hears of a change; by the revisions that
// travel with the record group's answers the others then learn that they are
// behind (`object_watch::hint`).
#pragma once

#include "objects/object_watch.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <string>
#include <vector>

namespace heathtrestle::objects {

/// A storage node that may be followed.
struct relay_address {
  std::string name;
  std::string address; // "ip:port"
  std::string zone;

  bool operator==(const relay_address &) const = default;
};

struct follow_options {
  /// "ip:port" on which the copies arrive.
  std::string address;
  /// Nodes that are followed by all gateways together, when all is well.
  std::size_t relays = 2;
  duration_ms heartbeat{250};
  /// A relay that has not said for this long that its copies are current is
  /// left: two heartbeats and the time in which one begins to watch.
  duration_ms relay_timeout{600};
  /// How long a relay's word that its copy is current counts. With the time to
  /// find another relay it must lie well below the time in which changes have
  /// to take effect.
  duration_ms confirmation_validity{900};
  /// How long relays are tried at the start of the process, when nobody knows
  /// any storage node yet.
  duration_ms startup_grace_period{2500};
};

class object_follower {
public:
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param relays the storage nodes that are known at the moment.
  object_follower(asio::io_context &io, follow_options options,
                  std::function<std::vector<relay_address>()> relays,
                  sender send);

  /// Adds a copy that is to be kept. The watch outlives the follower.
  void add(std::string kind, object_watch &watch);

  /// Sends heartbeats; runs until the process ends.
  asio::awaitable<void> run();
  /// One heartbeat; leaves a relay that is of no use.
  void tick();
  void on_copies(const wire::ObjectCopies &copies);

  /// True while a relay keeps the copies current.
  [[nodiscard]] bool is_current() const;
  /// True while relays answer and none of those tried lately is current: the
  /// store is away for others too.
  [[nodiscard]] bool no_relay_is_current() const;
  /// The relay that is followed; empty before any is known.
  [[nodiscard]] const std::string &relay() const { return relay_; }

private:
  struct followed {
    std::string kind;
    object_watch *watch = nullptr;
  };

  void take(const wire::CopiedKind &copied, object_watch &watch);
  static void record_confirmation(const wire::ObjectCopies &copies,
                                  const wire::CopiedKind &copied,
                                  object_watch &watch);
  void take_next_relay();
  void send_heartbeat();
  object_watch *watch_of(const std::string &kind);

  asio::io_context &io_;
  follow_options options_;
  std::function<std::vector<relay_address>()> relays_;
  sender send_;
  std::vector<followed> kinds_;
  std::string relay_;
  /// The first one that this gateway tries, and how many it has tried.
  std::size_t first_relay_;
  std::size_t tried_ = 0;
  timestamp started_;
  /// When the present relay was taken or was last known to be current.
  timestamp useful_{};
  /// When a relay last answered a heartbeat, current or not.
  timestamp answered_{};
  /// Until when the copies count as current.
  timestamp current_until_{};
};

/// The relays in the order in which they are tried, the same on all gateways.
/// Neighbours in it lie in different zones where there are several.
std::vector<relay_address>
sort_by_preference(std::vector<relay_address> relays);

} // namespace heathtrestle::objects
