#include "records/answer_patience.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

using namespace std::chrono_literals;

class answer_patience_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_patience_test);
  CPPUNIT_TEST(a_quick_group_is_awaited_the_least);
  CPPUNIT_TEST(a_group_that_becomes_slow_is_awaited_longer);
  CPPUNIT_TEST(patience_has_an_end);
  CPPUNIT_TEST_SUITE_END();

  answer_patience patience_{250ms, 1500ms};

public:
  void a_quick_group_is_awaited_the_least() {
    CPPUNIT_ASSERT(patience_.timeout() == 250ms);
    patience_.note(20ms);
    CPPUNIT_ASSERT(patience_.timeout() == 250ms);
  }

  void a_group_that_becomes_slow_is_awaited_longer() {
    // Answers slow down to three times the least; none is asked for again.
    for (duration_ms taken = 20ms; taken <= 750ms; taken += 10ms) {
      CPPUNIT_ASSERT(taken < patience_.timeout());
      patience_.note(taken);
    }
  }

  void patience_has_an_end() {
    for (int answer = 0; answer < 100; ++answer) {
      patience_.note(5000ms);
    }
    CPPUNIT_ASSERT(patience_.timeout() == 1500ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_patience_test);

} // namespace
} // namespace heathtrestle::records
