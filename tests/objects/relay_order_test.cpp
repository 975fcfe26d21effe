// Tests which storage nodes relay watched objects and who follows them.
#include "objects/relay_order.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace heathtrestle::objects {
namespace {

constexpr std::size_t watchers = 3;
constexpr std::size_t zone_count = 5;

std::vector<relay_address> nodes(std::size_t count) {
  std::vector<relay_address> all;
  for (std::size_t number = 0; number < count; ++number) {
    const std::string name = "node-" + std::to_string(number);
    all.push_back({.name = name,
                   .address = name + ":1",
                   .zone = "zone-" + std::to_string(number % zone_count)});
  }
  return all;
}

std::set<std::string> watcher_names(std::size_t count) {
  const auto sorted = sort_by_preference(nodes(count));
  std::set<std::string> names;
  for (std::size_t place = 0; place < watchers; ++place) {
    names.insert(sorted[place].name);
  }
  return names;
}

class relay_order_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_order_test);
  CPPUNIT_TEST(a_small_fleet_follows_the_watchers);
  CPPUNIT_TEST(gateways_of_a_large_fleet_follow_relays_of_their_zone);
  CPPUNIT_TEST(the_followers_of_a_relay_do_not_grow_with_the_fleet);
  CPPUNIT_TEST(relays_follow_the_watchers);
  CPPUNIT_TEST(every_node_is_a_last_resort);
  CPPUNIT_TEST_SUITE_END();

public:
  void a_small_fleet_follows_the_watchers() {
    const relay_order order = relays_of_gateway(nodes(12), watchers, "zone-1");
    CPPUNIT_ASSERT_EQUAL(watchers, order.preferred);
    CPPUNIT_ASSERT(order.relays == sort_by_preference(nodes(12)));
    for (const relay_address &each : nodes(12)) {
      CPPUNIT_ASSERT(
          relays_of_node(nodes(12), watchers, each.name).relays.empty());
    }
  }

  void gateways_of_a_large_fleet_follow_relays_of_their_zone() {
    const relay_order order = relays_of_gateway(nodes(120), watchers, "zone-1");
    CPPUNIT_ASSERT(order.preferred > 1);
    const std::set<std::string> busy = watcher_names(120);
    for (std::size_t place = 0; place < order.preferred; ++place) {
      CPPUNIT_ASSERT_EQUAL(std::string("zone-1"), order.relays[place].zone);
      CPPUNIT_ASSERT(!busy.contains(order.relays[place].name));
    }
  }

  void the_followers_of_a_relay_do_not_grow_with_the_fleet() {
    // Storage nodes and gateways grow alike: eight gateways to a node.
    for (const std::size_t count : {60U, 120U, 240U, 480U}) {
      std::set<std::string> relays;
      for (std::size_t zone = 0; zone < zone_count; ++zone) {
        const relay_order order = relays_of_gateway(
            nodes(count), watchers, "zone-" + std::to_string(zone));
        for (std::size_t place = 0; place < order.preferred; ++place) {
          relays.insert(order.relays[place].name);
        }
      }
      CPPUNIT_ASSERT(8 * count / relays.size() <= 40);
      CPPUNIT_ASSERT(relays.size() / watchers <= count / 8);
    }
  }

  void relays_follow_the_watchers() {
    const std::set<std::string> names = watcher_names(120);
    for (const relay_address &each : nodes(120)) {
      const relay_order order = relays_of_node(nodes(120), watchers, each.name);
      if (names.contains(each.name)) {
        CPPUNIT_ASSERT(order.relays.empty());
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(watchers, order.relays.size());
      for (const relay_address &followed : order.relays) {
        CPPUNIT_ASSERT(names.contains(followed.name));
      }
    }
  }

  void every_node_is_a_last_resort() {
    const relay_order order = relays_of_gateway(nodes(120), watchers, "zone-1");
    std::set<std::string> names;
    for (const relay_address &each : order.relays) {
      names.insert(each.name);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, names.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_order_test);

} // namespace
} // namespace heathtrestle::objects
