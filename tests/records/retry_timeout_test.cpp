#include "records/retry_timeout.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

using namespace std::chrono_literals;

class retry_timeout_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retry_timeout_test);
  CPPUNIT_TEST(a_fast_group_gets_the_minimum);
  CPPUNIT_TEST(the_timeout_follows_rising_response_times);
  CPPUNIT_TEST(the_timeout_is_capped);
  CPPUNIT_TEST(each_expiry_doubles_the_timeout);
  CPPUNIT_TEST(requests_sent_together_back_off_once);
  CPPUNIT_TEST(a_response_time_resets_the_backoff);
  CPPUNIT_TEST(a_sudden_slowdown_raises_the_timeout_at_once);
  CPPUNIT_TEST_SUITE_END();

  retry_timeout timeout_{250ms, 1500ms};

public:
  void a_fast_group_gets_the_minimum() {
    CPPUNIT_ASSERT(timeout_.timeout() == 250ms);
    timeout_.record_response_time(20ms);
    CPPUNIT_ASSERT(timeout_.timeout() == 250ms);
  }

  void the_timeout_follows_rising_response_times() {
    // Response times rise to three times the minimum without exceeding the
    // timeout.
    for (duration_ms response_time = 20ms; response_time <= 750ms;
         response_time += 10ms) {
      CPPUNIT_ASSERT(response_time < timeout_.timeout());
      timeout_.record_response_time(response_time);
    }
  }

  void the_timeout_is_capped() {
    for (int answer = 0; answer < 100; ++answer) {
      timeout_.record_response_time(5000ms);
    }
    CPPUNIT_ASSERT(timeout_.timeout() == 1500ms);
  }

  void each_expiry_doubles_the_timeout() {
    timestamp now{10s};
    const auto expire = [&] {
      const timestamp sent = now;
      now += timeout_.timeout();
      timeout_.on_timeout(sent, now);
      return timeout_.timeout();
    };
    CPPUNIT_ASSERT(expire() == 500ms);
    CPPUNIT_ASSERT(expire() == 1000ms);
    CPPUNIT_ASSERT(expire() == 1500ms);
    CPPUNIT_ASSERT(expire() == 1500ms);
  }

  void requests_sent_together_back_off_once() {
    const timestamp start{10s};
    for (duration_ms later = 0ms; later < 250ms; later += 25ms) {
      timeout_.on_timeout(start + later, start + later + 250ms);
    }
    CPPUNIT_ASSERT(timeout_.timeout() == 500ms);
  }

  void a_response_time_resets_the_backoff() {
    timeout_.on_timeout(timestamp{10s}, timestamp{11s});
    timeout_.record_response_time(20ms);
    CPPUNIT_ASSERT(timeout_.timeout() == 250ms);
  }

  void a_sudden_slowdown_raises_the_timeout_at_once() {
    for (int answer = 0; answer < 100; ++answer) {
      timeout_.record_response_time(20ms);
    }
    timeout_.record_response_time(400ms);
    CPPUNIT_ASSERT(timeout_.timeout() == 800ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_timeout_test);

} // namespace
} // namespace heathtrestle::records
