// A storage node's side of object replication: keeps copies of the watched
// objects for the processes that follow it. Most relays of a large fleet follow
// another relay in turn (`relay_order`); the others watch the object store,
// which limits it to a few watchers. Works only while it has followers.
#pragma once

#include "objects/change_log.hpp"
#include "objects/object_follower.hpp"
#include "objects/object_watch.hpp"

#include <cstddef>
#include <cstdint>
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
  /// Answers a follower's heartbeat. One that names no kinds only registers the
  /// follower for broadcasts.
  void on_follow(const wire::FollowObjects &follow);
  /// Sends a message to all followers at once.
  void broadcast(const wire::Envelope &envelope);

private:
  struct kind_copy {
    change_log log;
    std::unique_ptr<object_watch> watch;
  };
  /// What a follower was sent of one kind and has not confirmed yet.
  struct unconfirmed {
    std::size_t bytes = 0;
    /// The revision that the follower reports once it has applied them.
    std::uint64_t revision = 0;
    timestamp sent_at{};

    /// True while much is probably still in transit or being applied.
    [[nodiscard]] bool is_long(timestamp now) const;
    /// Adds a message that brings the follower to a revision.
    void add(std::size_t sent, std::uint64_t reached, timestamp now);
  };
  struct follower {
    std::map<std::string, follower_revision> have;
    std::map<std::string, unconfirmed> sent;
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
  /// Whether the follower may be sent an update now: it has applied most of
  /// what it was sent, and when it needs all objects, not too many other
  /// followers are being sent theirs.
  [[nodiscard]] bool may_send(const follower &to, const std::string &kind,
                              const change_log &log, timestamp now) const;
  void schedule_push();
  void push();
  void forget_silent_followers(timestamp now);
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
