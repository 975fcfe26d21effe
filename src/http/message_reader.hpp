// Reads an HTTP message from a socket step by step: a step parses what has
// arrived, or receives once. The caller checks its bounds between the steps, so
// that a peer that sends bytes without end, fast or slow, is noticed at once.
// The library's own read operations return only when a whole element was
// parsed, and buffer all of it until then.
#pragma once

#include "runtime/asio.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace heathtrestle::http {

/// Bytes that are buffered at most until an element of a message is complete: a
/// head, the header of a chunk, or trailers.
inline constexpr std::size_t max_element_bytes = 32U << 10U;

/// Returns whether the bytes that frame a body, which are the headers of its
/// chunks and its trailers, are too many for what they frame.
[[nodiscard]] bool is_excessive_framing(std::uint64_t framing_bytes,
                                        std::uint64_t body_bytes);

template <bool is_request> class message_reader {
public:
  using parser = boost::beast::http::basic_parser<is_request>;

  /// @param socket, buffer and parsed must outlive the reader. The largest size
  /// of the buffer bounds the bytes of one element.
  message_reader(tcp::socket &socket, boost::beast::flat_buffer &buffer,
                 parser &parsed)
      : socket_(socket), buffer_(buffer), parser_(parsed) {}

  /// Parses buffered bytes, or receives more if they are too few.
  /// @return `need_buffer` as the parser does; `buffer_overflow` when an
  /// element is too long; `end_of_stream` when nothing of the message came;
  /// `bad_obs_fold` when a field of the head goes on in the next line.
  asio::awaitable<boost::system::error_code> step();

  /// How long the peer has let the reader wait within the present element. Time
  /// in which received bytes waited to be read does not count.
  [[nodiscard]] duration_ms waited() const { return waited_; }
  /// Whether an incomplete element is buffered. The line end of a chunk stays
  /// in the buffer until the next chunk, and is none.
  [[nodiscard]] bool has_partial_element() const;
  /// Sets whether the present element goes on beyond what the parser knows, as
  /// the event of a stream does.
  void set_within_element(bool within);
  /// The bytes of the message that were parsed.
  [[nodiscard]] std::uint64_t parsed_bytes() const { return parsed_bytes_; }

private:
  /// @return `need_more` when the buffered bytes are too few.
  boost::system::error_code parse();
  asio::awaitable<boost::system::error_code> receive();
  /// The first of the buffered bytes.
  [[nodiscard]] std::string_view buffered(std::size_t bytes) const;

  tcp::socket &socket_;
  boost::beast::flat_buffer &buffer_;
  parser &parser_;
  duration_ms waited_{0};
  bool is_within_element_ = false;
  std::uint64_t parsed_bytes_ = 0;
};

extern template class message_reader<true>;
extern template class message_reader<false>;

} // namespace heathtrestle::http
