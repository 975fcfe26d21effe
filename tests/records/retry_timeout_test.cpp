#include "records/retry_timeout.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

using namespace std::chrono_literals;

class retry_timeout_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_timeout_test);
  CPPUNIT_TEST(a_quick_group_is_awaited_the_least);
  CPPUNIT_TEST(a_group_that_becomes_slow_is_awaited_longer);
  CPPUNIT_TEST(patience_has_an_end);
  CPPUNIT_TEST(questions_of_a_slow_group_are_asked_ever_more_seldom);
  CPPUNIT_TEST(one_round_of_questions_counts_once);
  CPPUNIT_TEST(an_answer_to_a_question_asked_once_ends_the_backing_off);
  CPPUNIT_TEST(a_group_that_is_slow_at_once_is_believed_at_once);
  CPPUNIT_TEST_SUITE_END();

  retry_timeout patience_{250ms, 1500ms};

public:
  void a_quick_group_is_awaited_the_least() {
    CPPUNIT_ASSERT(patience_.timeout() == 250ms);
    patience_.record_response_time(20ms);
    CPPUNIT_ASSERT(patience_.timeout() == 250ms);
  }

  void a_group_that_becomes_slow_is_awaited_longer() {
    // Answers slow down to three times the least; none is asked for again.
    for (duration_ms taken = 20ms; taken <= 750ms; taken += 10ms) {
      CPPUNIT_ASSERT(taken < patience_.timeout());
      patience_.record_response_time(taken);
    }
  }

  void patience_has_an_end() {
    for (int answer = 0; answer < 100; ++answer) {
      patience_.record_response_time(5000ms);
    }
    CPPUNIT_ASSERT(patience_.timeout() == 1500ms);
  }

  void questions_of_a_slow_group_are_asked_ever_more_seldom() {
    timestamp now{10s};
    const auto run_out = [&] {
      const timestamp sent = now;
      now += patience_.timeout();
      patience_.on_timeout(sent, now);
      return patience_.timeout();
    };
    CPPUNIT_ASSERT(run_out() == 500ms);
    CPPUNIT_ASSERT(run_out() == 1000ms);
    CPPUNIT_ASSERT(run_out() == 1500ms);
    CPPUNIT_ASSERT(run_out() == 1500ms);
  }

  void one_round_of_questions_counts_once() {
    const timestamp start{10s};
    for (duration_ms later = 0ms; later < 250ms; later += 25ms) {
      patience_.on_timeout(start + later, start + later + 250ms);
    }
    CPPUNIT_ASSERT(patience_.timeout() == 500ms);
  }

  void an_answer_to_a_question_asked_once_ends_the_backing_off() {
    patience_.on_timeout(timestamp{10s}, timestamp{11s});
    patience_.record_response_time(20ms);
    CPPUNIT_ASSERT(patience_.timeout() == 250ms);
  }

  void a_group_that_is_slow_at_once_is_believed_at_once() {
    for (int answer = 0; answer < 100; ++answer) {
      patience_.record_response_time(20ms);
    }
    patience_.record_response_time(400ms);
    CPPUNIT_ASSERT(patience_.timeout() == 800ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_timeout_test);

} // namespace
} // namespace heathtrestle::records
