#include "programs/placement_policy.hpp"

#include "support/step_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::programs {
namespace {

class placement_policy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(placement_policy_test);
  CPPUNIT_TEST(the_holder_of_the_cache_is_preferred);
  CPPUNIT_TEST(an_overloaded_holder_is_passed_over);
  CPPUNIT_TEST(a_shared_prefix_goes_to_one_back_end);
  CPPUNIT_TEST(least_loaded_counts_slots);
  CPPUNIT_TEST_SUITE_END();

public:
  void the_holder_of_the_cache_is_preferred() {
    std::vector<candidate> options = make(4);
    options[2].queue_length = 8;
    for (int round = 0; round < 20; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                           choose("affinity", options, {.affinity = "b2"}));
    }
  }

  void an_overloaded_holder_is_passed_over() {
    std::vector<candidate> options = make(4);
    options[2].queue_length = 80;
    for (int round = 0; round < 20; ++round) {
      CPPUNIT_ASSERT(choose("affinity", options, {.affinity = "b2"}) != 2);
    }
  }

  void a_shared_prefix_goes_to_one_back_end() {
    const std::vector<candidate> options = make(8);
    const std::size_t first =
        choose("affinity", options, {.prefix_key = "you are a clerk"});
    for (int round = 0; round < 20; ++round) {
      CPPUNIT_ASSERT_EQUAL(first, choose("affinity", options,
                                         {.prefix_key = "you are a clerk"}));
    }
  }

  void least_loaded_counts_slots() {
    std::vector<candidate> options = make(2);
    options[0] = {.name = "big", .slots = 16, .queue_length = 8};
    options[1] = {.name = "small", .slots = 4, .queue_length = 4};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, choose("least_loaded", options, {}));
  }

private:
  static std::vector<candidate> make(std::size_t count) {
    std::vector<candidate> options;
    for (std::size_t index = 0; index < count; ++index) {
      options.push_back(
          {.name = "b" + std::to_string(index), .zone = "z", .slots = 8});
    }
    return options;
  }

  std::size_t choose(std::string_view policy,
                     const std::vector<candidate> &options,
                     const placement_request &request) {
    return placement_policy_named(policy).choose(options, request,
                                                 fixture_.step());
  }

  tests::step_fixture fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_policy_test);

} // namespace
} // namespace heathtrestle::programs
