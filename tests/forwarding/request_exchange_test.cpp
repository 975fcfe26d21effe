// Tests complete exchanges over loopback sockets between a client, the gateway
// and replicas with scripted answers.
#include "forwarding/client_session.hpp"
#include "forwarding/gateway.hpp"
#include "http/call_client.hpp"
#include "support/gateway_client.hpp"
#include "support/header_names.hpp"
#include "support/open_ledger.hpp"
#include "support/scripted_replica.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/beast/http/read.hpp>

namespace heathtrestle::forwarding {
namespace {

using test_support::anonymous_refusal;
using test_support::chunk;
using test_support::event;
using test_support::open_ledger;
using test_support::plain;
using test_support::refusal;
using test_support::refusal_of;
using test_support::scripted_replica;
using test_support::stream_end;
using test_support::stream_head;
using test_support::test_names;

class request_exchange_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(request_exchange_test);
  CPPUNIT_TEST(an_answer_is_passed_on_unchanged);
  CPPUNIT_TEST(fields_of_the_gateway_cannot_be_forged);
  CPPUNIT_TEST(an_answer_to_another_request_is_skipped);
  CPPUNIT_TEST(a_success_without_signature_is_rejected);
  CPPUNIT_TEST(a_call_that_broke_off_is_not_sent_again);
  CPPUNIT_TEST(an_idempotent_request_is_sent_again);
  CPPUNIT_TEST(an_unframed_answer_ends_with_its_connection);
  CPPUNIT_TEST(an_unframed_answer_that_is_reset_is_not_whole);
  CPPUNIT_TEST(a_refused_request_goes_to_another_replica);
  CPPUNIT_TEST(a_repeated_refusal_is_not_the_answer_to_the_next_send);
  CPPUNIT_TEST(a_refusal_of_no_named_request_is_no_answer);
  CPPUNIT_TEST(a_request_without_an_id_shares_no_connection);
  CPPUNIT_TEST(repeated_refusals_of_others_do_not_fail_a_request);
  CPPUNIT_TEST(refusal_by_all_replicas_sets_retry_after);
  CPPUNIT_TEST(a_draining_replica_gets_nothing);
  CPPUNIT_TEST(a_stream_resumes_after_its_last_whole_event);
  CPPUNIT_TEST(a_stream_that_must_not_repeat_does_not_look_complete);
  CPPUNIT_TEST(a_turn_is_recorded_before_its_answer_ends);
  CPPUNIT_TEST(a_turn_that_cannot_be_recorded_does_not_look_complete);
  CPPUNIT_TEST(a_turn_goes_to_the_engine_that_caches_its_conversation);
  CPPUNIT_TEST(the_record_of_a_turn_names_its_engine);
  CPPUNIT_TEST(a_missing_or_disabled_location_is_ignored);
  CPPUNIT_TEST(a_location_on_an_earlier_incarnation_is_ignored);
  CPPUNIT_TEST(loads_are_reported_by_incarnation);
  CPPUNIT_TEST(a_call_on_an_ended_incarnation_is_not_resent_to_the_new_one);
  CPPUNIT_TEST(
      a_repeatable_request_on_an_ended_incarnation_goes_to_the_new_one);
  CPPUNIT_TEST(an_idle_connection_to_an_ended_incarnation_is_not_reused);
  CPPUNIT_TEST(a_rejected_entry_takes_its_replica_out_of_use);
  CPPUNIT_TEST(a_rejected_entry_is_counted_until_it_is_valid);
  CPPUNIT_TEST(an_engine_that_peers_report_busy_is_avoided);
  CPPUNIT_TEST(a_gateway_that_is_cut_off_sends_turns_elsewhere);
  CPPUNIT_TEST(urgent_routes_go_first_and_late_programs_last);
  CPPUNIT_TEST(a_request_with_a_spent_budget_is_not_sent);
  CPPUNIT_TEST(a_budget_that_is_only_reserved_is_waited_for);
  CPPUNIT_TEST(a_budget_that_stays_reserved_is_not_called_spent);
  CPPUNIT_TEST(a_grant_is_not_requested_without_time_for_the_reply);
  CPPUNIT_TEST(a_gateway_that_leaves_refuses_new_requests);
  CPPUNIT_TEST(without_routes_the_answer_is_503_not_404);
  CPPUNIT_TEST(a_replica_gets_the_tenant_and_not_the_key);
  CPPUNIT_TEST(a_forged_tenant_is_replaced_on_every_attempt);
  CPPUNIT_TEST(a_missing_or_unknown_key_is_unauthorized);
  CPPUNIT_TEST(an_open_route_needs_no_key);
  CPPUNIT_TEST(without_tenants_nobody_needs_a_key);
  CPPUNIT_TEST(an_unconfirmed_configuration_admits_nobody);
  CPPUNIT_TEST(a_key_revoked_while_the_request_waits_prevents_sending);
  CPPUNIT_TEST(a_key_revoked_while_connecting_prevents_sending);
  CPPUNIT_TEST(a_zone_drained_while_connecting_gets_nothing);
  CPPUNIT_TEST(a_request_that_no_replica_may_serve_is_refused_at_once);
  CPPUNIT_TEST(the_common_exclusion_covers_only_allowed_replicas);
  CPPUNIT_TEST(requests_at_a_replica_that_left_count_for_its_zone);
  CPPUNIT_TEST(a_gateway_that_does_not_know_the_drains_sends_nothing);
  CPPUNIT_TEST(a_broken_stream_does_not_resume_in_a_drained_zone);
  CPPUNIT_TEST(a_cold_replica_gets_nothing_without_an_admission);
  CPPUNIT_TEST(with_cold_replicas_only_a_request_is_refused_at_once);
  CPPUNIT_TEST(a_replica_that_turns_cold_while_connecting_gets_nothing);
  CPPUNIT_TEST(without_limits_a_cold_replica_is_treated_as_warm);
  CPPUNIT_TEST(
      a_configuration_that_expires_while_a_request_waits_prevents_sending);
  CPPUNIT_TEST(turns_of_one_tenant_are_invisible_to_another);
  CPPUNIT_TEST(a_tenant_over_its_quota_gets_retry_after);
  CPPUNIT_TEST(each_attempt_counts_against_the_quota);
  CPPUNIT_TEST(a_tenant_without_quota_needs_no_permit);
  CPPUNIT_TEST(a_request_without_an_available_permit_is_refused);
  CPPUNIT_TEST(an_expired_permit_is_requested_again);
  CPPUNIT_TEST(a_refused_attempt_keeps_its_permit);
  CPPUNIT_TEST(without_a_second_permit_there_is_no_second_attempt);
  CPPUNIT_TEST(the_tenant_priority_overrides_the_route_priority);
  CPPUNIT_TEST_SUITE_END();

  static constexpr balance::slow_start_limits slow_start_limits{
      .overshoot = 1.5, .slack = 5};

  asio::io_context io_;
  open_ledger ledger_;
  std::unique_ptr<gateway> gateway_;
  std::unique_ptr<tcp::acceptor> clients_;
  std::vector<std::unique_ptr<scripted_replica>> replicas_;
  std::uint64_t born_ms_ = 100;
  std::unique_ptr<gateway> first_gateway_;
  std::unique_ptr<tcp::acceptor> first_clients_;

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
    return made;
  }

  /// Replaces the gateway that clients reach. The previous one is kept until
  /// the end of the test, because its accept loop refers to it.
  void serve_with(const gateway_options &options) {
    first_gateway_ = std::move(gateway_);
    first_clients_ = std::move(clients_);
    gateway_ = std::make_unique<gateway>(io_, options, ledger_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, accept_clients(*gateway_, *clients_), asio::detached);
  }

  void start_gateway(const balance::slow_start_limits &limits) {
    gateway_options options;
    options.selection.places = routing::topology("z");
    options.selection.slow_start = limits;
    options.headers = test_names();
    options.plan.wait_fraction = 0.02;
    serve_with(options);
    apply_routes();
  }

  void add_replica(const std::string &id, bool draining = false) {
    replicas_.push_back(std::make_unique<scripted_replica>(io_));
    gateway_->replicas().put({.id = routing::instance_id{id},
                              .service = routing::service_id{"s"},
                              .address = replicas_.back()->address(),
                              .zone = "z",
                              .slots = 4,
                              .draining = draining});
  }

  [[nodiscard]] routing::instance_ptr listed(const std::string &id) const {
    return gateway_->replicas().directory().find(routing::instance_id{id});
  }

  void begin_attempts(const routing::instance_ptr &target, int count) {
    for (int begun = 0; begun < count; ++begun) {
      gateway_->replicas().begin_attempt(target);
    }
  }

  /// The requests of other gateways that were reported at a replica.
  [[nodiscard]] double reported_at(const std::string &id) const {
    return gateway_->replicas().load_by_others(*listed(id)).running;
  }

  /// Registers a new incarnation of the replica under the same id.
  void restart_replica(const std::string &id, std::uint64_t born_ms) {
    routing::instance_record record = listed(id)->record;
    record.born_ms = born_ms;
    gateway_->replicas().put(record);
  }

  /// Rewrites the replica's entry with a remaining warm-up time.
  void turn_cold(const std::string &id, duration_ms span) {
    const routing::instance_id which{id};
    routing::instance_record record =
        gateway_->replicas().directory().all().at(which)->record;
    record.cold_for = span;
    gateway_->replicas().put(std::move(record));
  }

  void apply_routes(std::uint64_t version = 1,
                    std::vector<tenants::tenant> tenants = {}) {
    routing::configuration settings;
    settings.version = routing::configuration_version{version};
    settings.tenants = std::move(tenants);
    settings.routes = {
        route("/call/", routing::request_kind::non_idempotent),
        route("/get/", routing::request_kind::idempotent),
        route("/stream/", routing::request_kind::streaming),
        route("/once/", routing::request_kind::streaming),
        route("/kept/", routing::request_kind::streaming),
        route("/open/", routing::request_kind::non_idempotent),
    };
    settings.routes[5].open = true;
    settings.routes[2].resumable = true;
    settings.routes[3].priority = 2;
    settings.routes[4].retained = true;
    routing::service service;
    service.id = routing::service_id{"s"};
    service.engine = routing::engine_profile{.slots = 4, .tokens_per_event = 5};
    service.slow_start = routing::slow_start_profile{
        .duration = duration_ms{3000}, .requests_per_second = 4};
    settings.services = {service};
    gateway_->apply_routes(settings);
  }

  std::optional<http::call_response>
  ask(const std::string &target,
      const std::map<std::string, std::string> &fields = {}) {
    return test_support::ask_gateway(io_, *clients_, target, "a1", fields);
  }

  static std::string field_of(const http::call_response &answer,
                              const std::string &name) {
    const auto value = answer[name];
    return {value.data(), value.size()};
  }

  /// The number of requests counted against the quotas of tenants.
  [[nodiscard]] std::size_t counted_requests() const {
    return static_cast<std::size_t>(ledger_.permits_asked);
  }

public:
  void setUp() override {
    start_gateway(slow_start_limits);
    add_replica("r1");
  }
  void tearDown() override { io_.stop(); }

  void an_answer_is_passed_on_unchanged() {
    replicas_[0]->script.push_back({plain("hello")});
    const auto answer = ask("/call/x?y=1");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer->body());
    CPPUNIT_ASSERT_EQUAL(std::string("s"), field_of(*answer, "Signature"));
    const auto &got = replicas_[0]->received.at(0);
    CPPUNIT_ASSERT(got.target() == "/call/x?y=1");
    CPPUNIT_ASSERT_EQUAL(std::string("question"), got.body());
    CPPUNIT_ASSERT(got["Expect"] == "r1");
  }

  void fields_of_the_gateway_cannot_be_forged() {
    replicas_[0]->script.push_back({plain("hello")});
    ask("/call/x", {{"Expect", "another"}, {"X-Mine", "stays"}});
    const auto &got = replicas_[0]->received.at(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.count("Expect"));
    CPPUNIT_ASSERT(got["Expect"] == "r1");
    CPPUNIT_ASSERT(got["X-Mine"] == "stays");
  }

  void an_answer_to_another_request_is_skipped() {
    replicas_[0]->script.push_back({plain("late", "a0") + plain("own")});
    CPPUNIT_ASSERT_EQUAL(std::string("own"), ask("/call/x")->body());
  }

  void a_success_without_signature_is_rejected() {
    replicas_[0]->script.push_back(
        {"HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 2\r\n\r\nno"});
    CPPUNIT_ASSERT_EQUAL(502U, ask("/call/x")->result_int());
  }

  void a_call_that_broke_off_is_not_sent_again() {
    add_replica("r2");
    const std::string whole = plain("hello");
    for (const auto &replica : replicas_) {
      replica->script.push_back(
          {.bytes = whole.substr(0, whole.size() - 2), .close = true});
    }
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    CPPUNIT_ASSERT(field_of(*answer, "Signature").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size() +
                                             replicas_[1]->received.size());
  }

  void an_idempotent_request_is_sent_again() {
    add_replica("r2");
    for (const auto &replica : replicas_) {
      replica->script.push_back({.bytes = "HTTP/1.1 20", .close = true});
      replica->script.push_back({plain("hello")});
    }
    // Both replicas fail once, then one of them succeeds.
    const auto answer = ask("/get/x");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
  }

  void an_unframed_answer_ends_with_its_connection() {
    replicas_[0]->script.push_back(
        {.bytes = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\nall",
         .close = true});
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::string("all"), answer->body());
  }

  void an_unframed_answer_that_is_reset_is_not_whole() {
    replicas_[0]->script.push_back(
        {.bytes = "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n\r\nal",
         .reset = true});
    CPPUNIT_ASSERT_EQUAL(502U, ask("/call/x")->result_int());
  }

  void a_refused_request_goes_to_another_replica() {
    add_replica("r2");
    replicas_[0]->script.assign({{refusal}, {plain("one")}});
    replicas_[1]->script.assign({{plain("two")}});
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
  }

  /// A replica may repeat its refusal late. On the same connection that would
  /// come where the answer to the next send of the request is due.
  void a_repeated_refusal_is_not_the_answer_to_the_next_send() {
    const std::string stream = stream_head + chunk(event(1)) + stream_end;
    const std::vector<std::pair<std::string, std::string>> requests{
        {"/call/x", plain("one")},
        {"/get/x", plain("one")},
        {"/stream/x", stream}};
    scripted_replica &replica = *replicas_[0];
    for (const auto &[path, answer] : requests) {
      replica.received_on.clear();
      replica.script.assign({{refusal}, {refusal}, {answer}});
      CPPUNIT_ASSERT_EQUAL(200U, ask(path)->result_int());
      const std::set<std::size_t> used(replica.received_on.begin(),
                                       replica.received_on.end());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t{3}, used.size());
    }
    // The connections are used by other requests.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, replica.connections());
  }

  /// Taken for an answer, it would refuse a request that runs.
  void a_refusal_of_no_named_request_is_no_answer() {
    replicas_[0]->script.assign({{anonymous_refusal + plain("own")}});
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size());
  }

  void a_request_without_an_id_shares_no_connection() {
    replicas_[0]->script.assign({{plain("1")}, {plain("2")}, {plain("3")}});
    CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x")->result_int());
    CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x", {{"Attempt", ""}})->result_int());
    CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x")->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replicas_[0]->received_on.at(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received_on.at(1));
  }

  void repeated_refusals_of_others_do_not_fail_a_request() {
    std::string copies;
    for (int copy = 0; copy < 40; ++copy) {
      copies += refusal_of("a0");
    }
    replicas_[0]->script.assign({{copies + plain("1")}, {plain("2")}});
    CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x")->result_int());
    CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x")->result_int());
    // More of them may follow, so the connection is not used again.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replicas_[0]->connections());
  }

  void refusal_by_all_replicas_sets_retry_after() {
    for (int time = 0; time < 100; ++time) {
      replicas_[0]->script.push_back({refusal});
    }
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
  }

  void a_draining_replica_gets_nothing() {
    add_replica("r2", true);
    replicas_[0]->script.assign({{plain("1")}, {plain("2")}, {plain("3")}});
    for (int time = 0; time < 3; ++time) {
      CPPUNIT_ASSERT_EQUAL(200U, ask("/call/x")->result_int());
    }
    CPPUNIT_ASSERT(replicas_[1]->received.empty());
  }

  void a_stream_resumes_after_its_last_whole_event() {
    replicas_[0]->script.push_back({.bytes = stream_head + chunk(event(1)) +
                                             chunk(event(2)) +
                                             chunk("id: 3\nda"),
                                    .close = true});
    // The resumed stream repeats an event that the client already has.
    replicas_[0]->script.push_back({stream_head + chunk(event(2)) +
                                    chunk(event(3)) + chunk(event(4)) +
                                    stream_end});
    const auto answer = ask("/stream/x");
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4),
                         answer->body());
    CPPUNIT_ASSERT(replicas_[0]->received.at(1)["Last-Event-Id"] == "2");
  }

  void a_stream_that_must_not_repeat_does_not_look_complete() {
    replicas_[0]->script.push_back(
        {.bytes = stream_head + chunk(event(1)), .close = true});
    CPPUNIT_ASSERT(!ask("/once/x").has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size());
  }

  void a_turn_is_recorded_before_its_answer_ends() {
    replicas_[0]->script.push_back(
        {stream_head + chunk(event(1)) + chunk(event(2)) + stream_end});
    const auto answer = ask(
        "/kept/x", {{"Program", "p"}, {"Budget", "100"}, {"Tokens", "1,9"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger_.ends.size());
    const records::turn_end &end = ledger_.ends.front();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, end.used);
    CPPUNIT_ASSERT_EQUAL(std::string("question"), end.kept.input);
    CPPUNIT_ASSERT_EQUAL(std::string("d1\nd2\n"), end.kept.output);
  }

  void a_turn_that_cannot_be_recorded_does_not_look_complete() {
    ledger_.records_ends = false;
    replicas_[0]->script.push_back(
        {stream_head + chunk(event(1)) + stream_end});
    CPPUNIT_ASSERT(
        !ask("/kept/x",
             {{"Program", "p"}, {"Budget", "100"}, {"Tokens", "1,9"}})
             .has_value());
  }

  /// Sends turns that declare a prompt of 5,000 tokens.
  void ask_turns(int count) {
    for (int turn = 0; turn < count; ++turn) {
      const auto answer = ask("/kept/x", {{"Parts", "a:2000,b:3000"},
                                          {"Previous", "t0"},
                                          {"Program", "p"},
                                          {"Budget", "1000"},
                                          {"Tokens", "5000,10"}});
      CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    }
  }

  void script_turns(int count) {
    for (const auto &replica : replicas_) {
      for (int turn = 0; turn < count; ++turn) {
        replica->script.push_back({stream_head + chunk(event(1)) + stream_end});
      }
    }
  }

  void a_turn_goes_to_the_engine_that_caches_its_conversation() {
    // The gateway has no cached view of the conversation.
    add_replica("r2");
    add_replica("r3");
    script_turns(1);
    ledger_.previous_place = {.instance = "r2", .tokens = 4500};
    ask_turns(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[1]->received.size());
  }

  void the_record_of_a_turn_names_its_engine() {
    script_turns(1);
    ask_turns(1);
    const records::turn_place &place = ledger_.ends.at(0).kept.place;
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), place.instance);
    // The prompt, and one event of five tokens.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5005}, place.tokens);
  }

  void a_missing_or_disabled_location_is_ignored() {
    script_turns(2);
    ledger_.previous_place = {.instance = "gone", .tokens = 4500};
    ask_turns(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size());
    const balance::prompt_part part{.id = 0xa, .tokens = 2000};
    gateway_->replicas().learn_prefix_location(
        {.instance = "r1", .tokens = 100}, {part});
    const auto &known =
        gateway_->replicas().directory().replicas_of(routing::service_id{"s"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         known.at(0)->prefixes.missing_tokens({part}));
    gateway_options options = gateway_->options();
    options.selection.policies.turn_places = false;
    gateway without(io_, options, ledger_);
    without.replicas().put(known.at(0)->record);
    without.replicas().learn_prefix_location({.instance = "r1", .tokens = 2000},
                                             {part});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000},
                         without.replicas()
                             .directory()
                             .replicas_of(routing::service_id{"s"})
                             .at(0)
                             ->prefixes.missing_tokens({part}));
  }

  void a_location_on_an_earlier_incarnation_is_ignored() {
    const balance::prompt_part part{.id = 0xa, .tokens = 2000};
    const auto missing_after = [&](const std::string &place) {
      restart_replica("r1", ++born_ms_);
      gateway_->replicas().learn_prefix_location(
          {.instance = place, .tokens = 2000}, {part});
      return listed("r1")->prefixes.missing_tokens({part});
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, missing_after("r1@100"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, missing_after("r1@102"));
    // A record that names the id without the incarnation.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, missing_after("r1"));
    script_turns(1);
    ask_turns(1);
    CPPUNIT_ASSERT_EQUAL(std::string("r1@103"),
                         ledger_.ends.at(0).kept.place.instance);
  }

  void loads_are_reported_by_incarnation() {
    restart_replica("r1", 100);
    script_turns(1);
    ask_turns(1); // makes the selector treat it as an engine
    begin_attempts(listed("r1"), 3);
    wire::SharedLoads shared;
    *shared.mutable_others() = gateway_->replicas().engine_loads();
    gateway_->replicas().apply_shared_loads(shared);
    CPPUNIT_ASSERT_EQUAL(3.0, reported_at("r1"));
    restart_replica("r1", 200);
    gateway_->replicas().apply_shared_loads(shared);
    CPPUNIT_ASSERT_EQUAL(0.0, reported_at("r1"));
  }

  /// Restarts r1 while it has a request.
  void restart_during_request() {
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
          asio::steady_timer timer(io_);
          while (replicas_[0]->received.empty()) {
            timer.expires_after(duration_ms{1});
            co_await timer.async_wait(as_result);
          }
          restart_replica("r1", 200);
        },
        asio::detached);
  }

  void a_call_on_an_ended_incarnation_is_not_resent_to_the_new_one() {
    // The replica's machine fails without closing the connection; only the
    // entry of its next incarnation shows that the call will not be answered.
    restart_replica("r1", 100);
    replicas_[0]->script.push_back({.bytes = ""});
    restart_during_request();
    const timestamp asked = steady_now();
    CPPUNIT_ASSERT_EQUAL(502U, ask("/call/x")->result_int());
    CPPUNIT_ASSERT(steady_now() - asked < duration_ms{2500});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size());
  }

  void a_repeatable_request_on_an_ended_incarnation_goes_to_the_new_one() {
    restart_replica("r1", 100);
    replicas_[0]->script.push_back({.bytes = ""});
    replicas_[0]->script.push_back({plain("hello")});
    restart_during_request();
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), ask("/get/x")->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replicas_[0]->received.size());
  }

  void an_idle_connection_to_an_ended_incarnation_is_not_reused() {
    restart_replica("r1", 100);
    replicas_[0]->script.push_back({plain("hello")});
    ask("/call/x");
    CPPUNIT_ASSERT(
        gateway_->pool().has_idle(listed("r1")->record.start(), steady_now()));
    restart_replica("r1", 200);
    replicas_[0]->script.push_back({plain("hello")});
    ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, gateway_->pool().opened());
  }

  void a_rejected_entry_takes_its_replica_out_of_use() {
    add_replica("r2");
    gateway_->replicas().reject(routing::instance_id{"r1"}, "no zone");
    replicas_[1]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), ask("/call/x")->body());
    CPPUNIT_ASSERT(listed("r1") == nullptr);
  }

  void a_rejected_entry_is_counted_until_it_is_valid() {
    const auto sound = listed("r1")->record;
    const std::vector<routing::rejected_entry> odd{{"x", "no zone"}};
    gateway_->replicas().replace_all({sound}, odd);
    gateway_->replicas().replace_all({sound}, odd);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         gateway_->replicas().rejected_entries());
    CPPUNIT_ASSERT(listed("r1") != nullptr);
    gateway_->replicas().replace_all({sound});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         gateway_->replicas().rejected_entries());
  }

  void an_engine_that_peers_report_busy_is_avoided() {
    // Other gateways report many requests at two of three engines.
    add_replica("r2");
    add_replica("r3");
    script_turns(1);
    wire::SharedLoads shared;
    shared.set_gateways(8);
    for (const char *busy : {"r1", "r2"}) {
      shared.mutable_others()->add_replicas(
          static_cast<std::uint32_t>(stable_hash(std::string_view(busy))));
      shared.mutable_others()->add_running(40);
    }
    gateway_->replicas().apply_shared_loads(shared);
    ask_turns(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[2]->received.size());
  }

  void a_gateway_that_is_cut_off_sends_turns_elsewhere() {
    CPPUNIT_ASSERT(gateway_->ready());
    ledger_.verdict = records::turn_verdict::unavailable;
    ledger_.is_cut_off = true;
    CPPUNIT_ASSERT(!gateway_->ready());
    const auto refused = ask("/stream/x", {{"Program", "p"}, {"Budget", "9"}});
    CPPUNIT_ASSERT_EQUAL(503U, refused->result_int());
    CPPUNIT_ASSERT_EQUAL(std::string("0.020"),
                         field_of(*refused, "Retry-After"));
    CPPUNIT_ASSERT(!refused->keep_alive());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
    // A request that needs no grant is served, but its connection is closed.
    replicas_[0]->script.push_back({plain("hello")});
    const auto served = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(200U, served->result_int());
    CPPUNIT_ASSERT(!served->keep_alive());
  }

  void urgent_routes_go_first_and_late_programs_last() {
    script_turns(3);
    ask("/kept/x");
    ask("/once/x");
    ask("/kept/x", {{"Program-Deadline", "-5"}});
    const auto &got = replicas_[0]->received;
    const auto rank = [&got](std::size_t place) {
      const auto value = got.at(place)["Priority"];
      return std::stoi(std::string(value.data(), value.size()));
    };
    CPPUNIT_ASSERT(rank(0) < rank(1));
    CPPUNIT_ASSERT(rank(1) < rank(2));
  }

  void a_request_with_a_spent_budget_is_not_sent() {
    ledger_.verdict = records::turn_verdict::budget_spent;
    const auto answer = ask("/stream/x", {{"Program", "p"}, {"Budget", "1"}});
    CPPUNIT_ASSERT_EQUAL(402U, answer->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
    CPPUNIT_ASSERT(ledger_.ends.empty());
  }

  void a_budget_that_is_only_reserved_is_waited_for() {
    // Attempts that were not executed hold reservations until their end is
    // recorded.
    ledger_.refused_for_reservations = 2;
    replicas_[0]->script = {
        {stream_head + chunk(event(1)) + stream_end, false, false}};
    const auto answer = ask("/stream/x", {{"Program", "p"}, {"Budget", "9"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(3, ledger_.asked);
  }

  void a_budget_that_stays_reserved_is_not_called_spent() {
    ledger_.refused_for_reservations = 1000;
    const auto answer = ask(
        "/stream/x", {{"Program", "p"}, {"Budget", "9"}, {"Deadline", "400"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
    // Waiting does not help once the settled tokens alone exceed the budget.
    ledger_.spent = 10;
    CPPUNIT_ASSERT_EQUAL(
        402U,
        ask("/stream/x", {{"Program", "p"}, {"Budget", "9"}})->result_int());
  }

  /// A grant that comes too late for its turn reserves tokens that nobody uses,
  /// and the turn is refused as if the record group had not answered.
  void a_grant_is_not_requested_without_time_for_the_reply() {
    ledger_.refused_for_reservations = 1000;
    const auto answer = ask(
        "/stream/x", {{"Program", "p"}, {"Budget", "9"}, {"Deadline", "1375"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(ledger_.reply_times.size() > 1);
    for (const duration_ms each : ledger_.reply_times) {
      CPPUNIT_ASSERT(each > duration_ms{100});
    }
  }

  void a_gateway_that_leaves_refuses_new_requests() {
    gateway_->begin_drain();
    gateway_->refuse_new_requests();
    const auto answer = ask("/call/x");
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    CPPUNIT_ASSERT(!answer->keep_alive());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  void without_routes_the_answer_is_503_not_404() {
    CPPUNIT_ASSERT_EQUAL(404U, ask("/nowhere/")->result_int());
    gateway fresh(io_, gateway_->options(), ledger_);
    const auto known = std::move(clients_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, accept_clients(fresh, *clients_), asio::detached);
    CPPUNIT_ASSERT_EQUAL(503U, ask("/nowhere/")->result_int());
    // The session refers to the gateway, so wait until the session ends.
    while (!fresh.idle()) {
      io_.run_one();
    }
  }

  static tenants::tenant holder(const std::string &name,
                                const std::string &key) {
    tenants::tenant made;
    made.id = tenant_id{name};
    made.keys.emplace_back(key);
    return made;
  }

  /// Applies a configuration with the tenants "a" and "b" and the keys "ka" and
  /// "kb".
  void apply_tenants() {
    apply_routes(2, {holder("a", "ka"), holder("b", "kb")});
  }

  /// Starts a gateway whose configuration must have been confirmed recently.
  void require_fresh_configuration(duration_ms revocation) {
    gateway_options options;
    options.selection.places = routing::topology("z");
    options.headers = test_names();
    options.tenants.key_revocation = revocation;
    serve_with(options);
    replicas_.clear();
    add_replica("r1");
    apply_tenants();
  }

  void a_replica_gets_the_tenant_and_not_the_key() {
    apply_tenants();
    replicas_[0]->script.push_back({plain("hello")});
    const auto answer = ask("/call/x", {{"Credential", "Key ka"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    const auto &got = replicas_[0]->received.at(0);
    CPPUNIT_ASSERT(got["Tenant"] == "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, got.count("Credential"));
  }

  void a_forged_tenant_is_replaced_on_every_attempt() {
    apply_tenants();
    add_replica("r2");
    for (const auto &replica : replicas_) {
      replica->script.push_back({refusal});
      replica->script.push_back({plain("hello")});
    }
    const auto answer =
        ask("/call/x", {{"Credential", "key kb"}, {"Tenant", "a"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    std::size_t seen = 0;
    for (const auto &replica : replicas_) {
      for (const auto &got : replica->received) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.count("Tenant"));
        CPPUNIT_ASSERT(got["Tenant"] == "b");
        ++seen;
      }
    }
    CPPUNIT_ASSERT(seen >= 2);
  }

  void a_missing_or_unknown_key_is_unauthorized() {
    apply_tenants();
    CPPUNIT_ASSERT_EQUAL(401U, ask("/call/x")->result_int());
    for (const char *field : {"Key nobody", "ka", "Key ka kb", "Basic ka"}) {
      const auto answer = ask("/call/x", {{"Credential", field}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 401U, answer->result_int());
      CPPUNIT_ASSERT(!field_of(*answer, "WWW-Authenticate").empty());
    }
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  void an_open_route_needs_no_key() {
    apply_tenants();
    replicas_[0]->script.push_back({plain("hello")});
    const auto answer = ask("/open/x", {{"Tenant", "a"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         replicas_[0]->received.at(0).count("Tenant"));
  }

  void without_tenants_nobody_needs_a_key() {
    replicas_[0]->script.push_back({plain("hello")});
    const auto answer = ask("/call/x", {{"Credential", "Basic mine"}});
    CPPUNIT_ASSERT_EQUAL(200U, answer->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.at(0)["Credential"] == "Basic mine");
  }

  void an_unconfirmed_configuration_admits_nobody() {
    require_fresh_configuration(duration_ms{5000});
    CPPUNIT_ASSERT(!gateway_->ready());
    const auto answer = ask("/call/x", {{"Credential", "Key ka"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    CPPUNIT_ASSERT(!answer->keep_alive());
    // With a stale configuration an unknown key is not rejected as unknown
    // either.
    CPPUNIT_ASSERT_EQUAL(
        503U, ask("/call/x", {{"Credential", "Key kc"}})->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());

    gateway_->confirm_configuration(steady_now());
    CPPUNIT_ASSERT(gateway_->ready());
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(
        200U, ask("/call/x", {{"Credential", "Key ka"}})->result_int());
  }

  void a_key_revoked_while_the_request_waits_prevents_sending() {
    apply_tenants();
    ledger_.before_grant = [this] { apply_routes(3, {holder("b", "kb")}); };
    const auto answer =
        ask("/stream/x",
            {{"Credential", "Key ka"}, {"Program", "p"}, {"Budget", "100"}});
    CPPUNIT_ASSERT_EQUAL(401U, answer->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  /// A replica with a full accept queue. A connection to it completes only when
  /// the client retransmits after `release`, about a second later.
  class busy_listener {
  public:
    explicit busy_listener(asio::io_context &io)
        : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
      acceptor_.listen(0);
      tcp::socket filler(io);
      filler.connect(acceptor_.local_endpoint());
      fillers_.push_back(std::move(filler));
    }
    std::string address() {
      return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    void release(std::vector<tcp::socket> &accepted) {
      while (accepted.size() < 2) {
        accepted.push_back(acceptor_.accept());
      }
    }

  private:
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> fillers_;
  };

  /// Sends a request while the connection to the only replica is slow to
  /// complete.
  /// @param meanwhile is called before it completes.
  /// @return the status, and whether the replica received a byte.
  std::pair<std::uint32_t, bool>
  ask_over_slow_connection(const std::map<std::string, std::string> &fields,
                           const std::function<void()> &meanwhile) {
    gateway_options options = gateway_->options();
    options.pool.connect_timeout = duration_ms{4000};
    serve_with(options);
    apply_tenants();
    busy_listener replica(io_);
    gateway_->replicas().put({.id = routing::instance_id{"slow"},
                              .service = routing::service_id{"s"},
                              .address = replica.address(),
                              .zone = "z",
                              .slots = 4});
    std::vector<tcp::socket> accepted;
    asio::steady_timer timer(io_, duration_ms{200});
    timer.async_wait([&](boost::system::error_code) {
      meanwhile();
      replica.release(accepted);
    });
    const auto answer = ask("/call/x", fields);
    const bool sent = accepted.size() == 2 && accepted.back().available() > 0;
    return {answer ? answer->result_int() : 0, sent};
  }

  void a_key_revoked_while_connecting_prevents_sending() {
    const auto [status, sent] = ask_over_slow_connection(
        {{"Credential", "Key ka"}, {"Deadline", "3000"}},
        [this] { apply_routes(3, {holder("b", "kb")}); });
    CPPUNIT_ASSERT(!sent);
    CPPUNIT_ASSERT_EQUAL(401U, status);
  }

  void a_zone_drained_while_connecting_gets_nothing() {
    const auto [status, sent] = ask_over_slow_connection(
        {{"Credential", "Key ka"}, {"Deadline", "3000"}},
        [this] { gateway_->replicas().drains().put("z", steady_now()); });
    CPPUNIT_ASSERT(!sent);
    CPPUNIT_ASSERT_EQUAL(503U, status);
  }

  void the_common_exclusion_covers_only_allowed_replicas() {
    routing::instance_record elsewhere = listed("r1")->record;
    elsewhere.id = routing::instance_id{"r2"};
    elsewhere.zone = "y";
    gateway_->replicas().put(elsewhere);
    gateway_->replicas().drains().put("z", steady_now());
    const client_request request;
    const placement any =
        gateway_->replicas().choose(routing::service_id{"s"}, {}, request, {});
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), any.target->record.id.value());
    const placement only = gateway_->replicas().choose(
        routing::service_id{"s"}, {.only = {listed("r1")->record.start()}},
        request, {});
    CPPUNIT_ASSERT(only.target == nullptr);
    CPPUNIT_ASSERT(only.excluded_by == routing::exclusion::zone_drained);
  }

  void requests_at_a_replica_that_left_count_for_its_zone() {
    const routing::instance_ptr left = listed("r1");
    begin_attempts(left, 2);
    gateway_->replicas().remove(left->record.id);
    CPPUNIT_ASSERT_EQUAL(2U, gateway_->replicas().running_in("z"));
    gateway_->replicas().end_attempt(left);
    gateway_->replicas().end_attempt(left);
    CPPUNIT_ASSERT_EQUAL(0U, gateway_->replicas().running_in("z"));
  }

  void a_request_that_no_replica_may_serve_is_refused_at_once() {
    add_replica("r2");
    gateway_->replicas().drains().put("z", steady_now());
    const auto began = steady_now();
    const auto answer = ask("/get/x", {{"Deadline", "10000"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    // Without the exclusion the request would wait 0.02 of ten seconds.
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{150});
    for (const auto &replica : replicas_) {
      CPPUNIT_ASSERT(replica->received.empty());
    }
    gateway_->replicas().drains().remove("z", steady_now());
    for (const auto &replica : replicas_) {
      replica->script.push_back({plain("hello")});
    }
    CPPUNIT_ASSERT_EQUAL(200U, ask("/get/x")->result_int());
  }

  /// Starts a gateway whose zones may be drained.
  void start_with_zone_drains() {
    gateway_options options = gateway_->options();
    // Long enough that no conversation leaves the zone during a test.
    options.selection.zone_drain = duration_ms{600000};
    serve_with(options);
    apply_routes();
    replicas_.clear();
    add_replica("r1");
  }

  void a_gateway_that_does_not_know_the_drains_sends_nothing() {
    start_with_zone_drains();
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT(!gateway_->ready());
    CPPUNIT_ASSERT_EQUAL(503U,
                         ask("/get/x", {{"Deadline", "3000"}})->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
    gateway_->replicas().drains().set_known();
    CPPUNIT_ASSERT(gateway_->ready());
    CPPUNIT_ASSERT_EQUAL(200U, ask("/get/x")->result_int());
  }

  void a_broken_stream_does_not_resume_in_a_drained_zone() {
    start_with_zone_drains();
    routing::zone_drains &drains = gateway_->replicas().drains();
    drains.set_known();
    drains.confirm(steady_now());
    // The drain has just begun, so this conversation may still use the zone.
    drains.put("z", steady_now());
    replicas_[0]->script.push_back(
        {.bytes = stream_head + chunk(event(1)), .close = true});
    replicas_[0]->script.push_back(
        {stream_head + chunk(event(2)) + stream_end});
    CPPUNIT_ASSERT(!ask("/stream/x", {{"Program", "p"},
                                      {"Parts", "a:2000"},
                                      {"Budget", "100"},
                                      {"Tokens", "2000,10"}})
                        .has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size());
  }

  void a_cold_replica_gets_nothing_without_an_admission() {
    add_replica("r2");
    turn_cold("r1", duration_ms{10000});
    for (int asked = 0; asked < 4; ++asked) {
      replicas_[0]->script.push_back({plain("hello")});
      replicas_[1]->script.push_back({plain("hello")});
      CPPUNIT_ASSERT_EQUAL(200U, ask("/get/x")->result_int());
    }
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  void with_cold_replicas_only_a_request_is_refused_at_once() {
    turn_cold("r1", duration_ms{10000});
    const auto began = steady_now();
    const auto answer = ask("/get/x", {{"Deadline", "10000"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    // Without the exclusion the request would wait 0.02 of ten seconds.
    CPPUNIT_ASSERT(steady_now() - began < duration_ms{150});
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
    turn_cold("r1", duration_ms{0});
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(200U, ask("/get/x")->result_int());
  }

  void a_replica_that_turns_cold_while_connecting_gets_nothing() {
    const auto [status, sent] = ask_over_slow_connection(
        {{"Credential", "Key ka"}, {"Deadline", "3000"}},
        [this] { turn_cold("slow", duration_ms{10000}); });
    CPPUNIT_ASSERT(!sent);
    CPPUNIT_ASSERT_EQUAL(503U, status);
  }

  void without_limits_a_cold_replica_is_treated_as_warm() {
    start_gateway({});
    add_replica("r2");
    turn_cold("r2", duration_ms{10000});
    replicas_[1]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(200U, ask("/get/x")->result_int());
  }

  void a_configuration_that_expires_while_a_request_waits_prevents_sending() {
    constexpr duration_ms left{50};
    require_fresh_configuration(tenants::revocation_margin + left);
    gateway_->confirm_configuration(steady_now());
    // The process stalls while the grant is pending.
    ledger_.before_grant = [left] { std::this_thread::sleep_for(2 * left); };
    const auto answer =
        ask("/stream/x",
            {{"Credential", "Key ka"}, {"Program", "p"}, {"Budget", "100"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  void turns_of_one_tenant_are_invisible_to_another() {
    apply_tenants();
    for (int turn = 0; turn < 2; ++turn) {
      replicas_[0]->script.push_back(
          {stream_head + chunk(event(1)) + stream_end});
    }
    for (const char *key : {"Key ka", "Key kb"}) {
      ask("/kept/x",
          {{"Credential", key}, {"Program", "p"}, {"Budget", "100"}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger_.requests.size());
    CPPUNIT_ASSERT(ledger_.requests[0].program != ledger_.requests[1].program);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger_.ends.size());
    CPPUNIT_ASSERT(ledger_.ends[0].kept.id != ledger_.ends[1].kept.id);
    ledger_.verdict = records::turn_verdict::unknown_turn;
    const auto answer = ask("/kept/x", {{"Credential", "Key kb"},
                                        {"Program", "p"},
                                        {"Budget", "100"},
                                        {"Previous", "a1"}});
    CPPUNIT_ASSERT_EQUAL(404U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(ledger_.ends[1].kept.id,
                         ledger_.requests.back().previous);
  }

  void a_tenant_over_its_quota_gets_retry_after() {
    tenants::tenant small = holder("a", "ka");
    small.quota = {.rate_per_second = 0.01, .burst = 4};
    apply_routes(2, {small, holder("b", "kb")});
    std::uint32_t last = 0;
    for (int call = 0; call < 30 && last != 429; ++call) {
      replicas_[0]->script.push_back({plain("hello")});
      const auto answer = ask("/call/x", {{"Credential", "Key ka"}});
      last = answer->result_int();
      CPPUNIT_ASSERT(last == 200 || !field_of(*answer, "Retry-After").empty());
    }
    CPPUNIT_ASSERT_EQUAL(429U, last);
    replicas_[0]->script.clear();
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(
        200U, ask("/call/x", {{"Credential", "Key kb"}})->result_int());
  }

  /// Guards against counting only the first of several attempts at a request.
  void each_attempt_counts_against_the_quota() {
    add_replica("r2");
    tenants::tenant small = holder("a", "ka");
    small.quota = {.rate_per_second = 100, .burst = 100};
    apply_routes(2, {small});
    for (const auto &replica : replicas_) {
      replica->script.push_back({.bytes = "HTTP/1.1 20", .close = true});
      replica->script.push_back({plain("hello")});
    }
    ask("/get/x", {{"Credential", "Key ka"}});
    const std::size_t sent =
        replicas_[0]->received.size() + replicas_[1]->received.size();
    CPPUNIT_ASSERT(sent > 1);
    CPPUNIT_ASSERT_EQUAL(sent, counted_requests());
  }

  /// Applies a configuration with one tenant limited to 100 requests a second.
  void serve_one_tenant() {
    tenants::tenant one = holder("a", "ka");
    one.quota = {.rate_per_second = 100, .burst = 100};
    apply_routes(2, {one});
  }

  void a_tenant_without_quota_needs_no_permit() {
    apply_routes(2, {holder("a", "ka")});
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(
        200U, ask("/call/x", {{"Credential", "Key ka"}})->result_int());
    CPPUNIT_ASSERT_EQUAL(0, ledger_.permits_asked);
  }

  void a_request_without_an_available_permit_is_refused() {
    serve_one_tenant();
    ledger_.no_permits = true;
    const auto answer = ask("/call/x", {{"Credential", "Key ka"}});
    CPPUNIT_ASSERT_EQUAL(503U, answer->result_int());
    CPPUNIT_ASSERT(!field_of(*answer, "Retry-After").empty());
    CPPUNIT_ASSERT(replicas_[0]->received.empty());
  }

  void an_expired_permit_is_requested_again() {
    serve_one_tenant();
    ledger_.void_permits = 1;
    replicas_[0]->script.push_back({plain("hello")});
    CPPUNIT_ASSERT_EQUAL(
        200U, ask("/call/x", {{"Credential", "Key ka"}})->result_int());
    CPPUNIT_ASSERT_EQUAL(2, ledger_.permits_asked);
  }

  void a_refused_attempt_keeps_its_permit() {
    serve_one_tenant();
    replicas_[0]->script.assign({{refusal}, {plain("hello")}});
    CPPUNIT_ASSERT_EQUAL(
        200U, ask("/call/x", {{"Credential", "Key ka"}})->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, replicas_[0]->received.size());
    CPPUNIT_ASSERT_EQUAL(1, ledger_.permits_asked);
  }

  void without_a_second_permit_there_is_no_second_attempt() {
    add_replica("r2");
    tenants::tenant small = holder("a", "ka");
    small.quota = {.rate_per_second = 0.001, .burst = 1};
    apply_routes(2, {small});
    for (const auto &replica : replicas_) {
      replica->script.push_back({.bytes = "HTTP/1.1 20", .close = true});
      replica->script.push_back({plain("hello")});
    }
    const auto answer = ask("/get/x", {{"Credential", "Key ka"}});
    CPPUNIT_ASSERT_EQUAL(502U, answer->result_int());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replicas_[0]->received.size() +
                                             replicas_[1]->received.size());
  }

  void the_tenant_priority_overrides_the_route_priority() {
    tenants::tenant urgent = holder("a", "ka");
    urgent.priority = 0;
    apply_routes(2, {urgent, holder("b", "kb")});
    std::vector<int> ranks;
    for (const char *key : {"Key ka", "Key kb"}) {
      replicas_[0]->script.push_back(
          {stream_head + chunk(event(1)) + stream_end});
      ask("/once/x", {{"Credential", key}});
      const auto rank = replicas_[0]->received.back()["Priority"];
      ranks.push_back(std::stoi(std::string(rank.data(), rank.size())));
    }
    CPPUNIT_ASSERT(ranks[0] < ranks[1]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_exchange_test);

} // namespace
} // namespace heathtrestle::forwarding
