#include "gateway/pending_table.hpp"

#include "support/step_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::gateway {
namespace {

class pending_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pending_table_test);
  CPPUNIT_TEST(resends_to_the_leader_until_answered);
  CPPUNIT_TEST(follows_a_redirect_immediately);
  CPPUNIT_TEST(resends_only_a_reminder_after_the_full_request);
  CPPUNIT_TEST(reports_not_run_only_for_requests_never_sent);
  CPPUNIT_TEST(a_key_chosen_by_the_client_may_have_been_sent_elsewhere);
  CPPUNIT_TEST(streams_text_once_and_in_order);
  CPPUNIT_TEST(does_not_stream_a_retry_with_different_text);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    members_ = std::make_unique<membership::member_table>(
        tests::make_member("gateway", "z1"));
    table_ = std::make_unique<pending_table>(gateway_options{});
  }

  void resends_to_the_leader_until_answered() {
    set_leader("leader", 1);
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

  void follows_a_redirect_immediately() {
    set_leader("old", 1);
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

  void resends_only_a_reminder_after_the_full_request() {
    set_leader("leader", 1);
    tests::step_fixture first(1000);
    arrive(first, false);
    CPPUNIT_ASSERT(!first.sent()[0].client_request().submit_call().reminder());
    tests::step_fixture second(2000);
    tick(second);
    CPPUNIT_ASSERT(second.sent()[0].client_request().submit_call().reminder());
    // The full request was lost, and the leader requests it.
    tests::step_fixture third(2100);
    wire::ClientReply unknown;
    unknown.set_request_id("r");
    unknown.set_send_whole(true);
    gateway_view view{third.step(), *members_};
    table_->on_reply(view, unknown);
    CPPUNIT_ASSERT(!third.sent()[0].client_request().submit_call().reminder());
    // A new leader has not been sent the full request.
    set_leader("next", 2);
    tests::step_fixture fourth(9000);
    tick(fourth);
    CPPUNIT_ASSERT(!fourth.sent()[0].client_request().submit_call().reminder());
  }

  void reports_not_run_only_for_requests_never_sent() {
    tests::step_fixture first(1000);
    arrive(first, true);
    tests::step_fixture late(8000);
    tick(late);
    CPPUNIT_ASSERT(failure_sent(late).ran() == wire::RAN_NOT_RUN);
    CPPUNIT_ASSERT(failure_sent(late).retry_after_ms() > 0);

    set_leader("leader", 1);
    tests::step_fixture again(9000);
    arrive(again, true);
    tests::step_fixture much_later(9000 + 130000);
    tick(much_later);
    CPPUNIT_ASSERT(failure_sent(much_later).ran() == wire::RAN_UNKNOWN);
  }

  void a_key_chosen_by_the_client_may_have_been_sent_elsewhere() {
    tests::step_fixture first(1000);
    arrive(first, false);
    tests::step_fixture late(8000);
    tick(late);
    CPPUNIT_ASSERT(failure_sent(late).ran() == wire::RAN_UNKNOWN);
  }

  void streams_text_once_and_in_order() {
    set_leader("leader", 1);
    tests::step_fixture fixture(1000);
    arrive(fixture, false);
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/1", 8, "lost before this");
    chunk(fixture, "a/1", 0, "one two ");
    CPPUNIT_ASSERT_EQUAL(std::string("one two "), streamed(fixture));
  }

  void does_not_stream_a_retry_with_different_text() {
    set_leader("leader", 1);
    tests::step_fixture fixture(1000);
    arrive(fixture, false);
    chunk(fixture, "a/1", 0, "one ");
    chunk(fixture, "a/2", 0, "uno ");
    chunk(fixture, "a/3", 0, "one two ");
    CPPUNIT_ASSERT_EQUAL(std::string("one two "), streamed(fixture));
  }

private:
  void set_leader(const std::string &name, std::uint64_t term) {
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

  static wire::Failure failure_sent(tests::step_fixture &fixture) {
    for (const wire::Effect &effect : fixture.effects()) {
      if (effect.has_reply_to_client()) {
        return effect.reply_to_client().reply().failure();
      }
    }
    CPPUNIT_FAIL("no final reply was sent");
    return {};
  }

  std::unique_ptr<membership::member_table> members_;
  std::unique_ptr<pending_table> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_table_test);

} // namespace
} // namespace heathtrestle::gateway
