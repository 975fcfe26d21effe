// Turns whose streams break: what is recorded as a turn's output holds all of
// its events, or the turn is refused before it runs.
#include "support/one_service.hpp"

#include <string>

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

using test_support::broken_events;
using test_support::event;
using test_support::events;

class resumed_turn_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(resumed_turn_test);
  CPPUNIT_TEST(a_turn_is_not_resumed_without_its_first_events);
  CPPUNIT_TEST(a_refused_resumption_asks_for_no_grant);
  CPPUNIT_TEST(a_turn_that_begins_anew_is_recorded_whole);
  CPPUNIT_TEST(a_turn_that_goes_on_within_its_answer_is_recorded_whole);
  CPPUNIT_TEST(a_stream_that_is_not_retained_is_resumed);
  CPPUNIT_TEST_SUITE_END();

  static routing::configuration turns() {
    routing::configuration made = settings();
    made.version = routing::configuration_version{2};
    for (const char *prefix : {"/kept/", "/kept-once/", "/stream/"}) {
      routing::route route = made.routes.front();
      route.name = prefix;
      route.path_prefix = prefix;
      route.kind = routing::request_kind::streaming;
      route.retained = route.name != "/stream/";
      route.resumable = route.name != "/kept-once/";
      made.routes.push_back(route);
    }
    return made;
  }

  std::optional<http::call_response>
  ask_turn(const std::string &attempt, client_fields fields = {},
           const std::string &path = "/kept/") {
    fields.merge(
        client_fields{{"Program", "p"}, {"Budget", "1000"}, {"Tokens", "1,9"}});
    return test_support::ask_gateway(io_, *clients_, path, attempt, fields);
  }

  static client_fields resuming(const std::string &attempt, int after) {
    client_fields fields{{"Last-Event-Id", std::to_string(after)}};
    if (!attempt.empty()) {
      fields["Resumes"] = attempt;
    }
    return fields;
  }

  /// The recorded outputs of turns.
  [[nodiscard]] std::vector<std::string> outputs() const {
    std::vector<std::string> found;
    for (const records::turn_end &end : ledger_.ends) {
      if (!end.kept.id.empty()) {
        found.push_back(end.kept.output);
      }
    }
    return found;
  }

public:
  void setUp() override {
    start_gateway();
    gateway_->apply_routes(turns());
    add_replica("r", broken_events(1, 2));
    replicas_.at("r")->script.push_back({.bytes = "", .close = true});
  }

  /// The next turn of the program would go on from a history without them.
  void a_turn_is_not_resumed_without_its_first_events() {
    CPPUNIT_ASSERT(!ask_turn("a").has_value());
    const std::size_t sent = sends();
    replicas_.at("r")->script.assign(8, events(3, 4));
    for (const char *path : {"/kept/", "/kept-once/"}) {
      for (const char *began : {"a", ""}) {
        for (const int after : {1, 2}) {
          const auto answer = ask_turn("b", resuming(began, after), path);
          CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(sent, sends());
    CPPUNIT_ASSERT(outputs().empty());
  }

  void a_refused_resumption_asks_for_no_grant() {
    const timestamp begun = steady_now();
    CPPUNIT_ASSERT_EQUAL(503U, ask_turn("b", resuming("a", 2))->result_int());
    CPPUNIT_ASSERT(steady_now() - begun < duration_ms{200});
    CPPUNIT_ASSERT_EQUAL(0, ledger_.asked);
  }

  void a_turn_that_begins_anew_is_recorded_whole() {
    CPPUNIT_ASSERT(!ask_turn("a").has_value());
    CPPUNIT_ASSERT_EQUAL(503U, ask_turn("b", resuming("a", 2))->result_int());
    replicas_.at("r")->script.assign(1, events(1, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask_turn("c")->result_int());
    CPPUNIT_ASSERT(outputs() == std::vector<std::string>{"d1\nd2\nd3\nd4\n"});
  }

  void a_turn_that_goes_on_within_its_answer_is_recorded_whole() {
    replicas_.at("r")->script = {broken_events(1, 2), events(2, 4)};
    const auto answer = ask_turn("a");
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4),
                         answer->body());
    CPPUNIT_ASSERT(outputs() == std::vector<std::string>{"d1\nd2\nd3\nd4\n"});
  }

  void a_stream_that_is_not_retained_is_resumed() {
    replicas_.at("r")->script = {events(3, 4)};
    const auto answer = ask_turn("b", resuming("", 2), "/stream/");
    CPPUNIT_ASSERT_EQUAL(event(3) + event(4), answer->body());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumed_turn_test);

} // namespace
} // namespace heathtrestle::forwarding
