#include "records/record_table.hpp"

#include "records/quota_messages.hpp"
#include "records/turn_bodies.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

constexpr std::uint64_t sweep_interval_ms = 5000;
/// Added to each requested lifetime, since the clocks of successive leaders may
/// differ.
constexpr std::uint64_t clock_slack_ms = 15000;

} // namespace

std::vector<wire::RecordReplyItem>
record_table::apply(const wire::RecordBatch &batch) {
  now_ms_ = std::max(now_ms_, batch.time_ms());
  quota_time_ = std::max(quota_time_, batch.quota_time_ms());
  std::vector<wire::RecordReplyItem> replies;
  replies.reserve(static_cast<std::size_t>(batch.changes_size()));
  for (const wire::RecordChange &change : batch.changes()) {
    replies.push_back(apply(change));
  }
  if (now_ms_ >= next_sweep_ms_) {
    next_sweep_ms_ = now_ms_ + sweep_interval_ms;
    drop_expired();
  }
  return replies;
}

wire::RecordReplyItem record_table::apply(const wire::RecordChange &change) {
  switch (change.body_case()) {
  case wire::RecordChange::kBegin:
    return begin(change.begin());
  case wire::RecordChange::kEnd:
    return end(change.end());
  case wire::RecordChange::kRead:
    return read(change.read());
  case wire::RecordChange::kKeep:
    return keep(change.keep());
  case wire::RecordChange::kReserveQuota:
    return reserve(change.reserve_quota());
  case wire::RecordChange::kReportCrashes:
    return report(change.report_crashes());
  case wire::RecordChange::kTakePermit: // answered by leaders without the log
  case wire::RecordChange::BODY_NOT_SET:
    break;
  }
  return {}; // unavailable: this version does not know the change
}

wire::RecordReplyItem record_table::read(const wire::ReadTurns &wanted) const {
  wire::RecordReplyItem reply;
  if (find_turn(wanted.last()) == nullptr) {
    reply.set_verdict(wire::RECORD_UNKNOWN_TURN);
    return reply;
  }
  reply.set_verdict(wire::RECORD_GRANTED);
  add_history(wanted.last(), reply);
  return reply;
}

wire::RecordReplyItem record_table::keep(const wire::KeepTurns &copies) {
  for (const wire::RecordTurn &turn : copies.turns()) {
    keep(turn, copies.keep_ms());
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_DONE);
  return reply;
}

wire::RecordReplyItem record_table::begin(const wire::BeginTurn &wanted) {
  wire::RecordReplyItem reply;
  const stored_turn *previous = find_turn(wanted.previous());
  if (!wanted.previous().empty() && previous == nullptr) {
    reply.set_verdict(wire::RECORD_UNKNOWN_TURN);
    return reply;
  }
  program &account = account_of(wanted.program(), wanted.keep_ms());
  reply.set_verdict(account.tokens.begin(wanted, quota_time_));
  if (reply.verdict() == wire::RECORD_GRANTED) {
    add_origin(account.origins.record(wanted, quota_time_), reply);
  }
  add_grant_details(wanted, account, reply);
  return reply;
}

void record_table::add_balance(const program &account,
                               wire::RecordReplyItem &reply) const {
  const token_account::balance balance = account.tokens.current_balance();
  reply.set_spent(balance.spent);
  reply.set_reserved(balance.reserved);
}

void record_table::add_origin(std::optional<wire::StreamOrigin> origin,
                              wire::RecordReplyItem &reply) {
  if (origin) {
    *reply.mutable_origin() = std::move(*origin);
  }
}

void record_table::add_grant_details(const wire::BeginTurn &wanted,
                                     const program &account,
                                     wire::RecordReplyItem &reply) const {
  add_balance(account, reply);
  if (reply.verdict() == wire::RECORD_BUDGET_SPENT) {
    if (auto holder = account.tokens.oldest_holder(quota_time_)) {
      *reply.mutable_holder() = std::move(*holder);
    }
  }
  const bool granted = reply.verdict() == wire::RECORD_GRANTED;
  if (granted) {
    account.crashes.add_counts(reply, quota_time_);
  }
  if (granted && wanted.want_history()) {
    add_history(wanted.previous(), reply);
  }
  const stored_turn *previous = find_turn(wanted.previous());
  if (granted && previous != nullptr && previous->turn->has_place()) {
    *reply.mutable_previous_place() = previous->turn->place();
  }
}

std::optional<wire::RecordReplyItem>
record_table::decided_outcome(const wire::RecordChange &change) const {
  switch (change.body_case()) {
  case wire::RecordChange::kBegin:
    return decided_outcome(change.begin());
  case wire::RecordChange::kEnd:
    return decided_outcome(change.end());
  case wire::RecordChange::kReportCrashes:
    return decided_outcome(change.report_crashes());
  case wire::RecordChange::kRead:
    // A stored turn never changes, but its absence must be decided by the log.
    return find_turn(change.read().last()) != nullptr
               ? std::optional(read(change.read()))
               : std::nullopt;
  default:
    return std::nullopt;
  }
}

std::optional<wire::RecordReplyItem>
record_table::decided_outcome(const wire::BeginTurn &wanted) const {
  const program *account = find_account(wanted.program());
  const bool chain_kept =
      wanted.previous().empty() || find_turn(wanted.previous()) != nullptr;
  const bool granted = account != nullptr && chain_kept &&
                       account->tokens.is_open(wanted.attempt());
  if (!granted) {
    return std::nullopt;
  }
  auto origin = account->origins.recorded(wanted);
  if (!wanted.software_version().empty() && !origin) {
    return std::nullopt;
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_GRANTED);
  add_origin(std::move(origin), reply);
  add_grant_details(wanted, *account, reply);
  return reply;
}

std::optional<wire::RecordReplyItem>
record_table::decided_outcome(const wire::EndTurn &ended) const {
  const program *account = find_account(ended.program());
  const bool nothing_to_keep =
      ended.kept().id().empty() || find_turn(ended.kept().id()) != nullptr;
  const bool known = account != nullptr && nothing_to_keep &&
                     account->tokens.has_ended(ended.attempt());
  if (!known) {
    return std::nullopt;
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_DONE);
  add_balance(*account, reply);
  return reply;
}

std::optional<wire::RecordReplyItem>
record_table::decided_outcome(const wire::ReportCrashes &reported) const {
  const program *account = find_account(reported.account());
  return account != nullptr
             ? account->crashes.decided_outcome(reported, quota_time_)
             : std::nullopt;
}

wire::RecordReplyItem record_table::end(const wire::EndTurn &ended) {
  program &account = account_of(ended.program(), ended.keep_ms());
  account.tokens.end(ended.attempt(), ended.used());
  if (!ended.kept().id().empty()) {
    keep(ended.kept(), ended.keep_ms());
  }
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_DONE);
  add_balance(account, reply);
  return reply;
}

wire::RecordReplyItem record_table::reserve(const wire::ReserveQuota &wanted) {
  const tenants::reservation made =
      quotas_[wanted.tenant()].reserve(from_wire(wanted), quota_time_);
  wire::RecordReplyItem reply;
  reply.set_verdict(wire::RECORD_GRANTED);
  *reply.mutable_reserved_quota() = to_wire(made, wanted.tenant());
  return reply;
}

wire::RecordReplyItem
record_table::report(const wire::ReportCrashes &reported) {
  program &account = account_of(reported.account(), reported.keep_ms());
  return account.crashes.report(reported, quota_time_);
}

record_table::program &record_table::account_of(const std::string &id,
                                                std::uint64_t keep_ms) {
  program &account = programs_[id];
  if (account.expires_ms != 0 && now_ms_ >= account.expires_ms) {
    account = program{};
  }
  account.expires_ms =
      std::max(account.expires_ms, now_ms_ + keep_ms + clock_slack_ms);
  return account;
}

const record_table::program *
record_table::find_account(const std::string &id) const {
  const auto found = programs_.find(id);
  const bool there =
      found != programs_.end() && now_ms_ < found->second.expires_ms;
  return there ? &found->second : nullptr;
}

const stored_turn *record_table::find_turn(const std::string &id) const {
  const auto found = turns_.find(id);
  const bool there =
      found != turns_.end() && now_ms_ < found->second.expires_ms;
  return there ? &found->second : nullptr;
}

void record_table::keep(const wire::RecordTurn &turn, std::uint64_t keep_ms) {
  const std::uint64_t expires = now_ms_ + keep_ms + clock_slack_ms;
  if (find_turn(turn.id()) == nullptr) {
    stored_turn &entry = turns_[turn.id()];
    turn_bytes_ -= entry.bytes;
    entry = {.turn =
                 std::make_shared<const wire::RecordTurn>(without_body(turn)),
             .expires_ms = expires,
             .bytes = turn.ByteSizeLong()};
    turn_bytes_ += entry.bytes;
    kept_.push_back(turn);
  }
  // Storing a turn extends the lifetime of all turns before it.
  std::string id = turn.id();
  while (!id.empty()) {
    const auto found = turns_.find(id);
    if (found == turns_.end()) {
      break;
    }
    found->second.expires_ms = std::max(found->second.expires_ms, expires);
    id = found->second.turn->previous();
  }
}

void record_table::add_history(const std::string &last,
                               wire::RecordReplyItem &reply) const {
  std::vector<const wire::RecordTurn *> chain;
  std::string id = last;
  while (!id.empty()) {
    const stored_turn *found = find_turn(id);
    if (found == nullptr) {
      break;
    }
    chain.push_back(found->turn.get());
    id = found->turn->previous();
  }
  std::reverse(chain.begin(), chain.end());
  for (const wire::RecordTurn *turn : chain) {
    *reply.add_history() = *turn;
  }
}

void record_table::drop_expired() {
  std::erase_if(quotas_, [this](const auto &entry) {
    return entry.second.idle(quota_time_);
  });
  std::erase_if(programs_, [this](const auto &entry) {
    return now_ms_ >= entry.second.expires_ms;
  });
  std::erase_if(turns_, [this](const auto &entry) {
    const bool expired = now_ms_ >= entry.second.expires_ms;
    if (expired) {
      turn_bytes_ -= entry.second.bytes;
      dropped_.push_back(entry.first);
    }
    return expired;
  });
}

std::vector<std::string> record_table::take_dropped() {
  std::vector<std::string> dropped = std::exchange(dropped_, {});
  std::erase_if(dropped, [this](const std::string &id) {
    return turns_.contains(id); // stored again
  });
  return dropped;
}

wire::RecordSnapshot record_table::snapshot() const {
  constexpr std::size_t in_one_part = 0;
  return image(in_one_part).part(0);
}

snapshot_image record_table::image(std::size_t part_bytes) const {
  std::vector<wire::RecordProgram> programs;
  programs.reserve(programs_.size());
  for (const auto &[id, account] : programs_) {
    wire::RecordProgram &saved = programs.emplace_back();
    saved.set_id(id);
    saved.set_expires_ms(account.expires_ms);
    account.tokens.save(saved);
    account.origins.save(saved);
    account.crashes.save(saved);
  }
  std::vector<stored_turn> turns;
  turns.reserve(turns_.size());
  for (const auto &[id, kept] : turns_) {
    turns.push_back(kept);
  }
  wire::RecordSnapshot quotas;
  quotas.set_quota_time_ms(quota_time_);
  for (const auto &[tenant, account] : quotas_) {
    *quotas.add_quotas() = to_wire(account, tenant);
  }
  return {now_ms_, std::move(quotas), std::move(programs), std::move(turns),
          part_bytes};
}

void record_table::restore(wire::RecordSnapshot snapshot) {
  extract_bodies(snapshot, kept_);
  now_ms_ = snapshot.time_ms();
  next_sweep_ms_ = now_ms_;
  quota_time_ = snapshot.quota_time_ms();
  quotas_.clear();
  for (const wire::RecordQuota &saved : snapshot.quotas()) {
    quotas_.emplace(saved.tenant(), from_wire(saved));
  }
  programs_.clear();
  for (const auto &[id, kept] : turns_) {
    dropped_.push_back(id);
  }
  turns_.clear();
  turn_bytes_ = 0;
  for (const wire::RecordProgram &saved : snapshot.programs()) {
    programs_[saved.id()] = {.tokens = token_account::restore(saved),
                             .origins = stream_origins::restore(saved),
                             .crashes = crash_history::restore(saved),
                             .expires_ms = saved.expires_ms()};
  }
  for (const wire::RecordKeptTurn &saved : snapshot.turns()) {
    turns_[saved.turn().id()] = {
        .turn = std::make_shared<const wire::RecordTurn>(saved.turn()),
        .expires_ms = saved.expires_ms(),
        .bytes = saved.bytes()};
    turn_bytes_ += saved.bytes();
  }
}

} // namespace heathtrestle::records
