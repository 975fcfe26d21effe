#include "forwarding/send_permit.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::forwarding {

namespace {

/// Fraction of the remaining time for which a request waits for its permit. A
/// client that is refused then can still retry at another gateway.
constexpr double permit_wait_fraction = 0.4;

} // namespace

send_permit::send_permit(gateway &shared, const client_request &request,
                         records::permit_request wanted, timestamp deadline)
    : gateway_(shared), request_(request), wanted_(std::move(wanted)),
      deadline_(deadline) {}

timestamp send_permit::wait_deadline() const {
  const timestamp now = steady_now();
  return now +
         std::chrono::duration_cast<duration_ms>(
             permit_wait_fraction * std::max(deadline_ - now, duration_ms{0}));
}

void send_permit::request() {
  const bool in_progress = pending_ && !pending_->answer;
  if (in_progress || is_valid()) {
    return;
  }
  used_ = false;
  pending_ = std::make_shared<pending_request>(gateway_.io());
  const timestamp until = wait_deadline();
  pending_->answered.expires_at(until);
  asio::co_spawn(
      gateway_.io(),
      [asked = pending_, &ledger = gateway_.ledger(), wanted = wanted_,
       until]() -> asio::awaitable<void> {
        asked->answer = co_await ledger.take_permit(wanted, until);
        asked->answered.cancel();
      },
      asio::detached);
}

asio::awaitable<bool> send_permit::wait() {
  constexpr int max_requests = 3;
  for (int asked = 0; asked < max_requests && !is_valid(); ++asked) {
    const bool refused =
        pending_ && pending_->answer &&
        pending_->answer->verdict != records::permit_verdict::granted;
    if (refused) {
      co_return false;
    }
    if (pending_ && pending_->answer && !used_) {
      gateway_.metrics().on_void_permit();
    }
    request();
    const std::shared_ptr<pending_request> waited = pending_;
    while (!waited->answer && steady_now() < waited->answered.expiry()) {
      co_await waited->answered.async_wait(as_result);
    }
    if (!waited->answer) {
      waited->answer = records::permit_answer{};
    }
    gateway_.record_permit(request_, wanted_, *waited->answer);
    // Further permits of this request belong to a program already started.
    wanted_.begins_program = false;
  }
  co_return is_valid();
}

bool send_permit::is_valid() const {
  return pending_ && pending_->answer && !used_ &&
         pending_->answer->verdict == records::permit_verdict::granted &&
         steady_now() < pending_->answer->good_until;
}

refused send_permit::refusal() const {
  const records::permit_answer none;
  const records::permit_answer &last =
      pending_ && pending_->answer ? *pending_->answer : none;
  switch (last.verdict) {
  case records::permit_verdict::used_up:
    return {.cause = refusal_cause::over_quota,
            .retry_after = last.retry_after};
  case records::permit_verdict::paced:
    return {.cause = refusal_cause::paced_programs,
            .retry_after = last.retry_after};
  case records::permit_verdict::granted: // but expired each time
  case records::permit_verdict::unavailable:
    break;
  }
  return {.cause = refusal_cause::unknown_quota,
          .retry_after = last.retry_after};
}

bool send_permit::consume() {
  if (!is_valid()) {
    return false;
  }
  used_ = true;
  return true;
}

} // namespace heathtrestle::forwarding
