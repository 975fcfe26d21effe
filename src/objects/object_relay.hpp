// A storage node's side of object replication: keeps copies of the watched
// objects for the processes that follow it. Most relays of a large fleet follow
// another relay in turn (`relay_order`); the others watch the object store,
// which limits it to a few watchers. Works only while it has followers.
#pragma once

#include "objects/change_log.hpp"
#include "objects/object_follower.hpp"
#include "objects/object_watch.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::objects {

class object_relay {
public:
  /// Sends one message to a gateway.
  using sender =
      std::function<void(const std::string &address, const wire::Envelope &)>;

  /// @param self "ip:port" of this node.
  /// @param watches one for each kind that is relayed.
  object_relay(asio::io_context &io, object_store &store, std::string self,
               std::vector<watch_options> watches, sender send);

  /// Makes this relay follow others.
  /// @param upstream must outlive the relay. While it knows no relay or none is
  /// current, this one watches the store itself.
  void follow(object_follower &upstream);
  /// Starts the watches, which stay idle until a gateway follows.
  void start();
  /// Answers a follower's heartbeat.
  void on_follow(const wire::FollowObjects &follow);

private:
  struct kind_copy {
    change_log log;
    std::unique_ptr<object_watch> watch;
  };
  struct follower {
    std::map<std::string, follower_revision> have;
    /// When all objects of a kind were last sent in packed form.
    std::map<std::string, timestamp> packed_sent_at;
    timestamp last_heard_at{};
  };

  object_watch::handlers make_handlers(kind_copy &copy);
  [[nodiscard]] bool has_followers() const;
  /// True while the relay that this one follows is current.
  [[nodiscard]] bool is_fed() const;
  [[nodiscard]] bool is_current(const kind_copy &copy) const;
  /// True while the copy of a kind is being fetched, for the first time or
  /// because changes were missed.
  [[nodiscard]] bool is_loading(const kind_copy &copy) const;
  /// Follows the upstream relay while there are followers; runs until the
  /// process ends.
  asio::awaitable<void> follow_upstream();
  /// Whether the follower may be sent all objects in packed form now: it has
  /// probably applied the last ones, and not too many other followers are being
  /// sent theirs.
  [[nodiscard]] bool may_send_packed(const follower &to,
                                     const std::string &kind,
                                     timestamp now) const;
  /// True while a packed list that was sent to the follower is probably in
  /// transit.
  static bool is_in_transit(const follower &to, const std::string &kind,
                            timestamp now);
  void schedule_push();
  void push();
  /// Sends a follower the changes that it has not received.
  /// @param heartbeat the heartbeat to answer; null for a pushed update, which
  /// leaves out kinds without changes.
  void send_update(const std::string &address, follower &to,
                   const wire::FollowObjects *heartbeat);

  asio::io_context &io_;
  object_store &store_;
  std::string self_;
  sender send_;
  object_cache cache_;
  std::map<std::string, kind_copy> kinds_;
  std::map<std::string, follower> followers_;
  object_follower *upstream_ = nullptr;
  bool follows_upstream_ = false;
  timestamp last_heartbeat_at_{};
  bool push_posted_ = false;
};

} // namespace heathtrestle::objects
