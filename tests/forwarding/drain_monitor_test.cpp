// Tests how the operator's drain requests are applied to a gateway.
#include "forwarding/drain_monitor.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

class drain_monitor_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(drain_monitor_test);
  CPPUNIT_TEST(an_empty_list_is_knowledge);
  CPPUNIT_TEST(requests_come_and_go_by_listings_and_changes);
  CPPUNIT_TEST(a_request_that_is_being_removed_still_counts);
  CPPUNIT_TEST(a_zone_is_quiet_once_its_last_request_has_ended);
  CPPUNIT_TEST_SUITE_END();

  static selector_options options() {
    selector_options made;
    made.zone_drain = duration_ms{5000};
    return made;
  }

  asio::io_context io_;
  upstream_pool pool_{io_, {}};
  replica_selector replicas_{options(), pool_};
  gateway_metrics metrics_;
  drain_monitor monitor_{replicas_, metrics_};
  const objects::object_watch::handlers handlers_ = monitor_.handlers();

  static objects::object request_for(const std::string &zone) {
    objects::object made;
    made.name = zone;
    return made;
  }

  bool drained(const std::string &zone) {
    return replicas_.drains().drained(zone);
  }

public:
  void an_empty_list_is_knowledge() {
    CPPUNIT_ASSERT(!replicas_.drains().known());
    handlers_.on_listing({});
    CPPUNIT_ASSERT(replicas_.drains().known());
  }

  void requests_come_and_go_by_listings_and_changes() {
    handlers_.on_listing(
        {.items = {request_for("a"), request_for("b")}, .revision = 1});
    CPPUNIT_ASSERT(drained("a") && drained("b"));
    handlers_.on_change({.changed = request_for("a"), .deleted = true});
    handlers_.on_change({.changed = request_for("c"), .deleted = false});
    CPPUNIT_ASSERT(!drained("a") && drained("c"));
    // A missed change is recovered by the next listing.
    handlers_.on_listing({.items = {request_for("c")}, .revision = 2});
    CPPUNIT_ASSERT(!drained("b") && drained("c"));
  }

  void a_request_that_is_being_removed_still_counts() {
    handlers_.on_listing({});
    objects::object leaving = request_for("a");
    leaving.is_deleting = true;
    handlers_.on_change({.changed = leaving, .deleted = false});
    CPPUNIT_ASSERT(drained("a"));
  }

  void a_zone_is_quiet_once_its_last_request_has_ended() {
    routing::instance_record record;
    record.id = routing::instance_id{"r"};
    record.service = routing::service_id{"s"};
    record.zone = "a";
    replicas_.put(record);
    const routing::instance_ptr replica =
        replicas_.directory().replicas_of(routing::service_id{"s"}).front();
    replicas_.begin_attempt(replica);
    handlers_.on_listing({.items = {request_for("a")}, .revision = 1});
    monitor_.check(steady_now());
    CPPUNIT_ASSERT(!replicas_.drains().all().at("a").idle);
    monitor_.refresh_metrics(steady_now());
    CPPUNIT_ASSERT(
        metrics_.text().find("heathtrestle_gateway_drained_zone_requests 1") !=
        std::string::npos);
    replicas_.end_attempt(replica);
    monitor_.check(steady_now());
    CPPUNIT_ASSERT(replicas_.drains().all().at("a").idle);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_monitor_test);

} // namespace
} // namespace heathtrestle::forwarding
