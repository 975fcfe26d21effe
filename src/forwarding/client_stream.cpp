#include "forwarding/client_stream.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>

namespace heathtrestle::forwarding {

client_stream::client_stream(tcp::socket &client, byte_budget::booking booked,
                             client_stream_options options)
    : client_(client), booked_(std::move(booked)), options_(options),
      progress_(client.get_executor(), asio::steady_timer::time_point::max()) {}

void client_stream::write(std::string_view bytes) {
  if (failed_) {
    return;
  }
  queue_ += bytes;
  if (writing_) {
    booked_.resize(queued());
    return;
  }
  write_now();
  booked_.resize(queued());
  if (queued() > 0 && !failed_) {
    writing_ = true;
    asio::co_spawn(
        client_.get_executor(),
        [self = shared_from_this()] { return self->write_queue(); },
        asio::detached);
  }
}

void client_stream::write_now() {
  boost::system::error_code failure;
  client_.non_blocking(true, failure);
  if (!failure) {
    const std::size_t taken = client_.write_some(asio::buffer(queue_), failure);
    on_written(taken);
  }
  const bool would_block =
      failure == asio::error::would_block || failure == asio::error::try_again;
  if (failure && !would_block) {
    on_failed();
  }
}

asio::awaitable<void> client_stream::write_queue() {
  stall_guard guard(client_, options_.stall_limit);
  while (queued() > 0 && !failed_) {
    // Written from a copy: the queue may be moved when more is added.
    const std::string batch = queue_.substr(written_);
    const auto [failure, taken] =
        co_await client_.async_write_some(asio::buffer(batch), as_result);
    if (failure) {
      on_failed();
    } else {
      guard.on_progress();
      on_written(taken);
      booked_.resize(queued());
    }
  }
  writing_ = false;
  progress_.cancel();
}

void client_stream::on_written(std::size_t bytes) {
  written_ += bytes;
  if (written_ == queue_.size()) {
    queue_.clear();
    written_ = 0;
  }
  progress_.cancel();
}

void client_stream::on_failed() {
  failed_ = true;
  queue_.clear();
  written_ = 0;
  booked_.resize(0);
  progress_.cancel();
}

bool client_stream::has_room() {
  // An empty queue always has room, so that a stream goes on at the client's
  // pace when the budget is spent.
  return queued() == 0 || (queued() < options_.queue_limit &&
                           booked_.try_resize(booked_.bytes() + 1));
}

asio::awaitable<bool> client_stream::wait_for_room() {
  while (!failed_ && !has_room()) {
    co_await progress_.async_wait(as_result);
  }
  co_return !failed_;
}

asio::awaitable<bool> client_stream::flush() {
  while (writing_) {
    co_await progress_.async_wait(as_result);
  }
  co_return !failed_;
}

} // namespace heathtrestle::forwarding
