// Writes a streamed answer to a client that may read slowly. Pieces that the
// client has not taken yet are queued, so that the replica's stream goes on
// meanwhile: a replica cuts off an answer that stays unread for seconds. The
// queue is bounded and booked against the gateway's byte budget; when it is
// full, the caller stops reading from the replica.
#pragma once

#include "forwarding/byte_budget.hpp"
#include "forwarding/stall_guard.hpp"
#include "runtime/asio.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace heathtrestle::forwarding {

struct client_stream_options {
  /// Bytes that are queued for one client at most.
  std::size_t queue_limit = 256U << 10U;
  duration_ms stall_limit = client_stall_limit;
};

class client_stream : public std::enable_shared_from_this<client_stream> {
public:
  /// @param client must not be destroyed before `flush` has returned.
  client_stream(tcp::socket &client, byte_budget::booking booked,
                client_stream_options options = {});

  /// Writes the bytes, or queues what the client does not take at once.
  void write(std::string_view bytes);
  /// Waits until more may be written.
  /// @return false when the client is gone or takes nothing any more.
  asio::awaitable<bool> wait_for_room();
  /// Waits until everything is written.
  /// @return false as `wait_for_room`.
  asio::awaitable<bool> flush();

  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] std::size_t queued() const { return queue_.size() - written_; }

private:
  /// Writes what the socket takes without waiting.
  void write_now();
  /// Writes the queue to its end.
  asio::awaitable<void> write_queue();
  void on_written(std::size_t bytes);
  void on_failed();
  [[nodiscard]] bool has_room();

  tcp::socket &client_;
  byte_budget::booking booked_;
  client_stream_options options_;
  std::string queue_;
  /// Bytes at the beginning of the queue that are written already.
  std::size_t written_ = 0;
  bool writing_ = false;
  bool failed_ = false;
  /// Cancelled whenever the queue has become shorter or the client has failed.
  asio::steady_timer progress_;
};

} // namespace heathtrestle::forwarding
