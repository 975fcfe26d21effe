#include "records/record_runtime.hpp"

#include "logging/log.hpp"

#include <chrono>
#include <cstdlib>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace heathtrestle::records {

namespace {

constexpr duration_ms tick_interval{50};
/// A longer log is replaced by a snapshot.
constexpr std::uint64_t compact_above_bytes = 24U << 20U;
constexpr const char *cluster_name = "records";

std::uint64_t wall_ms() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration_ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

record_runtime::record_runtime(asio::io_context &io, wire::RecordMember self,
                               std::unique_ptr<storage::log_storage> disk,
                               storage::recovered_state recovered,
                               record_node_options options)
    : io_(io), disk_(std::move(disk)),
      node_(std::move(self), std::move(recovered), options, steady_now(),
            random_()) {}

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

void record_runtime::found() {
  node_.found(steady_now(), random_());
  step();
}

void record_runtime::on_message(wire::Envelope envelope) {
  const std::scoped_lock lock(mutex_);
  arrived_.push_back(std::move(envelope));
  if (!drain_posted_) {
    drain_posted_ = true;
    asio::post(io_, [this] { drain(); });
  }
}

void record_runtime::drain() {
  std::vector<wire::Envelope> taken;
  {
    const std::scoped_lock lock(mutex_);
    taken.swap(arrived_);
    drain_posted_ = false;
  }
  for (wire::Envelope &envelope : taken) {
    node_.receive(std::move(envelope));
  }
  step();
}

asio::awaitable<void> record_runtime::tick() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(tick_interval);
    co_await timer.async_wait(as_result);
    step();
  }
}

void record_runtime::step() {
  ++steps_;
  record_effects first = node_.step(steady_now(), wall_ms(), random_());
  send(first.early);
  write(first);
  record_effects second = node_.after_write(steady_now());
  send(second.messages);
  for (const logged_event &each : second.log) {
    logging::write(each.number, each.detail);
  }
  if (disk_->log_bytes() > compact_above_bytes) {
    compact();
  }
}

void record_runtime::write(const record_effects &effects) {
  const auto begun = std::chrono::steady_clock::now();
  result<void> done = BOOST_OUTCOME_V2_NAMESPACE::success();
  if (!effects.write.empty()) {
    done = disk_->write(effects.write,
                        effects.installed ? &*effects.installed : nullptr);
    ++writes_;
  }
  if (done && effects.members) {
    done = disk_->write_members(*effects.members);
  }
  if (!done) {
    // What this node promises from here on might not be kept.
    logging::write(logging::event::record_storage_failed,
                   describe(done.error()));
    std::_Exit(EXIT_FAILURE);
  }
  write_seconds_ +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun)
          .count();
}

void record_runtime::compact() {
  const auto done =
      disk_->compact(node_.log()->applied_base(), node_.table().snapshot());
  if (!done) {
    logging::write(logging::event::record_storage_failed,
                   describe(done.error()));
    std::_Exit(EXIT_FAILURE);
  }
}

void record_runtime::send(std::vector<addressed_message> &messages) {
  for (addressed_message &message : messages) {
    transport_->send(std::move(message.address), message.envelope);
  }
}

std::string record_runtime::metrics() const {
  const raft::consensus *log = node_.log();
  const rpc::transport_counts counts = transport_->counts();
  std::string text;
  const auto add = [&text](std::string_view name, auto value) {
    text += fmt::format("heathtrestle_records_{} {}\n", name, value);
  };
  add("leader", node_.is_leader() ? 1 : 0);
  add("term", log->term().value());
  add("commit_index", log->commit_index().value());
  add("last_index", log->last_index().value());
  add("voters", log->voters().size());
  add("programs", node_.table().programs());
  add("turns", node_.table().turns());
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
