// A storage node's side of the shared copies: it watches the object store for
// gateways that follow it, so that the store bears a few watchers a zone and
// not one a machine. It watches only while somebody follows.
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

  /// Starts the watches; they wait until somebody follows.
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
    timestamp heard{};
  };

  object_watch::handlers handlers_of(kind_copy &copy);
  [[nodiscard]] bool followed() const;
  void push_soon();
  void push();
  /// @param heartbeat the one that is answered; null where changes are pushed,
  /// without the kinds in which the follower lacks nothing.
  void send_to(const std::string &address, follower &to,
               const wire::FollowObjects *heartbeat);

  asio::io_context &io_;
  object_store &store_;
  std::string self_;
  sender send_;
  object_cache cache_;
  std::map<std::string, kind_copy> kinds_;
  std::map<std::string, follower> followers_;
  timestamp followed_at_{};
  bool push_posted_ = false;
};

} // namespace heathtrestle::objects
