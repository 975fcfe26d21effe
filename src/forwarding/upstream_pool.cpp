#include "forwarding/upstream_pool.hpp"

#include "http/address.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include <boost/asio/error.hpp>

namespace heathtrestle::forwarding {

connection_ptr
upstream_pool::take_idle(const routing::incarnation &start,
                         const std::vector<connection_number> &excluded) {
  const auto found = idle_.find(start);
  if (found == idle_.end()) {
    return nullptr;
  }
  const timestamp now = steady_now();
  std::vector<connection_ptr> &idle = found->second;
  for (std::size_t left = idle.size(); left > 0; --left) {
    const auto at = idle.begin() + static_cast<std::ptrdiff_t>(left - 1);
    connection_ptr candidate = *at;
    if (std::ranges::find(excluded, candidate->number) != excluded.end()) {
      continue;
    }
    idle.erase(at);
    // Unread bytes belong to no request, so such a connection is not reused.
    const bool usable =
        now < candidate->usable_until && is_open_and_idle(candidate->socket);
    if (usable) {
      candidate->reused = true;
      return candidate;
    }
  }
  return nullptr;
}

asio::awaitable<result_or<connection_ptr, connect_error>>
upstream_pool::acquire(const routing::instance_record &target,
                       const std::vector<connection_number> &excluded) {
  const routing::incarnation start = target.start();
  if (connection_ptr idle = take_idle(start, excluded)) {
    co_return track(start, idle);
  }
  co_return co_await connect(target);
}

asio::awaitable<result_or<connection_ptr, connect_error>>
upstream_pool::connect(const routing::instance_record &target) {
  const auto address = http::parse_address(target.address);
  if (!address) {
    co_return connect_error::failed;
  }
  auto connection = std::make_shared<upstream_connection>(io_, ++opened_);
  connection->connecting = true;
  asio::steady_timer timer(io_, options_.connect_timeout);
  timer.async_wait(
      [weak = std::weak_ptr(connection)](boost::system::error_code cancelled) {
        const auto waiting = weak.lock();
        if (!cancelled && waiting && waiting->connecting) {
          waiting->connecting = false;
          boost::system::error_code ignored;
          waiting->socket.close(ignored);
        }
      });
  const auto [failure] = co_await connection->socket.async_connect(
      tcp::endpoint(address.value().ip, address.value().port), as_result);
  timer.cancel();
  const bool timed_out = !connection->connecting;
  connection->connecting = false;
  if (timed_out) {
    co_return connect_error::timed_out;
  }
  if (failure) {
    co_return failure == asio::error::connection_refused
        ? connect_error::refused
        : connect_error::failed;
  }
  enable_liveness_checks(connection->socket, options_.liveness);
  co_return track(target.start(), std::move(connection));
}

connection_ptr upstream_pool::track(const routing::incarnation &start,
                                    connection_ptr connection) {
  auto &handed_out = in_use_[start];
  std::erase_if(handed_out, [](const auto &each) { return each.expired(); });
  handed_out.push_back(connection);
  return connection;
}

void upstream_pool::close_all(const routing::incarnation &start) {
  close_idle(start);
  const auto found = in_use_.find(start);
  if (found == in_use_.end()) {
    return;
  }
  for (const auto &each : found->second) {
    if (const connection_ptr connection = each.lock()) {
      boost::system::error_code ignored; // it is unusable either way
      connection->socket.close(ignored);
    }
  }
  in_use_.erase(found);
}

bool upstream_pool::drop_closed(const routing::incarnation &start) {
  const auto found = idle_.find(start);
  if (found == idle_.end() || found->second.empty() ||
      !peer_has_closed(found->second.back()->socket)) {
    return false;
  }
  found->second.pop_back();
  return true;
}

bool upstream_pool::has_idle(const routing::incarnation &start,
                             timestamp now) const {
  const auto found = idle_.find(start);
  return found != idle_.end() && !found->second.empty() &&
         now < found->second.back()->usable_until;
}

void upstream_pool::release(const routing::incarnation &start,
                            connection_ptr connection, duration_ms keep_alive) {
  const duration_ms kept =
      keep_alive.count() > 0 ? keep_alive : options_.idle_limit;
  connection->usable_until = steady_now() + kept - options_.idle_margin;
  auto &handed_out = in_use_[start];
  std::erase_if(handed_out, [&connection](const auto &each) {
    return each.expired() || each.lock() == connection;
  });
  idle_[start].push_back(std::move(connection));
}

void upstream_pool::close_expired(timestamp now) {
  for (auto &[start, handed_out] : in_use_) {
    std::erase_if(handed_out, [](const auto &each) { return each.expired(); });
  }
  std::erase_if(in_use_,
                [](const auto &entry) { return entry.second.empty(); });
  for (auto &[start, connections] : idle_) {
    std::erase_if(connections, [now](const connection_ptr &connection) {
      return now >= connection->usable_until;
    });
  }
  std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace heathtrestle::forwarding
