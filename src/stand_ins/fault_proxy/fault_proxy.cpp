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

constexpr std::size_t piece_bytes = 65536;
/// How often a held connection looks whether its fault has ended.
constexpr duration_ms hold_check{10};
constexpr std::string_view delay_word = "delay-";
constexpr std::string_view reset_word = "reset";
constexpr std::string_view every_link = "all";

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
    if (const auto over = weak.lock()) {
      over->end();
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
    const auto over = std::make_shared<connection>(io_);
    const auto [ec] = co_await acceptor.async_accept(over->client, as_result);
    if (ec) {
      asio::steady_timer pause(io_, hold_check);
      co_await pause.async_wait(as_result);
      continue;
    }
    if (fault_.refuses) {
      reset(over->client);
      continue;
    }
    std::erase_if(open_,
                  [](const auto &entry) { return entry.second.expired(); });
    open_[++next_] = over;
    asio::co_spawn(
        io_, [self = shared_from_this(), over] { return self->serve(over); },
        asio::detached);
  }
}

asio::awaitable<void> proxy_link::serve(connection_ptr over) {
  const auto self = shared_from_this();
  const auto address = http::parse_address(upstream_);
  if (!address) {
    over->end();
    co_return;
  }
  const auto [ec] = co_await over->process.async_connect(
      tcp::endpoint(address.value().ip, address.value().port), as_result);
  if (ec) {
    over->end(); // the process is down: its callers see a reset
    co_return;
  }
  for (const direction way : {direction::to_process, direction::from_process}) {
    asio::co_spawn(
        io_, [self, over, way] { return self->pump(over, way); },
        asio::detached);
  }
}

asio::awaitable<void> proxy_link::pump(connection_ptr over, direction way) {
  const auto self = shared_from_this();
  const bool inward = way == direction::to_process;
  tcp::socket &from = inward ? over->client : over->process;
  tcp::socket &to = inward ? over->process : over->client;
  std::vector<char> buf(piece_bytes);
  while (true) {
    const auto [ec, n] =
        co_await from.async_read_some(asio::buffer(buf), as_result);
    if (ec == asio::error::eof) {
      co_await wait_until_passing(over, way);
      boost::system::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (ec) {
      over->end();
      co_return;
    }
    co_await wait_until_passing(over, way);
    const auto [lost, written] =
        co_await asio::async_write(to, asio::buffer(buf.data(), n), as_result);
    if (lost) {
      over->end();
      co_return;
    }
  }
}

bool proxy_link::holds(direction way) const {
  return way == direction::to_process ? fault_.holds_requests
                                      : fault_.holds_answers;
}

asio::awaitable<void> proxy_link::wait_until_passing(connection_ptr over,
                                                     direction way) {
  asio::steady_timer timer(io_);
  if (fault_.delay.count() > 0) {
    timer.expires_after(fault_.delay);
    co_await timer.async_wait(as_result);
  }
  while (holds(way) && over->client.is_open()) {
    timer.expires_after(hold_check);
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

bool fault_proxy::carry_out(std::string_view target) {
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
  const bool known = name == every_link || links_.contains(name);
  if (!known || (!fault && !resets)) {
    return false;
  }
  for (const auto &[each, link] : links_) {
    if (name != every_link && name != each) {
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
