// Reads the answers that a replica sends on one connection, within bounds of
// size and time: a replica may send bytes that are no answer, without end and
// at any pace. They must not fill the memory of the gateway, and the request
// that waits for its answer must go on elsewhere while there is time.
//
// Time is checked when bytes arrive. A replica that sends nothing is at work or
// has ended, which `replica_watch` finds out.
#pragma once

#include "forwarding/upstream_pool.hpp"
#include "http/message_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace heathtrestle::forwarding {

struct answer_limits {
  /// Bytes of a head.
  std::uint32_t head_bytes = 16U << 10U;
  /// How long a replica may let the gateway wait from the first byte of a head,
  /// the header of a chunk, trailers or an event until its end.
  duration_ms element_time{500};
  /// Bytes of an answer that is buffered before it is forwarded.
  std::uint64_t body_bytes = 16U << 20U;
  /// Fraction of the time left at the head within which a body ends whose
  /// length is not announced.
  double body_time_fraction = 0.4;
  /// Time that each body has at least.
  duration_ms min_body_time{250};
  /// Bytes that a stream may bring without a new event.
  std::size_t event_bytes = 1U << 20U;
  /// Interim answers (1xx) that may come before an answer.
  std::uint32_t interim_answers = 4;
  /// Answers to other requests that are skipped at most, and the bytes of their
  /// bodies.
  std::uint32_t surplus_answers = 64;
  std::uint64_t surplus_bytes = 64U << 10U;
};

/// Why an answer was not read.
enum class answer_error : std::uint8_t {
  broken, // the connection failed, or the bytes are no HTTP
  head_too_long,
  head_too_slow,
  unclear_length, // readers could differ on where the answer ends
  body_too_long,
  body_too_slow,
  framing_too_long, // of chunks, or trailers
  framing_too_slow,
};

struct answer_failure {
  answer_error error = answer_error::broken;
  /// The error of the connection or the parser, if any.
  boost::system::error_code cause;
};

std::string describe(const answer_failure &failure);

class answer_reader {
public:
  using response_parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using response_head =
      boost::beast::http::response_header<boost::beast::http::fields>;

  /// @param connection must outlive the reader.
  answer_reader(upstream_connection &connection, const answer_limits &limits)
      : connection_(connection), limits_(limits) {}

  /// Reads the head of the next answer.
  /// @param to_head_request whether that answers a HEAD request.
  asio::awaitable<result_or<void, answer_failure>>
  read_head(bool to_head_request);
  [[nodiscard]] const response_head &head() const {
    return parser_->get().base();
  }

  /// Bounds the time for the body. Streams have none.
  /// @param deadline when the answer is of no use any more.
  void limit_body_time(timestamp deadline);
  /// Reads the next part of the body.
  /// @return the number of bytes, which is zero only at the end.
  asio::awaitable<result_or<std::size_t, answer_failure>>
  read_part(std::span<char> into);

  /// Sets whether the last part of a stream ended within an event.
  void set_within_event(bool within) { reader_->set_within_element(within); }
  /// Whether the replica takes too long to end its event.
  [[nodiscard]] bool is_event_late() const {
    return reader_->waited() > limits_.element_time;
  }

  /// Whether the answer was read completely.
  [[nodiscard]] bool is_done() const { return parser_->is_done(); }
  /// Returns the length that the head announces, if any.
  [[nodiscard]] std::optional<std::uint64_t> announced_length() const;
  /// Whether the connection may carry another request.
  [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }

private:
  /// @return why the body is not read any further, if so.
  [[nodiscard]] std::optional<answer_error> exceeded_limit() const;
  /// Whether the body cannot be expected to end in time.
  [[nodiscard]] bool is_late(timestamp now) const;

  upstream_connection &connection_;
  const answer_limits &limits_;
  std::optional<response_parser> parser_;
  std::optional<http::message_reader<false>> reader_;
  std::uint64_t head_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
  timestamp head_at_{};
  /// Set for bodies with a bound on their time.
  std::optional<timestamp> deadline_;
};

} // namespace heathtrestle::forwarding
