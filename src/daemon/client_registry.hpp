// The open requests of this process: where replies, text and status rows of
// the reducer find the fiber that waits for them.
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

/// What a waiting request can be told.
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

  /// Messages for requests that are gone are dropped.
  void deliver(const std::string &id, client_message message);

private:
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<client_mailbox>> mailboxes_;
};

} // namespace heathtrestle::daemon
