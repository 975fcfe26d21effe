#include "records/load_reports.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace heathtrestle::records {
namespace {

constexpr std::uint32_t engine_one = 11;
constexpr std::uint32_t engine_two = 22;
const timestamp start = timestamp_from(10000);

wire::ReplicaLoads
loads(const std::map<std::uint32_t, std::uint32_t> &running) {
  wire::ReplicaLoads made;
  for (const auto &[replica, count] : running) {
    made.add_replicas(replica);
    made.add_running(count);
  }
  return made;
}

std::map<std::uint32_t, std::uint32_t>
others(load_reports &reports, const std::string &gateway, timestamp now) {
  const wire::SharedLoads shared = reports.loads_of_others(gateway, now);
  std::map<std::uint32_t, std::uint32_t> sums;
  for (int place = 0; place < shared.others().replicas_size(); ++place) {
    sums[shared.others().replicas(place)] = shared.others().running(place);
  }
  return sums;
}

using sums = std::map<std::uint32_t, std::uint32_t>;

class load_reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_reports_test);
  CPPUNIT_TEST(each_gateway_gets_the_sum_of_the_others);
  CPPUNIT_TEST(a_new_report_replaces_the_last);
  CPPUNIT_TEST(a_silent_gateway_expires);
  CPPUNIT_TEST(lists_of_unequal_length_are_cut_to_the_shorter);
  CPPUNIT_TEST(the_arcs_cover_the_ring_once);
  CPPUNIT_TEST(a_leaving_gateway_changes_one_arc);
  CPPUNIT_TEST(the_send_time_is_echoed);
  CPPUNIT_TEST_SUITE_END();

public:
  void each_gateway_gets_the_sum_of_the_others() {
    load_reports reports;
    reports.update("a", loads({{engine_one, 3}}), start);
    reports.update("b", loads({{engine_one, 2}, {engine_two, 5}}), start);
    reports.update("c", loads({}), start);
    CPPUNIT_ASSERT(others(reports, "a", start) ==
                   (sums{{engine_one, 2}, {engine_two, 5}}));
    CPPUNIT_ASSERT(others(reports, "c", start) ==
                   (sums{{engine_one, 5}, {engine_two, 5}}));
    CPPUNIT_ASSERT_EQUAL(3U, reports.loads_of_others("a", start).gateways());
  }

  void a_new_report_replaces_the_last() {
    load_reports reports;
    reports.update("a", loads({{engine_one, 3}}), start);
    reports.update("a", loads({{engine_two, 1}}), start);
    CPPUNIT_ASSERT(others(reports, "b", start) == (sums{{engine_two, 1}}));
  }

  void a_silent_gateway_expires() {
    load_reports reports;
    reports.update("a", loads({{engine_one, 3}}), start);
    const timestamp later = start + duration_ms{2000};
    CPPUNIT_ASSERT(others(reports, "b", later).empty());
    reports.update("b", loads({{engine_two, 4}}), later);
    CPPUNIT_ASSERT_EQUAL(1U, reports.loads_of_others("b", later).gateways());
  }

  void lists_of_unequal_length_are_cut_to_the_shorter() {
    load_reports reports;
    wire::ReplicaLoads broken = loads({{engine_one, 3}});
    broken.add_replicas(engine_two);
    reports.update("a", broken, start);
    CPPUNIT_ASSERT(others(reports, "b", start) == (sums{{engine_one, 3}}));
  }

  void the_arcs_cover_the_ring_once() {
    load_reports reports;
    const std::vector<ring_arc> arcs = arcs_of(reports, {"a", "b", "c"}, start);
    for (const std::uint32_t point : {0U, 1U << 30U, 1U << 31U, ~0U}) {
      CPPUNIT_ASSERT_EQUAL(
          std::ptrdiff_t{1},
          std::count_if(arcs.begin(), arcs.end(), [&](const ring_arc &each) {
            return each.contains(point);
          }));
    }
    CPPUNIT_ASSERT_EQUAL(0U, reports.loads_of_others("d", start).arc_length());
  }

  void a_leaving_gateway_changes_one_arc() {
    load_reports reports;
    const auto before = arcs_of(reports, {"a", "b", "c", "d"}, start);
    const timestamp later = start + duration_ms{6000};
    const auto after = arcs_of(reports, {"a", "b", "c"}, later);
    int changed = 0;
    for (std::size_t place = 0; place < after.size(); ++place) {
      changed += after[place] == before[place] ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(1, changed);
  }

  void the_send_time_is_echoed() {
    load_reports reports;
    wire::ReplicaLoads reported;
    reported.set_told_ms(17);
    reports.update("a", reported, start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17},
                         reports.loads_of_others("a", start).told_ms());
  }

private:
  static std::vector<ring_arc> arcs_of(load_reports &reports,
                                       const std::vector<std::string> &gateways,
                                       timestamp now) {
    for (const std::string &each : gateways) {
      reports.update(each, loads({}), now);
    }
    std::vector<ring_arc> arcs;
    for (const std::string &each : gateways) {
      const wire::SharedLoads shared = reports.loads_of_others(each, now);
      arcs.push_back({.end = shared.arc_end(), .length = shared.arc_length()});
    }
    return arcs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reports_test);

} // namespace
} // namespace heathtrestle::records
