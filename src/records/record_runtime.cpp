#include "records/record_runtime.hpp"

#include "logging/log.hpp"
#include "storage/posix_directory.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <malloc.h>

namespace heathtrestle::records {

namespace {

constexpr duration_ms tick_interval{50};
/// A snapshot is written after this many bytes of log entries, and older
/// entries are dropped except for those retained for followers. This bounds the
/// entries that a restart applies; a snapshot holds no turn bodies and is
/// small.
constexpr std::uint64_t snapshot_after_bytes = 8U << 20U;
constexpr const char *cluster_name = "records";
/// Lifetime of a report of removable nodes from another leader.
constexpr duration_ms report_lifetime{1000};
/// Options for a group of several partitions, whose nodes have a small share of
/// a processor.
record_node_options small_node_options(record_node_options options) {
  // Delays each turn by up to twice this time but greatly reduces the number of
  // messages and disk writes.
  options.batch_interval = duration_ms{25};
  // A new follower needs a transfer of the whole state, which costs more than
  // waiting for restarting nodes.
  options.recruit_after = duration_ms{2000};
  options.replace_after = duration_ms{3000};
  options.gone_after = duration_ms{6000};
  // Tolerates the delays of a busy node.
  options.raft.election_timeout = duration_ms{500};
  options.liveness_timeout = duration_ms{1200};
  return options;
}

/// Bytes allocated and not freed.
std::size_t heap_bytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Exits when a write fails, since later acknowledgements would promise state
/// that is not durable.
void exit_on_failure(const result<void> &done) {
  if (!done) {
    logging::write(logging::event::record_storage_failed,
                   describe(done.error()));
    std::_Exit(EXIT_FAILURE);
  }
}

std::uint64_t wall_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration_ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

namespace {

/// All partitions of a disk, or why they cannot be used.
struct opened_partitions {
  std::vector<partition_disk> disks;
  std::string damage;
};

std::string folder_of(const std::string &directory, std::size_t partition) {
  return partition == 0 ? directory
                        : fmt::format("{}/{}", directory, partition);
}

result<opened_partitions> open_intact(const std::string &directory,
                                      std::size_t count,
                                      std::uint64_t fresh_identity) {
  opened_partitions all;
  std::uint64_t identity = fresh_identity;
  for (std::size_t number = 0; number < count; ++number) {
    BOOST_OUTCOME_TRY(auto files, storage::posix_directory::open_or_create(
                                      folder_of(directory, number)));
    BOOST_OUTCOME_TRY(replica_storage::opened found,
                      replica_storage::open(std::move(files), identity));
    const bool same =
        number == 0 || found.recovered.identity == boot_id{identity};
    if (!found.storage || !same) {
      all.damage = fmt::format(
          "partition {}: {}", number,
          same ? found.damage : "identity differs from the first partition's");
      return all;
    }
    identity = found.recovered.identity.value();
    all.disks.push_back({.disk = std::move(found.storage),
                         .recovered = std::move(found.recovered)});
  }
  return all;
}

} // namespace

result<std::vector<partition_disk>>
open_partitions(const std::string &directory, std::size_t count,
                std::uint64_t fresh_identity) {
  BOOST_OUTCOME_TRY(opened_partitions found,
                    open_intact(directory, count, fresh_identity));
  if (found.damage.empty()) {
    return std::move(found.disks);
  }
  logging::line(logging::event::record_disk_damaged)
      .field("detail", found.damage)
      .write();
  found.disks.clear();
  for (std::size_t number = 0; number < count; ++number) {
    BOOST_OUTCOME_TRY(
        const auto files,
        storage::posix_directory::open_or_create(folder_of(directory, number)));
    BOOST_OUTCOME_TRY(replica_storage::erase(*files));
  }
  BOOST_OUTCOME_TRY(opened_partitions emptied,
                    open_intact(directory, count, fresh_identity));
  if (!emptied.damage.empty()) {
    return fail(error_code::internal, emptied.damage, "open the emptied disk",
                directory);
  }
  return std::move(emptied.disks);
}

record_runtime::record_runtime(asio::io_context &io,
                               const wire::RecordMember &self,
                               std::vector<partition_disk> disks,
                               record_node_options options)
    : io_(io) {
  options.partitions = static_cast<std::uint32_t>(disks.size());
  if (disks.size() > 1) {
    options = small_node_options(options);
  }
  for (partition_disk &each : disks) {
    options.partition = static_cast<std::uint32_t>(partitions_.size());
    auto node = std::make_unique<record_node>(self, std::move(each.recovered),
                                              options, steady_now(), random_());
    partitions_.push_back(
        {.disk = std::move(each.disk),
         .node = std::move(node),
         .reported_removable = {},
         .reported_at = {},
         .batch_timer = std::make_unique<asio::steady_timer>(io)});
  }
}

result<void> record_runtime::start(const std::string &address) {
  auto started = rpc::transport::start(
      {.address = address, .cluster = cluster_name},
      [this](wire::Envelope envelope) { on_message(std::move(envelope)); });
  if (!started) {
    return started.error();
  }
  transport_ = std::move(started).value();
  asio::co_spawn(io_, tick(), asio::detached);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

const wire::RecordMember &record_runtime::self() const {
  return partitions_.front().node->self();
}

bool record_runtime::knows_leader() const {
  return std::all_of(partitions_.begin(), partitions_.end(),
                     [now = steady_now()](const partition &each) {
                       return each.node->knows_leader(now);
                     });
}

bool record_runtime::leads_any() const {
  return std::any_of(
      partitions_.begin(), partitions_.end(),
      [](const partition &each) { return each.node->is_leader(); });
}

bool record_runtime::has_group() const {
  return std::any_of(
      partitions_.begin(), partitions_.end(),
      [](const partition &each) { return each.node->has_group(); });
}

void record_runtime::bootstrap() {
  for (std::size_t number = 0; number < partitions_.size(); ++number) {
    partitions_[number].node->bootstrap(steady_now(), random_());
    step(number);
  }
}

void record_runtime::learn_members(const wire::RecordMembers &members) {
  for (const partition &each : partitions_) {
    each.node->learn_members(members);
  }
}

void record_runtime::set_retiring(const std::set<std::string> &names) {
  for (const partition &each : partitions_) {
    each.node->set_retiring(names);
  }
}

bool record_runtime::is_retirement_reporter() const {
  return partitions_.front().node->is_leader();
}

std::set<std::string> record_runtime::removable_nodes() const {
  std::map<std::string, std::size_t> removable_in;
  for (const partition &each : partitions_) {
    const bool leads = each.node->is_leader();
    const bool fresh = steady_now() < each.reported_at + report_lifetime;
    const std::set<std::string> names =
        leads   ? each.node->removable_nodes(steady_now())
        : fresh ? each.reported_removable
                : std::set<std::string>();
    for (const std::string &name : names) {
      ++removable_in[name];
    }
  }
  std::set<std::string> everywhere;
  for (const auto &[name, count] : removable_in) {
    if (count == partitions_.size()) {
      everywhere.insert(name);
    }
  }
  return everywhere;
}

void record_runtime::on_message(wire::Envelope envelope) {
  const std::scoped_lock lock(mutex_);
  arrived_.push_back({std::move(envelope), steady_now()});
  if (!processing_posted_) {
    processing_posted_ = true;
    asio::post(io_, [this] { process_arrived(); });
  }
}

void record_runtime::process_arrived() {
  std::vector<arrived_message> taken;
  {
    const std::scoped_lock lock(mutex_);
    taken.swap(arrived_);
    processing_posted_ = false;
  }
  load_.on_queue(taken.size(), taken.front().arrived, steady_now());
  for (arrived_message &message : taken) {
    load_.on_message(message.envelope);
    receive(std::move(message));
  }
  for (const std::size_t number : std::exchange(partitions_with_input_, {})) {
    step(number);
  }
}

void record_runtime::arm_batch_timer(std::size_t number) {
  partition &waiting = partitions_[number];
  const std::optional<timestamp> due = waiting.node->batch_due();
  if (!due || waiting.batch_timer_armed) {
    return;
  }
  waiting.batch_timer_armed = true;
  waiting.batch_timer->expires_at(*due);
  waiting.batch_timer->async_wait(
      [this, number](boost::system::error_code cancelled) {
        partitions_[number].batch_timer_armed = false;
        if (!cancelled) {
          step(number);
        }
      });
}

void record_runtime::receive(arrived_message message) {
  const wire::Envelope &envelope = message.envelope;
  if (envelope.has_follow_objects()) {
    if (follow_handler_) {
      follow_handler_(envelope.follow_objects());
    }
    return;
  }
  if (envelope.has_object_copies()) {
    if (copies_handler_) {
      copies_handler_(envelope.object_copies());
    }
    return;
  }
  if (envelope.has_crash_notice()) {
    if (crash_notice_handler_) {
      crash_notice_handler_(envelope.crash_notice());
    }
    return;
  }
  const std::size_t number = envelope.record_partition();
  if (number >= partitions_.size()) {
    return; // the sender is configured with more partitions
  }
  if (envelope.has_record_emptied()) {
    const auto &names = envelope.record_emptied().names();
    partitions_[number].reported_removable = {names.begin(), names.end()};
    partitions_[number].reported_at = steady_now();
    return;
  }
  partitions_[number].node->receive(std::move(message));
  partitions_with_input_.insert(number);
}

asio::awaitable<void> record_runtime::tick() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(tick_interval);
    co_await timer.async_wait(as_result);
    for (std::size_t number = 0; number < partitions_.size(); ++number) {
      step(number);
    }
    send_removable_nodes();
    report_load();
  }
}

void record_runtime::report_load() {
  for (const partition &each : partitions_) {
    load_.on_requests(each.node->take_request_counts());
  }
  load_.on_disk(disk_counts());
  if (const auto totals = load_.take_report(steady_now())) {
    log_load(*totals);
  }
}

storage_counts record_runtime::disk_counts() const {
  storage_counts all;
  for (const partition &each : partitions_) {
    all += each.disk->counts();
  }
  return all;
}

void record_runtime::send_removable_nodes() {
  // The leader of the first partition reports for all partitions, so the other
  // leaders send it their results.
  for (std::size_t number = 1; number < partitions_.size(); ++number) {
    const record_node &node = *partitions_[number].node;
    const std::set<std::string> names = node.removable_nodes(steady_now());
    if (names.empty()) {
      continue;
    }
    wire::Envelope envelope;
    for (const std::string &name : names) {
      envelope.mutable_record_emptied()->add_names(name);
    }
    std::vector<addressed_message> messages;
    const wire::RecordMembers members = node.members();
    for (const wire::RecordMember &each : members.members()) {
      if (each.name() != self().name()) {
        messages.push_back({each.address(), envelope});
      }
    }
    send(number, messages);
  }
}

void record_runtime::step(std::size_t number) {
  ++steps_;
  partition &stepped = partitions_[number];
  record_effects first = reduce(stepped);
  send(number, first.early);
  write(stepped, first);
  record_effects second = apply(stepped);
  fill_turn_bodies(number, second.messages);
  send(number, second.messages);
  stepped.disk->drop(second.dropped);
  for (const logged_event &each : second.log) {
    logging::line(each.number)
        .field("partition", number)
        .field("detail", each.detail)
        .write();
  }
  arm_batch_timer(number);
  if (stepped.node->has_more_to_apply()) {
    schedule_apply(number);
  }
  if (stepped.disk->bytes_since_snapshot() > snapshot_after_bytes) {
    compact(stepped);
  }
}

record_effects record_runtime::reduce(partition &stepped) {
  const phase_timer timer(load_, step_phase::reduce);
  return stepped.node->step(steady_now(), wall_ms(), random_());
}

record_effects record_runtime::apply(partition &stepped) {
  const phase_timer timer(load_, step_phase::apply);
  record_effects effects = stepped.node->after_write(steady_now());
  exit_on_failure(stepped.disk->keep(effects.kept));
  return effects;
}

void record_runtime::fill_turn_bodies(
    std::size_t number, std::vector<addressed_message> &messages) {
  const phase_timer timer(load_, step_phase::read_bodies);
  for (addressed_message &message : messages) {
    const std::size_t missing =
        records::fill_turn_bodies(message.envelope, *partitions_[number].disk);
    if (missing > 0) {
      logging::line(logging::event::record_turns_missing)
          .field("partition", number)
          .field("peer", message.address)
          .field("turns", missing)
          .write();
    }
    count_history(message.envelope);
  }
}

void record_runtime::count_history(const wire::Envelope &envelope) {
  for (const auto &item : envelope.record_reply().items()) {
    for (const wire::RecordTurn &turn : item.history()) {
      load_.on_history(1, turn.input().size() + turn.output().size());
    }
  }
}

void record_runtime::schedule_apply(std::size_t number) {
  partition &behind = partitions_[number];
  if (std::exchange(behind.apply_scheduled, true)) {
    return;
  }
  // Posted, so that messages that have arrived are processed first.
  asio::post(io_, [this, number] {
    partitions_[number].apply_scheduled = false;
    step(number);
  });
}

void record_runtime::write(partition &written, record_effects &effects) {
  const phase_timer timer(load_, step_phase::write);
  const auto begun = std::chrono::steady_clock::now();
  result<void> done = written.disk->keep(effects.kept);
  if (done && !effects.write.empty()) {
    done = written.disk->write(
        effects.write, effects.installed ? &*effects.installed : nullptr);
    ++writes_;
  }
  if (done && effects.members) {
    done = written.disk->write_members(*effects.members);
  }
  exit_on_failure(done);
  write_seconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
          .count();
}

void record_runtime::compact(partition &compacted) {
  const phase_timer timer(load_, step_phase::compact);
  const raft::consensus &log = *compacted.node->log();
  exit_on_failure(compacted.disk->compact(log.base(), log.applied_index(),
                                          compacted.node->table().snapshot()));
}

void record_runtime::send(std::size_t number,
                          std::vector<addressed_message> &messages) {
  const phase_timer timer(load_, step_phase::send);
  for (addressed_message &message : messages) {
    message.envelope.set_record_partition(static_cast<std::uint32_t>(number));
    transport_->send(std::move(message.address), message.envelope);
  }
}

std::string record_runtime::metrics() const {
  std::uint64_t leads = 0;
  std::uint64_t term = 0;
  std::uint64_t committed = 0;
  std::uint64_t last = 0;
  std::size_t log_bytes = 0;
  std::uint64_t disk_log_bytes = 0;
  std::size_t programs = 0;
  std::size_t turns = 0;
  std::size_t turn_bytes = 0;
  std::size_t voters = partitions_.front().node->log()->voters().size();
  for (const partition &each : partitions_) {
    const raft::consensus *log = each.node->log();
    leads += log->is_leader() ? 1 : 0;
    term = std::max(term, log->term().value());
    committed += log->commit_index().value();
    last += log->last_index().value();
    voters = std::min(voters, log->voters().size());
    log_bytes += log->log_bytes();
    disk_log_bytes += each.disk->log_bytes();
    programs += each.node->table().programs();
    turns += each.node->table().turns();
    turn_bytes += each.node->table().turn_bytes();
  }
  const rpc::transport_counts counts = transport_->counts();
  std::string text;
  const auto add = [&text](std::string_view name, auto value) {
    text += fmt::format("heathtrestle_records_{} {}\n", name, value);
  };
  add("partitions", partitions_.size());
  add("leader", leads);
  add("term", term);
  add("commit_index", committed);
  add("last_index", last);
  add("voters", voters);
  add("programs", programs);
  add("turns", turns);
  add("turn_bytes", turn_bytes);
  add("log_bytes", log_bytes);
  add("disk_log_bytes", disk_log_bytes);
  add("heap_bytes", heap_bytes());
  const storage_counts disk = disk_counts();
  add("disk_bytes_written_total", disk.bytes_written);
  add("disk_syncs_total", disk.syncs);
  add("disk_reclaimed_bytes_total", disk.bytes_reclaimed);
  add("disk_live_bytes", disk.live_bytes);
  add("disk_total_bytes", disk.total_bytes);
  add("disk_writes_total", writes_);
  add("disk_write_seconds_total", write_seconds_);
  add("steps_total", steps_);
  add("messages_sent_total", counts.messages_sent);
  add("bytes_sent_total", counts.bytes_sent);
  add("messages_received_total", counts.messages_received);
  add("messages_dropped_total", counts.messages_dropped);
  return text;
}

} // namespace heathtrestle::records
