#include "records/crash_history.hpp"

#include <algorithm>

namespace heathtrestle::records {

std::size_t crash_history::request_state::at_risk() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      attempts, [](const auto &each) { return each.second.at_risk; }));
}

wire::RecordReplyItem crash_history::report(const wire::ReportCrashes &reported,
                                            std::uint64_t now_ms) {
  std::erase_if(requests_, [now_ms](const auto &entry) {
    return now_ms >= entry.second.expires_ms;
  });
  request_state &request = requests_[reported.request()];
  request.expires_ms =
      std::max(request.expires_ms, now_ms + reported.keep_ms());
  attempt_state &attempt = request.attempts[reported.attempt()];
  if (reported.number() > attempt.last_report) {
    attempt.last_report = reported.number();
    attempt.at_risk = false;
    apply(reported, request);
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(attempt.at_risk ? wire::RECORD_GRANTED : wire::RECORD_DONE);
  *reply.add_crash_counts() = count_of(reported.request(), request);
  return reply;
}

std::optional<wire::RecordReplyItem>
crash_history::decided_outcome(const wire::ReportCrashes &reported,
                               std::uint64_t now_ms) const {
  const auto known = requests_.find(reported.request());
  const bool only_asks = reported.crashed().empty() && !reported.completed();
  const bool is_refused =
      known != requests_.end() && now_ms < known->second.expires_ms &&
      known->second.crashed.size() >= max_crashed_replicas &&
      !known->second.attempts.contains(reported.attempt());
  if (!only_asks || !is_refused) {
    return std::nullopt;
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_DONE);
  *reply.add_crash_counts() = count_of(known->first, known->second);
  return reply;
}

void crash_history::apply(const wire::ReportCrashes &reported,
                          request_state &request) {
  request.crashed.insert(reported.crashed().begin(), reported.crashed().end());
  if (reported.completed()) {
    request.crashed.clear();
  }
  const std::size_t possible = request.crashed.size() + request.at_risk();
  request.attempts[reported.attempt()].at_risk =
      reported.wants_send() && possible < max_crashed_replicas;
}

wire::CrashCount crash_history::count_of(std::uint64_t id,
                                         const request_state &request) {
  wire::CrashCount count;
  count.set_request(id);
  count.set_crashed(static_cast<std::uint32_t>(request.crashed.size()));
  count.set_at_risk(static_cast<std::uint32_t>(request.at_risk()));
  return count;
}

void crash_history::add_counts(wire::RecordReplyItem &reply,
                               std::uint64_t now_ms) const {
  for (const auto &[id, request] : requests_) {
    const bool is_suspected = !request.crashed.empty() || request.at_risk() > 0;
    if (is_suspected && now_ms < request.expires_ms) {
      *reply.add_crash_counts() = count_of(id, request);
    }
  }
}

void crash_history::save(wire::RecordProgram &saved) const {
  for (const auto &[id, request] : requests_) {
    wire::RecordedCrashes &crashes = *saved.add_crashes();
    crashes.set_request(id);
    crashes.set_expires_ms(request.expires_ms);
    for (const std::string &replica : request.crashed) {
      crashes.add_crashed(replica);
    }
    for (const auto &[name, attempt] : request.attempts) {
      wire::RecordedRisk &risk = *crashes.add_attempts();
      risk.set_attempt(name);
      risk.set_number(attempt.last_report);
      risk.set_at_risk(attempt.at_risk);
    }
  }
}

crash_history crash_history::restore(const wire::RecordProgram &saved) {
  crash_history history;
  for (const wire::RecordedCrashes &crashes : saved.crashes()) {
    request_state &request = history.requests_[crashes.request()];
    request.expires_ms = crashes.expires_ms();
    request.crashed.insert(crashes.crashed().begin(), crashes.crashed().end());
    for (const wire::RecordedRisk &risk : crashes.attempts()) {
      request.attempts[risk.attempt()] = {.last_report = risk.number(),
                                          .at_risk = risk.at_risk()};
    }
  }
  return history;
}

} // namespace heathtrestle::records
