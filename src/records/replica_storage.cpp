#include "records/replica_storage.hpp"

#include "logging/log.hpp"
#include "records/checkpoint_messages.hpp"
#include "records/turn_extents.hpp"
#include "storage/checkpoint_file.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle::records {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

namespace {

/// What a frame holds; written to disk.
enum class frame_kind : std::uint64_t {
  entry = 1,      // wire::LogEntry
  truncation = 2, // entries from the index on are invalid
  hard_state = 3, // wire::StoredHardState
  members = 4,    // wire::RecordMembers
  body = 5,       // wire::RecordTurn
};

constexpr const char *earlier_format_file = "records.db";
/// A segment is emptied when bodies take less than one part in this many.
constexpr std::uint64_t empty_below_part = 2;

storage::frame_labels labels_of(frame_kind kind) {
  return {.kind = static_cast<std::uint64_t>(kind)};
}

template <typename Message>
std::optional<std::string> parse(Message &message,
                                 const storage::found_frame &frame) {
  if (message.ParseFromArray(frame.payload.data(),
                             static_cast<int>(frame.payload.size()))) {
    return std::nullopt;
  }
  return fmt::format("segment {} has an unreadable frame at byte {}",
                     frame.at.segment, frame.at.offset);
}

std::unordered_set<std::uint64_t>
turns_in(const wire::RecordSnapshot &snapshot) {
  std::unordered_set<std::uint64_t> keys;
  for (const wire::RecordKeptTurn &kept : snapshot.turns()) {
    keys.insert(storage::make_extent_key(kept.turn().id()).low);
  }
  return keys;
}

} // namespace

replica_storage::replica_storage(std::unique_ptr<storage::directory> files,
                                 replica_storage_options options)
    : files_(std::move(files)), options_(options) {}

result<replica_storage::opened>
replica_storage::open(std::unique_ptr<storage::directory> files,
                      std::uint64_t fresh_identity,
                      replica_storage_options options) {
  BOOST_OUTCOME_TRY(const std::vector<std::string> names, files->list());
  if (std::ranges::find(names, earlier_format_file) != names.end()) {
    return fail(error_code::conflict,
                "an earlier version wrote this disk; empty the directory and "
                "start again, one storage node after the other",
                "open", files->path());
  }
  BOOST_OUTCOME_TRY(const storage::checkpoint_contents found,
                    storage::read_checkpoint(*files));
  std::unique_ptr<replica_storage> made(
      new replica_storage(std::move(files), options));
  const bool has_segments =
      std::ranges::any_of(names, storage::segment_log::is_segment_name);
  if (!found.bytes && !found.damaged && !has_segments) {
    return create(std::move(made), fresh_identity);
  }
  wire::ReplicaCheckpoint checkpoint;
  if (!found.bytes || !checkpoint.ParseFromString(*found.bytes)) {
    return opened{.storage = nullptr,
                  .recovered = {},
                  .damage = "the checkpoint is missing or unreadable"};
  }
  recovered_state state;
  BOOST_OUTCOME_TRY(std::string damage, made->recover(checkpoint, state));
  if (!damage.empty()) {
    return opened{
        .storage = nullptr, .recovered = {}, .damage = std::move(damage)};
  }
  return opened{
      .storage = std::move(made), .recovered = std::move(state), .damage = {}};
}

result<replica_storage::opened>
replica_storage::create(std::unique_ptr<replica_storage> made,
                        std::uint64_t identity) {
  made->identity_ = boot_id{identity};
  wire::ReplicaCheckpoint checkpoint;
  checkpoint.set_identity(identity);
  checkpoint.set_generation(made->generation_);
  checkpoint.set_first_segment(made->first_segment_);
  BOOST_OUTCOME_TRY(
      storage::write_checkpoint(*made->files_, checkpoint.SerializeAsString()));
  recovered_state state;
  BOOST_OUTCOME_TRY(const std::string damage, made->recover(checkpoint, state));
  state.is_new = true;
  return opened{.storage = std::move(made),
                .recovered = std::move(state),
                .damage = damage};
}

result<void> replica_storage::erase(storage::directory &files) {
  BOOST_OUTCOME_TRY(const std::vector<std::string> names, files.list());
  for (const std::string &name : names) {
    if (storage::segment_log::is_segment_name(name) ||
        storage::is_checkpoint_name(name)) {
      BOOST_OUTCOME_TRY(files.remove(name));
    }
  }
  return files.sync();
}

result<std::string>
replica_storage::recover(const wire::ReplicaCheckpoint &checkpoint,
                         recovered_state &state) {
  identity_ = boot_id{checkpoint.identity()};
  hard_ = from_wire(checkpoint.hard());
  base_ = base_of(checkpoint);
  members_ = checkpoint.members();
  generation_ = checkpoint.generation();
  first_segment_ = checkpoint.first_segment();
  state.identity = identity_;
  state.replica.base = base_;
  state.replica.applied = checkpoint.applied();
  state.snapshot = checkpoint.snapshot();
  const std::unordered_set<std::uint64_t> named = turns_in(state.snapshot);
  for (const wire::StoredBody &body : checkpoint.bodies()) {
    const storage::located_extent stored = from_wire(body);
    if (named.contains(stored.key.low)) {
      bodies_.set(stored.key, stored.where);
    }
  }
  const storage::log_position checkpointed{.segment = checkpoint.end_segment(),
                                           .offset = checkpoint.end_offset()};
  BOOST_OUTCOME_TRY(
      auto found,
      storage::segment_log::open(
          *files_,
          {.segment_bytes = options_.segment_bytes, .salt = identity_.value()},
          first_segment_, checkpointed,
          [this, checkpointed, &state](const storage::found_frame &frame) {
            return replay(frame, checkpointed, state);
          }));
  if (!found.damage.empty()) {
    return found.damage;
  }
  if (detached_entry_) {
    return fmt::format("entry {} follows entry {}", *detached_entry_,
                       base_.index + entries_.size());
  }
  log_ = std::move(found.log);
  state.replica.hard = hard_;
  state.members = members_;
  BOOST_OUTCOME_TRY(delete_empty_segments());
  return std::string();
}

std::optional<std::string>
replica_storage::replay(const storage::found_frame &frame,
                        storage::log_position checkpointed,
                        recovered_state &state) {
  switch (static_cast<frame_kind>(frame.labels.kind)) {
  case frame_kind::entry:
    return replay_entry(frame, state);
  case frame_kind::truncation:
    if (frame.labels.generation == generation_) {
      truncate(frame.labels.index);
      state.replica.entries.resize(entries_.size());
      if (detached_entry_ && frame.labels.index <= *detached_entry_) {
        detached_entry_.reset();
      }
    }
    return std::nullopt;
  case frame_kind::hard_state: {
    wire::StoredHardState hard;
    std::optional<std::string> damage = parse(hard, frame);
    hard_ = damage ? hard_ : from_wire(hard);
    return damage;
  }
  case frame_kind::members:
    return parse(members_, frame);
  case frame_kind::body:
    // The checkpoint knows the bodies before it. Of those after it, copies move
    // a body; others belong to a snapshot that was not installed.
    for (const storage::located_extent &body : frame.extents) {
      if (frame.at >= checkpointed && bodies_.contains(body.key)) {
        bodies_.set(body.key, body.where);
      }
    }
    return std::nullopt;
  }
  return fmt::format("segment {} has an unknown frame at byte {}",
                     frame.at.segment, frame.at.offset);
}

std::optional<std::string>
replica_storage::replay_entry(const storage::found_frame &frame,
                              recovered_state &state) {
  const std::uint64_t index = frame.labels.index;
  const std::uint64_t expected = base_.index + entries_.size() + 1;
  if (frame.labels.generation != generation_ || index <= base_.index) {
    return std::nullopt;
  }
  if (index != expected) {
    // The entries before it were truncated and lie in a segment that is not
    // read any more; its own truncation follows.
    detached_entry_ = std::min(detached_entry_.value_or(index), index);
    return std::nullopt;
  }
  wire::LogEntry entry;
  if (auto damage = parse(entry, frame)) {
    return damage;
  }
  state.replica.entries.push_back(std::move(entry));
  const std::uint64_t bytes = frame.payload.size();
  entries_.push_back({.segment = frame.at.segment, .bytes = bytes});
  log_bytes_ += bytes;
  if (index > state.replica.applied) {
    bytes_since_snapshot_ += bytes;
    if (!frame.extents.empty()) {
      entry_turns_.push_back({.index = index, .turns = frame.extents});
    }
  }
  return std::nullopt;
}

void replica_storage::truncate(std::uint64_t index) {
  const std::size_t left = index <= base_.index ? 0 : index - base_.index - 1;
  while (entries_.size() > left) {
    const std::uint64_t bytes = entries_.back().bytes;
    log_bytes_ -= bytes;
    bytes_since_snapshot_ -= std::min(bytes, bytes_since_snapshot_);
    entries_.pop_back();
  }
  while (!entry_turns_.empty() && entry_turns_.back().index >= index) {
    entry_turns_.pop_back();
  }
}

result<void> replica_storage::keep(const std::vector<wire::RecordTurn> &turns) {
  for (const wire::RecordTurn &turn : turns) {
    const storage::extent_key key = storage::make_extent_key(turn.id());
    // Turns never change, so one that a replayed entry brings again is ignored.
    if (bodies_.contains(key)) {
      continue;
    }
    if (const auto in_entry = take_from_entries(key)) {
      bodies_.set(key, *in_entry);
      continue;
    }
    const std::string bytes = turn.SerializeAsString();
    BOOST_OUTCOME_TRY(
        const std::vector<storage::located_extent> written,
        log_->append(labels_of(frame_kind::body), bytes,
                     {{.key = key,
                       .offset = 0,
                       .size = static_cast<std::uint32_t>(bytes.size())}}));
    bodies_.set(key, written.front().where);
  }
  return log_->flush();
}

std::optional<storage::location>
replica_storage::take_from_entries(const storage::extent_key &key) {
  for (auto entry = entry_turns_.begin(); entry != entry_turns_.end();
       ++entry) {
    const auto turn =
        std::ranges::find(entry->turns, key, &storage::located_extent::key);
    if (turn != entry->turns.end()) {
      const storage::location where = turn->where;
      entry->turns.erase(turn);
      // Entries are applied in order, so those before are applied.
      entry_turns_.erase(entry_turns_.begin(), entry);
      return where;
    }
  }
  return std::nullopt;
}

void replica_storage::drop(const std::vector<std::string> &ids) {
  for (const std::string &id : ids) {
    bodies_.erase(storage::make_extent_key(id));
  }
}

std::optional<storage::location>
replica_storage::find_body(const storage::extent_key &key) const {
  if (const auto found = bodies_.find(key)) {
    return found;
  }
  for (const entry_turns &entry : entry_turns_) {
    const auto turn =
        std::ranges::find(entry.turns, key, &storage::located_extent::key);
    if (turn != entry.turns.end()) {
      return turn->where;
    }
  }
  return std::nullopt;
}

std::optional<wire::RecordTurn> replica_storage::read(const std::string &id) {
  const auto where = find_body(storage::make_extent_key(id));
  if (!where) {
    return std::nullopt;
  }
  const auto bytes = log_->read(*where);
  wire::RecordTurn turn;
  const bool readable = bytes && bytes.value() &&
                        turn.ParseFromString(*bytes.value()) && turn.id() == id;
  if (!readable) {
    logging::line(logging::event::record_body_unreadable)
        .field("turn", id)
        .field("segment", where->segment)
        .field("detail", bytes ? "damaged" : describe(bytes.error()))
        .write();
    return std::nullopt;
  }
  return turn;
}

result<void> replica_storage::write(const raft::unsaved_changes &changes,
                                    const wire::RecordSnapshot *snapshot) {
  if (changes.hard) {
    BOOST_OUTCOME_TRY(append_hard_state(*changes.hard));
  }
  if (changes.installed && snapshot != nullptr) {
    BOOST_OUTCOME_TRY(install(*changes.installed, *snapshot));
  }
  if (changes.truncate_from != 0) {
    storage::frame_labels labels = labels_of(frame_kind::truncation);
    labels.index = changes.truncate_from;
    labels.generation = generation_;
    BOOST_OUTCOME_TRY(log_->append(labels, {}, {}));
    truncate(changes.truncate_from);
  }
  for (const wire::LogEntry *entry : changes.entries) {
    BOOST_OUTCOME_TRY(append_entry(*entry));
  }
  BOOST_OUTCOME_TRY(copy_bodies());
  BOOST_OUTCOME_TRY(log_->sync());
  if (emptied_segment_ != 0 && bodies_to_copy_.empty()) {
    emptied_segment_ = 0;
    return delete_empty_segments();
  }
  return outcome::success();
}

result<void> replica_storage::append_hard_state(const raft::hard_state &hard) {
  hard_ = hard;
  BOOST_OUTCOME_TRY(log_->append(labels_of(frame_kind::hard_state),
                                 to_wire(hard).SerializeAsString(), {}));
  return outcome::success();
}

result<void> replica_storage::append_entry(const wire::LogEntry &entry) {
  const std::string bytes = entry.SerializeAsString();
  storage::frame_labels labels = labels_of(frame_kind::entry);
  labels.index = entry.index();
  labels.term = entry.term();
  labels.generation = generation_;
  BOOST_OUTCOME_TRY(std::vector<storage::located_extent> turns,
                    log_->append(labels, bytes, find_turns(bytes)));
  entries_.push_back(
      {.segment = log_->active_segment(), .bytes = bytes.size()});
  if (!turns.empty()) {
    entry_turns_.push_back({.index = entry.index(), .turns = std::move(turns)});
  }
  log_bytes_ += bytes.size();
  bytes_since_snapshot_ += bytes.size();
  return outcome::success();
}

result<void> replica_storage::install(const raft::log_base &base,
                                      const wire::RecordSnapshot &snapshot) {
  // The snapshot replaces the whole log, including entries after its index.
  entries_.clear();
  entry_turns_.clear();
  log_bytes_ = 0;
  ++generation_;
  base_ = base;
  const std::unordered_set<std::uint64_t> named = turns_in(snapshot);
  bodies_.erase_if([&named](const storage::extent_key &key) {
    return !named.contains(key.low);
  });
  return write_checkpoint(base.index, snapshot);
}

result<void> replica_storage::compact(const raft::log_base &base,
                                      std::uint64_t applied,
                                      wire::RecordSnapshot snapshot) {
  for (; base_.index < base.index && !entries_.empty(); ++base_.index) {
    log_bytes_ -= entries_.front().bytes;
    entries_.pop_front();
  }
  base_ = base;
  // What is left of applied entries is not kept, and its segment may go.
  while (!entry_turns_.empty() && entry_turns_.front().index <= applied) {
    entry_turns_.pop_front();
  }
  return write_checkpoint(applied, std::move(snapshot));
}

result<void> replica_storage::write_checkpoint(std::uint64_t applied,
                                               wire::RecordSnapshot snapshot) {
  BOOST_OUTCOME_TRY(log_->sync());
  const storage::log_position end = log_->end();
  first_segment_ = entries_.empty() ? end.segment : entries_.front().segment;
  wire::ReplicaCheckpoint checkpoint;
  checkpoint.set_identity(identity_.value());
  *checkpoint.mutable_hard() = to_wire(hard_);
  set_base(checkpoint, base_);
  checkpoint.set_applied(applied);
  *checkpoint.mutable_snapshot() = std::move(snapshot);
  *checkpoint.mutable_members() = members_;
  for (const storage::located_extent &body : bodies_.all()) {
    *checkpoint.add_bodies() = to_wire(body);
  }
  checkpoint.set_generation(generation_);
  checkpoint.set_first_segment(first_segment_);
  checkpoint.set_end_segment(end.segment);
  checkpoint.set_end_offset(end.offset);
  const std::string bytes = checkpoint.SerializeAsString();
  BOOST_OUTCOME_TRY(storage::write_checkpoint(*files_, bytes));
  checkpoint_bytes_ += bytes.size();
  bytes_since_snapshot_ = 0;
  return delete_empty_segments();
}

result<void>
replica_storage::write_members(const wire::RecordMembers &members) {
  members_ = members;
  BOOST_OUTCOME_TRY(log_->append(labels_of(frame_kind::members),
                                 members.SerializeAsString(), {}));
  return log_->sync();
}

std::optional<std::uint64_t> replica_storage::segment_to_empty() const {
  std::optional<std::uint64_t> chosen;
  double smallest_share = 1.0 / static_cast<double>(empty_below_part);
  for (const auto &[number, size] : log_->sizes()) {
    const double share = static_cast<double>(bodies_.live_bytes(number)) /
                         static_cast<double>(std::max<std::uint32_t>(size, 1));
    if (number < first_segment_ && share < smallest_share) {
      smallest_share = share;
      chosen = number;
    }
  }
  return chosen;
}

result<void> replica_storage::copy_bodies() {
  if (emptied_segment_ == 0) {
    return outcome::success();
  }
  std::uint64_t copied = 0;
  while (!bodies_to_copy_.empty() && copied < options_.copied_bytes_per_write) {
    const storage::extent_key key = bodies_to_copy_.back();
    bodies_to_copy_.pop_back();
    const auto where = bodies_.find(key);
    if (!where || where->segment != emptied_segment_) {
      continue; // dropped meanwhile
    }
    BOOST_OUTCOME_TRY(const std::optional<std::string> bytes,
                      log_->read(*where));
    if (!bytes) {
      logging::line(logging::event::record_body_unreadable)
          .field("segment", where->segment)
          .field("detail", "damaged")
          .write();
      bodies_.erase(key);
      continue;
    }
    BOOST_OUTCOME_TRY(
        const std::vector<storage::located_extent> written,
        log_->append(labels_of(frame_kind::body), *bytes,
                     {{.key = key, .offset = 0, .size = where->size}}));
    bodies_.set(key, written.front().where);
    copied += bytes->size();
  }
  return outcome::success();
}

result<void> replica_storage::delete_empty_segments() {
  for (const auto &[number, size] : log_->sizes()) {
    if (number < first_segment_ && bodies_.live_bytes(number) == 0) {
      BOOST_OUTCOME_TRY(log_->remove(number));
      bytes_reclaimed_ += size;
    }
  }
  if (emptied_segment_ == 0) {
    if (const auto chosen = segment_to_empty()) {
      emptied_segment_ = *chosen;
      bodies_to_copy_ = bodies_.bodies_in(*chosen);
    }
  }
  return outcome::success();
}

storage_counts replica_storage::counts() const {
  return {.bytes_written = log_->counts().bytes_written + checkpoint_bytes_,
          .syncs = log_->counts().syncs,
          .bytes_reclaimed = bytes_reclaimed_,
          .live_bytes = bodies_.live_bytes(),
          .total_bytes = log_->total_bytes()};
}

} // namespace heathtrestle::records
