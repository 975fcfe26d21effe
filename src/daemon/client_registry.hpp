// Registry of the open client requests of this process. It routes replies,
// streamed text and status rows to the fiber that waits for them.
#pragma once

#include "runtime/mailbox.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace heathtrestle::daemon {

/// A message to the fiber that waits for a request.
using client_message =
    std::variant<wire::ReplyToClient, wire::StreamToClient, wire::StatusReply>;
using client_mailbox = runtime::mailbox<client_message>;

class client_registry {
public:
  /// Registers a request for the lifetime of the returned handle.
  class handle {
  public:
    handle(client_registry &registry, std::string id);
    ~handle();
    handle(const handle &) = delete;
    handle &operator=(const handle &) = delete;

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] client_mailbox &mailbox() { return *mailbox_; }

  private:
    client_registry &registry_;
    std::string id_;
    std::shared_ptr<client_mailbox> mailbox_;
  };

  /// Puts a message into the mailbox of a request. Messages for requests that
  /// are no longer registered are dropped.
  void deliver(const std::string &id, client_message message);

private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<client_mailbox>> mailboxes_;
};

} // namespace heathtrestle::daemon
