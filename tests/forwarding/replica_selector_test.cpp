// Tests choices among the replicas of large services: what a choice examines
// must not grow with the service, and what limits the selection of a small
// service must hold for a large one.
#include "forwarding/replica_selector.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace heathtrestle::forwarding {
namespace {

const routing::service_id engines{"engines"};
const routing::service_id tools{"tools"};
constexpr std::size_t zone_count = 5;
constexpr std::uint32_t slots = 6;
/// Bound of what one choice examines: a window and the windows of the other
/// zones, each within its bound, the conversation's holders and the replica of
/// the object.
constexpr std::size_t most_examined = 4 * (16 + 4 * 4) + 8;

std::string zone_name(std::size_t number) {
  return "zone-" + std::to_string(number);
}

class replica_selector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_selector_test);
  CPPUNIT_TEST(what_a_choice_examines_does_not_grow_with_the_service);
  CPPUNIT_TEST(gateways_of_a_zone_share_the_engines_of_a_prompt);
  CPPUNIT_TEST(engines_of_the_own_zone_are_preferred);
  CPPUNIT_TEST(a_reported_load_widens_the_choice);
  CPPUNIT_TEST(failed_engines_are_passed_over);
  CPPUNIT_TEST(a_zone_without_engines_is_served_by_others);
  CPPUNIT_TEST(a_drained_zone_gets_nothing);
  CPPUNIT_TEST(drained_zones_are_refused_without_a_search);
  CPPUNIT_TEST(a_conversation_returns_to_its_engine);
  CPPUNIT_TEST(a_retry_is_limited_to_the_engine_that_may_have_run_it);
  CPPUNIT_TEST(excluded_engines_are_not_chosen_again);
  CPPUNIT_TEST(an_object_has_one_replica_in_its_zone);
  CPPUNIT_TEST(gateways_prefer_different_plain_replicas);
  CPPUNIT_TEST(a_load_report_replaces_the_one_before);
  CPPUNIT_TEST(requests_in_flight_are_reported_once);
  CPPUNIT_TEST(the_last_free_replica_of_a_large_service_is_found);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  upstream_pool pool_{io_, {}};

  static selector_options options(const std::string &zone,
                                  const std::string &gateway) {
    selector_options made;
    made.places = routing::topology(zone);
    made.gateway_key = stable_hash(gateway);
    made.zone_drain = duration_ms{5000};
    return made;
  }

  replica_selector make(const std::string &gateway = "gateway",
                        const std::string &zone = zone_name(0)) {
    replica_selector made(options(zone, gateway), pool_);
    made.drains().set_known();
    return made;
  }

  static std::vector<routing::instance_record>
  records(const routing::service_id &service, std::size_t count) {
    std::vector<routing::instance_record> all;
    for (std::size_t number = 0; number < count; ++number) {
      all.push_back({.id = routing::instance_id{service.value() + "-" +
                                                std::to_string(number)},
                     .service = service,
                     .address = "10.0.0.1:80",
                     .zone = zone_name(number % zone_count),
                     .slots = slots,
                     .born_ms = 100});
    }
    return all;
  }

  static client_request turn(std::uint64_t shared = 7,
                             std::uint64_t conversation = 8) {
    client_request made;
    made.prompt = {{.id = shared, .tokens = 12600},
                   {.id = conversation, .tokens = 800}};
    return made;
  }

  static placement choose(replica_selector &selector,
                          const client_request &request = turn(),
                          const send_step &step = {}) {
    return selector.choose(request.prompt.empty() ? tools : engines, step,
                           request, {});
  }

  static std::string zone_of(const placement &chosen) {
    return chosen.target->record.zone;
  }

  /// The engines that take some turns with the same shared prompt.
  static std::set<std::string> chosen_by(replica_selector &selector) {
    std::set<std::string> ids;
    for (int number = 0; number < 200; ++number) {
      ids.insert(choose(selector).target->record.id.value());
    }
    return ids;
  }

public:
  void what_a_choice_examines_does_not_grow_with_the_service() {
    for (const std::size_t count : {300U, 3000U, 30000U}) {
      replica_selector selector = make();
      auto listed = records(engines, count);
      const auto plain = records(tools, count);
      listed.insert(listed.end(), plain.begin(), plain.end());
      selector.replace_all(listed);
      const std::size_t whole = choose(selector).examined;
      CPPUNIT_ASSERT(whole > 0 && whole <= most_examined);
      client_request call;
      call.object = "object";
      const std::size_t call_examined = choose(selector, call).examined;
      CPPUNIT_ASSERT(call_examined > 0 && call_examined <= most_examined);
    }
  }

  void gateways_of_a_zone_share_the_engines_of_a_prompt() {
    replica_selector first = make("first");
    replica_selector second = make("second");
    first.replace_all(records(engines, 3000));
    second.replace_all(records(engines, 3000));
    std::set<std::string> all = chosen_by(first);
    all.merge(chosen_by(second));
    CPPUNIT_ASSERT(all.size() > 1);
    CPPUNIT_ASSERT(all.size() <= 16);
  }

  void engines_of_the_own_zone_are_preferred() {
    replica_selector selector = make("gateway", zone_name(3));
    selector.replace_all(records(engines, 3000));
    for (int number = 0; number < 100; ++number) {
      CPPUNIT_ASSERT_EQUAL(zone_name(3), zone_of(choose(selector)));
    }
  }

  void a_reported_load_widens_the_choice() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    const std::set<std::string> idle = chosen_by(selector);
    wire::SharedLoads shared;
    for (const auto &[id, each] : selector.directory().all()) {
      shared.mutable_others()->add_replicas(each->load_key);
      shared.mutable_others()->add_running(slots / 2);
    }
    selector.apply_shared_loads(shared);
    const placement chosen = choose(selector);
    CPPUNIT_ASSERT(chosen.target != nullptr);
    CPPUNIT_ASSERT(chosen.examined <= most_examined);
    CPPUNIT_ASSERT(chosen_by(selector).size() > 3 * idle.size());
  }

  void failed_engines_are_passed_over() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    std::set<std::string> failed;
    for (int number = 0; number < 40; ++number) {
      const placement chosen = choose(selector);
      CPPUNIT_ASSERT(failed.insert(chosen.target->record.id.value()).second);
      CPPUNIT_ASSERT(chosen.examined <= most_examined);
      selector.on_failed(*chosen.target, "test");
    }
  }

  void a_zone_without_engines_is_served_by_others() {
    replica_selector selector = make("gateway", "elsewhere");
    selector.replace_all(records(engines, 3000));
    CPPUNIT_ASSERT(choose(selector).target != nullptr);
  }

  void a_drained_zone_gets_nothing() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    selector.drains().put(zone_name(0), timestamp{});
    for (int number = 0; number < 100; ++number) {
      CPPUNIT_ASSERT(zone_of(choose(selector)) != zone_name(0));
    }
  }

  void drained_zones_are_refused_without_a_search() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    for (std::size_t zone = 0; zone < zone_count; ++zone) {
      selector.drains().put(zone_name(zone), timestamp{});
    }
    const placement none = choose(selector);
    CPPUNIT_ASSERT(none.target == nullptr);
    CPPUNIT_ASSERT(none.excluded_by == routing::exclusion::zone_drained);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, none.examined);
  }

  void a_conversation_returns_to_its_engine() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    const std::string holder = "engines-2998";
    selector.learn_prefix_location(
        {.instance = holder + "@100", .tokens = 13400}, turn().prompt);
    for (int number = 0; number < 100; ++number) {
      CPPUNIT_ASSERT_EQUAL(holder, choose(selector).target->record.id.value());
    }
    selector.remove(routing::instance_id{holder});
    CPPUNIT_ASSERT(choose(selector).target->record.id.value() != holder);
  }

  void a_retry_is_limited_to_the_engine_that_may_have_run_it() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    const routing::incarnation ran{.id = routing::instance_id{"engines-77"},
                                   .born_ms = 100};
    const placement chosen = choose(selector, turn(), {.only = {ran}});
    CPPUNIT_ASSERT(chosen.target->record.start() == ran);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen.examined);
    const routing::incarnation ended{.id = ran.id, .born_ms = 99};
    CPPUNIT_ASSERT(choose(selector, turn(), {.only = {ended}}).target ==
                   nullptr);
  }

  void excluded_engines_are_not_chosen_again() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 3000));
    send_step step;
    for (int number = 0; number < 40; ++number) {
      const placement chosen = choose(selector, turn(), step);
      CPPUNIT_ASSERT(
          step.excluded.insert(chosen.target->record.start()).second);
    }
  }

  void an_object_has_one_replica_in_its_zone() {
    client_request call;
    call.object = "meter-17";
    std::set<std::string> homes;
    for (const std::string gateway : {"a", "b", "c", "d"}) {
      replica_selector selector = make(gateway);
      selector.replace_all(records(tools, 3000));
      homes.insert(choose(selector, call).target->record.id.value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, homes.size());
  }

  void gateways_prefer_different_plain_replicas() {
    std::set<std::string> replicas;
    for (int number = 0; number < 40; ++number) {
      replica_selector selector = make("gateway-" + std::to_string(number));
      selector.replace_all(records(tools, 3000));
      replicas.insert(
          choose(selector, client_request{}).target->record.id.value());
    }
    CPPUNIT_ASSERT(replicas.size() > 30);
  }

  void a_load_report_replaces_the_one_before() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 300));
    const auto &all = selector.directory().replicas_of(engines);
    wire::SharedLoads shared;
    shared.mutable_others()->add_replicas(all[0]->load_key);
    shared.mutable_others()->add_running(4);
    selector.apply_shared_loads(shared);
    CPPUNIT_ASSERT_EQUAL(4.0, selector.load_by_others(*all[0]).running);
    shared.mutable_others()->set_replicas(0, all[1]->load_key);
    selector.apply_shared_loads(shared);
    CPPUNIT_ASSERT_EQUAL(0.0, selector.load_by_others(*all[0]).running);
    CPPUNIT_ASSERT_EQUAL(4.0, selector.load_by_others(*all[1]).running);
  }

  void requests_in_flight_are_reported_once() {
    replica_selector selector = make();
    selector.replace_all(records(engines, 300));
    const routing::instance_ptr target = choose(selector).target;
    selector.begin_attempt(target);
    selector.begin_attempt(target);
    const wire::ReplicaLoads loads = selector.engine_loads();
    CPPUNIT_ASSERT_EQUAL(1, loads.replicas_size());
    CPPUNIT_ASSERT_EQUAL(2U, loads.running(0));
    selector.end_attempt(target);
    selector.end_attempt(target);
    CPPUNIT_ASSERT_EQUAL(0, selector.engine_loads().replicas_size());
  }

  void the_last_free_replica_of_a_large_service_is_found() {
    replica_selector selector = make();
    auto listed = records(engines, 3000);
    for (routing::instance_record &each : listed) {
      each.draining = each.id.value() != "engines-1234";
    }
    selector.replace_all(listed);
    CPPUNIT_ASSERT_EQUAL(std::string("engines-1234"),
                         choose(selector).target->record.id.value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_selector_test);

} // namespace
} // namespace heathtrestle::forwarding
