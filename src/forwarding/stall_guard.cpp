#include "forwarding/stall_guard.hpp"

namespace heathtrestle::forwarding {

stall_guard::stall_guard(tcp::socket &socket, duration_ms limit)
    : state_(std::make_shared<state>(socket)), limit_(limit) {
  on_progress();
}

stall_guard::~stall_guard() {
  state_->socket = nullptr;
  boost::system::error_code ignored;
  state_->timer.cancel(ignored);
}

void stall_guard::on_progress() {
  state_->timer.expires_after(limit_);
  state_->timer.async_wait(
      [guarded = state_](boost::system::error_code cancelled) {
        if (!cancelled && guarded->socket != nullptr) {
          boost::system::error_code ignored;
          guarded->socket->cancel(ignored);
        }
      });
}

} // namespace heathtrestle::forwarding
