#include "records/group_failure_detector.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

class group_failure_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(group_failure_detector_test);
  CPPUNIT_TEST(silence_counts_only_while_something_is_asked);
  CPPUNIT_TEST(any_answer_restores_contact);
  CPPUNIT_TEST(it_is_cut_off_when_another_hears_the_group);
  CPPUNIT_TEST(it_is_cut_off_when_nobody_answers_at_all);
  CPPUNIT_TEST(a_group_that_nobody_hears_is_waited_for);
  CPPUNIT_TEST(opinions_do_not_outweigh_an_answer);
  CPPUNIT_TEST(only_a_fresh_answer_vouches_for_the_group);
  CPPUNIT_TEST_SUITE_END();

  group_failure_detector contact_;
  const timestamp start_ = timestamp_from(50000);

  void fall_silent() {
    contact_.on_reply(start_);
    contact_.check(start_, start_ + duration_ms{600});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::unreachable);
  }

public:
  void silence_counts_only_while_something_is_asked() {
    contact_.on_reply(start_);
    contact_.check({}, start_ + duration_ms{60000});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::reachable);
    const timestamp asked = start_ + duration_ms{60000};
    contact_.check(asked, asked + duration_ms{599});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::reachable);
    contact_.check(asked, asked + duration_ms{600});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::unreachable);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void any_answer_restores_contact() {
    fall_silent();
    contact_.on_peer_reachability(peer_reachability::reachable);
    contact_.on_reply(start_ + duration_ms{900});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::reachable);
    // The old question is still open; its silence begins anew.
    contact_.check(start_, start_ + duration_ms{1400});
    CPPUNIT_ASSERT(contact_.state() == group_reachability::reachable);
  }

  void it_is_cut_off_when_another_hears_the_group() {
    fall_silent();
    contact_.on_peer_reachability(peer_reachability::reachable);
    CPPUNIT_ASSERT(contact_.cut_off());
    contact_.on_peer_reachability(peer_reachability::unreachable);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void it_is_cut_off_when_nobody_answers_at_all() {
    fall_silent();
    contact_.on_peer_reachability(peer_reachability::no_answer);
    CPPUNIT_ASSERT(contact_.cut_off());
  }

  void a_group_that_nobody_hears_is_waited_for() {
    fall_silent();
    contact_.on_peer_reachability(peer_reachability::unreachable);
    CPPUNIT_ASSERT(!contact_.cut_off());
    contact_.on_peer_reachability(peer_reachability::no_peers);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void opinions_do_not_outweigh_an_answer() {
    contact_.on_reply(start_);
    contact_.on_peer_reachability(peer_reachability::reachable);
    CPPUNIT_ASSERT(contact_.state() == group_reachability::reachable);
  }

  void only_a_fresh_answer_vouches_for_the_group() {
    CPPUNIT_ASSERT(!contact_.heard_lately(start_));
    contact_.on_reply(start_);
    CPPUNIT_ASSERT(contact_.heard_lately(start_ + duration_ms{999}));
    CPPUNIT_ASSERT(!contact_.heard_lately(start_ + duration_ms{1000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_failure_detector_test);

} // namespace
} // namespace heathtrestle::records
