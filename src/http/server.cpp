#include "http/server.hpp"

#include "base/error.hpp"
#include "http/address.hpp"
#include "http/await.hpp"
#include "http/message_framing.hpp"
#include "http/message_reader.hpp"
#include "logging/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/future.hpp>
#include <boost/url.hpp>

#include <atomic>
#include <limits>
#include <mutex>
#include <set>
#include <utility>

namespace heathtrestle::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

struct server::state : std::enable_shared_from_this<server::state> {
  state(asio::io_context &io, runtime::fiber_pool &pool,
        server_options settings, handler handle_request)
      : context(io), acceptor(io), fibers(pool), options(std::move(settings)),
        handle(std::move(handle_request)) {}

  void accept();
  void serve(tcp::socket socket);

  asio::io_context &context;
  tcp::acceptor acceptor;
  runtime::fiber_pool &fibers;
  server_options options;
  handler handle;
  std::string bound_address;
  std::atomic<bool> stopping{false};
  std::atomic<std::size_t> active{0};
  std::mutex idle_mutex;
  std::set<beast::tcp_stream *> idle; // streams waiting for a request
};

namespace {

constexpr unsigned http_1_1 = 11;

request
to_request(const beast::http::request<beast::http::string_body> &received) {
  request converted;
  converted.method = std::string(received.method_string());
  const auto target = boost::urls::parse_origin_form(received.target());
  if (target.has_value()) {
    converted.path = std::string(target->encoded_path());
    for (const auto &parameter : target->params()) {
      converted.query[std::string(parameter.key)] = parameter.value;
    }
  } else {
    converted.path = std::string(received.target());
  }
  for (const auto &field : received) {
    converted.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  converted.body = received.body();
  return converted;
}

std::string error_body(error_code code, std::string_view message) {
  return fmt::format(
      "{{\"error\":{{\"code\":\"{}\",\"message\":\"{}\",\"step\":\"read "
      "request\",\"ran\":\"not_run\"}}}}\n",
      name_of(code), message);
}

class beast_exchange final : public exchange {
public:
  beast_exchange(beast::tcp_stream &stream, request received, bool keep_alive)
      : stream_(stream), request_(std::move(received)),
        keep_alive_(keep_alive) {}

  [[nodiscard]] const request &incoming() const override { return request_; }

  void respond(response answer) override {
    beast::http::response<beast::http::string_body> message;
    fill(message, answer.status, answer.headers);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    const io_outcome outcome = await(stream_.get_executor(), [&](auto done) {
      beast::http::async_write(stream_, message, std::move(done));
    });
    answered_ = true;
    failed_ = static_cast<bool>(outcome.failure);
  }

  void start_stream(std::uint32_t status, header_map headers) override {
    beast::http::response<beast::http::empty_body> message;
    fill(message, status, headers);
    message.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer(
        message);
    const io_outcome outcome = await(stream_.get_executor(), [&](auto done) {
      beast::http::async_write_header(stream_, serializer, std::move(done));
    });
    answered_ = true;
    failed_ = static_cast<bool>(outcome.failure);
  }

  bool write(std::string data) override {
    if (failed_ || data.empty()) {
      return !failed_;
    }
    const io_outcome outcome = await(stream_.get_executor(), [&](auto done) {
      asio::async_write(stream_, beast::http::make_chunk(asio::buffer(data)),
                        std::move(done));
    });
    failed_ = static_cast<bool>(outcome.failure);
    return !failed_;
  }

  void finish_stream() override {
    if (failed_) {
      return;
    }
    const io_outcome outcome = await(stream_.get_executor(), [&](auto done) {
      asio::async_write(stream_, beast::http::make_chunk_last(),
                        std::move(done));
    });
    failed_ = static_cast<bool>(outcome.failure);
  }

  [[nodiscard]] bool reusable() const { return keep_alive_ && !failed_; }
  [[nodiscard]] bool answered() const { return answered_; }

private:
  template <typename Message>
  void fill(Message &message, std::uint32_t status,
            const header_map &headers) const {
    message.version(http_1_1);
    message.result(status);
    for (const auto &[name, value] : headers) {
      message.set(name, value);
    }
    message.keep_alive(keep_alive_);
  }

  beast::tcp_stream &stream_;
  request request_;
  bool keep_alive_;
  bool answered_ = false;
  bool failed_ = false;
};

} // namespace

void server::state::accept() {
  acceptor.async_accept([self = shared_from_this()](
                            boost::system::error_code failure,
                            tcp::socket socket) {
    if (failure == asio::error::operation_aborted ||
        !self->acceptor.is_open()) {
      return;
    }
    if (!failure) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      self->fibers.spawn([self, shared] { self->serve(std::move(*shared)); });
    }
    self->accept();
  });
}

void server::state::serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(max_element_bytes);
  bool open = true;
  while (open && !stopping) {
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(options.body_limit);
    parser.header_limit(options.header_limit);
    {
      const std::scoped_lock lock(idle_mutex);
      idle.insert(&stream);
    }
    io_outcome read = await(stream.get_executor(), [&](auto done) {
      stream.expires_after(options.idle_timeout);
      beast::http::async_read(stream, buffer, parser, std::move(done));
    });
    {
      const std::scoped_lock lock(idle_mutex);
      idle.erase(&stream);
    }
    const bool ended = read.failure == beast::http::error::end_of_stream ||
                       read.failure == beast::error::timeout ||
                       read.failure == asio::error::operation_aborted ||
                       read.failure == asio::error::connection_reset;
    if (ended) {
      break;
    }
    stream.expires_never();
    if (!read.failure && !has_plain_framing(parser.get())) {
      read.failure = beast::http::error::bad_transfer_encoding;
    }
    if (read.failure) {
      const bool too_large =
          read.failure == beast::http::error::body_limit ||
          read.failure == beast::http::error::header_limit ||
          read.failure == beast::http::error::buffer_overflow;
      const error_code code =
          too_large ? error_code::too_large : error_code::invalid_request;
      logging::write(logging::event::http_request_rejected,
                     read.failure.message());
      beast_exchange rejected(stream, {}, false);
      rejected.respond(json_response(http_status_of(code),
                                     error_body(code, read.failure.message())));
      break;
    }
    active.fetch_add(1);
    beast_exchange current(stream, to_request(parser.get()),
                           parser.get().keep_alive() && !stopping);
    handle(current);
    if (!current.answered()) {
      current.respond(json_response(
          500, error_body(error_code::internal, "no answer was made")));
    }
    active.fetch_sub(1);
    open = current.reusable();
  }
  await(stream.get_executor(), [&](auto done) {
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.close();
    done(ignored, 0);
  });
}

server::server(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

result<std::unique_ptr<server>> server::start(io_thread &io,
                                              runtime::fiber_pool &fibers,
                                              server_options options,
                                              handler handle) {
  const auto endpoint = parse_address(options.address);
  if (!endpoint) {
    return endpoint.as_failure();
  }
  auto shared = std::make_shared<state>(io.context(), fibers,
                                        std::move(options), std::move(handle));
  boost::system::error_code failure;
  tcp::acceptor &acceptor = shared->acceptor;
  const tcp::endpoint target(endpoint.value().ip, endpoint.value().port);
  acceptor.open(target.protocol(), failure);
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(target, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(error_code::internal, failure.message(), "listen",
                shared->options.address);
  }
  const tcp::endpoint local = acceptor.local_endpoint();
  shared->bound_address =
      fmt::format("{}:{}", local.address().to_string(), local.port());
  asio::post(io.context(), [shared] { shared->accept(); });
  return std::unique_ptr<server>(new server(std::move(shared)));
}

server::~server() {
  try {
    stop_accepting();
  } catch (const std::exception &failure) {
    logging::write(logging::event::http_server_failed, failure.what());
  }
}

std::string server::address() const { return state_->bound_address; }

void server::stop_accepting() {
  if (state_->stopping.exchange(true)) {
    return;
  }
  asio::post(state_->context, [shared = state_] {
    boost::system::error_code ignored;
    shared->acceptor.close(ignored);
    const std::scoped_lock lock(shared->idle_mutex);
    for (beast::tcp_stream *stream : shared->idle) {
      stream->cancel();
    }
  });
}

std::size_t server::active() const { return state_->active.load(); }

} // namespace heathtrestle::http
