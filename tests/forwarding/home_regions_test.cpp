// Tests requests bound to home regions over loopback sockets: the replicas that
// receive them and the nodes that store their turns.
#include "forwarding/client_session.hpp"
#include "forwarding/gateway.hpp"
#include "http/call_client.hpp"
#include "support/gateway_client.hpp"
#include "support/header_names.hpp"
#include "support/open_ledger.hpp"
#include "support/scripted_replica.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>

namespace heathtrestle::forwarding {
namespace {

using test_support::chunk;
using test_support::event;
using test_support::open_ledger;
using test_support::plain;
using test_support::refusal;
using test_support::scripted_replica;
using test_support::stream_end;
using test_support::stream_head;
using test_support::test_names;

/// Uses two zones in region "a" and one in "b". The home region of all routes
/// is "a".
class home_regions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(home_regions_test);
  CPPUNIT_TEST(a_request_goes_home_from_a_gateway_elsewhere);
  CPPUNIT_TEST(a_lost_request_is_repeated_at_home_only);
  CPPUNIT_TEST(a_refused_request_is_not_offered_elsewhere);
  CPPUNIT_TEST(a_broken_stream_goes_on_at_home_only);
  CPPUNIT_TEST(without_a_replica_at_home_it_is_refused_at_once);
  CPPUNIT_TEST(the_homes_of_the_tenant_bind_too);
  CPPUNIT_TEST(a_turn_is_kept_where_all_storage_is_at_home);
  CPPUNIT_TEST(a_turn_whose_record_would_leave_home_is_not_run);
  CPPUNIT_TEST(storage_that_is_found_with_the_grant_counts);
  CPPUNIT_TEST(storage_that_comes_while_a_turn_runs_gets_nothing);
  CPPUNIT_TEST(a_turn_that_keeps_nothing_may_be_granted_anywhere);
  CPPUNIT_TEST(a_gateway_elsewhere_caches_no_turn);
  CPPUNIT_TEST(a_home_that_moves_empties_the_cache);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  open_ledger ledger_;
  std::unique_ptr<gateway> gateway_;
  std::unique_ptr<tcp::acceptor> clients_;
  std::map<std::string, std::unique_ptr<scripted_replica>> replicas_;

  static routing::route route(const std::string &prefix,
                              routing::request_kind kind) {
    routing::route made;
    made.name = prefix;
    made.host = "h";
    made.path_prefix = prefix;
    made.kind = kind;
    made.timeout = duration_ms{5000};
    made.services = {{routing::service_id{"s"}, 1}};
    made.max_attempts = 2;
    made.home_regions = {"a"};
    return made;
  }

  void start_gateway(const std::string &zone) {
    gateway_options options;
    options.selection.places =
        routing::topology::from_settings(
            {.zone = zone, .zones = {"a1=a", "a2=a", "b1=b"}})
            .value();
    options.headers = test_names();
    options.plan.wait_fraction = 0.1;
    gateway_ = std::make_unique<gateway>(io_, options, ledger_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, accept_clients(*gateway_, *clients_), asio::detached);
    apply_routes(1, {"a"});
  }

  void apply_routes(std::uint64_t version,
                    const std::vector<std::string> &homes_of_kept,
                    std::vector<tenants::tenant> tenants = {}) {
    routing::configuration settings;
    settings.version = routing::configuration_version{version};
    settings.tenants = std::move(tenants);
    settings.routes = {route("/get/", routing::request_kind::idempotent),
                       route("/stream/", routing::request_kind::streaming),
                       route("/kept/", routing::request_kind::streaming)};
    settings.routes[1].resumable = true;
    settings.routes[2].retained = true;
    settings.routes[2].home_regions = homes_of_kept;
    routing::service service;
    service.id = routing::service_id{"s"};
    settings.services = {service};
    gateway_->apply_routes(settings);
  }

  scripted_replica &add_replica(const std::string &zone) {
    auto made = std::make_unique<scripted_replica>(io_);
    gateway_->replicas().put({.id = routing::instance_id{zone},
                              .service = routing::service_id{"s"},
                              .address = made->address(),
                              .zone = zone,
                              .slots = 4});
    return *(replicas_[zone] = std::move(made));
  }

  /// Adds a replica in the home region and one outside that would answer
  /// everything. Returns the former.
  scripted_replica &add_both() {
    scripted_replica &elsewhere = add_replica("b1");
    for (int spare = 0; spare < 4; ++spare) {
      elsewhere.script.push_back({plain("elsewhere")});
    }
    return add_replica("a2");
  }

  std::optional<http::call_response>
  ask(const std::string &target,
      const std::map<std::string, std::string> &fields = {}) {
    return test_support::ask_gateway(io_, *clients_, target, "t1", fields);
  }

  std::optional<http::call_response> ask_turn(const std::string &target) {
    return ask(target, {{"Program", "p"},
                        {"Budget", "100"},
                        {"Tokens", "1,9"},
                        {"Deadline", "10000"}});
  }

  static double retry_after(const http::call_response &answer) {
    const auto value = answer["Retry-After"];
    return value.empty() ? 0
                         : std::stod(std::string(value.data(), value.size()));
  }

  bool counted(const std::string &line) {
    return gateway_->metrics().text().find(line) != std::string::npos;
  }

  /// Checks that no replica received the request and that the answer says so.
  void check_not_run(const std::optional<http::call_response> &answer) {
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    // Replicas at home need at least a second to start.
    CPPUNIT_ASSERT(retry_after(*answer) >= 1);
    for (const auto &[zone, replica] : replicas_) {
      CPPUNIT_ASSERT_MESSAGE(zone, replica->received.empty());
    }
  }

  bool nothing_kept() const {
    return std::all_of(
        ledger_.ends.begin(), ledger_.ends.end(),
        [](const records::turn_end &end) { return end.kept.id.empty(); });
  }

public:
  void tearDown() override { io_.stop(); }

  void a_request_goes_home_from_a_gateway_elsewhere() {
    start_gateway("b1");
    add_both().script.push_back({plain("home")});
    CPPUNIT_ASSERT_EQUAL(std::string("home"), ask("/get/x")->body());
    CPPUNIT_ASSERT(replicas_["b1"]->received.empty());
    CPPUNIT_ASSERT(counted("gateway_sent_total{locality=\"other_region\"} 1"));
  }

  void a_lost_request_is_repeated_at_home_only() {
    start_gateway("a1");
    scripted_replica &home = add_both();
    home.script.push_back({.bytes = "HTTP/1.1 200", .close = true});
    home.script.push_back({plain("home")});
    CPPUNIT_ASSERT_EQUAL(std::string("home"), ask("/get/x")->body());
    CPPUNIT_ASSERT(replicas_["b1"]->received.empty());
    CPPUNIT_ASSERT(counted("gateway_sent_total{locality=\"same_region\"} 2"));
  }

  void a_refused_request_is_not_offered_elsewhere() {
    start_gateway("a1");
    scripted_replica &home = add_both();
    for (int time = 0; time < 100; ++time) {
      home.script.push_back({refusal});
    }
    CPPUNIT_ASSERT_EQUAL(503U, ask("/get/x")->result_int());
    CPPUNIT_ASSERT(replicas_["b1"]->received.empty());
  }

  void a_broken_stream_goes_on_at_home_only() {
    start_gateway("a1");
    scripted_replica &home = add_both();
    home.script.push_back(
        {.bytes = stream_head + chunk(event(1)), .close = true});
    home.script.push_back({stream_head + chunk(event(2)) + stream_end});
    const auto answer = ask("/stream/x");
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), answer->body());
    CPPUNIT_ASSERT(replicas_["b1"]->received.empty());
  }

  void without_a_replica_at_home_it_is_refused_at_once() {
    start_gateway("a1");
    add_replica("b1").script.push_back({plain("elsewhere")});
    const auto began = steady_now();
    check_not_run(ask("/get/x", {{"Deadline", "10000"}}));
    // Without the exclusion the request would wait 0.1 of five seconds.
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{400});
    CPPUNIT_ASSERT(counted("refused_total{cause=\"outside_home\"} 1"));
  }

  void the_homes_of_the_tenant_bind_too() {
    start_gateway("a1");
    tenants::tenant holder{.id = tenant_id{"t"}, .home_regions = {"b"}};
    holder.keys = {tenants::api_key{"k"}};
    apply_routes(2, {"a"}, {holder});
    add_both();
    check_not_run(ask("/get/x", {{"Credential", "Key k"}}));
  }

  void a_turn_is_kept_where_all_storage_is_at_home() {
    start_gateway("a1");
    ledger_.places = {{.node = "s1", .zone = "a1"},
                      {.node = "s2", .zone = "elsewhere", .region = "a"}};
    add_both().script.push_back({stream_head + chunk(event(1)) + stream_end});
    CPPUNIT_ASSERT_EQUAL(200U, ask_turn("/kept/x")->result_int());
    CPPUNIT_ASSERT(!nothing_kept());
    CPPUNIT_ASSERT(gateway_->turns().bytes() > 0);
  }

  void a_turn_whose_record_would_leave_home_is_not_run() {
    start_gateway("a1");
    ledger_.places = {{.node = "s1", .zone = "a1"},
                      {.node = "s2", .zone = "b1"}};
    add_both().script.push_back({stream_head + chunk(event(1)) + stream_end});
    check_not_run(ask_turn("/kept/x"));
    CPPUNIT_ASSERT(ledger_.requests.empty());
    CPPUNIT_ASSERT(counted("refused_total{cause=\"storage_outside_home\"} 1"));
  }

  void storage_that_is_found_with_the_grant_counts() {
    start_gateway("a1");
    ledger_.before_grant = [this] {
      ledger_.places = {{.node = "s2", .zone = "b1"}};
    };
    add_both().script.push_back({stream_head + chunk(event(1)) + stream_end});
    check_not_run(ask_turn("/kept/x"));
    // The grant is settled.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.ends.size());
    CPPUNIT_ASSERT(nothing_kept());
  }

  void storage_that_comes_while_a_turn_runs_gets_nothing() {
    start_gateway("a1");
    ledger_.places = {{.node = "s1", .zone = "a1"}};
    scripted_replica &home = add_both();
    home.before_answer = [this] {
      ledger_.places.push_back({.node = "s2", .zone = "b1"});
    };
    home.script.push_back({stream_head + chunk(event(1)) + stream_end});
    // The client must not regard it as a turn that can be continued.
    CPPUNIT_ASSERT(!ask_turn("/kept/x").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.ends.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ledger_.ends.front().used);
    CPPUNIT_ASSERT(nothing_kept());
  }

  void a_turn_that_keeps_nothing_may_be_granted_anywhere() {
    start_gateway("a1");
    ledger_.places = {{.node = "s2", .zone = "b1"}};
    add_both().script.push_back({stream_head + chunk(event(1)) + stream_end});
    CPPUNIT_ASSERT_EQUAL(200U, ask_turn("/stream/x")->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.requests.size());
    CPPUNIT_ASSERT(nothing_kept());
  }

  void a_gateway_elsewhere_caches_no_turn() {
    start_gateway("b1");
    ledger_.places = {{.node = "s1", .zone = "a1"}};
    add_both().script.push_back({stream_head + chunk(event(1)) + stream_end});
    CPPUNIT_ASSERT_EQUAL(200U, ask_turn("/kept/x")->result_int());
    CPPUNIT_ASSERT(!nothing_kept());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_->turns().bytes());
  }

  void a_home_that_moves_empties_the_cache() {
    start_gateway("a1");
    gateway_->turns().put({.id = "t0", .input = "question"});
    apply_routes(2, {"a"});
    CPPUNIT_ASSERT(gateway_->turns().bytes() > 0);
    apply_routes(3, {"b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_->turns().bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(home_regions_test);

} // namespace
} // namespace heathtrestle::forwarding
