#include "gateway/pending_table.hpp"

#include "support/step_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::gateway {
namespace {

class pending_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pending_table_test);
  CPPUNIT_TEST(asks_the_leader_again_until_answered);
  CPPUNIT_TEST(a_redirect_is_followed_at_once);
  CPPUNIT_TEST(what_was_sent_whole_is_only_reminded_of);
  CPPUNIT_TEST(not_run_is_said_only_of_what_never_left);
  CPPUNIT_TEST(a_key_of_the_callers_may_have_been_sent_elsewhere);
  CPPUNIT_TEST(text_is_passed_on_once_and_in_order);
  CPPUNIT_TEST(a_retry_with_other_words_is_not_mixed_in);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    members_ = std::make_unique<membership::member_table>(
        tests::make_member("gateway", "z1"));
    table_ = std::make_unique<pending_table>(gateway_options{});
  }

  void asks_the_leader_again_until_answered() {
    know_leader("leader", 1);
    tests::step_fixture first(1000);
    arrive(first, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.sent().size());
    tests::step_fixture second(2000);
    tick(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.sent().size());
    tests::step_fixture third(2100);
    wire::ClientReply reply;
    reply.set_request_id("r");
    reply.mutable_program()->set_id("p");
    gateway_view view{third.step(), *members_};
    table_->on_reply(view, reply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_->size());
  }

  void a_redirect_is_followed_at_once() {
    know_leader("old", 1);
    tests::step_fixture first(1000);
    arrive(first, false);
    tests::step_fixture second(1010);
    wire::ClientReply reply;
    reply.set_request_id("r");
    reply.mutable_redirect()->set_term(2);
    reply.mutable_redirect()->set_node(make_node_id("new").value());
    gateway_view view{second.step(), *members_};
    table_->on_reply(view, reply);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.sent().size());
    CPPUNIT_ASSERT_EQUAL(make_node_id("new").value(),
                         second.effects().back().send().to());
  }

  void what_was_sent_whole_is_only_reminded_of() {
    know_leader("leader", 1);
    tests::step_fixture first(1000);
    arrive(first, false);
    CPPUNIT_ASSERT(!first.sent()[0].client_request().submit_call().reminder());
    tests::step_fixture second(2000);
    tick(second);
    CPPUNIT_ASSERT(second.sent()[0].client_request().submit_call().reminder());
    // The whole request was lost on its way: the leader asks for it.
    tests::step_fixture third(2100);
    wire::ClientReply unknown;
    unknown.set_request_id("r");
    unknown.set_send_whole(true);
    gateway_view view{third.step(), *members_};
    table_->on_reply(view, unknown);
    CPPUNIT_ASSERT(!third.sent()[0].client_request().submit_call().reminder());
    // Another leader has not been sent it at all.
    know_leader("next", 2);
    tests::step_fixture fourth(9000);
    tick(fourth);
    CPPUNIT_ASSERT(!fourth.sent()[0].client_request().submit_call().reminder());
  }

  void not_run_is_said_only_of_what_never_left() {
    tests::step_fixture first(1000);
    arrive(first, true);
    tests::step_fixture late(8000);
    tick(late);
    CPPUNIT_ASSERT(given_up(late).ran() == wire::RAN_NOT_RUN);
    CPPUNIT_ASSERT(given_up(late).retry_after_ms() > 0);

    know_leader("leader", 1);
    tests::step_fixture again(9000);
    arrive(again, true);
    tests::step_fixture much_later(9000 + 130000);
    tick(much_later);
    CPPUNIT_ASSERT(given_up(much_later).ran() == wire::RAN_UNKNOWN);
  }

  void a_key_of_the_callers_may_have_been_sent_elsewhere() {
    tests::step_fixture first(1000);
    arrive(first, false);
    tests::step_fixture late(8000);
    tick(late);
    CPPUNIT_ASSERT(given_up(late).ran() == wire::RAN_UNKNOWN);
  }

  void text_is_passed_on_once_and_in_order() {
    know_leader("leader", 1);
    tests::step_fixture fixture(1000);
    arrive(fixture, false);
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/1", 8, "lost before this");
    chunk(fixture, "a/1", 0, "one two ");
    CPPUNIT_ASSERT_EQUAL(std::string("one two "), streamed(fixture));
  }

  void a_retry_with_other_words_is_not_mixed_in() {
    know_leader("leader", 1);
    tests::step_fixture fixture(1000);
    arrive(fixture, false);
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/2", 0, "uno ");
    chunk(fixture, "a/3", 0, "one two ");
    CPPUNIT_ASSERT_EQUAL(std::string("one two "), streamed(fixture));
  }

private:
  void know_leader(const std::string &name, std::uint64_t term) {
    wire::LeaderHint hint;
    hint.set_partition(0);
    hint.set_term(term);
    hint.set_node(make_node_id(name).value());
    members_->merge(hint);
  }

  void arrive(tests::step_fixture &fixture, bool fresh_key) {
    wire::ClientArrived arrived;
    arrived.mutable_request()->set_request_id("r");
    arrived.mutable_request()->mutable_submit_call();
    arrived.set_key_is_fresh(fresh_key);
    gateway_view view{fixture.step(), *members_};
    table_->on_arrived(view, arrived);
  }

  void tick(tests::step_fixture &fixture) {
    gateway_view view{fixture.step(), *members_};
    table_->tick(view);
  }

  void chunk(tests::step_fixture &fixture, const std::string &attempt,
             std::uint64_t offset, const std::string &text) {
    wire::StreamChunk piece;
    piece.set_request_id("r");
    piece.set_engine_request(attempt);
    piece.set_offset(offset);
    piece.set_text(text);
    gateway_view view{fixture.step(), *members_};
    table_->on_chunk(view, piece);
  }

  static std::string streamed(tests::step_fixture &fixture) {
    std::string text;
    for (const wire::Effect &effect : fixture.effects()) {
      if (effect.has_stream_to_client()) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{text.size()},
                             effect.stream_to_client().offset());
        text += effect.stream_to_client().text();
      }
    }
    return text;
  }

  static wire::Failure given_up(tests::step_fixture &fixture) {
    for (const wire::Effect &effect : fixture.effects()) {
      if (effect.has_reply_to_client()) {
        return effect.reply_to_client().reply().failure();
      }
    }
    CPPUNIT_FAIL("no final answer was given");
    return {};
  }

  std::unique_ptr<membership::member_table> members_;
  std::unique_ptr<pending_table> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_table_test);

} // namespace
} // namespace heathtrestle::gateway
