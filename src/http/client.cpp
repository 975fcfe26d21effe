#include "http/client.hpp"

#include "http/address.hpp"
#include "http/await.hpp"
#include "http/message_framing.hpp"
#include "http/message_reader.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/url.hpp>

#include <array>
#include <limits>

namespace heathtrestle::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr std::size_t read_size = 16384;
/// A response that is kept as a whole; a streamed one is bounded by its sink.
constexpr std::uint64_t response_limit = 16ULL << 20U;
constexpr std::uint64_t streamed_limit = 1ULL << 32U;
constexpr std::uint32_t ok_status = 200;

std::string target_of(const request &outgoing) {
  boost::urls::url target;
  target.set_encoded_path(outgoing.path);
  for (const auto &[key, value] : outgoing.query) {
    target.params().append({key, value});
  }
  return std::string(target.encoded_resource());
}

beast::http::request<beast::http::string_body>
to_beast(const request &outgoing, const std::string &address) {
  beast::http::request<beast::http::string_body> message;
  message.version(http_1_1);
  message.method_string(outgoing.method);
  message.target(target_of(outgoing));
  message.set(beast::http::field::host, address);
  for (const auto &[name, value] : outgoing.headers) {
    message.set(name, value);
  }
  message.body() = outgoing.body;
  message.keep_alive(false);
  message.prepare_payload();
  return message;
}

error broken(std::string step, const std::string &peer,
             const boost::system::error_code &failure, ran_status ran) {
  return {.code = error_code::peer_unreachable,
          .message = failure.message(),
          .step = std::move(step),
          .peer = peer,
          .ran = ran,
          .retry_after = std::chrono::milliseconds(1000)};
}

} // namespace

result<response> client::send(const std::string &address,
                              const request &outgoing, client_timeouts timeouts,
                              const body_sink &sink) {
  const auto endpoint = parse_address(address);
  if (!endpoint) {
    return endpoint.as_failure();
  }
  beast::tcp_stream stream(io_.context());
  const auto executor = stream.get_executor();
  const io_outcome connected = await(executor, [&](auto done) {
    stream.expires_after(timeouts.connect);
    stream.async_connect(
        tcp::endpoint(endpoint.value().ip, endpoint.value().port),
        [done = std::move(done)](boost::system::error_code failure) mutable {
          done(failure, 0);
        });
  });
  if (connected.failure) {
    return broken("connect", address, connected.failure, ran_status::not_run);
  }
  const auto close = [&] {
    await(executor, [&](auto done) {
      stream.close();
      done({}, 0);
    });
  };
  auto message = to_beast(outgoing, address);
  const io_outcome written = await(executor, [&](auto done) {
    stream.expires_after(timeouts.silence);
    beast::http::async_write(stream, message, std::move(done));
  });
  if (written.failure) {
    close();
    return broken("send", address, written.failure, ran_status::unknown);
  }
  beast::flat_buffer buffer(max_element_bytes);
  beast::http::response_parser<beast::http::buffer_body> parser;
  parser.body_limit(sink != nullptr ? streamed_limit : response_limit);
  io_outcome head = await(executor, [&](auto done) {
    stream.expires_after(timeouts.silence);
    beast::http::async_read_header(stream, buffer, parser, std::move(done));
  });
  if (!head.failure && !has_plain_framing(parser.get())) {
    head.failure = beast::http::error::bad_transfer_encoding;
  }
  if (head.failure) {
    close();
    return broken("read response", address, head.failure, ran_status::unknown);
  }
  response answer;
  answer.status = parser.get().result_int();
  for (const auto &field : parser.get()) {
    answer.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  const bool streams = sink != nullptr && answer.status == ok_status;
  const auto body_deadline =
      std::chrono::steady_clock::now() + timeouts.silence;
  std::array<char, read_size> part{};
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    const io_outcome read = await(executor, [&](auto done) {
      // Parts that keep coming do not prolong a response that is kept as a
      // whole.
      if (streams) {
        stream.expires_after(timeouts.silence);
      } else {
        stream.expires_at(body_deadline);
      }
      beast::http::async_read_some(stream, buffer, parser, std::move(done));
    });
    const bool failed =
        read.failure && read.failure != beast::http::error::need_buffer;
    const std::string_view received(part.data(),
                                    part.size() - parser.get().body().size);
    if (!streams && answer.body.size() + received.size() > response_limit) {
      close();
      return error{.code = error_code::too_large,
                   .message = "the response is too long",
                   .step = "read response",
                   .peer = address,
                   .ran = ran_status::unknown};
    }
    if (!streams) {
      answer.body += received;
    } else if (!received.empty() && !sink(received)) {
      break;
    }
    if (failed) {
      close();
      return broken("read response", address, read.failure,
                    ran_status::unknown);
    }
  }
  close();
  return answer;
}

} // namespace heathtrestle::http
