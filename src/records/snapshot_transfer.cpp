#include "records/snapshot_transfer.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

void snapshot_sender::enqueue(const replica_id &follower) {
  const bool in_progress = current_.has_value() && current_->to == follower;
  const bool waits = std::ranges::find(waiting_, follower) != waiting_.end();
  if (!in_progress && !waits) {
    waiting_.push_back(follower);
  }
}

void snapshot_sender::on_progress(const wire::SnapshotProgress &progress,
                                  timestamp now) {
  const bool of_current =
      current_.has_value() && current_->to == from_wire(progress.follower()) &&
      current_->content.header.last_index() == progress.last_index();
  if (!of_current) {
    return;
  }
  // A restarted follower requests the first part again.
  const bool moved = progress.next_part() != current_->next_part;
  current_->next_part = progress.next_part();
  current_->sent = current_->sent && !moved;
  current_->last_progress = now;
  if (current_->next_part >= current_->content.image.parts()) {
    current_.reset();
  }
}

void snapshot_sender::cancel(const replica_id &follower) {
  std::erase(waiting_, follower);
  if (current_.has_value() && current_->to == follower) {
    current_.reset();
  }
}

void snapshot_sender::clear() {
  waiting_.clear();
  current_.reset();
}

std::optional<snapshot_sender::part>
snapshot_sender::next_due(timestamp now, const take_source &take) {
  const bool given_up = current_.has_value() &&
                        now >= current_->last_progress + options_.give_up_after;
  if (given_up) {
    current_.reset();
  }
  const bool begins = !current_.has_value();
  if (begins) {
    if (waiting_.empty()) {
      return std::nullopt;
    }
    current_.emplace(transfer{.to = waiting_.front(),
                              .content = take(options_.part_bytes),
                              .last_progress = now});
    waiting_.pop_front();
  }
  transfer &active = *current_;
  if (active.sent && now < active.sent_at + options_.resend_after) {
    return std::nullopt;
  }
  active.sent = true;
  active.sent_at = now;
  part due{.to = active.to, .request = active.content.header, .begins = begins};
  *due.request.mutable_records() = active.content.image.part(active.next_part);
  due.request.set_part(static_cast<std::uint32_t>(active.next_part));
  due.request.set_more(active.next_part + 1 < active.content.image.parts());
  return due;
}

bool snapshot_receiver::receive(wire::SnapshotRequest &part) {
  const bool same = part.term() == term_ && part.last_index() == last_index_;
  if (!same) {
    term_ = part.term();
    last_index_ = part.last_index();
    next_part_ = 0;
    collected_.Clear();
  }
  if (part.part() != next_part_) {
    return false; // a duplicate, or the earlier parts were lost in a restart
  }
  wire::RecordSnapshot &records = *part.mutable_records();
  collected_.set_time_ms(records.time_ms());
  if (part.part() == 0) {
    collected_.set_quota_time_ms(records.quota_time_ms());
    *collected_.mutable_quotas() = std::move(*records.mutable_quotas());
  }
  for (wire::RecordProgram &each : *records.mutable_programs()) {
    *collected_.add_programs() = std::move(each);
  }
  for (wire::RecordKeptTurn &each : *records.mutable_turns()) {
    *collected_.add_turns() = std::move(each);
  }
  ++next_part_;
  return !part.more();
}

wire::RecordSnapshot snapshot_receiver::take() {
  term_ = 0;
  last_index_ = 0;
  next_part_ = 0;
  return std::exchange(collected_, {});
}

} // namespace heathtrestle::records
