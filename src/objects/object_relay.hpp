// A storage node's side of object replication: watches the object store on
// behalf of the gateways that follow it, which limits the store to a few
// watchers per zone. Watches only while it has followers.
#pragma once

#include "objects/change_log.hpp"
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
    timestamp last_heard_at{};
  };

  object_watch::handlers make_handlers(kind_copy &copy);
  [[nodiscard]] bool has_followers() const;
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
  timestamp last_heartbeat_at_{};
  bool push_posted_ = false;
};

} // namespace heathtrestle::objects
