#include "daemon/client_registry.hpp"

#include <utility>

namespace heathtrestle::daemon {

client_registry::handle::handle(client_registry &registry, std::string id)
    : registry_(registry), id_(std::move(id)),
      mailbox_(std::make_shared<client_mailbox>()) {
  const std::scoped_lock lock(registry_.mutex_);
  registry_.mailboxes_[id_] = mailbox_;
}

client_registry::handle::~handle() {
  const std::scoped_lock lock(registry_.mutex_);
  registry_.mailboxes_.erase(id_);
}

void client_registry::deliver(const std::string &id, client_message message) {
  std::shared_ptr<client_mailbox> target;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = mailboxes_.find(id);
    if (found == mailboxes_.end()) {
      return;
    }
    target = found->second;
  }
  target->push(std::move(message));
}

} // namespace heathtrestle::daemon
