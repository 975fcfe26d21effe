#include "records/group_contact.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

class group_contact_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(group_contact_test);
  CPPUNIT_TEST(silence_counts_only_while_something_is_asked);
  CPPUNIT_TEST(any_answer_restores_contact);
  CPPUNIT_TEST(it_is_cut_off_when_another_hears_the_group);
  CPPUNIT_TEST(it_is_cut_off_when_nobody_answers_at_all);
  CPPUNIT_TEST(a_group_that_nobody_hears_is_waited_for);
  CPPUNIT_TEST(opinions_do_not_outweigh_an_answer);
  CPPUNIT_TEST(only_a_fresh_answer_vouches_for_the_group);
  CPPUNIT_TEST_SUITE_END();

  group_contact contact_;
  const timestamp start_ = timestamp_from(50000);

  void fall_silent() {
    contact_.on_heard(start_);
    contact_.check(start_, start_ + duration_ms{600});
    CPPUNIT_ASSERT(contact_.state() == contact_state::silent);
  }

public:
  void silence_counts_only_while_something_is_asked() {
    contact_.on_heard(start_);
    contact_.check({}, start_ + duration_ms{60000});
    CPPUNIT_ASSERT(contact_.state() == contact_state::in_touch);
    const timestamp asked = start_ + duration_ms{60000};
    contact_.check(asked, asked + duration_ms{599});
    CPPUNIT_ASSERT(contact_.state() == contact_state::in_touch);
    contact_.check(asked, asked + duration_ms{600});
    CPPUNIT_ASSERT(contact_.state() == contact_state::silent);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void any_answer_restores_contact() {
    fall_silent();
    contact_.on_opinion(peer_opinion::heard);
    contact_.on_heard(start_ + duration_ms{900});
    CPPUNIT_ASSERT(contact_.state() == contact_state::in_touch);
    // The old question is still open; its silence begins anew.
    contact_.check(start_, start_ + duration_ms{1400});
    CPPUNIT_ASSERT(contact_.state() == contact_state::in_touch);
  }

  void it_is_cut_off_when_another_hears_the_group() {
    fall_silent();
    contact_.on_opinion(peer_opinion::heard);
    CPPUNIT_ASSERT(contact_.cut_off());
    contact_.on_opinion(peer_opinion::unheard);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void it_is_cut_off_when_nobody_answers_at_all() {
    fall_silent();
    contact_.on_opinion(peer_opinion::no_answer);
    CPPUNIT_ASSERT(contact_.cut_off());
  }

  void a_group_that_nobody_hears_is_waited_for() {
    fall_silent();
    contact_.on_opinion(peer_opinion::unheard);
    CPPUNIT_ASSERT(!contact_.cut_off());
    contact_.on_opinion(peer_opinion::nobody_known);
    CPPUNIT_ASSERT(!contact_.cut_off());
  }

  void opinions_do_not_outweigh_an_answer() {
    contact_.on_heard(start_);
    contact_.on_opinion(peer_opinion::heard);
    CPPUNIT_ASSERT(contact_.state() == contact_state::in_touch);
  }

  void only_a_fresh_answer_vouches_for_the_group() {
    CPPUNIT_ASSERT(!contact_.heard_lately(start_));
    contact_.on_heard(start_);
    CPPUNIT_ASSERT(contact_.heard_lately(start_ + duration_ms{999}));
    CPPUNIT_ASSERT(!contact_.heard_lately(start_ + duration_ms{1000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_contact_test);

} // namespace
} // namespace heathtrestle::records
