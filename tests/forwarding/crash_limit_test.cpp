// Requests under which replicas crash: how often they are sent, what their
// clients are told, and who else is kept away from them.
#include "forwarding/crash_notices.hpp"
#include "forwarding/request_identity.hpp"
#include "support/one_service.hpp"

#include <memory>

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

using test_support::plain;

class crash_limit_test : public test_support::one_service_fixture {
  CPPUNIT_TEST_SUITE(crash_limit_test);
  CPPUNIT_TEST(no_replica_gets_a_request_after_three_have_crashed);
  CPPUNIT_TEST(another_try_of_the_client_is_answered_at_once);
  CPPUNIT_TEST(another_gateway_asks_after_a_notice);
  CPPUNIT_TEST(a_turn_learns_of_crashes_with_its_grant);
  CPPUNIT_TEST(a_request_whose_replica_crashed_by_chance_is_served);
  CPPUNIT_TEST(a_broken_connection_is_no_crash);
  CPPUNIT_TEST(a_request_without_a_crash_reports_nothing);
  CPPUNIT_TEST(nothing_is_sent_while_crashes_cannot_be_counted);
  CPPUNIT_TEST(an_isolated_request_keeps_away_from_another);
  CPPUNIT_TEST(few_replicas_are_taken_by_isolated_requests);
  CPPUNIT_TEST(a_replica_is_free_once_its_isolated_request_has_left);
  CPPUNIT_TEST(of_two_isolated_requests_one_keeps_the_replica);
  CPPUNIT_TEST(the_identity_outlasts_the_attempt);
  CPPUNIT_TEST(the_identity_tells_requests_apart);
  CPPUNIT_TEST(notices_are_bounded_and_expire);
  CPPUNIT_TEST_SUITE_END();

  /// Adds replicas whose process ends under the first request.
  void add_crashing(int count) {
    for (int number = 1; number <= count; ++number) {
      const std::string id = "crashing-" + std::to_string(number);
      add_replica(id, {.bytes = "", .close = true});
      replicas_.at(id)->before_answer = [this, id] {
        replicas_.at(id)->stop_listening();
      };
    }
  }

  static request_identity identity(const std::string &body,
                                   const client_fields &fields) {
    beast_http::request<beast_http::string_body> message(beast_http::verb::post,
                                                         "/go", 11);
    for (const auto &[name, value] : fields) {
      message.set(name, value);
    }
    message.body() = body;
    const header_names names = test_support::test_names();
    return identity_of(interpret(std::move(message), {}, names), names,
                       tenant_id{"t"});
  }

public:
  void setUp() override { start_gateway(); }

  void no_replica_gets_a_request_after_three_have_crashed() {
    add_crashing(6);
    CPPUNIT_ASSERT_EQUAL(502U, ask("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sends());
  }

  void another_try_of_the_client_is_answered_at_once() {
    add_crashing(6);
    ask("a");
    const timestamp began = steady_now();
    CPPUNIT_ASSERT_EQUAL(502U, ask("b"));
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sends());
  }

  void another_gateway_asks_after_a_notice() {
    add_crashing(6);
    ask("a");
    CPPUNIT_ASSERT(!ledger_.notices.empty());
    const std::unique_ptr<gateway> first = std::move(gateway_);
    const std::unique_ptr<tcp::acceptor> first_clients = std::move(clients_);
    start_gateway();
    for (const auto &[id, replica] : replicas_) {
      list(id);
    }
    gateway_->crashes().add(ledger_.notices.front().request, steady_now());
    CPPUNIT_ASSERT_EQUAL(502U, ask("b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sends());
  }

  void a_turn_learns_of_crashes_with_its_grant() {
    const client_fields turn{
        {"Program", "p"}, {"Budget", "100"}, {"Tokens", "1,1"}};
    add_crashing(6);
    ask("a", turn);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sends());
    CPPUNIT_ASSERT(ledger_.crash_reports.front().account == "p");
    ledger_.granted_counts = {
        {.request = ledger_.crash_reports.front().request, .crashed = 3}};
    const std::unique_ptr<gateway> first = std::move(gateway_);
    const std::unique_ptr<tcp::acceptor> first_clients = std::move(clients_);
    start_gateway();
    for (const auto &[id, replica] : replicas_) {
      list(id);
    }
    CPPUNIT_ASSERT_EQUAL(502U, ask("b", turn));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sends());
  }

  void a_request_whose_replica_crashed_by_chance_is_served() {
    add_crashing(1);
    const std::string id = "crashing-1";
    replicas_.at(id)->before_answer = [this, id] {
      replicas_.at(id)->stop_listening();
      add_replica("sound", {.bytes = plain("answer")});
    };
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    wait_for(duration_ms{50});
    // The answer clears it.
    CPPUNIT_ASSERT(ledger_.crash_reports.back().completed);
  }

  void a_broken_connection_is_no_crash() {
    add_replica("r", {.bytes = "", .reset = true});
    replicas_.at("r")->script.push_back({.bytes = "", .reset = true});
    replicas_.at("r")->script.push_back({.bytes = "", .reset = true});
    replicas_.at("r")->script.push_back({.bytes = plain("answer")});
    ask("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger_.crash_reports.size());
    CPPUNIT_ASSERT(sends() > 1);
  }

  void a_request_without_a_crash_reports_nothing() {
    add_replica("r", {.bytes = plain("answer")});
    CPPUNIT_ASSERT_EQUAL(200U, ask("a"));
    CPPUNIT_ASSERT(ledger_.crash_reports.empty());
    CPPUNIT_ASSERT(ledger_.notices.empty());
  }

  void nothing_is_sent_while_crashes_cannot_be_counted() {
    ledger_.no_crash_counts = true;
    add_crashing(3);
    CPPUNIT_ASSERT_EQUAL(502U, ask("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
    // The next try was sent nowhere, and its client may come back.
    CPPUNIT_ASSERT_EQUAL(503U, ask("b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
  }

  void an_isolated_request_keeps_away_from_another() {
    add_replica("busy", {.bytes = plain("answer")});
    add_replica("free", {.bytes = plain("answer")});
    const auto busy =
        gateway_->replicas().directory().find(routing::instance_id{"busy"});
    gateway_->replicas().begin_attempt(busy, true);
    const auto choose = [this](bool isolated) {
      send_step step;
      step.is_isolated = isolated;
      return gateway_->replicas()
          .choose(routing::service_id{"s"}, step, {}, {})
          .target;
    };
    for (int draw = 0; draw < 20; ++draw) {
      for (const bool isolated : {false, true}) {
        CPPUNIT_ASSERT(choose(isolated)->record.id.value() == "free");
      }
    }
    gateway_->replicas().remove(routing::instance_id{"free"});
    CPPUNIT_ASSERT(choose(false) == busy);
    CPPUNIT_ASSERT(choose(true) == nullptr);
    gateway_->replicas().end_attempt(busy, true);
    CPPUNIT_ASSERT(choose(true) == busy);
    gateway_->replicas().on_isolated_elsewhere(busy->load_key,
                                               request_identity{1});
    CPPUNIT_ASSERT(choose(true) == nullptr);
  }

  void few_replicas_are_taken_by_isolated_requests() {
    for (int number = 1; number <= 8; ++number) {
      add_replica("r" + std::to_string(number), {.bytes = plain("answer")});
    }
    const routing::service_id service{"s"};
    const auto &all = gateway_->replicas().directory().replicas_of(service);
    CPPUNIT_ASSERT(gateway_->replicas().can_isolate_more(service));
    gateway_->replicas().begin_attempt(all.at(0), true);
    CPPUNIT_ASSERT(gateway_->replicas().can_isolate_more(service));
    gateway_->replicas().on_isolated_elsewhere(all.at(1)->load_key,
                                               request_identity{1});
    CPPUNIT_ASSERT(!gateway_->replicas().can_isolate_more(service));
    gateway_->replicas().end_attempt(all.at(0), true);
    CPPUNIT_ASSERT(gateway_->replicas().can_isolate_more(service));
  }

  void a_replica_is_free_once_its_isolated_request_has_left() {
    add_replica("r", {.bytes = plain("answer")});
    replica_selector &selector = gateway_->replicas();
    const auto r = selector.directory().find(routing::instance_id{"r"});
    selector.on_isolated_elsewhere(r->load_key, request_identity{1});
    CPPUNIT_ASSERT(r->may_crash(steady_now()));
    selector.on_left_elsewhere(r->load_key, false);
    CPPUNIT_ASSERT(!r->may_crash(steady_now()));
    CPPUNIT_ASSERT(steady_now() >= r->refused_until);
    selector.on_isolated_elsewhere(r->load_key, request_identity{1});
    selector.on_left_elsewhere(r->load_key, true);
    CPPUNIT_ASSERT(steady_now() < r->refused_until);
    CPPUNIT_ASSERT(selector.can_isolate_more(routing::service_id{"s"}));
  }

  void of_two_isolated_requests_one_keeps_the_replica() {
    add_replica("r", {.bytes = plain("answer")});
    replica_selector &selector = gateway_->replicas();
    const auto r = selector.directory().find(routing::instance_id{"r"});
    selector.on_isolated_elsewhere(r->load_key, request_identity{2});
    selector.on_isolated_elsewhere(r->load_key, request_identity{3});
    CPPUNIT_ASSERT(r->isolated_request == request_identity{2});
    selector.on_isolated_elsewhere(r->load_key, request_identity{1});
    CPPUNIT_ASSERT(r->isolated_request == request_identity{1});
  }

  void the_identity_outlasts_the_attempt() {
    const auto first = identity("b", {{"Attempt", "a1"},
                                      {"Deadline", "900"},
                                      {"Program", "p"},
                                      {"Previous", "t"}});
    const auto second = identity("b", {{"Attempt", "a2"},
                                       {"Deadline", "500"},
                                       {"Last-Event-Id", "3"},
                                       {"Resumes", "a1"},
                                       {"Program", "p"},
                                       {"Previous", "t"}});
    CPPUNIT_ASSERT(first == second);
  }

  void the_identity_tells_requests_apart() {
    const auto one = identity("b", {{"Program", "p"}});
    CPPUNIT_ASSERT(one != identity("c", {{"Program", "p"}}));
    CPPUNIT_ASSERT(one != identity("b", {{"Program", "q"}}));
    CPPUNIT_ASSERT(one != identity("b", {{"Program", "p"}, {"Previous", "t"}}));
    CPPUNIT_ASSERT(one != identity("", {{"Program", "pb"}}));
  }

  void notices_are_bounded_and_expire() {
    constexpr std::size_t capacity = 3;
    crash_notices notices(capacity, duration_ms{100});
    const timestamp start = steady_now();
    for (std::uint64_t request = 1; request <= 10; ++request) {
      notices.add(request_identity{request}, start + duration_ms{request});
    }
    CPPUNIT_ASSERT_EQUAL(capacity, notices.size());
    const timestamp now = start + duration_ms{10};
    CPPUNIT_ASSERT(!notices.contains(request_identity{7}, now));
    CPPUNIT_ASSERT(notices.contains(request_identity{8}, now));
    notices.add(request_identity{8}, now); // renewed: the next oldest goes
    notices.add(request_identity{11}, now);
    CPPUNIT_ASSERT(notices.contains(request_identity{8}, now));
    CPPUNIT_ASSERT(!notices.contains(request_identity{9}, now));
    const timestamp later = now + duration_ms{100};
    CPPUNIT_ASSERT(!notices.contains(request_identity{11}, later));
    notices.remove_expired(later);
    CPPUNIT_ASSERT(notices.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_limit_test);

} // namespace
} // namespace heathtrestle::forwarding
