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
others(load_reports &board, const std::string &gateway, timestamp now) {
  const wire::SharedLoads shared = board.loads_of_others(gateway, now);
  std::map<std::uint32_t, std::uint32_t> sums;
  for (int place = 0; place < shared.others().replicas_size(); ++place) {
    sums[shared.others().replicas(place)] = shared.others().running(place);
  }
  return sums;
}

using sums = std::map<std::uint32_t, std::uint32_t>;

class load_reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_reports_test);
  CPPUNIT_TEST(each_is_told_the_sum_of_the_others);
  CPPUNIT_TEST(what_was_told_before_is_void);
  CPPUNIT_TEST(a_gateway_that_falls_silent_is_forgotten);
  CPPUNIT_TEST(lists_of_unequal_length_do_no_harm);
  CPPUNIT_TEST(the_arcs_of_all_make_up_the_ring);
  CPPUNIT_TEST(one_that_leaves_changes_one_arc);
  CPPUNIT_TEST(the_time_of_telling_comes_back);
  CPPUNIT_TEST_SUITE_END();

public:
  void each_is_told_the_sum_of_the_others() {
    load_reports board;
    board.update("a", loads({{engine_one, 3}}), start);
    board.update("b", loads({{engine_one, 2}, {engine_two, 5}}), start);
    board.update("c", loads({}), start);
    CPPUNIT_ASSERT(others(board, "a", start) ==
                   (sums{{engine_one, 2}, {engine_two, 5}}));
    CPPUNIT_ASSERT(others(board, "c", start) ==
                   (sums{{engine_one, 5}, {engine_two, 5}}));
    CPPUNIT_ASSERT_EQUAL(3U, board.loads_of_others("a", start).gateways());
  }

  void what_was_told_before_is_void() {
    load_reports board;
    board.update("a", loads({{engine_one, 3}}), start);
    board.update("a", loads({{engine_two, 1}}), start);
    CPPUNIT_ASSERT(others(board, "b", start) == (sums{{engine_two, 1}}));
  }

  void a_gateway_that_falls_silent_is_forgotten() {
    load_reports board;
    board.update("a", loads({{engine_one, 3}}), start);
    const timestamp later = start + duration_ms{2000};
    CPPUNIT_ASSERT(others(board, "b", later).empty());
    board.update("b", loads({{engine_two, 4}}), later);
    CPPUNIT_ASSERT_EQUAL(1U, board.loads_of_others("b", later).gateways());
  }

  void lists_of_unequal_length_do_no_harm() {
    load_reports board;
    wire::ReplicaLoads broken = loads({{engine_one, 3}});
    broken.add_replicas(engine_two);
    board.update("a", broken, start);
    CPPUNIT_ASSERT(others(board, "b", start) == (sums{{engine_one, 3}}));
  }

  void the_arcs_of_all_make_up_the_ring() {
    load_reports board;
    const std::vector<ring_arc> arcs = arcs_of(board, {"a", "b", "c"}, start);
    for (const std::uint32_t point : {0U, 1U << 30U, 1U << 31U, ~0U}) {
      CPPUNIT_ASSERT_EQUAL(
          std::ptrdiff_t{1},
          std::count_if(arcs.begin(), arcs.end(), [&](const ring_arc &each) {
            return each.contains(point);
          }));
    }
    CPPUNIT_ASSERT_EQUAL(0U, board.loads_of_others("d", start).arc_length());
  }

  void one_that_leaves_changes_one_arc() {
    load_reports board;
    const auto before = arcs_of(board, {"a", "b", "c", "d"}, start);
    const timestamp later = start + duration_ms{6000};
    const auto after = arcs_of(board, {"a", "b", "c"}, later);
    int changed = 0;
    for (std::size_t place = 0; place < after.size(); ++place) {
      changed += after[place] == before[place] ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(1, changed);
  }

  void the_time_of_telling_comes_back() {
    load_reports board;
    wire::ReplicaLoads told;
    told.set_told_ms(17);
    board.update("a", told, start);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17},
                         board.loads_of_others("a", start).told_ms());
  }

private:
  static std::vector<ring_arc> arcs_of(load_reports &board,
                                       const std::vector<std::string> &gateways,
                                       timestamp now) {
    for (const std::string &each : gateways) {
      board.update(each, loads({}), now);
    }
    std::vector<ring_arc> arcs;
    for (const std::string &each : gateways) {
      const wire::SharedLoads shared = board.loads_of_others(each, now);
      arcs.push_back({.end = shared.arc_end(), .length = shared.arc_length()});
    }
    return arcs;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_reports_test);

} // namespace
} // namespace heathtrestle::records
