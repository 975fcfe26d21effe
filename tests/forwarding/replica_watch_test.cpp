// Replicas that end without breaking the connections of their requests, or
// after their requests were broken off: requests go on elsewhere, and none is
// sent after three replicas have ended under it.
#include "records/crash_history.hpp"
#include "support/one_service.hpp"

#include <string>

#include <boost/beast/http/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

using test_support::plain;
using test_support::scripted_replica;

class replica_watch_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(replica_watch_test);
  CPPUNIT_TEST(a_request_leaves_a_replica_that_falls_silent);
  CPPUNIT_TEST(no_replica_gets_a_request_after_three_have_fallen_silent);
  CPPUNIT_TEST(a_request_that_must_not_run_twice_is_sent_once);
  CPPUNIT_TEST(a_slow_replica_has_not_ended);
  CPPUNIT_TEST(a_replica_that_falls_silent_under_a_broken_off_request_counts);
  CPPUNIT_TEST(a_replica_that_ends_after_its_client_left_counts);
  CPPUNIT_TEST(a_replica_that_ends_late_does_not_count);
  CPPUNIT_TEST(a_replica_that_started_again_has_ended);
  CPPUNIT_TEST(a_replica_that_ends_as_planned_does_not_count);
  CPPUNIT_TEST(an_attempt_stays_at_risk_until_its_replica_is_known_to_live);
  CPPUNIT_TEST(few_attempts_are_followed);
  CPPUNIT_TEST(nothing_is_watched_without_requests);
  CPPUNIT_TEST(an_end_is_forgotten_once_the_replica_takes_a_request);
  CPPUNIT_TEST(checks_leave_one_idle_connection);
  CPPUNIT_TEST(a_refused_connection_ends_no_running_request);
  CPPUNIT_TEST(a_request_leaves_a_silent_replica_that_refuses_connections);
  CPPUNIT_TEST(a_replica_that_left_finishes_what_it_runs);
  CPPUNIT_TEST(a_request_leaves_a_replica_whose_address_was_reused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr duration_ms follow_time{600};

  static gateway_options options() {
    gateway_options made;
    made.pool.connect_timeout = duration_ms{150};
    made.watch.silence_limit = duration_ms{200};
    made.watch.follow_time = follow_time;
    made.watch.max_followed = 2;
    return made;
  }

  void add_silent(int count) {
    for (int number = 1; number <= count; ++number) {
      const std::string id = "silent-" + std::to_string(number);
      scripted_replica &added = add_replica(id, {.bytes = plain("late")});
      added.before_answer = [&added] { added.fall_silent(); };
    }
  }

  /// Sends a request whose answer is read later, if at all, and waits a while.
  tcp::socket begin_request(const std::string &attempt,
                            duration_ms span = duration_ms{100}) {
    tcp::socket socket(io_);
    socket.connect(clients_->local_endpoint());
    beast_http::request<beast_http::string_body> request(beast_http::verb::post,
                                                         "/go", 11);
    request.set(beast_http::field::host, "h");
    request.set("Attempt", attempt);
    request.body() = "question";
    request.prepare_payload();
    beast_http::write(socket, request);
    wait_for(span);
    return socket;
  }

  /// Sends a request and leaves without waiting for its answer.
  void ask_and_leave(const std::string &attempt, duration_ms patience) {
    tcp::socket socket = begin_request(attempt, patience);
    socket.close();
    wait_for(duration_ms{20});
  }

  unsigned status_of(tcp::socket &socket) {
    boost::beast::flat_buffer buffer;
    beast_http::response<beast_http::string_body> answer;
    test_support::await_result(
        io_, beast_http::async_read(socket, buffer, answer, as_result));
    return answer.result_int();
  }

  /// A replica that runs a request for a second, and one that could take it.
  scripted_replica &add_busy_replica() {
    return add_replica("busy",
                       {.bytes = plain("answer"), .delay = duration_ms{1000}});
  }

  /// The names of the replicas that were reported as ended.
  [[nodiscard]] std::vector<std::string> reported() const {
    std::vector<std::string> names;
    for (const records::crash_report &each : ledger_.crash_reports) {
      names.insert(names.end(), each.crashed.begin(), each.crashed.end());
    }
    return names;
  }

public:
  void setUp() override { start_gateway(options()); }

  void a_request_leaves_a_replica_that_falls_silent() {
    scripted_replica &silent = add_replica("silent", {.bytes = plain("late")});
    silent.before_answer = [this, &silent] {
      silent.fall_silent();
      add_replica("sound", {.bytes = plain("answer")});
    };
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    CPPUNIT_ASSERT(reported() == std::vector<std::string>{"silent"});
    wait_for(duration_ms{50});
    CPPUNIT_ASSERT(ledger_.crash_reports.back().completed);
  }

  void no_replica_gets_a_request_after_three_have_fallen_silent() {
    add_silent(6);
    CPPUNIT_ASSERT_EQUAL(502U, ask("a"));
    CPPUNIT_ASSERT_EQUAL(records::max_crashed_replicas, sends());
    CPPUNIT_ASSERT_EQUAL(502U, ask("b"));
    CPPUNIT_ASSERT_EQUAL(records::max_crashed_replicas, sends());
  }

  void a_request_that_must_not_run_twice_is_sent_once() {
    add_silent(2);
    const auto answer =
        test_support::ask_gateway(io_, *clients_, "/once/go", "a", {});
    CPPUNIT_ASSERT_EQUAL(504U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported().size());
  }

  void a_slow_replica_has_not_ended() {
    add_replica("slow", {.bytes = plain("answer"), .delay = duration_ms{1500}});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    CPPUNIT_ASSERT(ledger_.crash_reports.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
  }

  void a_replica_that_falls_silent_under_a_broken_off_request_counts() {
    add_silent(6);
    for (const char *attempt : {"a", "b", "c", "d", "e"}) {
      ask_and_leave(attempt, duration_ms{300});
    }
    CPPUNIT_ASSERT_EQUAL(records::max_crashed_replicas, sends());
  }

  void a_replica_that_ends_after_its_client_left_counts() {
    scripted_replica &replica =
        add_replica("r", {.bytes = plain("late"), .delay = duration_ms{5000}});
    ask_and_leave("a", duration_ms{100});
    CPPUNIT_ASSERT(reported().empty());
    wait_for(duration_ms{100});
    replica.end();
    wait_for(duration_ms{400});
    CPPUNIT_ASSERT(reported() == std::vector<std::string>{"r"});
    CPPUNIT_ASSERT(!ledger_.notices.empty());
  }

  void a_replica_that_ends_late_does_not_count() {
    scripted_replica &replica =
        add_replica("r", {.bytes = plain("late"), .delay = duration_ms{5000}});
    ask_and_leave("a", duration_ms{100});
    wait_for(follow_time + duration_ms{300});
    replica.end();
    wait_for(duration_ms{400});
    CPPUNIT_ASSERT(reported().empty());
  }

  void a_replica_that_started_again_has_ended() {
    add_replica("r", {.bytes = plain("late"), .delay = duration_ms{5000}});
    ask_and_leave("a", duration_ms{100});
    // It listens again within milliseconds, and its entry tells later.
    gateway_->replicas().remove(routing::instance_id{"r"});
    gateway_->replicas().put({.id = routing::instance_id{"r-again"},
                              .service = routing::service_id{"s"},
                              .address = replicas_.at("r")->address(),
                              .zone = "z",
                              .slots = 4});
    wait_for(duration_ms{500});
    CPPUNIT_ASSERT(reported() == std::vector<std::string>{"r"});
  }

  void a_replica_that_ends_as_planned_does_not_count() {
    scripted_replica &replica =
        add_replica("r", {.bytes = plain("late"), .delay = duration_ms{5000}});
    ask_and_leave("a", duration_ms{100});
    list("r", true);
    replica.end();
    wait_for(duration_ms{400});
    CPPUNIT_ASSERT(reported().empty());
  }

  void an_attempt_stays_at_risk_until_its_replica_is_known_to_live() {
    scripted_replica &crashing =
        add_replica("crashing", {.bytes = "", .close = true});
    crashing.before_answer = [&crashing] { crashing.stop_listening(); };
    CPPUNIT_ASSERT_EQUAL(502U, ask("a"));
    add_replica("slow", {.bytes = plain("late"), .delay = duration_ms{5000}});
    ask_and_leave("b", duration_ms{100});
    CPPUNIT_ASSERT(ledger_.crash_reports.back().wants_send);
    wait_for(follow_time + duration_ms{300});
    CPPUNIT_ASSERT(!ledger_.crash_reports.back().wants_send);
    CPPUNIT_ASSERT(ledger_.crash_reports.back().crashed.empty());
  }

  void few_attempts_are_followed() {
    add_replica("r", {.bytes = plain("late"), .delay = duration_ms{5000}});
    for (int more = 0; more < 3; ++more) {
      replicas_.at("r")->script.push_back(
          {.bytes = plain("late"), .delay = duration_ms{5000}});
    }
    for (const char *attempt : {"a", "b", "c", "d"}) {
      ask_and_leave(attempt, duration_ms{30});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway_->watch().followed());
    wait_for(follow_time + duration_ms{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_->watch().followed());
  }

  void an_end_is_forgotten_once_the_replica_takes_a_request() {
    add_replica("r", {.bytes = plain("answer")});
    const auto r =
        gateway_->replicas().directory().find(routing::instance_id{"r"});
    const auto first = gateway_->watch().begin(r, [] {});
    gateway_->watch().on_ended(r->record.start(), replica_fate::unreachable);
    CPPUNIT_ASSERT(gateway_->watch().known_end(r->record.start()).has_value());
    const auto second = gateway_->watch().begin(r, [] {});
    CPPUNIT_ASSERT(!gateway_->watch().known_end(r->record.start()).has_value());
  }

  void checks_leave_one_idle_connection() {
    scripted_replica &slow = add_replica(
        "slow", {.bytes = plain("answer"), .delay = duration_ms{1500}});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    CPPUNIT_ASSERT(slow.connections() > 2);
    wait_for(duration_ms{20});
    std::size_t open = 0;
    for (std::size_t opened = 0; opened < slow.connections(); ++opened) {
      open += slow.is_open(opened) ? 1 : 0;
    }
    // The one of the request, and the one of the first check.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, open);
  }

  /// A replica that leaves takes no connections and finishes what it runs,
  /// which its entry may tell late.
  void a_refused_connection_ends_no_running_request() {
    scripted_replica &busy = add_replica(
        "busy", {.bytes = plain("answer"), .delay = duration_ms{150}});
    tcp::socket running = begin_request("a");
    busy.stop_listening();
    CPPUNIT_ASSERT(ask("b") >= 500U);
    add_replica("other", {.bytes = plain("answer")});
    CPPUNIT_ASSERT_EQUAL(200U, status_of(running));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, busy.received.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
  }

  /// Its connections may stay open although its process has ended.
  void a_request_leaves_a_silent_replica_that_refuses_connections() {
    scripted_replica &busy = add_busy_replica();
    tcp::socket running = begin_request("a");
    busy.stop_listening();
    add_replica("other", {.bytes = plain("answer")});
    const timestamp begun = steady_now();
    CPPUNIT_ASSERT_EQUAL(200U, status_of(running));
    CPPUNIT_ASSERT(steady_now() - begun < duration_ms{600});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sends());
  }

  void a_replica_that_left_finishes_what_it_runs() {
    for (const bool says_draining : {true, false}) {
      replicas_.clear();
      scripted_replica &busy = add_busy_replica();
      tcp::socket running = begin_request("a");
      busy.stop_listening();
      if (says_draining) {
        list("busy", true);
      } else {
        gateway_->replicas().remove(routing::instance_id{"busy"});
      }
      add_replica("other", {.bytes = plain("answer")});
      CPPUNIT_ASSERT_EQUAL(200U, status_of(running));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
      gateway_->replicas().remove(routing::instance_id{"busy"});
      gateway_->replicas().remove(routing::instance_id{"other"});
    }
  }

  /// Another process listens there, so the one before has ended.
  void a_request_leaves_a_replica_whose_address_was_reused() {
    scripted_replica &busy = add_busy_replica();
    tcp::socket running = begin_request("a");
    gateway_->replicas().remove(routing::instance_id{"busy"});
    gateway_->replicas().put({.id = routing::instance_id{"again"},
                              .service = routing::service_id{"s"},
                              .address = busy.address(),
                              .zone = "z",
                              .slots = 4});
    wait_for(duration_ms{500});
    CPPUNIT_ASSERT(reported() == std::vector<std::string>{"busy"});
    running.close();
  }

  void nothing_is_watched_without_requests() {
    scripted_replica &replica = add_replica("r", {.bytes = plain("answer")});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    wait_for(duration_ms{300});
    const std::uint64_t opened = gateway_->pool().opened();
    replica.end();
    wait_for(duration_ms{500});
    CPPUNIT_ASSERT_EQUAL(opened, gateway_->pool().opened());
    CPPUNIT_ASSERT(ledger_.crash_reports.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_watch_test);

} // namespace
} // namespace heathtrestle::forwarding
