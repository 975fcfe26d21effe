// A replica that sends bytes without end neither fills the gateway's memory nor
// holds its caller: the request goes on elsewhere, or fails at once if it may
// have run and must not run twice.
#include "support/one_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>

namespace heathtrestle::forwarding {
namespace {

using test_support::chunk;
using test_support::event;
using test_support::plain;
using test_support::refusal_of;
using test_support::scripted_replica;
using test_support::stream_end;
using test_support::stream_head;

constexpr std::size_t kilobyte = 1024;
/// Beyond what answers hold: buffers of the connection.
constexpr std::size_t held_limit = 512 * kilobyte;
constexpr duration_ms repeated_pause{10};
/// Less than the two seconds of the route.
constexpr duration_ms max_wait{1300};

const std::string answer_head =
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// What is sent first, and what is repeated after it.
struct endless {
  std::string beginning;
  std::string repeated;
};

class endless_answers_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(endless_answers_test);
  CPPUNIT_TEST(a_head_without_end_is_given_up);
  CPPUNIT_TEST(framing_without_end_is_given_up);
  CPPUNIT_TEST(a_body_without_end_is_given_up);
  CPPUNIT_TEST(surplus_answers_without_end_are_given_up);
  CPPUNIT_TEST(slow_bytes_without_end_are_given_up);
  CPPUNIT_TEST(a_stream_without_events_is_given_up);
  CPPUNIT_TEST(large_answers_share_their_memory);
  CPPUNIT_TEST(a_body_that_arrives_slowly_is_whole);
  CPPUNIT_TEST(a_large_event_is_whole);
  CPPUNIT_TEST(a_stream_may_pause_between_its_events);
  CPPUNIT_TEST_SUITE_END();

  std::size_t most_held_ = 0;
  std::string bad_;  // the replica that answers with endless bytes
  std::string good_; // the other one

  void start(std::size_t large_answers = 128 * kilobyte) {
    gateway_options options;
    options.large_answers_limit = large_answers;
    start_gateway(options);
  }

  /// Lists a replica that answers with endless bytes, in place of those before,
  /// and a sound one as soon as it was sent a request.
  void list_replicas(const endless &bytes, duration_ms pause,
                     const std::string &sound_answer) {
    gateway_->replicas().remove(routing::instance_id{bad_});
    gateway_->replicas().remove(routing::instance_id{good_});
    bad_ = "bad-" + std::to_string(replicas_.size());
    good_ = "good-" + std::to_string(replicas_.size());
    replicas_[good_] = std::make_unique<scripted_replica>(io_);
    replicas_[good_]->script.push_back({sound_answer});
    auto &replica = add_replica(bad_, {.bytes = bytes.beginning,
                                       .repeated = bytes.repeated,
                                       .repeated_pause = pause});
    replica.before_answer = [this] { list(good_); };
  }

  /// Each question is another one: replicas that leave count as ended under
  /// their requests.
  /// @return the status of the answer, and how long that took.
  std::pair<unsigned, duration_ms> ask_bad(const std::string &path) {
    asio::co_spawn(io_, watch_memory(), asio::detached);
    const timestamp begun = steady_now();
    const auto answer =
        test_support::ask_gateway(io_, *clients_, path + bad_, "a1", {});
    return {answer ? answer->result_int() : 0, steady_now() - begun};
  }

  /// Notes what the gateway holds.
  asio::awaitable<void> watch_memory() {
    asio::steady_timer timer(io_);
    while (true) {
      most_held_ = std::max(most_held_, gateway_->held_bytes().held());
      timer.expires_after(duration_ms{1});
      co_await timer.async_wait(as_result);
    }
  }

  void serve_streams() {
    routing::configuration streams = settings();
    streams.version = routing::configuration_version{2};
    streams.routes[0].kind = routing::request_kind::streaming;
    streams.routes[0].resumable = true;
    gateway_->apply_routes(streams);
  }

  void check(const endless &bytes, duration_ms pause = duration_ms{0}) {
    const std::vector<std::pair<std::string, unsigned>> outcomes{
        {"/", 200U}, {"/once/", 502U}};
    for (const auto &[path, expected] : outcomes) {
      list_replicas(bytes, pause, plain("own"));
      const auto [status, taken] = ask_bad(path);
      const std::string what = path + " " + bytes.beginning.substr(0, 40);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, expected, status);
      CPPUNIT_ASSERT_MESSAGE(what, taken < max_wait);
      CPPUNIT_ASSERT_MESSAGE(what, most_held_ < held_limit);
    }
  }

  static std::string letters(std::size_t count = 16 * kilobyte) {
    return std::string(count, 'a');
  }

public:
  void a_head_without_end_is_given_up() {
    start();
    check({answer_head, "Fill: " + letters(100) + "\r\n"});
    check({"", "\r\n\r\n\r\n\r\n"});
    check({"", letters()});
    check({"", "HTTP/1.1 103 Early Hints\r\n\r\n"});
  }

  void framing_without_end_is_given_up() {
    start();
    check({answer_head + chunked + "5;", letters()});
    check({answer_head + chunked + "5\r\nhello\r\n0\r\n",
           "Fill: " + letters(100) + "\r\n"});
    // Each chunk is short enough, but brings a single byte.
    check({answer_head + chunked, "1;" + letters(15000) + "\r\nx\r\n"});
  }

  void a_body_without_end_is_given_up() {
    start();
    check({answer_head + chunked, chunk(letters())});
    check({answer_head + "\r\n", letters()});
    check(
        {"HTTP/1.1 503 Busy\r\nAttempt: {id}\r\nNot-Executed: 1\r\n" + chunked,
         chunk(letters())});
    check({answer_head + "Content-Length: 99999999999\r\n\r\n", letters()});
  }

  void surplus_answers_without_end_are_given_up() {
    start();
    check({"HTTP/1.1 200 OK\r\nAttempt: a0\r\n" + chunked, chunk(letters())});
    check({"", refusal_of("a0")});
  }

  void slow_bytes_without_end_are_given_up() {
    start();
    check({answer_head + "Fill: ", "a"}, repeated_pause);
    check({answer_head + chunked + "5;", "a"}, repeated_pause);
    check({answer_head + chunked + "0\r\n", "F: a\r\n"}, repeated_pause);
    check({answer_head + chunked, chunk("a")}, repeated_pause);
    check({answer_head + "Content-Length: 100000\r\n\r\n", "a"},
          repeated_pause);
    constexpr duration_ms interim_pause{100};
    check({"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, interim_pause);
  }

  void a_stream_without_events_is_given_up() {
    const std::vector<std::pair<std::string, duration_ms>> kinds{
        {chunk("data: " + letters()), duration_ms{0}},
        {chunk("data: a"), repeated_pause},
        {chunk("id: 1\ndata: a\n\n"), duration_ms{0}},
        {"5;" + letters(), duration_ms{0}}};
    start();
    serve_streams();
    for (const auto &[repeated, pause] : kinds) {
      list_replicas({stream_head + chunk(event(1)), repeated}, pause,
                    stream_head + chunk(event(1)) + chunk(event(2)) +
                        stream_end);
      const auto [status, taken] = ask_bad("/");
      CPPUNIT_ASSERT_EQUAL(200U, status);
      CPPUNIT_ASSERT(taken < max_wait);
      CPPUNIT_ASSERT(!replicas_.at(good_)->received.empty());
    }
  }

  void large_answers_share_their_memory() {
    start(128 * kilobyte);
    add_replica("good", {plain(letters(100 * kilobyte))});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a1"));
    replicas_.at("good")->script.push_back({plain(letters(300 * kilobyte))});
    CPPUNIT_ASSERT_EQUAL(502U, ask("a2"));
    // What was booked is free again.
    replicas_.at("good")->script.push_back({plain(letters(100 * kilobyte))});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a3"));
  }

  /// As long as it can end in time.
  void a_body_that_arrives_slowly_is_whole() {
    start();
    add_replica("good", {.bytes = answer_head + "Content-Length: 60\r\n\r\n",
                         .repeated = "a",
                         .repeated_pause = repeated_pause});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a1"));
  }

  /// For longer than within an event.
  void a_stream_may_pause_between_its_events() {
    start();
    serve_streams();
    constexpr duration_ms pause{700};
    list_replicas({stream_head, chunk("data: a\n\n")}, pause, stream_end);
    ask_bad("/");
    CPPUNIT_ASSERT(replicas_.at(good_)->received.empty());
  }

  void a_large_event_is_whole() {
    start(1024 * kilobyte);
    serve_streams();
    const std::string large =
        "id: 1\ndata: " + letters(500 * kilobyte) + "\n\n";
    add_replica("good", {stream_head + chunk(large) + stream_end});
    const auto answer =
        test_support::ask_gateway(io_, *clients_, "/go", "a1", {});
    CPPUNIT_ASSERT_EQUAL(large.size(), answer->body().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answers_test);

} // namespace
} // namespace heathtrestle::forwarding
