// Calls between servers: what comes behind an answer belongs to no later call,
// and bytes without end neither fill the memory nor outlast the call.
#include "http/call_client.hpp"
#include "http/status_server.hpp"
#include "support/coroutines.hpp"
#include "support/scripted_replica.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <string>

#include <boost/asio/write.hpp>

namespace heathtrestle::http {
namespace {

using test_support::await_result;
using test_support::plain;
using test_support::scripted_replica;

constexpr duration_ms call_limit{4000};
constexpr duration_ms max_wait{2000};

class call_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(call_client_test);
  CPPUNIT_TEST(bytes_behind_an_answer_belong_to_no_call);
  CPPUNIT_TEST(an_answer_without_end_is_given_up);
  CPPUNIT_TEST(an_answer_of_unclear_length_is_none);
  CPPUNIT_TEST(a_status_server_gives_up_a_request_without_end);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;

  std::optional<call_response> call(call_client &client,
                                    scripted_replica &server) {
    return await_result(
        io_, client.call(get_request(server.address(), "/"), call_limit));
  }

  asio::awaitable<std::size_t> send_endlessly(tcp::socket &client,
                                              std::string beginning,
                                              std::string repeated) {
    std::size_t sent = 0;
    std::string next = std::move(beginning);
    while (true) {
      const auto [failure, written] =
          co_await asio::async_write(client, asio::buffer(next), as_result);
      sent += written;
      if (failure) {
        co_return sent;
      }
      next = repeated;
    }
  }

public:
  void tearDown() override { io_.stop(); }

  void bytes_behind_an_answer_belong_to_no_call() {
    scripted_replica server(io_);
    server.script.assign(
        {{plain("1", "a") + plain("surplus", "a")}, {plain("2", "a")}});
    call_client client(io_, server.address(), call_limit);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), call(client, server)->body());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), call(client, server)->body());
  }

  void an_answer_without_end_is_given_up() {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(1000, 'a');
    const std::vector<std::pair<std::string, std::string>> kinds{
        {chunked + "5;", letters},
        {chunked + "0\r\n", "F: " + letters + "\r\n"},
        {ok, "F: " + letters + "\r\n"},
        {ok + "\r\n", letters}};
    for (const auto &[beginning, repeated] : kinds) {
      scripted_replica server(io_);
      server.script.push_back({.bytes = beginning, .repeated = repeated});
      call_client client(io_, server.address(), call_limit);
      const timestamp begun = steady_now();
      CPPUNIT_ASSERT(!call(client, server));
      CPPUNIT_ASSERT(steady_now() - begun < max_wait);
    }
  }

  void an_answer_of_unclear_length_is_none() {
    for (const char *framing :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: identity\r\nContent-Length: 0"}) {
      scripted_replica server(io_);
      server.script.push_back({.bytes = "HTTP/1.1 200 OK\r\n" +
                                        std::string(framing) + "\r\n\r\n" +
                                        plain("forged", "a"),
                               .close = true});
      call_client client(io_, server.address(), call_limit);
      CPPUNIT_ASSERT(!call(client, server));
    }
  }

  void a_status_server_gives_up_a_request_without_end() {
    auto free_port = listen(io_, "127.0.0.1:0").value().local_endpoint();
    const std::string address = "127.0.0.1:" + std::to_string(free_port.port());
    CPPUNIT_ASSERT(serve_pages(io_, address, [](std::string_view) {
                     return page{.body = "page\n"};
                   }).has_value());
    tcp::socket client(io_);
    client.connect(free_port);
    const std::size_t sent = await_result(
        io_, send_endlessly(client,
                            "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n5;",
                            std::string(1000, 'a')));
    constexpr std::size_t in_transit_bytes = 16U << 20U;
    CPPUNIT_ASSERT(sent < in_transit_bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_client_test);

} // namespace
} // namespace heathtrestle::http
