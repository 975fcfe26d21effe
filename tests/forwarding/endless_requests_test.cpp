// A client that sends bytes without end is answered soon, and what the gateway
// holds for it stays small.
#include "support/one_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <string>

#include <boost/asio/write.hpp>

namespace heathtrestle::forwarding {
namespace {

using test_support::chunk;
using test_support::plain;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t body_limit = 128 * kilobyte;
/// A text that grows has up to twice its size; besides, buffers.
constexpr std::size_t held_limit = 2 * body_limit + 64 * kilobyte;
constexpr duration_ms header_timeout{300};
constexpr duration_ms slow_pause{20};
constexpr duration_ms max_wait{1500};

const std::string head = "POST /go HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

class endless_requests_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(endless_requests_test);
  CPPUNIT_TEST(framing_without_end_is_rejected);
  CPPUNIT_TEST(a_body_without_end_is_rejected);
  CPPUNIT_TEST(a_slow_request_times_out);
  CPPUNIT_TEST(a_body_is_not_awaited_beyond_its_deadline);
  CPPUNIT_TEST(a_body_at_a_fair_rate_is_read);
  CPPUNIT_TEST(small_chunks_are_read);
  CPPUNIT_TEST_SUITE_END();

  std::size_t most_held_ = 0;

  void start() {
    start_gateway();
    routing::configuration limited = settings();
    limited.version = routing::configuration_version{2};
    limited.limits.body_bytes = body_limit;
    limited.limits.header_timeout = header_timeout;
    gateway_->apply_routes(limited);
    add_replica("good", {plain("own")});
  }

  /// Sends until the gateway closes the connection or the text has ended.
  asio::awaitable<void> send(std::shared_ptr<tcp::socket> client,
                             std::string beginning, std::string repeated,
                             duration_ms pause) {
    asio::steady_timer timer(io_);
    std::string next = std::move(beginning);
    while (!next.empty()) {
      const auto [failure, written] =
          co_await asio::async_write(*client, asio::buffer(next), as_result);
      if (failure) {
        co_return;
      }
      most_held_ = std::max(most_held_, gateway_->held_bytes().held());
      next = repeated;
      if (pause.count() > 0) {
        timer.expires_after(pause);
        co_await timer.async_wait(as_result);
      }
    }
  }

  asio::awaitable<std::string> read_status(tcp::socket &client) {
    std::array<char, kilobyte> answer{};
    const auto [failure, bytes] =
        co_await client.async_read_some(asio::buffer(answer), as_result);
    co_return std::string(answer.data(), bytes).substr(0, 12);
  }

  /// @return the beginning of the status line.
  std::string answer_to(const std::string &beginning,
                        const std::string &repeated,
                        duration_ms pause = duration_ms{0}) {
    const auto client = std::make_shared<tcp::socket>(io_);
    client->connect(clients_->local_endpoint());
    const timestamp begun = steady_now();
    asio::co_spawn(io_, send(client, beginning, repeated, pause),
                   asio::detached);
    const std::string status =
        test_support::await_result(io_, read_status(*client));
    CPPUNIT_ASSERT_MESSAGE(beginning, steady_now() - begun < max_wait);
    CPPUNIT_ASSERT_MESSAGE(beginning, most_held_ < held_limit);
    client->close();
    return status;
  }

  static std::string letters(std::size_t count) {
    return std::string(count, 'a');
  }

public:
  void framing_without_end_is_rejected() {
    start();
    const std::string too_large = "HTTP/1.1 413";
    CPPUNIT_ASSERT_EQUAL(
        too_large, answer_to(head + chunked + "5;", letters(16 * kilobyte)));
    CPPUNIT_ASSERT_EQUAL(too_large,
                         answer_to(head + chunked + "5\r\nhello\r\n0\r\n",
                                   "F: " + letters(1000) + "\r\n"));
    // Each chunk is short enough, but brings a single byte.
    CPPUNIT_ASSERT_EQUAL(
        too_large,
        answer_to(head + chunked, "1;" + letters(15000) + "\r\nx\r\n"));
  }

  void a_body_without_end_is_rejected() {
    start();
    CPPUNIT_ASSERT_EQUAL(
        std::string("HTTP/1.1 413"),
        answer_to(head + chunked, chunk(letters(16 * kilobyte))));
  }

  void a_slow_request_times_out() {
    start();
    const std::string timed_out = "HTTP/1.1 408";
    CPPUNIT_ASSERT_EQUAL(timed_out, answer_to(head, "F: a\r\n", slow_pause));
    CPPUNIT_ASSERT_EQUAL(timed_out,
                         answer_to(head + chunked + "5;", "a", slow_pause));
    CPPUNIT_ASSERT_EQUAL(
        timed_out, answer_to(head + chunked + "0\r\n", "F: a\r\n", slow_pause));
    CPPUNIT_ASSERT_EQUAL(timed_out,
                         answer_to(head + chunked, chunk("a"), slow_pause));
    CPPUNIT_ASSERT_EQUAL(
        timed_out,
        answer_to(head + "Content-Length: 90000\r\n\r\n", "a", slow_pause));
  }

  void a_body_is_not_awaited_beyond_its_deadline() {
    start();
    const std::string hurried = head + "Deadline: 100\r\n";
    const timestamp begun = steady_now();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408"),
                         answer_to(hurried + "Content-Length: 90000\r\n\r\n",
                                   letters(100), slow_pause));
    CPPUNIT_ASSERT(steady_now() - begun < header_timeout);
  }

  /// Also when that takes longer than the head may.
  void a_body_at_a_fair_rate_is_read() {
    start();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         answer_to(head + "Content-Length: 3000\r\n\r\n",
                                   letters(100), slow_pause));
  }

  void small_chunks_are_read() {
    start();
    std::string body;
    for (int count = 0; count < 20000; ++count) {
      body += chunk("a");
    }
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         answer_to(head + chunked + body + "0\r\n\r\n", ""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_requests_test);

} // namespace
} // namespace heathtrestle::forwarding
