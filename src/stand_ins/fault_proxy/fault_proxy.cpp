#include "stand_ins/fault_proxy/fault_proxy.hpp"

#include "http/address.hpp"
#include "http/status_server.hpp"

#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace heathtrestle::stand_ins {

namespace {

constexpr std::size_t buffer_bytes = 65536;
/// Interval between checks whether held data may be forwarded.
constexpr duration_ms hold_poll_interval{10};
constexpr std::string_view delay_word = "delay-";
constexpr std::string_view reset_word = "reset";
constexpr std::string_view all_links = "all";

void reset(tcp::socket &socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::optional<link_fault> parse_delay(std::string_view digits) {
  std::int64_t delay = 0;
  const char *end = digits.data() + digits.size();
  const auto [stop, failure] = std::from_chars(digits.data(), end, delay);
  if (failure != std::errc() || stop != end || delay < 0) {
    return std::nullopt;
  }
  return link_fault{.delay = duration_ms{delay}};
}

} // namespace

std::optional<link_fault> parse_fault(std::string_view word) {
  static const std::map<std::string_view, link_fault> known{
      {"sound", {}},
      {"refuse", {.refuses = true}},
      {"silent", {.holds_requests = true, .holds_answers = true}},
      {"hold-requests", {.holds_requests = true}},
      {"hold-answers", {.holds_answers = true}},
  };
  if (word.starts_with(delay_word)) {
    return parse_delay(word.substr(delay_word.size()));
  }
  const auto it = known.find(word);
  return it == known.end() ? std::nullopt : std::optional(it->second);
}

struct proxy_link::connection {
  explicit connection(asio::io_context &io) : client(io), process(io) {}

  void end() {
    reset(client);
    reset(process);
  }

  tcp::socket client;
  tcp::socket process;
};

proxy_link::proxy_link(asio::io_context &io, std::string upstream)
    : io_(io), upstream_(std::move(upstream)) {}

result<void> proxy_link::listen(const std::string &address) {
  auto acceptor = http::listen(io_, address);
  if (!acceptor) {
    return acceptor.error();
  }
  asio::co_spawn(
      io_,
      [self = shared_from_this(),
       taken = std::move(acceptor).value()]() mutable {
        return self->accept(std::move(taken));
      },
      asio::detached);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void proxy_link::set_fault(const link_fault &fault) { fault_ = fault; }

void proxy_link::reset_connections() {
  const auto all = std::exchange(open_, {});
  for (const auto &[number, weak] : all) {
    if (const auto conn = weak.lock()) {
      conn->end();
    }
  }
}

std::size_t proxy_link::open_connections() const {
  std::size_t count = 0;
  for (const auto &[number, weak] : open_) {
    count += weak.expired() ? 0 : 1;
  }
  return count;
}

asio::awaitable<void> proxy_link::accept(tcp::acceptor acceptor) {
  while (true) {
    const auto conn = std::make_shared<connection>(io_);
    const auto [ec] = co_await acceptor.async_accept(conn->client, as_result);
    if (ec) {
      asio::steady_timer pause(io_, hold_poll_interval);
      co_await pause.async_wait(as_result);
      continue;
    }
    if (fault_.refuses) {
      reset(conn->client);
      continue;
    }
    std::erase_if(open_,
                  [](const auto &entry) { return entry.second.expired(); });
    open_[++next_] = conn;
    asio::co_spawn(
        io_, [self = shared_from_this(), conn] { return self->serve(conn); },
        asio::detached);
  }
}

asio::awaitable<void> proxy_link::serve(connection_ptr conn) {
  const auto self = shared_from_this();
  const auto address = http::parse_address(upstream_);
  if (!address) {
    conn->end();
    co_return;
  }
  const auto [ec] = co_await conn->process.async_connect(
      tcp::endpoint(address.value().ip, address.value().port), as_result);
  if (ec) {
    conn->end(); // the upstream is down: reset the client
    co_return;
  }
  for (const direction flow :
       {direction::to_process, direction::from_process}) {
    asio::co_spawn(
        io_, [self, conn, flow] { return self->pump(conn, flow); },
        asio::detached);
  }
}

asio::awaitable<void> proxy_link::pump(connection_ptr conn, direction flow) {
  const auto self = shared_from_this();
  const bool inward = flow == direction::to_process;
  tcp::socket &from = inward ? conn->client : conn->process;
  tcp::socket &to = inward ? conn->process : conn->client;
  std::vector<char> buf(buffer_bytes);
  while (true) {
    const auto [ec, n] =
        co_await from.async_read_some(asio::buffer(buf), as_result);
    if (ec == asio::error::eof) {
      co_await wait_until_released(conn, flow);
      boost::system::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (ec) {
      conn->end();
      co_return;
    }
    co_await wait_until_released(conn, flow);
    const auto [lost, written] =
        co_await asio::async_write(to, asio::buffer(buf.data(), n), as_result);
    if (lost) {
      conn->end();
      co_return;
    }
  }
}

bool proxy_link::holds(direction flow) const {
  return flow == direction::to_process ? fault_.holds_requests
                                       : fault_.holds_answers;
}

asio::awaitable<void> proxy_link::wait_until_released(connection_ptr conn,
                                                      direction flow) {
  asio::steady_timer timer(io_);
  if (fault_.delay.count() > 0) {
    timer.expires_after(fault_.delay);
    co_await timer.async_wait(as_result);
  }
  while (holds(flow) && conn->client.is_open()) {
    timer.expires_after(hold_poll_interval);
    co_await timer.async_wait(as_result);
  }
}

result<void> fault_proxy::add(const std::string &name,
                              const std::string &listen,
                              const std::string &upstream) {
  const auto link = std::make_shared<proxy_link>(io_, upstream);
  BOOST_OUTCOME_TRY(link->listen(listen));
  links_[name] = link;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool fault_proxy::apply_command(std::string_view target) {
  const std::size_t slash = target.rfind('/');
  const bool has_both =
      target.starts_with('/') && slash != 0 && slash != std::string_view::npos;
  if (!has_both) {
    return false;
  }
  const std::string_view name = target.substr(1, slash - 1);
  const std::string_view word = target.substr(slash + 1);
  const std::optional<link_fault> fault = parse_fault(word);
  const bool resets = word == reset_word;
  const bool known = name == all_links || links_.contains(name);
  if (!known || (!fault && !resets)) {
    return false;
  }
  for (const auto &[each, link] : links_) {
    if (name != all_links && name != each) {
      continue;
    }
    if (resets) {
      link->reset_connections();
    } else {
      link->set_fault(*fault);
    }
  }
  return true;
}

} // namespace heathtrestle::stand_ins
