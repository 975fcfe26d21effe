#include "rpc/transport.hpp"

#include "logging/log.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <zmq.hpp>

namespace heathtrestle::rpc {

namespace {

constexpr std::string_view protocol_name = "heathtrestle/1 ";
constexpr int high_water_mark = 2000;
constexpr int reconnect_interval_ms = 100;
constexpr int reconnect_interval_limit_ms = 400;
constexpr int connection_lost_after_ms = 1500;
/// A connection whose peer answers no heartbeat is made anew.
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 1500;
constexpr auto poll_interval = std::chrono::milliseconds(1000);
/// While a connection is being made its first messages wait here for it.
constexpr auto connecting_poll_interval = std::chrono::milliseconds(5);
constexpr auto connecting_limit = std::chrono::milliseconds(1000);
constexpr std::size_t connecting_messages = 256;
constexpr std::size_t connecting_bytes = 8U << 20U;

struct outgoing {
  std::string address;
  std::string payload;
};

struct peer {
  zmq::socket_t socket;
  std::chrono::steady_clock::time_point created;
  std::chrono::steady_clock::time_point last_used;
  std::deque<std::string> early; // messages sent before the connection stood
  std::size_t early_bytes = 0;
};

} // namespace

struct transport::state {
  transport_options options;
  receiver receive;
  std::string greeting;
  zmq::context_t context{1};
  zmq::socket_t router{context, zmq::socket_type::router};
  int wakeup = -1;
  std::mutex mutex;
  std::deque<outgoing> queue;
  std::atomic<bool> stopping{false};
  std::map<std::string, peer> peers;
  std::thread thread;
  std::atomic<std::uint64_t> messages_sent{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> messages_dropped{0};

  void run();
  void receive_all();
  void send_all();
  void send_one(const outgoing &message);
  bool try_send(zmq::socket_t &socket, const std::string &payload);
  bool flush_early();
  void close_idle();
  peer &peer_for(const std::string &address);
  void wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wakeup, &one, sizeof one);
  }
};

void transport::state::run() {
  bool connecting = false;
  while (!stopping) {
    std::array<zmq::pollitem_t, 2> items{
        zmq::pollitem_t{router.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{nullptr, wakeup, ZMQ_POLLIN, 0}};
    zmq::poll(items.data(), items.size(),
              connecting ? connecting_poll_interval : poll_interval);
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      std::uint64_t count = 0;
      [[maybe_unused]] const auto taken = ::read(wakeup, &count, sizeof count);
    }
    receive_all();
    connecting = flush_early();
    send_all();
    close_idle();
  }
}

void transport::state::receive_all() {
  while (true) {
    std::vector<zmq::message_t> frames;
    zmq::message_t frame;
    bool more = true;
    while (more) {
      if (!router.recv(frame, frames.empty() ? zmq::recv_flags::dontwait
                                             : zmq::recv_flags::none)) {
        return;
      }
      more = frame.more();
      frames.push_back(std::move(frame));
    }
    // The router puts the connection's identity first.
    constexpr std::size_t expected_frames = 3;
    wire::Envelope envelope;
    const bool valid =
        frames.size() == expected_frames &&
        frames[1].to_string_view() == greeting &&
        envelope.ParseFromArray(frames[2].data(),
                                static_cast<int>(frames[2].size()));
    if (!valid) {
      logging::write(logging::event::transport_message_rejected,
                     "another protocol, version or cluster");
      continue;
    }
    messages_received.fetch_add(1, std::memory_order_relaxed);
    bytes_received.fetch_add(frames[1].size() + frames[2].size(),
                             std::memory_order_relaxed);
    receive(std::move(envelope));
  }
}

void transport::state::send_all() {
  std::deque<outgoing> taken;
  {
    const std::scoped_lock lock(mutex);
    taken.swap(queue);
  }
  for (const outgoing &message : taken) {
    send_one(message);
  }
}

void transport::state::send_one(const outgoing &message) {
  peer &target = peer_for(message.address);
  const bool sent =
      target.early.empty() && try_send(target.socket, message.payload);
  if (sent) {
    return;
  }
  const bool fresh =
      std::chrono::steady_clock::now() - target.created < connecting_limit;
  const bool fits =
      target.early.size() < connecting_messages &&
      (target.early.empty() ||
       target.early_bytes + message.payload.size() <= connecting_bytes);
  if (fresh && fits) {
    target.early_bytes += message.payload.size();
    target.early.push_back(message.payload);
    wake();
    return;
  }
  messages_dropped.fetch_add(1, std::memory_order_relaxed);
  logging::write(logging::event::transport_send_failed, message.address);
}

bool transport::state::try_send(zmq::socket_t &socket,
                                const std::string &payload) {
  const auto head =
      socket.send(zmq::buffer(greeting),
                  zmq::send_flags::sndmore | zmq::send_flags::dontwait);
  if (!head.has_value()) {
    return false;
  }
  socket.send(zmq::buffer(payload), zmq::send_flags::dontwait);
  messages_sent.fetch_add(1, std::memory_order_relaxed);
  bytes_sent.fetch_add(greeting.size() + payload.size(),
                       std::memory_order_relaxed);
  return true;
}

/// @return true while messages wait for a connection to be made.
bool transport::state::flush_early() {
  bool waiting = false;
  const auto now = std::chrono::steady_clock::now();
  for (auto &[address, target] : peers) {
    while (!target.early.empty() &&
           try_send(target.socket, target.early.front())) {
      target.early_bytes -= target.early.front().size();
      target.early.pop_front();
    }
    if (!target.early.empty() && now - target.created >= connecting_limit) {
      messages_dropped.fetch_add(target.early.size(),
                                 std::memory_order_relaxed);
      target.early.clear();
      target.early_bytes = 0;
    }
    waiting = waiting || !target.early.empty();
  }
  return waiting;
}

void transport::state::close_idle() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(peers, [this, now](const auto &entry) {
    return now - entry.second.last_used > options.idle_limit;
  });
}

peer &transport::state::peer_for(const std::string &address) {
  const auto now = std::chrono::steady_clock::now();
  const auto known = peers.find(address);
  if (known != peers.end()) {
    known->second.last_used = now;
    return known->second;
  }
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, high_water_mark);
  socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
  socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_interval_limit_ms);
  socket.set(zmq::sockopt::tcp_maxrt, connection_lost_after_ms);
  socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
  socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
  socket.set(zmq::sockopt::connect_timeout, connection_lost_after_ms);
  // Nothing queues for a peer that is not there: a message that arrives after
  // its sender has moved on only costs work.
  socket.set(zmq::sockopt::immediate, 1);
  socket.connect("tcp://" + address);
  return peers.emplace(address, peer{std::move(socket), now, now, {}, 0})
      .first->second;
}

transport::transport(std::unique_ptr<state> owned) : state_(std::move(owned)) {}

result<std::unique_ptr<transport>> transport::start(transport_options options,
                                                    receiver receive) {
  auto owned = std::make_unique<state>();
  owned->greeting = std::string(protocol_name) + options.cluster;
  owned->options = std::move(options);
  owned->receive = std::move(receive);
  owned->wakeup = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  try {
    owned->router.set(zmq::sockopt::linger, 0);
    owned->router.set(zmq::sockopt::rcvhwm, high_water_mark);
    owned->router.bind("tcp://" + owned->options.address);
  } catch (const zmq::error_t &failure) {
    ::close(owned->wakeup);
    return fail(error_code::internal, failure.what(), "listen",
                owned->options.address);
  }
  state &running = *owned;
  running.thread = std::thread([&running] { running.run(); });
  return std::unique_ptr<transport>(new transport(std::move(owned)));
}

transport::~transport() {
  state_->stopping = true;
  state_->wake();
  state_->thread.join();
  ::close(state_->wakeup);
}

void transport::send(std::string address, const wire::Envelope &envelope) {
  outgoing message{std::move(address), envelope.SerializeAsString()};
  bool idle = false;
  {
    const std::scoped_lock lock(state_->mutex);
    idle = state_->queue.empty();
    state_->queue.push_back(std::move(message));
  }
  if (idle) {
    state_->wake(); // whoever found the queue empty before has woken it already
  }
}

transport_counts transport::counts() const {
  return {.messages_sent = state_->messages_sent,
          .bytes_sent = state_->bytes_sent,
          .messages_received = state_->messages_received,
          .bytes_received = state_->bytes_received,
          .messages_dropped = state_->messages_dropped};
}

} // namespace heathtrestle::rpc
