#include "forwarding/send_permit.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::forwarding {

namespace {

/// Share of the time left that a request waits for its permit: whoever is
/// refused then can still ask another gateway.
constexpr double permit_patience = 0.4;

} // namespace

send_permit::send_permit(gateway &shared, const client_request &request,
                         records::permit_request wanted, timestamp deadline)
    : gateway_(shared), request_(request), wanted_(std::move(wanted)),
      deadline_(deadline) {}

timestamp send_permit::patience_ends() const {
  const timestamp now = steady_now();
  return now + std::chrono::duration_cast<duration_ms>(
                   permit_patience * std::max(deadline_ - now, duration_ms{0}));
}

void send_permit::ask() {
  const bool is_asking = question_ && !question_->answer;
  if (is_asking || is_good()) {
    return;
  }
  used_ = false;
  question_ = std::make_shared<question>(gateway_.io());
  const timestamp until = patience_ends();
  question_->answered.expires_at(until);
  asio::co_spawn(
      gateway_.io(),
      [asked = question_, &ledger = gateway_.ledger(), wanted = wanted_,
       until]() -> asio::awaitable<void> {
        asked->answer = co_await ledger.take_permit(wanted, until);
        asked->answered.cancel();
      },
      asio::detached);
}

asio::awaitable<bool> send_permit::wait() {
  constexpr int most_questions = 3;
  for (int asked = 0; asked < most_questions && !is_good(); ++asked) {
    const bool refused =
        question_ && question_->answer &&
        question_->answer->verdict != records::permit_verdict::granted;
    if (refused) {
      co_return false;
    }
    if (question_ && question_->answer && !used_) {
      gateway_.metrics().on_void_permit();
    }
    ask();
    const std::shared_ptr<question> waited = question_;
    while (!waited->answer && steady_now() < waited->answered.expiry()) {
      co_await waited->answered.async_wait(as_result);
    }
    if (!waited->answer) {
      waited->answer = records::permit_answer{};
    }
    gateway_.note_permit(request_, wanted_, *waited->answer);
    // What follows the first permit goes on with the program.
    wanted_.begins_program = false;
  }
  co_return is_good();
}

bool send_permit::is_good() const {
  return question_ && question_->answer && !used_ &&
         question_->answer->verdict == records::permit_verdict::granted &&
         steady_now() < question_->answer->good_until;
}

refused send_permit::refusal() const {
  const records::permit_answer none;
  const records::permit_answer &last =
      question_ && question_->answer ? *question_->answer : none;
  switch (last.verdict) {
  case records::permit_verdict::used_up:
    return {.cause = refusal_cause::over_quota,
            .retry_after = last.retry_after};
  case records::permit_verdict::paced:
    return {.cause = refusal_cause::paced_programs,
            .retry_after = last.retry_after};
  case records::permit_verdict::granted: // and void each time
  case records::permit_verdict::unavailable:
    break;
  }
  return {.cause = refusal_cause::unknown_quota,
          .retry_after = last.retry_after};
}

bool send_permit::use() {
  if (!is_good()) {
    return false;
  }
  used_ = true;
  return true;
}

} // namespace heathtrestle::forwarding
