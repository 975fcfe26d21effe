#include "forwarding/program_turn.hpp"

#include "forwarding/storage_residency.hpp"
#include "logging/log.hpp"
#include "records/stream_origins.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace heathtrestle::forwarding {

namespace {

/// Fraction of the time until the deadline for which a turn waits for its
/// grant. It is below one half so that a refused client still has time to
/// retry.
constexpr double grant_wait_fraction = 0.4;
/// The longest wait for a record that is not needed as long as only one version
/// serves.
constexpr duration_ms max_optional_wait{300};
/// The minimum retention of a turn.
constexpr duration_ms min_retention{60000};
/// A lifetime of zero would mean that it is not known.
constexpr duration_ms min_lifetime{1};
constexpr std::uint64_t unlimited_budget = 1ULL << 62U;

turn_header header_of(const client_request &request, const tenant_id &tenant) {
  // A stream without a program is recorded under the attempt that began it.
  const turn_header without_program{
      .program = request.resumes.empty() ? request.attempt_id : request.resumes,
      .session = {},
      .budget = unlimited_budget,
      .most_tokens = 0,
      .previous = request.previous_turn};
  turn_header header = request.turn.value_or(without_program);
  header.program = scoped_name(tenant, header.program);
  header.previous = scoped_name(tenant, header.previous);
  return header;
}

} // namespace

std::string_view name_of(records::turn_verdict verdict) {
  switch (verdict) {
  case records::turn_verdict::granted:
    return "granted";
  case records::turn_verdict::budget_spent:
    return "budget_spent";
  case records::turn_verdict::unknown_turn:
    return "unknown_turn";
  case records::turn_verdict::unavailable:
    return "unavailable";
  }
  return "unknown";
}

std::string_view name_of(records::grant_step step) {
  switch (step) {
  case records::grant_step::grant:
    return "grant";
  case records::grant_step::search:
    return "search";
  case records::grant_step::copy:
    return "copy";
  }
  return "unknown";
}

program_turn::program_turn(gateway &shared, const client_request &request,
                           const routing::route &route, routing::residency home,
                           const tenant_id &tenant, timestamp deadline)
    : gateway_(shared), request_(request), route_(route),
      home_(std::move(home)), deadline_(deadline),
      wait_deadline_(request.arrived +
                     std::chrono::duration_cast<duration_ms>(
                         grant_wait_fraction * (deadline - request.arrived))),
      turn_(header_of(request, tenant)),
      attempt_(scoped_name(tenant, request.attempt_id)),
      retention_(std::max(route.retention, min_retention)),
      previous_(route.retained ? turn_.previous : std::string()),
      resumes_(scoped_name(tenant, request.resumes)) {
  if (records_only_version()) {
    retention_ = deadline - request.arrived + records::stream_origin_retention;
  }
  if (previous_.empty()) {
    return;
  }
  if (const auto known = gateway_.turns().chain(previous_)) {
    history_known_ = true;
    for (const records::retained_turn *each : *known) {
      history_ += each->input;
      history_ += each->output;
    }
  }
}

std::optional<records::storage_place>
program_turn::storage_outside_home() const {
  if (!route_.retained || !home_.restricted()) {
    return std::nullopt;
  }
  return storage_outside(gateway_.ledger().storage_places(), home_,
                         gateway_.replicas().places());
}

bool program_turn::may_cache() const {
  return !home_.restricted() ||
         home_.allows(gateway_.replicas().places().region());
}

records::turn_request program_turn::make_request() const {
  return {.program = turn_.program,
          .attempt = attempt_,
          .session = turn_.session,
          .budget = turn_.budget,
          .most = turn_.most_tokens,
          .previous = previous_,
          .want_history = !previous_.empty() && !history_known_,
          .keep = retention_,
          .lifetime = std::max(deadline_ - steady_now(), min_lifetime),
          .version = version_.value_or(software_version{}),
          .version_choice = version_choice_,
          .resumes = resumes_,
          .resumes_unnamed = resumes_.empty() && request_.resumes_after_event};
}

void program_turn::shorten_wait() {
  wait_deadline_ =
      std::min(wait_deadline_, request_.arrived + max_optional_wait);
}

asio::awaitable<records::turn_verdict> program_turn::begin() {
  const timestamp asked = steady_now();
  grant_ = co_await gateway_.ledger().begin(make_request(), wait_deadline_);
  gateway_.metrics().on_turn_verdict(
      std::string(name_of(grant_.verdict)),
      std::chrono::duration<double>(steady_now() - asked).count());
  copies_in_flight_ = copies_in_flight_ || grant_.was_resent;
  if (grant_.verdict == records::turn_verdict::granted) {
    granted_ = true;
    granted_at_ = steady_now();
    append_history(grant_.history);
  }
  co_return grant_.verdict;
}

asio::awaitable<std::optional<software_version>>
program_turn::change_version(software_version version) {
  version_ = std::move(version);
  ++version_choice_;
  records::turn_request request = make_request();
  request.previous.clear(); // its history came with the grant
  request.want_history = false;
  const timestamp now = steady_now();
  const timestamp wait_until =
      now + std::chrono::duration_cast<duration_ms>(grant_wait_fraction *
                                                    (deadline_ - now));
  const records::turn_grant changed =
      co_await gateway_.ledger().begin(std::move(request), wait_until);
  co_return changed.verdict == records::turn_verdict::granted
      ? std::optional(changed.origin.version)
      : std::nullopt;
}

bool program_turn::budget_is_only_reserved() const {
  return grant_.verdict == records::turn_verdict::budget_spent &&
         grant_.reserved > 0 &&
         grant_.spent + turn_.most_tokens <= turn_.budget;
}

void program_turn::append_history(
    const std::vector<records::retained_turn> &turns) {
  for (const records::retained_turn &each : turns) {
    history_ += each.input;
    history_ += each.output;
    if (may_cache()) {
      gateway_.turns().put(each);
    }
  }
}

void program_turn::add_output(std::string_view data) {
  if (route_.retained) {
    output_ += data;
    output_ += '\n';
  }
}

asio::awaitable<bool> program_turn::record_end(std::uint64_t used_tokens,
                                               records::turn_place place) {
  records::turn_end end{.program = turn_.program,
                        .attempt = attempt_,
                        .used = used_tokens,
                        .kept = {.id = attempt_,
                                 .previous = turn_.previous,
                                 .input = request_.message.body(),
                                 .output = output_,
                                 .place = std::move(place)},
                        .keep = retention_};
  records::retained_turn copy = end.kept;
  granted_ = false; // `finish` settles the turn, if need be later
  const bool kept =
      co_await gateway_.ledger().finish(std::move(end), deadline_);
  if (kept && may_cache()) {
    gateway_.turns().put(std::move(copy));
  }
  co_return kept;
}

void program_turn::settle(std::uint64_t used_tokens) {
  if (!granted_ || records_only_version()) {
    return;
  }
  granted_ = false;
  end_attempt(used_tokens);
}

void program_turn::cancel_copies() {
  if (granted_ || !copies_in_flight_ || records_only_version()) {
    return;
  }
  end_attempt(0);
}

void program_turn::end_attempt(std::uint64_t used_tokens) {
  gateway_.ledger().settle({.program = turn_.program,
                            .attempt = attempt_,
                            .used = used_tokens,
                            .kept = {},
                            .keep = retention_});
}

void program_turn::log_refusal() const {
  logging::line(logging::event::turn_refused)
      .field("id", request_.attempt_id)
      .field("program", request_.program)
      .field("verdict", name_of(grant_.verdict))
      .field("budget", turn_.budget)
      .field("most", turn_.most_tokens)
      .field("spent", grant_.spent)
      .field("reserved", grant_.reserved)
      .field("holder", grant_.holder.attempt)
      .field("holder_age_ms", grant_.holder.age.count())
      .field("holder_presumed_lost", grant_.holder.presumed_lost)
      .field("previous", request_.previous_turn)
      .field("step", name_of(grant_.step))
      .field("unanswered", fmt::format("{}", fmt::join(grant_.unanswered, " ")))
      .field("waited_ms", (steady_now() - request_.arrived).count())
      .write();
}

} // namespace heathtrestle::forwarding
