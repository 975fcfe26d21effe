#include "records/group_failure_detector.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

class group_failure_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(group_failure_detector_test);
  CPPUNIT_TEST(silence_counts_only_while_a_request_waits);
  CPPUNIT_TEST(any_reply_makes_it_reachable);
  CPPUNIT_TEST(it_is_cut_off_when_a_peer_reaches_the_group);
  CPPUNIT_TEST(it_is_cut_off_when_nobody_answers_at_all);
  CPPUNIT_TEST(a_group_that_no_peer_reaches_is_not_a_cut_off);
  CPPUNIT_TEST(peer_reports_do_not_override_a_reply);
  CPPUNIT_TEST(only_a_recent_reply_counts_for_peers);
  CPPUNIT_TEST_SUITE_END();

  group_failure_detector detector_;
  const timestamp start_ = timestamp_from(50000);

  void become_unreachable() {
    detector_.on_reply(start_);
    detector_.check(start_, start_ + duration_ms{600});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::unreachable);
  }

public:
  void silence_counts_only_while_a_request_waits() {
    detector_.on_reply(start_);
    detector_.check({}, start_ + duration_ms{60000});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::reachable);
    const timestamp asked = start_ + duration_ms{60000};
    detector_.check(asked, asked + duration_ms{599});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::reachable);
    detector_.check(asked, asked + duration_ms{600});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::unreachable);
    CPPUNIT_ASSERT(!detector_.cut_off());
  }

  void any_reply_makes_it_reachable() {
    become_unreachable();
    detector_.on_peer_reachability(peer_reachability::reachable);
    detector_.on_reply(start_ + duration_ms{900});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::reachable);
    // The old request still waits; its silence is counted from the reply.
    detector_.check(start_, start_ + duration_ms{1400});
    CPPUNIT_ASSERT(detector_.state() == group_reachability::reachable);
  }

  void it_is_cut_off_when_a_peer_reaches_the_group() {
    become_unreachable();
    detector_.on_peer_reachability(peer_reachability::reachable);
    CPPUNIT_ASSERT(detector_.cut_off());
    detector_.on_peer_reachability(peer_reachability::unreachable);
    CPPUNIT_ASSERT(!detector_.cut_off());
  }

  void it_is_cut_off_when_nobody_answers_at_all() {
    become_unreachable();
    detector_.on_peer_reachability(peer_reachability::no_answer);
    CPPUNIT_ASSERT(detector_.cut_off());
  }

  void a_group_that_no_peer_reaches_is_not_a_cut_off() {
    become_unreachable();
    detector_.on_peer_reachability(peer_reachability::unreachable);
    CPPUNIT_ASSERT(!detector_.cut_off());
    detector_.on_peer_reachability(peer_reachability::no_peers);
    CPPUNIT_ASSERT(!detector_.cut_off());
  }

  void peer_reports_do_not_override_a_reply() {
    detector_.on_reply(start_);
    detector_.on_peer_reachability(peer_reachability::reachable);
    CPPUNIT_ASSERT(detector_.state() == group_reachability::reachable);
  }

  void only_a_recent_reply_counts_for_peers() {
    CPPUNIT_ASSERT(!detector_.heard_lately(start_));
    detector_.on_reply(start_);
    CPPUNIT_ASSERT(detector_.heard_lately(start_ + duration_ms{999}));
    CPPUNIT_ASSERT(!detector_.heard_lately(start_ + duration_ms{1000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_failure_detector_test);

} // namespace
} // namespace heathtrestle::records
