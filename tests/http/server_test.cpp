// HTTP server tests: streamed responses, and malformed, oversized and refused
// requests.
#include "http/client.hpp"
#include "http/server.hpp"
#include "runtime/fiber_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

namespace heathtrestle::http {
namespace {

constexpr std::uint64_t body_limit = 4096;

class server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_test);
  CPPUNIT_TEST(a_request_is_answered);
  CPPUNIT_TEST(a_stream_arrives_part_by_part);
  CPPUNIT_TEST(malformed_http_is_refused);
  CPPUNIT_TEST(an_oversized_body_is_refused);
  CPPUNIT_TEST(framing_without_end_is_refused);
  CPPUNIT_TEST(ambiguous_framing_is_refused);
  CPPUNIT_TEST(a_refused_connection_is_reported_as_not_run);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    fibers_ = std::make_unique<runtime::fiber_pool>(1);
    auto started = server::start(
        io_, *fibers_, {.address = "127.0.0.1:0", .body_limit = body_limit},
        [](exchange &each) {
          if (each.incoming().path == "/stream") {
            each.start_stream(200, {});
            each.write("one ");
            each.write("two");
            each.finish_stream();
            return;
          }
          each.respond(json_response(200, each.incoming().body));
        });
    CPPUNIT_ASSERT(started.has_value());
    server_ = std::move(started.value());
  }

  void tearDown() override {
    server_->stop_accepting();
    fibers_.reset();
    server_.reset();
  }

  void a_request_is_answered() {
    const auto answer = send({.method = "POST", .path = "/", .body = "hello"});
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.value().body);
  }

  void a_stream_arrives_part_by_part() {
    std::string received;
    const auto answer =
        send({.path = "/stream"}, [&received](std::string_view part) {
          received += part;
          return true;
        });
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), received);
  }

  void malformed_http_is_refused() {
    const std::string answer = raw("NOT HTTP AT ALL\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), answer.substr(0, 12));
    CPPUNIT_ASSERT(answer.find("invalid_request") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("not_run") != std::string::npos);
  }

  void an_oversized_body_is_refused() {
    const auto answer = send({.method = "POST",
                              .path = "/",
                              .body = std::string(body_limit + 1, 'x')});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{413}, answer.value().status);
    CPPUNIT_ASSERT(answer.value().body.find("too_large") != std::string::npos);
  }

  void framing_without_end_is_refused() {
    constexpr std::size_t extension_bytes = 100000;
    const std::string answer =
        raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
            std::string(extension_bytes, 'a'));
    CPPUNIT_ASSERT(answer.find("413") != std::string::npos);
  }

  /// Another reader may see a second request in the body.
  void ambiguous_framing_is_refused() {
    const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const char *framing :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: gzip\r\nContent-Length: 0"}) {
      const std::string answer = raw(
          "POST / HTTP/1.1\r\n" + std::string(framing) + "\r\n\r\n" + hidden);
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), answer.substr(0, 12));
      CPPUNIT_ASSERT_EQUAL(std::string::npos, answer.find("HTTP/1.1", 12));
    }
  }

  void a_refused_connection_is_reported_as_not_run() {
    const std::string address = server_->address();
    server_->stop_accepting();
    // Closing is asynchronous: requests may succeed until the listener has
    // closed.
    result<response> answer = send_to(address, {.path = "/"});
    while (answer.has_value()) {
      answer = send_to(address, {.path = "/"});
    }
    CPPUNIT_ASSERT(answer.error().ran == ran_status::not_run ||
                   answer.error().ran == ran_status::unknown);
    while (answer.error().ran == ran_status::unknown) {
      answer = send_to(address, {.path = "/"});
    }
    CPPUNIT_ASSERT_EQUAL(std::string("connect"), answer.error().step);
    CPPUNIT_ASSERT_EQUAL(address, answer.error().peer);
  }

private:
  result<response> send(request outgoing, const body_sink &sink = nullptr) {
    return send_to(server_->address(), std::move(outgoing), sink);
  }

  result<response> send_to(const std::string &address, request outgoing,
                           const body_sink &sink = nullptr) {
    std::promise<result<response>> promise;
    auto answered = promise.get_future();
    runtime::fiber_pool callers(1);
    callers.spawn([&] {
      client caller(io_);
      promise.set_value(caller.send(address, outgoing, {}, sink));
    });
    return answered.get();
  }

  /// Sends raw bytes and returns everything received.
  std::string raw(const std::string &bytes) {
    const std::string address = server_->address();
    const int port = std::stoi(address.substr(address.rfind(':') + 1));
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(socket,
                                      reinterpret_cast<sockaddr *>(&target),
                                      sizeof target));
    CPPUNIT_ASSERT(::send(socket, bytes.data(), bytes.size(), 0) > 0);
    std::string answer;
    char buffer[1024];
    ssize_t got = 0;
    while ((got = ::recv(socket, buffer, sizeof buffer, 0)) > 0) {
      answer.append(buffer, static_cast<std::size_t>(got));
    }
    ::close(socket);
    return answer;
  }

  io_thread io_;
  std::unique_ptr<runtime::fiber_pool> fibers_;
  std::unique_ptr<server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace
} // namespace heathtrestle::http
