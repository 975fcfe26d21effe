// Streams of a service whose replicas run several software versions: all events
// of a stream come from replicas of one version, within an answer and over a
// client's attempts, and a stream that is taken up goes on.
#include "forwarding/client_session.hpp"
#include "forwarding/gateway.hpp"
#include "support/gateway_client.hpp"
#include "support/header_names.hpp"
#include "support/open_ledger.hpp"
#include "support/scripted_replica.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace heathtrestle::forwarding {
namespace {

using test_support::broken_events;
using test_support::event;
using test_support::events;
using test_support::open_ledger;
using test_support::refusal;
using test_support::scripted;
using test_support::scripted_replica;

using client_fields = std::map<std::string, std::string>;

class stream_of_two_versions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_of_two_versions_test);
  CPPUNIT_TEST(a_broken_stream_goes_on_at_its_own_version);
  CPPUNIT_TEST(a_broken_stream_ends_when_its_version_is_gone);
  CPPUNIT_TEST(a_resumed_stream_goes_to_the_version_that_began_it);
  CPPUNIT_TEST(each_resumption_names_the_attempt_that_began_the_stream);
  CPPUNIT_TEST(a_resumed_stream_is_refused_at_once_when_its_version_is_gone);
  CPPUNIT_TEST(a_stream_of_unknown_version_is_refused_beside_two_versions);
  CPPUNIT_TEST(a_stream_of_unknown_version_is_refused_by_a_new_gateway);
  CPPUNIT_TEST(a_stream_of_unknown_version_goes_on_where_one_served_alone);
  CPPUNIT_TEST(a_version_that_has_just_left_may_have_begun_a_stream);
  CPPUNIT_TEST(a_resumed_stream_goes_to_a_replica_that_begins_to_drain);
  CPPUNIT_TEST(a_new_stream_goes_to_no_replica_that_begins_to_drain);
  CPPUNIT_TEST(a_replica_that_drains_for_long_gets_no_resumed_stream);
  CPPUNIT_TEST(a_replica_that_was_listed_draining_gets_no_resumed_stream);
  CPPUNIT_TEST(a_resumed_stream_waits_for_no_group_that_is_away);
  CPPUNIT_TEST(the_version_may_change_before_the_first_event);
  CPPUNIT_TEST(nothing_is_sent_while_a_change_of_version_is_uncertain);
  CPPUNIT_TEST(a_new_stream_is_served_without_the_group);
  CPPUNIT_TEST(a_stream_that_began_without_an_answer_keeps_what_it_asked_for);
  CPPUNIT_TEST(a_stream_without_a_named_attempt_goes_on_as_before);
  CPPUNIT_TEST(a_stream_without_a_named_attempt_is_refused_beside_two_versions);
  CPPUNIT_TEST(a_stream_without_a_named_attempt_is_refused_after_a_release);
  CPPUNIT_TEST(a_stream_without_a_named_attempt_keeps_its_recorded_version);
  CPPUNIT_TEST(a_list_that_is_not_current_tells_no_version);
  CPPUNIT_TEST(a_version_that_came_and_left_unseen_may_have_begun_a_stream);
  CPPUNIT_TEST(
      a_version_that_left_with_a_missed_listing_may_have_begun_a_stream);
  CPPUNIT_TEST(other_streams_and_calls_record_no_version);
  CPPUNIT_TEST(another_version_under_the_same_id_is_another_replica);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  open_ledger ledger_;
  std::unique_ptr<gateway> gateway_;
  std::unique_ptr<tcp::acceptor> clients_;
  std::map<std::string, std::unique_ptr<scripted_replica>> replicas_;
  /// A gateway that was replaced; its accept loop refers to it.
  std::unique_ptr<gateway> first_gateway_;
  std::unique_ptr<tcp::acceptor> first_clients_;

  void start_gateway(duration_ms max_stream_age = duration_ms{30000},
                     duration_ms drain_notice = duration_ms{2000}) {
    gateway_options options;
    options.selection.max_stream_age = max_stream_age;
    options.selection.drain_notice = drain_notice;
    options.selection.places = routing::topology("z");
    options.headers = test_support::test_names();
    options.plan.wait_fraction = 0.02;
    first_gateway_ = std::move(gateway_);
    first_clients_ = std::move(clients_);
    gateway_ = std::make_unique<gateway>(io_, options, ledger_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, accept_clients(*gateway_, *clients_), asio::detached);
    gateway_->apply_routes(settings());
  }

  static routing::configuration settings() {
    routing::configuration settings;
    settings.version = routing::configuration_version{1};
    for (const char *prefix : {"/stream/", "/once/"}) {
      routing::route route;
      route.name = prefix;
      route.host = "h";
      route.path_prefix = prefix;
      route.kind = routing::request_kind::streaming;
      route.timeout = duration_ms{3000};
      route.services = {{routing::service_id{"s"}, 1}};
      route.max_attempts = 2;
      route.resumable = route.name == "/stream/";
      settings.routes.push_back(route);
    }
    routing::service service;
    service.id = routing::service_id{"s"};
    settings.services = {service};
    return settings;
  }

  void put(const std::string &id, const std::string &version,
           const std::string &address, bool draining = false) {
    gateway_->replicas().put({.id = routing::instance_id{id},
                              .service = routing::service_id{"s"},
                              .address = address,
                              .zone = "z",
                              .version = software_version{version},
                              .slots = 4,
                              .draining = draining});
  }

  void drain(const std::string &id, const std::string &version) {
    put(id, version, replicas_.at(id)->address(), true);
  }

  void wait_for(duration_ms span) {
    asio::steady_timer timer(io_, span);
    test_support::await_result(io_, timer.async_wait(as_result));
  }

  void add_replica(const std::string &id, const std::string &version) {
    auto &replica = replicas_[id];
    replica = std::make_unique<scripted_replica>(io_);
    put(id, version, replica->address());
  }

  void remove_replica(const std::string &id) {
    gateway_->replicas().remove(routing::instance_id{id});
  }

  [[nodiscard]] std::size_t received_by(const std::string &id) {
    return replicas_.at(id)->received.size();
  }

  void script(const std::string &id, scripted answer) {
    replicas_.at(id)->script.push_back(std::move(answer));
  }

  std::optional<http::call_response> ask(const std::string &attempt,
                                         const client_fields &fields = {},
                                         const std::string &path = "/stream/") {
    return test_support::ask_gateway(io_, *clients_, path, attempt, fields);
  }

  static client_fields resuming(const std::string &attempt,
                                const std::string &after = "2") {
    return {{"Resumes", attempt}, {"Last-Event-Id", after}};
  }

  /// Begins a stream at version v1 that breaks after two events at a gateway
  /// which loses its connections to replicas of that version.
  void begin_stream_at_v1(const std::string &attempt) {
    add_replica("old", "v1");
    script("old", broken_events(1, 2));
    script("old", {.bytes = "", .close = true});
    CPPUNIT_ASSERT(!ask(attempt).has_value());
    CPPUNIT_ASSERT(ledger_.origins.at(attempt) == software_version{"v1"});
    replicas_.at("old")->received.clear();
  }

public:
  void setUp() override { start_gateway(); }
  void tearDown() override { io_.stop(); }

  void a_broken_stream_goes_on_at_its_own_version() {
    add_replica("old-1", "v1");
    script("old-1", broken_events(1, 2));
    script("old-1", events(3, 4));
    // Once the stream has begun, replicas of another version appear.
    replicas_.at("old-1")->before_answer = [this] {
      for (const char *id : {"new-1", "new-2", "new-3", "new-4"}) {
        if (!replicas_.contains(id)) {
          add_replica(id, "v2");
          script(id, events(3, 4));
        }
      }
    };
    const auto answer = ask("a");
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4),
                         answer->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received_by("old-1"));
  }

  void a_broken_stream_ends_when_its_version_is_gone() {
    add_replica("old", "v1");
    script("old", broken_events(1, 2));
    replicas_.at("old")->before_answer = [this] {
      remove_replica("old");
      add_replica("new", "v2");
      script("new", events(3, 4));
    };
    const timestamp began = steady_now();
    CPPUNIT_ASSERT(!ask("a").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{500});
  }

  void a_resumed_stream_goes_to_the_version_that_began_it() {
    begin_stream_at_v1("a");
    for (const char *id : {"new-1", "new-2", "new-3"}) {
      add_replica(id, "v2");
    }
    script("old", events(3, 4));
    const auto answer = ask("b", resuming("a"));
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(event(3) + event(4), answer->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_by("old"));
  }

  void each_resumption_names_the_attempt_that_began_the_stream() {
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    script("old", broken_events(3, 3));
    script("old", {.bytes = "", .close = true});
    CPPUNIT_ASSERT(!ask("b", resuming("a")).has_value());
    script("old", events(4, 5));
    const auto answer = ask("c", resuming("a", "3"));
    CPPUNIT_ASSERT_EQUAL(event(4) + event(5), answer->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_resumed_stream_is_refused_at_once_when_its_version_is_gone() {
    begin_stream_at_v1("a");
    remove_replica("old");
    add_replica("new", "v2");
    const timestamp began = steady_now();
    const auto answer = ask("b", resuming("a"));
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT((*answer)["Retry-After"] != "");
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{200});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_stream_of_unknown_version_is_refused_beside_two_versions() {
    add_replica("old", "v1");
    add_replica("new", "v2");
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_stream_of_unknown_version_is_refused_by_a_new_gateway() {
    // Replicas of another version may have left before it listed them.
    add_replica("old", "v1");
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
  }

  void a_stream_of_unknown_version_goes_on_where_one_served_alone() {
    start_gateway(duration_ms{50});
    gateway_->replicas().replace_all({});
    add_replica("old", "v1");
    wait_for(duration_ms{100});
    script("old", events(3, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask("b", resuming("a"))->result_int());
  }

  void a_version_that_has_just_left_may_have_begun_a_stream() {
    start_gateway(duration_ms{300});
    gateway_->replicas().replace_all({});
    add_replica("old", "v1");
    add_replica("new", "v2");
    wait_for(duration_ms{400});
    remove_replica("old");
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    wait_for(duration_ms{400});
    script("new", events(3, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask("c", resuming("a"))->result_int());
  }

  void a_resumed_stream_goes_to_a_replica_that_begins_to_drain() {
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    drain("old", "v1");
    script("old", events(3, 4));
    const auto answer = ask("b", resuming("a"));
    CPPUNIT_ASSERT_EQUAL(event(3) + event(4), answer->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_new_stream_goes_to_no_replica_that_begins_to_drain() {
    add_replica("old", "v1");
    drain("old", "v1");
    CPPUNIT_ASSERT_EQUAL(503U, ask("a")->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
  }

  void a_replica_that_drains_for_long_gets_no_resumed_stream() {
    start_gateway(duration_ms{30000}, duration_ms{200});
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    drain("old", "v1");
    wait_for(duration_ms{110});
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
  }

  void a_replica_that_was_listed_draining_gets_no_resumed_stream() {
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    // How long ago it began to drain is not known.
    remove_replica("old");
    drain("old", "v1");
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
  }

  void a_resumed_stream_waits_for_no_group_that_is_away() {
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    ledger_.verdict = records::turn_verdict::unavailable;
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void the_version_may_change_before_the_first_event() {
    add_replica("old", "v1");
    script("old", {.bytes = refusal});
    replicas_.at("old")->before_answer = [this] {
      add_replica("new", "v2");
      script("new", events(1, 2));
    };
    const auto answer = ask("a");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received_by("new"));
    CPPUNIT_ASSERT(ledger_.origins.at("a") == software_version{"v2"});
  }

  void nothing_is_sent_while_a_change_of_version_is_uncertain() {
    add_replica("old", "v1");
    script("old", {.bytes = refusal});
    script("old", events(1, 2));
    replicas_.at("old")->before_answer = [this] {
      if (!replicas_.contains("new")) {
        add_replica("new", "v2");
        script("new", events(1, 2));
      }
    };
    ledger_.lost_version_replies = 1;
    const auto answer = ask("a");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    // Whoever served it, its version was recorded after the lost reply.
    const bool at_old = received_by("old") == 2;
    CPPUNIT_ASSERT(at_old != (received_by("new") == 1));
    CPPUNIT_ASSERT(ledger_.origins.at("a") ==
                   software_version{at_old ? "v1" : "v2"});
    CPPUNIT_ASSERT_EQUAL(3, ledger_.asked);
  }

  void a_new_stream_is_served_without_the_group() {
    add_replica("old", "v1");
    add_replica("new", "v2");
    script("old", events(1, 2));
    script("new", events(1, 2));
    ledger_.verdict = records::turn_verdict::unavailable;
    CPPUNIT_ASSERT_EQUAL(200U, ask("a")->result_int());
  }

  void a_stream_that_began_without_an_answer_keeps_what_it_asked_for() {
    // The group records the version although its answer came too late, and an
    // attempt that resumes the stream gets that version.
    add_replica("old", "v1");
    add_replica("new", "v2");
    ledger_.verdict = records::turn_verdict::unavailable;
    for (int stream = 0; stream < 20; ++stream) {
      const std::string attempt = "a" + std::to_string(stream);
      const std::size_t before = received_by("old");
      for (const char *id : {"old", "new"}) {
        // Without an idle connection either replica may be chosen.
        scripted answer = events(1, 2);
        answer.close = true;
        replicas_.at(id)->script.assign(1, answer);
      }
      CPPUNIT_ASSERT_EQUAL(200U, ask(attempt)->result_int());
      const bool at_old = received_by("old") > before;
      CPPUNIT_ASSERT(ledger_.origins.at(attempt) ==
                     software_version{at_old ? "v1" : "v2"});
    }
  }

  void a_stream_without_a_named_attempt_goes_on_as_before() {
    add_replica("new", "v2");
    script("new", events(3, 4));
    const auto answer = ask("b", {{"Last-Event-Id", "2"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
  }

  /// Either version may have begun it.
  void a_stream_without_a_named_attempt_is_refused_beside_two_versions() {
    add_replica("old", "v1");
    add_replica("new", "v2");
    const timestamp began = steady_now();
    for (int stream = 0; stream < 4; ++stream) {
      const auto answer = ask("b", {{"Last-Event-Id", "2"}});
      CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    }
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{400});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_stream_without_a_named_attempt_is_refused_after_a_release() {
    add_replica("old", "v1");
    add_replica("new", "v2");
    remove_replica("old");
    const auto answer = ask("b", {{"Last-Event-Id", "2"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
  }

  void a_stream_without_a_named_attempt_keeps_its_recorded_version() {
    begin_stream_at_v1("a");
    add_replica("new", "v2");
    ledger_.continues_unnamed = "a";
    script("old", events(3, 4));
    const auto answer = ask("b", {{"Last-Event-Id", "2"}});
    CPPUNIT_ASSERT_EQUAL(event(3) + event(4), answer->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("new"));
    CPPUNIT_ASSERT(ledger_.requests.back().resumes_unnamed);
  }

  /// A process that stood still has an old list.
  void a_list_that_is_not_current_tells_no_version() {
    start_gateway(duration_ms{50});
    gateway_->replicas().replace_all({});
    add_replica("old", "v1");
    wait_for(duration_ms{100});
    bool is_current = false;
    gateway_->set_replicas_are_current([&is_current] { return is_current; });
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    is_current = true;
    script("old", events(3, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask("c", resuming("a"))->result_int());
  }

  /// A gateway that stood still hears of the replica only that it has left.
  void a_version_that_came_and_left_unseen_may_have_begun_a_stream() {
    start_gateway(duration_ms{300});
    gateway_->replicas().replace_all({});
    add_replica("old", "v1");
    wait_for(duration_ms{400});
    remove_replica("unseen");
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    wait_for(duration_ms{400});
    script("old", events(3, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask("c", resuming("a"))->result_int());
  }

  /// What came and left between two listings shows in neither.
  void a_version_that_left_with_a_missed_listing_may_have_begun_a_stream() {
    start_gateway(duration_ms{300});
    gateway_->replicas().replace_all({});
    add_replica("old", "v1");
    wait_for(duration_ms{400});
    gateway_->replicas().replace_all(
        gateway_->replicas().directory().records());
    CPPUNIT_ASSERT_EQUAL(503U, ask("b", resuming("a"))->result_int());
    wait_for(duration_ms{400});
    script("old", events(3, 4));
    CPPUNIT_ASSERT_EQUAL(200U, ask("c", resuming("a"))->result_int());
  }

  void other_streams_and_calls_record_no_version() {
    add_replica("old", "v1");
    script("old", events(1, 2));
    CPPUNIT_ASSERT_EQUAL(200U, ask("a", {}, "/once/")->result_int());
    CPPUNIT_ASSERT_EQUAL(0, ledger_.asked);
  }

  void another_version_under_the_same_id_is_another_replica() {
    begin_stream_at_v1("a");
    put("old", "v2", replicas_.at("old")->address());
    const auto answer = ask("b", resuming("a"));
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_by("old"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_of_two_versions_test);

} // namespace
} // namespace heathtrestle::forwarding
