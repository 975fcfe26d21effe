#include "daemon/runtime.hpp"

#include "daemon/api.hpp"
#include "engine_client/engine_client.hpp"
#include "logging/log.hpp"
#include "replay/trace.hpp"

#include <boost/fiber/operations.hpp>
#include <google/protobuf/util/delimited_message_util.h>
#include <google/protobuf/util/json_util.h>

#include <chrono>
#include <random>
#include <utility>

namespace heathtrestle::daemon {

namespace {

constexpr std::chrono::milliseconds watch_timeout{10000};
constexpr std::chrono::milliseconds watch_retry_delay{500};

std::uint64_t wall_clock_milliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::uint64_t random_number() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

wire::Member member_of(const daemon_settings &settings, std::uint64_t boot) {
  wire::Member member;
  member.set_node(make_node_id(settings.name).value());
  member.set_boot(boot);
  member.set_name(settings.name);
  member.set_rpc_address(settings.rpc_address);
  member.set_http_address(settings.http_address);
  member.set_zone(settings.zone);
  member.set_region(settings.region);
  member.set_holds_partitions(has_role(settings, partitions_role));
  // Increases with every start, so that membership updates about a new process
  // supersede those about the previous one. If the wall clock moves backwards,
  // the updates are delayed, but safety is not affected.
  member.set_incarnation(wall_clock_milliseconds());
  return member;
}

} // namespace

daemon_runtime::daemon_runtime(daemon_settings settings)
    : settings_(std::move(settings)), boot_(random_number()), client_(io_),
      platform_(client_, settings_.platform_address),
      node_(std::make_unique<core::node>(member_of(settings_, boot_),
                                         node_options_of(settings_))) {}

daemon_runtime::~daemon_runtime() {
  stopping_ = true;
  transport_.reset();
  if (server_) {
    server_->stop_accepting();
  }
  if (loop_) {
    loop_->stop();
  }
  fibers_.reset();
  server_.reset();
}

result<void> daemon_runtime::start() {
  trace_writer trace;
  if (!settings_.trace_file.empty()) {
    trace_.open(settings_.trace_file, std::ios::binary | std::ios::trunc);
    google::protobuf::util::SerializeDelimitedToOstream(
        replay::header_record(node_->members().self(),
                              node_options_of(settings_)),
        &trace_);
    trace = [this](const wire::Event &event,
                   const effects::effect_list &effects) {
      write_trace(event, effects);
    };
  }
  fibers_ = std::make_unique<runtime::fiber_pool>(settings_.workers);
  loop_ = std::make_unique<event_loop>(
      *node_, *fibers_,
      [this](wire::Effect effect) { run_effect(std::move(effect)); },
      std::move(trace));
  auto transport = rpc::transport::start(
      {.address = settings_.rpc_address, .cluster = settings_.cluster},
      [this](wire::Envelope envelope) {
        wire::Event event;
        *event.mutable_received() = std::move(envelope);
        post(std::move(event));
      });
  if (!transport) {
    return transport.as_failure();
  }
  transport_ = std::move(transport.value());
  auto server = http::server::start(
      io_, *fibers_,
      {.address = settings_.http_address, .body_limit = settings_.body_limit},
      [this](http::exchange &exchange) { handle_request(*this, exchange); });
  if (!server) {
    return server.as_failure();
  }
  server_ = std::move(server.value());
  fibers_->spawn([this] { tick(); });
  fibers_->spawn([this] { watch_platform(); });
  logging::write(
      logging::event::daemon_started,
      fmt::format("rpc {} http {}", settings_.rpc_address, server_->address()));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void daemon_runtime::begin_drain() {
  logging::write(logging::event::daemon_stopping, settings_.name);
  server_->stop_accepting();
  wire::Event event;
  event.mutable_drain_asked();
  post(std::move(event));
}

void daemon_runtime::wait_until_drained() {
  std::unique_lock lock(drain_mutex_);
  drained_changed_.wait(lock, [this] { return drained_; });
}

std::string daemon_runtime::new_request_id() {
  return fmt::format("{:016x}-{}", boot_, next_request_.fetch_add(1));
}

void daemon_runtime::run_effect(wire::Effect effect) {
  const engine_client::event_sink sink = [this](wire::Event event) {
    post(std::move(event));
  };
  switch (effect.body_case()) {
  case wire::Effect::kSend:
    send(std::move(*effect.mutable_send()));
    return;
  case wire::Effect::kReplyToClient: {
    const std::string id = effect.reply_to_client().request_id();
    clients_.deliver(id, std::move(*effect.mutable_reply_to_client()));
    return;
  }
  case wire::Effect::kStreamToClient: {
    const std::string id = effect.stream_to_client().request_id();
    clients_.deliver(id, std::move(*effect.mutable_stream_to_client()));
    return;
  }
  case wire::Effect::kStatusReady:
    clients_.deliver(std::to_string(effect.status_ready().reply().query()),
                     effect.status_ready().reply());
    return;
  case wire::Effect::kStartEngineRequest:
    fibers_->spawn([this, sink, command = effect.start_engine_request()] {
      engine_client::run_generation(client_, command, sink);
    });
    return;
  case wire::Effect::kCancelEngineRequest:
    fibers_->spawn([this, command = effect.cancel_engine_request()] {
      engine_client::cancel_generation(client_, command);
    });
    return;
  case wire::Effect::kReleaseEngineMemory:
    fibers_->spawn([this, sink, command = effect.release_engine_memory()] {
      engine_client::release_memory(client_, command, sink);
    });
    return;
  case wire::Effect::kFenceEngine:
    fibers_->spawn([this, sink, command = effect.fence_engine()] {
      engine_client::fence_engine(client_, command, sink);
    });
    return;
  case wire::Effect::kInvokeTool:
    fibers_->spawn([this, sink, command = effect.invoke_tool()] {
      engine_client::invoke_tool(client_, command, sink);
    });
    return;
  case wire::Effect::kProposeFounding:
    fibers_->spawn([this, founding = effect.propose_founding().founding()] {
      propose_founding(founding);
    });
    return;
  case wire::Effect::kWatchPlatform:
    watching_ = effect.watch_platform().watch();
    return;
  case wire::Effect::kLog:
    logging::write(static_cast<logging::event>(effect.log().number()),
                   effect.log().detail());
    return;
  case wire::Effect::kDrainDone: {
    const std::scoped_lock lock(drain_mutex_);
    drained_ = true;
    drained_changed_.notify_all();
    return;
  }
  case wire::Effect::BODY_NOT_SET:
    return;
  }
}

void daemon_runtime::send(wire::SendMessage message) {
  const bool to_self = message.to() == node_->members().self_id().value();
  if (to_self) {
    wire::Event event;
    *event.mutable_received() = std::move(*message.mutable_envelope());
    post(std::move(event));
    return;
  }
  if (!message.address().empty() && transport_) {
    transport_->send(message.address(), message.envelope());
  }
}

void daemon_runtime::propose_founding(const wire::Founding &founding) {
  if (founding_proposal_pending_.exchange(true)) {
    return; // an earlier proposal is still in progress
  }
  std::string document;
  [[maybe_unused]] const auto converted =
      google::protobuf::util::MessageToJsonString(founding, &document);
  const std::string kind(platform_client::founding_kind);
  const std::string name =
      fmt::format("{}.{}", settings_.cluster, settings_.region);
  // The result of the write is ignored: the record that is read back is the
  // founding that won, whether it was proposed here or by another daemon.
  [[maybe_unused]] const auto written =
      platform_.write({.kind = kind,
                       .name = name,
                       .document = document,
                       .expected_version = 0,
                       .change_id = new_request_id()});
  const auto stored = platform_.read(kind, name);
  wire::Event event;
  const bool found =
      stored && stored.value().has_value() &&
      google::protobuf::util::JsonStringToMessage(stored.value()->document,
                                                  event.mutable_founding_read())
          .ok();
  if (found) {
    post(std::move(event));
  }
  founding_proposal_pending_ = false;
}

void daemon_runtime::watch_platform() {
  bool available = true;
  while (!stopping_) {
    if (!watching_) {
      boost::this_fiber::sleep_for(watch_retry_delay);
      continue;
    }
    const std::uint64_t revision = node_->counts().configuration_revision;
    const auto delta = platform_.watch(revision, watch_timeout);
    if (!delta) {
      if (available) {
        logging::write(logging::event::platform_unavailable,
                       describe(delta.error()));
      }
      available = false;
      boost::this_fiber::sleep_for(watch_retry_delay);
      continue;
    }
    if (!available) {
      logging::write(logging::event::platform_recovered,
                     "watching the platform's configuration again");
      available = true;
    }
    if (delta.value().to_revision() > revision) {
      wire::Event event;
      *event.mutable_configuration_read() = delta.value();
      post(std::move(event));
      // Wait until the event is applied: the next watch starts from its
      // revision.
      while (!stopping_ && node_->counts().configuration_revision <
                               delta.value().to_revision()) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
      }
    }
  }
}

void daemon_runtime::tick() {
  while (!stopping_) {
    wire::Event event;
    event.mutable_tick();
    post(std::move(event));
    boost::this_fiber::sleep_for(settings_.tick_interval);
  }
}

void daemon_runtime::write_trace(const wire::Event &event,
                                 const effects::effect_list &effects) {
  wire::TraceRecord record;
  *record.mutable_event() = event;
  for (const wire::Effect &effect : effects) {
    *record.add_effects() = effect;
  }
  const std::scoped_lock lock(trace_mutex_);
  google::protobuf::util::SerializeDelimitedToOstream(record, &trace_);
  trace_.flush();
}

} // namespace heathtrestle::daemon
