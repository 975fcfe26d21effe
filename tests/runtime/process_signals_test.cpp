// Signals that come before their handler: they are handled late, and neither
// end the process nor get lost.
#include "runtime/process_signals.hpp"
#include "runtime/signal_mask.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::runtime {
namespace {

constexpr std::chrono::milliseconds handling_time{200};

class process_signals_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(process_signals_test);
  CPPUNIT_TEST(an_early_reload_is_carried_out_late);
  CPPUNIT_TEST(an_early_stop_is_carried_out_late);
  CPPUNIT_TEST(each_later_reload_is_carried_out);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    pthread_sigmask(SIG_SETMASK, nullptr, &mask_before_);
    block_signals();
  }

  void tearDown() override {
    pthread_sigmask(SIG_SETMASK, &mask_before_, nullptr);
  }

  void an_early_reload_is_carried_out_late() {
    std::raise(SIGHUP);
    const process_signals signals = install();
    io_.run_for(handling_time);
    CPPUNIT_ASSERT_EQUAL(1, reloads_);
    CPPUNIT_ASSERT_EQUAL(0, stops_);
  }

  void an_early_stop_is_carried_out_late() {
    std::raise(SIGTERM);
    const process_signals signals = install();
    io_.run_for(handling_time);
    CPPUNIT_ASSERT_EQUAL(1, stops_);
    CPPUNIT_ASSERT_EQUAL(0, reloads_);
  }

  void each_later_reload_is_carried_out() {
    const process_signals signals = install();
    for (int n = 1; n <= 3; ++n) {
      std::raise(SIGHUP);
      io_.run_for(handling_time);
      CPPUNIT_ASSERT_EQUAL(n, reloads_);
    }
  }

private:
  process_signals install() {
    return process_signals(
        io_, [this] { ++stops_; }, [this] { ++reloads_; });
  }

  asio::io_context io_;
  sigset_t mask_before_{};
  int stops_ = 0;
  int reloads_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_signals_test);

} // namespace
} // namespace heathtrestle::runtime
