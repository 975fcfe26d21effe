#include "dispatch/scheduling_policy.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::dispatch {
namespace {

class scheduling_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scheduling_policy_test);
  CPPUNIT_TEST(most_urgent_class_goes_first);
  CPPUNIT_TEST(tenant_with_less_service_goes_first);
  CPPUNIT_TEST(program_with_less_service_goes_first);
  CPPUNIT_TEST(waiting_raises_urgency);
  CPPUNIT_TEST(first_come_first_served_ignores_classes);
  CPPUNIT_TEST_SUITE_END();

public:
  void most_urgent_class_goes_first() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         pick({request(2, "a", 0, 0), request(0, "b", 9, 50)}));
  }

  void tenant_with_less_service_goes_first() {
    served_ = {{"a", 100.0}, {"b", 10.0}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         pick({request(0, "a", 0, 0), request(0, "b", 9, 50)}));
  }

  void program_with_less_service_goes_first() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         pick({request(0, "a", 9, 0), request(0, "a", 2, 50)}));
  }

  void waiting_raises_urgency() {
    // Guards against starvation: a request moves up a class per 5 s of waiting.
    const std::vector<waiting_request> waiting{request(2, "a", 9, 0),
                                               request(0, "b", 0, 16000)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pick(waiting, 16000));
  }

  void first_come_first_served_ignores_classes() {
    const std::vector<waiting_request> waiting{request(0, "a", 0, 90),
                                               request(9, "b", 9, 10)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         scheduling_policy_named("fifo").next(
                             waiting, served_, timestamp_from(100)));
  }

private:
  static waiting_request request(std::uint32_t priority,
                                 const std::string &tenant,
                                 std::uint64_t attained,
                                 std::uint64_t arrived_ms) {
    return {.priority = priority,
            .tenant = tenant,
            .attained_service = attained,
            .arrived = timestamp_from(arrived_ms)};
  }

  std::size_t pick(const std::vector<waiting_request> &waiting,
                   std::uint64_t now_ms = 100) {
    return scheduling_policy_named("fair_priority")
        .next(waiting, served_, timestamp_from(now_ms));
  }

  virtual_times served_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduling_policy_test);

} // namespace
} // namespace heathtrestle::dispatch
