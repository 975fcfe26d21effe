#include "records/ledger_client.hpp"

#include "base/random.hpp"
#include "logging/log.hpp"
#include "records/quota_messages.hpp"
#include "records/record_node.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace heathtrestle::records {

namespace {

std::uint64_t to_milliseconds(duration_ms span) {
  return static_cast<std::uint64_t>(span.count());
}

turn_place from_wire_place(const wire::TurnPlace &place) {
  return {.instance = place.instance(), .tokens = place.tokens()};
}

/// @return at least one millisecond.
std::uint64_t remaining_ms(timestamp deadline, timestamp now) {
  constexpr duration_ms at_least{1};
  return static_cast<std::uint64_t>(std::max(deadline - now, at_least).count());
}

retained_turn from_wire_turn(const wire::RecordTurn &turn) {
  return {.id = turn.id(),
          .previous = turn.previous(),
          .input = turn.input(),
          .output = turn.output(),
          .place = from_wire_place(turn.place())};
}

void fill(wire::RecordTurn &message, retained_turn turn) {
  message.set_id(std::move(turn.id));
  message.set_previous(std::move(turn.previous));
  message.set_input(std::move(turn.input));
  message.set_output(std::move(turn.output));
  if (!turn.place.instance.empty()) {
    message.mutable_place()->set_instance(std::move(turn.place.instance));
    message.mutable_place()->set_tokens(turn.place.tokens);
  }
}

wire::RecordChange to_change(turn_end end) {
  wire::RecordChange change;
  wire::EndTurn &message = *change.mutable_end();
  message.set_program(std::move(end.program));
  message.set_attempt(std::move(end.attempt));
  message.set_used(end.used);
  message.set_keep_ms(to_milliseconds(end.keep));
  if (!end.kept.id.empty()) {
    fill(*message.mutable_kept(), std::move(end.kept));
  }
  return change;
}

wire::RecordChange to_change(turn_request request) {
  wire::RecordChange change;
  wire::BeginTurn &message = *change.mutable_begin();
  message.set_program(std::move(request.program));
  message.set_attempt(std::move(request.attempt));
  message.set_budget(request.budget);
  message.set_most(request.most);
  message.set_previous(std::move(request.previous));
  message.set_want_history(request.want_history);
  message.set_keep_ms(to_milliseconds(request.keep));
  message.set_session(std::move(request.session));
  message.set_lifetime_ms(to_milliseconds(request.lifetime));
  message.set_software_version(request.version.value());
  message.set_version_choice(request.version_choice);
  message.set_resumes(std::move(request.resumes));
  message.set_resumes_unnamed(request.resumes_unnamed);
  return change;
}

wire::RecordChange to_change(crash_report report) {
  wire::RecordChange change;
  wire::ReportCrashes &message = *change.mutable_report_crashes();
  message.set_account(std::move(report.account));
  message.set_request(report.request.value());
  message.set_attempt(std::move(report.attempt));
  message.set_number(report.number);
  message.mutable_crashed()->Assign(report.crashed.begin(),
                                    report.crashed.end());
  message.set_wants_send(report.wants_send);
  message.set_completed(report.completed);
  message.set_keep_ms(to_milliseconds(report.keep));
  return change;
}

crash_count from_wire_count(const wire::CrashCount &count) {
  return {.request = request_identity{count.request()},
          .crashed = count.crashed(),
          .at_risk = count.at_risk()};
}

turn_verdict verdict_of(wire::RecordVerdict verdict) {
  switch (verdict) {
  case wire::RECORD_GRANTED:
    return turn_verdict::granted;
  case wire::RECORD_BUDGET_SPENT:
    return turn_verdict::budget_spent;
  case wire::RECORD_UNKNOWN_TURN:
    return turn_verdict::unknown_turn;
  default:
    return turn_verdict::unavailable;
  }
}

} // namespace

std::string_view name_of(permit_verdict verdict) {
  switch (verdict) {
  case permit_verdict::granted:
    return "granted";
  case permit_verdict::used_up:
    return "used_up";
  case permit_verdict::paced:
    return "paced";
  case permit_verdict::unavailable:
    return "unavailable";
  }
  return "unknown";
}

ledger_client::ledger_client(asio::io_context &io, ledger_options options,
                             sender send)
    : io_(io), options_(std::move(options)), send_(std::move(send)),
      next_id_(draw_system_random()),
      retry_timeout_(options_.min_retry_timeout, options_.max_retry_timeout),
      breaker_(options_.unserved_after) {}

asio::awaitable<turn_grant> ledger_client::begin(turn_request request,
                                                 timestamp deadline) {
  if (!breaker_.is_served()) {
    co_return refusal();
  }
  const bool was_granted_before = request.version_choice > 0;
  turn_end cancelled{.program = request.program,
                     .attempt = request.attempt,
                     .used = 0,
                     .kept = {},
                     .keep = request.keep};
  send_copies(request, deadline);
  const pending_ptr entry =
      co_await submit_and_wait(to_change(std::move(request)), deadline);
  if (!entry->answered && !was_granted_before) {
    // The turn may be granted although the reply was lost. Release it, or it
    // would count against the budget for good.
    settle(std::move(cancelled));
  }
  co_return outcome_of(*entry);
}

asio::awaitable<turn_grant> ledger_client::read(std::string last,
                                                timestamp deadline) {
  if (!breaker_.is_served()) {
    co_return refusal();
  }
  wire::RecordChange change;
  change.mutable_read()->set_last(std::move(last));
  const pending_ptr entry =
      co_await submit_and_wait(std::move(change), deadline);
  co_return outcome_of(*entry);
}

asio::awaitable<permit_answer>
ledger_client::take_permit(permit_request request, timestamp deadline) {
  permit_answer unserved;
  if (!breaker_.is_served()) {
    unserved.retry_after = breaker_.retry_after(steady_now());
    co_return unserved;
  }
  wire::RecordChange change;
  wire::TakePermit &message = *change.mutable_take_permit();
  message.set_tenant(request.tenant.value());
  message.set_begins_program(request.begins_program);
  *message.mutable_terms() = to_wire(request.terms);
  const pending_ptr entry =
      co_await submit_and_wait(std::move(change), deadline);
  if (entry->answered && entry->reply.verdict() == wire::RECORD_DONE) {
    co_return to_permit(*entry);
  }
  if (!breaker_.is_served()) {
    unserved.retry_after = breaker_.retry_after(steady_now());
  }
  co_return unserved;
}

asio::awaitable<crash_verdict>
ledger_client::report_crashes(crash_report report, timestamp deadline) {
  crash_verdict answer;
  if (!breaker_.is_served()) {
    co_return answer;
  }
  const pending_ptr entry =
      co_await submit_and_wait(to_change(std::move(report)), deadline);
  const wire::RecordReplyItem &reply = entry->reply;
  if (!entry->answered || reply.crash_counts().empty()) {
    co_return answer; // storage nodes of an earlier release count no crashes
  }
  answer.verdict = reply.verdict() == wire::RECORD_GRANTED
                       ? send_verdict::allowed
                       : send_verdict::refused;
  answer.count = from_wire_count(reply.crash_counts(0));
  co_return answer;
}

permit_answer ledger_client::to_permit(const pending &entry) {
  const wire::PermitAnswer &answer = entry.reply.permit();
  const permit_verdict refusal =
      answer.paced() ? permit_verdict::paced : permit_verdict::used_up;
  return {.verdict = answer.granted() ? permit_verdict::granted : refusal,
          // The permit was granted after the first attempt was sent, whichever
          // attempt this reply answers.
          .good_until = entry.first_sent + tenants::permit_lifetime,
          .retry_after = duration_ms{answer.retry_after_ms()},
          .counted = answer.counted(),
          .most = answer.most(),
          .limit = answer.limit()};
}

turn_grant ledger_client::outcome_of(const pending &entry) const {
  return entry.answered || breaker_.is_served() ? to_grant(entry) : refusal();
}

void ledger_client::send_copies(const turn_request &request,
                                timestamp deadline) {
  if (request.copies.empty()) {
    return;
  }
  auto entry = std::make_shared<pending>(io_);
  wire::KeepTurns &copies = *entry->change.mutable_keep();
  copies.set_keep_ms(to_milliseconds(request.keep));
  for (const retained_turn &turn : request.copies) {
    fill(*copies.add_turns(), turn);
  }
  entry->deadline = deadline;
  entry->awaited = true;
  const std::uint64_t id = add_pending(entry);
  asio::co_spawn(io_, wait_for(std::move(entry), id), asio::detached);
}

turn_grant ledger_client::refusal() const {
  turn_grant refused;
  refused.unanswered = {options_.partition};
  refused.retry_after = breaker_.retry_after(steady_now());
  return refused;
}

turn_grant ledger_client::to_grant(const pending &entry) const {
  turn_grant grant;
  if (!entry.answered) {
    grant.unanswered = {options_.partition};
    return grant;
  }
  grant.verdict = verdict_of(entry.reply.verdict());
  grant.was_resent = entry.send_count > 1;
  grant.spent = entry.reply.spent();
  grant.reserved = entry.reply.reserved();
  const wire::ReservationHolder &holder = entry.reply.holder();
  grant.holder = {.attempt = holder.attempt(),
                  .age = duration_ms{holder.age_ms()},
                  .presumed_lost = holder.presumed_lost()};
  grant.previous_place = from_wire_place(entry.reply.previous_place());
  const wire::StreamOrigin &origin = entry.reply.origin();
  grant.origin = {.version = software_version{origin.version()},
                  .is_continuation = origin.is_continuation()};
  for (const wire::CrashCount &count : entry.reply.crash_counts()) {
    grant.crashes.push_back(from_wire_count(count));
  }
  for (const wire::RecordTurn &turn : entry.reply.history()) {
    grant.history.push_back(from_wire_turn(turn));
  }
  return grant;
}

asio::awaitable<ledger_client::pending_ptr>
ledger_client::submit_and_wait(wire::RecordChange change, timestamp deadline) {
  auto entry = std::make_shared<pending>(io_);
  entry->change = std::move(change);
  entry->deadline = deadline;
  entry->awaited = true;
  const std::uint64_t id = add_pending(entry);
  flush_soon();
  co_await wait_for(entry, id);
  co_return entry;
}

asio::awaitable<bool> ledger_client::finish(turn_end end, timestamp deadline) {
  auto entry = std::make_shared<pending>(io_);
  entry->change = to_change(std::move(end));
  entry->deadline = deadline;
  entry->awaited = true;
  const std::uint64_t id = add_pending(entry);
  ++unsettled_;
  flush_soon();
  co_await wait_for(entry, id);
  if (!entry->answered) {
    // The caller no longer waits, but the tokens were used: keep retrying.
    entry->awaited = false;
    entry->deadline = steady_now() + options_.settle_timeout;
    pending_[id] = entry;
  }
  co_return entry->answered;
}

void ledger_client::settle(turn_end end) {
  auto entry = std::make_shared<pending>(io_);
  entry->change = to_change(std::move(end));
  entry->added = steady_now();
  entry->deadline = entry->added + options_.settle_timeout;
  add_pending(entry);
  ++unsettled_;
}

std::uint64_t ledger_client::add_pending(pending_ptr entry) {
  const std::uint64_t id = next_id_++;
  pending_.emplace(id, std::move(entry));
  if (options_.on_pending) {
    options_.on_pending();
  }
  return id;
}

asio::awaitable<void> ledger_client::wait_for(pending_ptr entry,
                                              std::uint64_t id) {
  entry->done.expires_at(entry->deadline);
  co_await entry->done.async_wait(as_result);
  pending_.erase(id);
}

void ledger_client::flush_soon() {
  if (!flush_posted_) {
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }
}

void ledger_client::flush() {
  flush_posted_ = false;
  if (leader_.empty()) {
    try_next_member();
  }
  if (leader_.empty()) {
    return;
  }
  const timestamp now = steady_now();
  wire::Envelope envelope;
  wire::RecordRequest &request = *envelope.mutable_record_request();
  for (const auto &[id, entry] : pending_) {
    if (entry->sent != timestamp{} || entry->answered) {
      continue;
    }
    entry->sent = now;
    entry->first_sent = entry->send_count == 0 ? now : entry->first_sent;
    ++entry->send_count;
    entry->sent_to = leader_;
    wire::RecordRequestItem &item = *request.add_items();
    item.set_id(id);
    *item.mutable_change() = entry->change;
    if (entry->awaited) {
      item.set_wait_ms(remaining_ms(entry->deadline, now));
    }
  }
  if (request.items_size() == 0) {
    return;
  }
  if (first_unanswered_ == timestamp{}) {
    first_unanswered_ = now;
  }
  envelope.set_record_partition(options_.partition);
  if (options_.seen) {
    *request.mutable_seen() = options_.seen();
  }
  const bool loads_due = loads_sent_at_ == timestamp{} ||
                         now >= loads_sent_at_ + options_.loads_interval;
  if (options_.loads && loads_due) {
    *request.mutable_loads() = options_.loads();
    request.mutable_loads()->set_told_ms(milliseconds_of(now));
    loads_sent_at_ = now;
  }
  request.set_reply_to(options_.address);
  request.set_members_hash(members_hash_);
  send_(leader_, envelope);
}

void ledger_client::on_message(const wire::Envelope &envelope) {
  if (!envelope.has_record_reply()) {
    return;
  }
  const wire::RecordReply &reply = envelope.record_reply();
  last_answer_ = steady_now();
  if (options_.on_seen) {
    options_.on_seen(reply.seen());
  }
  if (options_.on_loads && reply.has_loads()) {
    options_.on_loads(reply.loads());
  }
  if (reply.has_members()) {
    members_ = reply.members();
    members_hash_ = hash_of(members_);
  }
  if (reply.not_leader()) {
    handle_not_leader(reply);
  } else {
    first_unanswered_ = {};
    leader_ = reply.leader_address();
    leader_answered_ = last_answer_;
    if (breaker_.on_served()) {
      logging::line(logging::event::partition_served)
          .field("partition", options_.partition)
          .write();
    }
    complete_requests(reply);
  }
}

void ledger_client::complete_requests(const wire::RecordReply &reply) {
  for (const wire::RecordReplyItem &item : reply.items()) {
    const auto found = pending_.find(item.id());
    if (found == pending_.end() || found->second->answered) {
      continue;
    }
    const pending_ptr entry = found->second;
    if (entry->send_count == 1) {
      retry_timeout_.record_response_time(last_answer_ - entry->sent);
    }
    entry->answered = true;
    entry->reply = item;
    if (entry->change.has_end()) {
      --unsettled_;
    }
    if (entry->awaited) {
      entry->done.cancel();
    } else {
      pending_.erase(found);
    }
  }
}

void ledger_client::handle_not_leader(const wire::RecordReply &reply) {
  const bool names_other_leader =
      !reply.leader_address().empty() && reply.leader_address() != leader_;
  leader_hint_unprobed_ = names_other_leader;
  if (names_other_leader) {
    leader_ = reply.leader_address();
  } else {
    try_next_member();
  }
  bool resend_now = names_other_leader;
  for (const std::uint64_t id : reply.refused()) {
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second->answered) {
      continue;
    }
    // Retry a little later while the group elects a leader.
    found->second->sent = names_other_leader
                              ? timestamp{}
                              : steady_now() - retry_timeout_.timeout() +
                                    options_.min_retry_timeout / 2;
  }
  if (resend_now) {
    flush_soon();
  }
}

void ledger_client::try_next_member() {
  if (members_.members_size() == 0) {
    return;
  }
  next_member_ =
      (next_member_ + 1) % static_cast<std::size_t>(members_.members_size());
  leader_ = members_.members(static_cast<int>(next_member_)).address();
}

bool ledger_client::leader_is_silent_since(const pending &entry) const {
  return entry.sent_to == leader_ && leader_answered_ < entry.sent;
}

void ledger_client::learn_members(const wire::RecordMembers &members) {
  for (const wire::RecordMember &each : members.members()) {
    const bool known =
        std::any_of(members_.members().begin(), members_.members().end(),
                    [&each](const auto &other) {
                      return other.address() == each.address();
                    });
    if (!known) {
      *members_.add_members() = each;
    }
  }
  members_hash_ = hash_of(members_);
}

bool ledger_client::is_unresponsive() const {
  const bool nobody_known = members_.members_size() == 0;
  const bool unanswered =
      first_unanswered_ != timestamp{} &&
      steady_now() >=
          std::max(first_unanswered_, last_answer_) + options_.lookup_after;
  return nobody_known || unanswered;
}

timestamp ledger_client::unanswered_since() const {
  if (first_unanswered_ == timestamp{} || pending_.empty()) {
    return {};
  }
  return std::max(first_unanswered_, last_answer_);
}

void ledger_client::probe() {
  try_next_member();
  probe_leader();
}

void ledger_client::probe_leader() {
  if (leader_.empty()) {
    return;
  }
  wire::Envelope envelope;
  envelope.set_record_partition(options_.partition);
  wire::RecordRequest &request = *envelope.mutable_record_request();
  request.set_reply_to(options_.address);
  request.set_members_hash(members_hash_);
  send_(leader_, envelope);
}

void ledger_client::cancel_grants() {
  for (const auto &[id, entry] : pending_) {
    const bool is_grant = entry->change.has_begin() ||
                          entry->change.has_take_permit() ||
                          entry->change.has_report_crashes();
    if (entry->awaited && is_grant) {
      entry->done.cancel();
    }
  }
}

void ledger_client::update_breaker(timestamp now) {
  if (breaker_.open_if_overdue(first_unanswered_, now)) {
    logging::line(logging::event::partition_unserved)
        .field("partition", options_.partition)
        .field("silent_ms", (now - first_unanswered_).count())
        .field("held", pending_.size())
        .write();
    cancel_grants();
  }
  if (!breaker_.start_probe_if_due(now)) {
    return;
  }
  if (std::exchange(leader_hint_unprobed_, false)) {
    probe_leader();
  } else {
    probe();
  }
}

void ledger_client::drop_expired_ends(timestamp now) {
  std::erase_if(pending_, [this, now](const auto &each) {
    const pending &entry = *each.second;
    const bool expired = !entry.awaited && now >= entry.deadline;
    if (expired) {
      --unsettled_;
      logging::line(logging::event::turn_end_unrecorded)
          .field("partition", options_.partition)
          .field("attempt", entry.change.end().attempt())
          .field("waited_ms", options_.settle_timeout.count())
          .write();
    }
    return expired;
  });
}

void ledger_client::tick() {
  const timestamp now = steady_now();
  update_breaker(now);
  bool timed_out = false;
  bool leader_silent = false;
  bool unsent = false;
  for (const auto &[id, entry] : pending_) {
    const bool waiting = entry->sent != timestamp{} && !entry->answered;
    if (waiting && now >= entry->sent + retry_timeout_.timeout()) {
      const bool silent = leader_is_silent_since(*entry);
      if (!silent) {
        retry_timeout_.on_timeout(entry->sent, now);
      }
      leader_silent = leader_silent || silent;
      entry->sent = {};
      timed_out = true;
    }
    const bool may_wait = !entry->awaited && !timed_out &&
                          now < entry->added + options_.settle_delay;
    unsent = unsent || (entry->sent == timestamp{} && !may_wait);
  }
  drop_expired_ends(now);
  if (timed_out) {
    logging::line(logging::event::record_call_retried)
        .field("partition", options_.partition)
        .field("asked", leader_)
        .field("pending", pending_.size())
        .field("silent", leader_silent)
        .write();
  }
  if (leader_silent) {
    try_next_member();
  }
  if (unsent) {
    flush();
  }
}

} // namespace heathtrestle::records
