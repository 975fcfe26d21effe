// Messages whose end two readers could see differently: what one of them calls
// a single message must not hold another one for the gateway. Such a request is
// rejected with its connection, and such an answer counts as none.
#include "support/one_service.hpp"

#include <array>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

using test_support::chunk;
using test_support::plain;

/// A request that hides in the body of another one.
const std::string hidden =
    "POST /go HTTP/1.1\r\nHost: h\r\nAttempt: hidden\r\nContent-Length: 0\r\n"
    "\r\n";

std::string request_with(const std::string &framing, const std::string &body,
                         const std::string &version = "1.1") {
  return "POST /go HTTP/" + version + "\r\nHost: h\r\nAttempt: outer\r\n" +
         framing + "\r\n\r\n" + body;
}

std::string length_of(const std::string &text) {
  return std::to_string(text.size());
}

/// Requests whose framing is not plainly one length or "chunked".
std::vector<std::string> ambiguous_requests() {
  const std::string chunks = chunk(hidden) + "0\r\n\r\n";
  std::vector<std::string> all;
  for (const char *coding :
       {"gzip", "identity", "chunked, gzip", "chunked,identity", "", "x",
        "\"chunked\"", "chunked;q=1", "chunked, chunked", "gzip, chunked",
        "chunked,", ",chunked", "chunkedx", "chun ked", "\vchunked",
        "chunked\x01"}) {
    const std::string field = "Transfer-Encoding: " + std::string(coding);
    all.push_back(request_with(field, hidden));
    all.push_back(request_with(field, chunks));
    all.push_back(request_with(field + "\r\nContent-Length: 0", hidden));
    all.push_back(request_with(
        field + "\r\nContent-Length: " + length_of(hidden), hidden));
  }
  const std::string chunked = "Transfer-Encoding: chunked";
  for (const std::string &fields : std::vector<std::string>{
           chunked + "\r\nContent-Length: 0",
           "Content-Length: " + length_of(chunks) + "\r\n" + chunked,
           chunked + "\r\n" + chunked,
           chunked + "\r\nTransfer-Encoding: identity",
           "Transfer-Encoding: identity\r\n" + chunked,
           "Transfer-Encoding:\r\n chunked", chunked + "\r\n gzip",
           "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
           "X: y\r\n\tTransfer-Encoding: chunked", "X: y\n" + chunked,
           "X: y\r" + chunked, chunked + std::string("\0", 1)}) {
    all.push_back(request_with(fields, chunks));
  }
  for (const char *length :
       {"0, 0", "0\r\nContent-Length: 5", "0\r\nContent-Length: 0", "+0", "-0",
        "", " ", "0x0", "0 0", "0,", "\"0\"", "0\v", "00000000000000000000000",
        "18446744073709551616", "0\r\n 5"}) {
    all.push_back(
        request_with("Content-Length: " + std::string(length), hidden));
  }
  for (const std::string &size :
       {std::string("+5"), std::string("-5"), std::string("0x5"),
        std::string(" 5"), std::string("5 5"), std::string("g"), std::string(),
        std::string("10000000000000005"), std::string("5\0", 2)}) {
    all.push_back(request_with(chunked, size + "\r\nhello\r\n0\r\n\r\n"));
  }
  for (const std::string &chunks_with_bare_ends :
       {std::string("5\nhello\r\n0\r\n\r\n"),
        std::string("5\r\nhello\n0\r\n\r\n"),
        std::string("5\r\nhelloworld0\r\n\r\n")}) {
    all.push_back(request_with(chunked, chunks_with_bare_ends));
  }
  all.push_back(request_with(chunked, chunks, "1.0"));
  all.push_back(request_with("Transfer-Encoding: identity", hidden, "1.0"));
  return all;
}

class message_framing_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(message_framing_test);
  CPPUNIT_TEST(an_ambiguous_request_is_rejected);
  CPPUNIT_TEST(a_framed_request_runs_once_with_its_own_body);
  CPPUNIT_TEST(trailers_do_not_become_fields_of_the_request);
  CPPUNIT_TEST(an_ambiguous_answer_is_none);
  CPPUNIT_TEST_SUITE_END();

  /// Reads until the gateway closes the connection or is silent for a while.
  asio::awaitable<std::string> read_all(tcp::socket &client) {
    constexpr duration_ms patience{500};
    std::string text;
    std::array<char, 4096> part{};
    asio::steady_timer timer(io_, patience);
    timer.async_wait([&client](boost::system::error_code cancelled) {
      if (!cancelled) {
        client.cancel();
      }
    });
    while (true) {
      const auto [failure, bytes] =
          co_await client.async_read_some(asio::buffer(part), as_result);
      text.append(part.data(), bytes);
      if (failure) {
        was_closed_ = failure == asio::error::eof;
        break;
      }
    }
    timer.cancel();
    co_return text;
  }

  /// Sends bytes on a connection of their own.
  /// @return all that the gateway answers.
  std::string answer_to(const std::string &bytes) {
    tcp::socket client(io_);
    client.connect(clients_->local_endpoint());
    asio::write(client, asio::buffer(bytes));
    return test_support::await_result(io_, read_all(client));
  }

  static bool begins_with_400(const std::string &answer) {
    return answer.starts_with("HTTP/1.1 400");
  }

  bool was_closed_ = false;

public:
  void setUp() override {
    start_gateway();
    add_replica("r", {plain("own")});
  }

  void an_ambiguous_request_is_rejected() {
    for (const std::string &request : ambiguous_requests()) {
      replicas_.at("r")->script.assign(2, {plain("own")});
      const std::string answer = answer_to(request);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::size_t{0}, sends());
      CPPUNIT_ASSERT_MESSAGE(request + "\n-> " + answer,
                             begins_with_400(answer));
      CPPUNIT_ASSERT_MESSAGE(request, was_closed_);
    }
  }

  void a_framed_request_runs_once_with_its_own_body() {
    const std::vector<std::string> framed{
        request_with("Content-Length: " + length_of(hidden), hidden),
        request_with("content-length:" + length_of(hidden) + "  ", hidden),
        request_with("Transfer-Encoding: chunked", chunk(hidden) + "0\r\n\r\n"),
        request_with("transfer-encoding:  Chunked ",
                     chunk(hidden) + "0\r\n\r\n")};
    for (const std::string &request : framed) {
      replicas_.at("r")->script.assign(2, {plain("own")});
      replicas_.at("r")->received.clear();
      CPPUNIT_ASSERT_MESSAGE(request,
                             answer_to(request).starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::size_t{1}, sends());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, hidden,
                                   replicas_.at("r")->received.front().body());
    }
  }

  void trailers_do_not_become_fields_of_the_request() {
    answer_to(request_with("Transfer-Encoding: chunked",
                           chunk("hello") +
                               "0\r\nDeadline: 1\r\nX-Mine: forged\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
    const auto &received = replicas_.at("r")->received.front();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), received.body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received.count("X-Mine"));
    CPPUNIT_ASSERT(received["Deadline"] != "1");
  }

  /// What follows it on the connection must not become the next answer.
  void an_ambiguous_answer_is_none() {
    const std::string forged = plain("forged", "a");
    const std::string begin = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\n"
                              "Signature: s\r\n";
    for (const std::string &framing :
         {std::string("Transfer-Encoding: gzip"),
          std::string("Transfer-Encoding: identity"),
          std::string("Transfer-Encoding: chunked, gzip"),
          std::string("Transfer-Encoding: gzip\r\nContent-Length: 0"),
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 0"),
          std::string("Transfer-Encoding: chunked\r\n gzip"),
          std::string("Content-Length: 0\r\nContent-Length: 5"),
          std::string("Content-Length: 0, 0")}) {
      replicas_.at("r")->script.assign(
          1, {.bytes = begin + framing + "\r\n\r\n" + forged, .close = true});
      const auto answer =
          test_support::ask_gateway(io_, *clients_, "/once/go", "a", {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(framing, 502U, answer->result_int());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_framing_test);

} // namespace
} // namespace heathtrestle::forwarding
