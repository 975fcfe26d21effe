#include "forwarding/answer_reader.hpp"

#include "http/message_framing.hpp"

#include <algorithm>

#include <boost/beast/http/error.hpp>

namespace heathtrestle::forwarding {

namespace {

namespace beast_http = boost::beast::http;

/// The rate of a body varies: it is given up when it would take so many times
/// as long as there is time.
constexpr double max_slowness = 2;

std::string_view name_of(answer_error error) {
  switch (error) {
  case answer_error::broken:
    return "the connection broke";
  case answer_error::head_too_long:
    return "its head is too long";
  case answer_error::head_too_slow:
    return "its head takes too long";
  case answer_error::unclear_length:
    return "its length is not clear";
  case answer_error::body_too_long:
    return "its body is too long";
  case answer_error::body_too_slow:
    return "its body takes too long";
  case answer_error::framing_too_long:
    return "the framing of its body is too long";
  case answer_error::framing_too_slow:
    return "the framing of its body takes too long";
  }
  return "unknown";
}

answer_failure head_failure(boost::system::error_code cause) {
  const bool too_long = cause == beast_http::error::header_limit ||
                        cause == beast_http::error::buffer_overflow;
  return {.error =
              too_long ? answer_error::head_too_long : answer_error::broken,
          .cause = cause};
}

answer_failure body_failure(boost::system::error_code cause) {
  if (cause == beast_http::error::body_limit) {
    return {.error = answer_error::body_too_long, .cause = cause};
  }
  if (cause == beast_http::error::buffer_overflow) {
    return {.error = answer_error::framing_too_long, .cause = cause};
  }
  return {.error = answer_error::broken, .cause = cause};
}

} // namespace

std::string describe(const answer_failure &failure) {
  std::string text(name_of(failure.error));
  if (failure.error == answer_error::broken && failure.cause) {
    text += ": " + failure.cause.message();
  }
  return text;
}

asio::awaitable<result_or<void, answer_failure>>
answer_reader::read_head(bool to_head_request) {
  connection_.buffer.max_size(http::max_element_bytes);
  parser_.emplace();
  parser_->header_limit(limits_.head_bytes);
  parser_->body_limit(limits_.body_bytes);
  parser_->skip(to_head_request);
  reader_.emplace(connection_.socket, connection_.buffer, *parser_);
  deadline_.reset();
  while (!parser_->is_header_done()) {
    const auto failure = co_await reader_->step();
    if (failure) {
      co_return head_failure(failure);
    }
    if (reader_->waited() > limits_.element_time) {
      co_return answer_failure{.error = answer_error::head_too_slow,
                               .cause = {}};
    }
  }
  if (!http::has_plain_framing(head())) {
    co_return answer_failure{.error = answer_error::unclear_length,
                             .cause = {}};
  }
  head_at_ = steady_now();
  head_bytes_ = reader_->parsed_bytes();
  body_bytes_ = 0;
  co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void answer_reader::limit_body_time(timestamp deadline) {
  deadline_ = deadline;
}

asio::awaitable<result_or<std::size_t, answer_failure>>
answer_reader::read_part(std::span<char> into) {
  auto &target = parser_->get().body();
  target.data = into.data();
  target.size = into.size();
  while (!parser_->is_done()) {
    const auto failure = co_await reader_->step();
    if (failure && failure != beast_http::error::need_buffer) {
      co_return body_failure(failure);
    }
    const std::size_t filled = into.size() - target.size;
    body_bytes_ += filled;
    if (parser_->is_done()) {
      co_return filled;
    }
    if (const auto exceeded = exceeded_limit()) {
      co_return answer_failure{.error = *exceeded, .cause = {}};
    }
    if (filled > 0) {
      co_return filled;
    }
  }
  co_return std::size_t{0};
}

std::optional<answer_error> answer_reader::exceeded_limit() const {
  const std::uint64_t framing =
      reader_->parsed_bytes() - head_bytes_ - body_bytes_;
  if (http::is_excessive_framing(framing, body_bytes_)) {
    return answer_error::framing_too_long;
  }
  // Bytes of the body leave the buffer as they come.
  if (reader_->has_partial_element() &&
      reader_->waited() > limits_.element_time) {
    return answer_error::framing_too_slow;
  }
  if (is_late(steady_now())) {
    return answer_error::body_too_slow;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> answer_reader::announced_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional(*length) : std::nullopt;
}

bool answer_reader::is_late(timestamp now) const {
  const duration_ms taken = now - head_at_;
  if (!deadline_ || taken <= limits_.min_body_time) {
    return false;
  }
  const auto missing = parser_->content_length_remaining();
  if (!missing) {
    return taken > limits_.body_time_fraction * (*deadline_ - head_at_);
  }
  const auto needed = static_cast<double>(*missing) * taken /
                      std::max(1.0, static_cast<double>(body_bytes_));
  return needed > max_slowness * (*deadline_ - now);
}

} // namespace heathtrestle::forwarding
