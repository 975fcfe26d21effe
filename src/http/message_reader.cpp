#include "http/message_reader.hpp"

#include "http/message_framing.hpp"

#include <algorithm>
#include <string_view>

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace heathtrestle::http {

namespace beast_http = boost::beast::http;

namespace {

constexpr std::size_t min_read_bytes = 2048;
constexpr std::size_t line_end_bytes = 2;
/// Chunks of a single byte have five bytes of framing each.
constexpr std::uint64_t max_framing_ratio = 8;
constexpr std::uint64_t free_framing_bytes = max_element_bytes;

} // namespace

bool is_excessive_framing(std::uint64_t framing_bytes,
                          std::uint64_t body_bytes) {
  return framing_bytes > free_framing_bytes + max_framing_ratio * body_bytes;
}

template <bool is_request>
asio::awaitable<boost::system::error_code> message_reader<is_request>::step() {
  boost::system::error_code failure = beast_http::error::need_more;
  if (buffer_.size() > 0) {
    failure = parse();
  }
  if (failure != beast_http::error::need_more) {
    co_return failure;
  }
  co_return co_await receive();
}

template <bool is_request>
boost::system::error_code message_reader<is_request>::parse() {
  boost::system::error_code failure;
  const bool was_in_head = !parser_.is_header_done();
  const std::size_t used = parser_.put(buffer_.data(), failure);
  if (was_in_head && parser_.is_header_done() &&
      has_folded_line(buffered(used))) {
    failure = beast_http::error::bad_obs_fold;
  }
  buffer_.consume(used);
  parsed_bytes_ += used;
  const bool is_element_complete =
      failure != beast_http::error::need_more && !is_within_element_;
  if (is_element_complete) {
    waited_ = duration_ms{0};
  }
  return failure;
}

template <bool is_request>
std::string_view message_reader<is_request>::buffered(std::size_t bytes) const {
  return {static_cast<const char *>(buffer_.cdata().data()), bytes};
}

template <bool is_request>
bool message_reader<is_request>::has_partial_element() const {
  return buffer_.size() > line_end_bytes;
}

template <bool is_request>
void message_reader<is_request>::set_within_element(bool within) {
  is_within_element_ = within;
  if (!within) {
    waited_ = duration_ms{0};
  }
}

template <bool is_request>
asio::awaitable<boost::system::error_code>
message_reader<is_request>::receive() {
  if (buffer_.size() >= buffer_.max_size()) {
    co_return beast_http::error::buffer_overflow;
  }
  const std::size_t room = buffer_.max_size() - buffer_.size();
  const std::size_t spare = buffer_.capacity() - buffer_.size();
  const std::size_t wanted = std::min(room, std::max(min_read_bytes, spare));
  boost::system::error_code ignored; // shows again when reading
  const bool counts_wait = (has_partial_element() || is_within_element_) &&
                           socket_.available(ignored) == 0;
  const timestamp begun = steady_now();
  auto [failure, bytes] =
      co_await socket_.async_read_some(buffer_.prepare(wanted), as_result);
  buffer_.commit(bytes);
  if (counts_wait) {
    waited_ += steady_now() - begun;
  }
  if (failure != asio::error::eof) {
    co_return failure;
  }
  if (!parser_.got_some()) {
    co_return beast_http::error::end_of_stream;
  }
  failure = {};
  parser_.put_eof(failure);
  co_return failure;
}

template class message_reader<true>;
template class message_reader<false>;

} // namespace heathtrestle::http
