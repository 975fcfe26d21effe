#include "records/ledger_client.hpp"

#include "support/coroutines.hpp"
#include "support/ledger_ticks.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace heathtrestle::records {
namespace {

using test_support::await_result;

wire::RecordMembers members_at(const std::vector<std::string> &addresses) {
  wire::RecordMembers members;
  for (const std::string &address : addresses) {
    wire::RecordMember &member = *members.add_members();
    member.set_name(address);
    member.set_address(address);
  }
  return members;
}

/// A group with a leader at one address. All other nodes refuse requests or do
/// not answer.
class fake_group {
public:
  std::string leader = "leader:1";
  bool others_are_silent = false;
  bool names_leader = true;
  duration_ms answers_after{0};
  wire::RecordVerdict verdict = wire::RECORD_GRANTED;
  std::vector<std::string> asked;
  std::vector<wire::RecordChange> taken;
  std::vector<std::uint64_t> asked_ids;
  int load_reports_received = 0;
  std::string place_of_previous;
  ledger_client *client = nullptr;
  asio::io_context *io = nullptr;

  void receive(const std::string &address, const wire::Envelope &envelope) {
    asked.push_back(address);
    for (const auto &item : envelope.record_request().items()) {
      asked_ids.push_back(item.id());
    }
    wire::Envelope answer;
    wire::RecordReply &reply = *answer.mutable_record_reply();
    if (address != leader) {
      if (others_are_silent) {
        return;
      }
      reply.set_not_leader(true);
      reply.set_leader_address(names_leader ? leader : "");
      for (const auto &item : envelope.record_request().items()) {
        reply.add_refused(item.id());
      }
    } else {
      reply.set_leader_address(leader);
      if (envelope.record_request().has_loads()) {
        ++load_reports_received;
        reply.mutable_loads()->set_gateways(3);
      }
      for (const auto &item : envelope.record_request().items()) {
        taken.push_back(item.change());
        wire::RecordReplyItem &done = *reply.add_items();
        done.set_id(item.id());
        if (!place_of_previous.empty()) {
          done.mutable_previous_place()->set_instance(place_of_previous);
          done.mutable_previous_place()->set_tokens(77);
        }
        done.set_verdict(item.change().has_end() ? wire::RECORD_DONE : verdict);
      }
    }
    if (answers_after == duration_ms{0}) {
      asio::post(*io, [this, answer] { client->on_message(answer); });
      return;
    }
    const auto late = std::make_shared<asio::steady_timer>(*io, answers_after);
    late->async_wait([this, answer, late](boost::system::error_code) {
      client->on_message(answer);
    });
  }
};

class ledger_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ledger_client_test);
  CPPUNIT_TEST(a_turn_is_granted_by_the_leader);
  CPPUNIT_TEST(loads_are_reported_at_the_interval);
  CPPUNIT_TEST(the_place_of_a_turn_is_sent_and_received);
  CPPUNIT_TEST(a_refusal_redirects_to_the_leader);
  CPPUNIT_TEST(a_silent_node_is_skipped);
  CPPUNIT_TEST(an_unanswered_turn_is_unavailable_and_released);
  CPPUNIT_TEST(an_end_is_retried_until_it_is_confirmed);
  CPPUNIT_TEST(timeouts_at_dead_nodes_do_not_abandon_the_leader);
  CPPUNIT_TEST(concurrent_requests_share_a_message);
  CPPUNIT_TEST(a_slow_leader_does_not_get_every_request_twice);
  CPPUNIT_TEST(a_reply_to_an_earlier_process_is_ignored);
  CPPUNIT_TEST(a_silent_partition_refuses_at_once_until_it_is_back);
  CPPUNIT_TEST(a_partition_without_a_leader_refuses_at_once);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  fake_group group_;
  std::unique_ptr<ledger_client> client_;

  static turn_request turn(const std::string &attempt) {
    return {.program = "p",
            .attempt = attempt,
            .budget = 100,
            .most = 10,
            .previous = "",
            .want_history = false,
            .keep = duration_ms{1000}};
  }

  turn_grant begin(const std::string &attempt, duration_ms patience) {
    return await_result(io_,
                        client_->begin(turn(attempt), steady_now() + patience));
  }

public:
  void setUp() override {
    make_client();
    group_.io = &io_;
    client_->learn_members(members_at({"other:1", "leader:1", "third:1"}));
    asio::co_spawn(io_, test_support::tick_forever(io_, *client_),
                   asio::detached);
  }

  void make_client() {
    client_ = std::make_unique<ledger_client>(
        io_,
        ledger_options{.address = "gateway:1",
                       .min_retry_timeout = duration_ms{40}},
        [this](const std::string &address, const wire::Envelope &envelope) {
          group_.receive(address, envelope);
        });
    group_.client = client_.get();
  }
  void tearDown() override {
    io_.stop();
    client_.reset();
  }

  void a_turn_is_granted_by_the_leader() {
    const auto grant = begin("a", duration_ms{5000});
    CPPUNIT_ASSERT(grant.verdict == turn_verdict::granted);
    group_.verdict = wire::RECORD_BUDGET_SPENT;
    CPPUNIT_ASSERT(begin("b", duration_ms{5000}).verdict ==
                   turn_verdict::budget_spent);
  }

  void loads_are_reported_at_the_interval() {
    constexpr duration_ms an_hour{3600000};
    for (const duration_ms interval : {an_hour, duration_ms{0}}) {
      ledger_options options{.address = "gateway:1"};
      int heard = 0;
      options.loads = [] {
        wire::ReplicaLoads own;
        own.add_replicas(1);
        own.add_running(2);
        return own;
      };
      options.loads_interval = interval;
      options.on_loads = [&heard](const wire::SharedLoads &shared) {
        CPPUNIT_ASSERT_EQUAL(3U, shared.gateways());
        ++heard;
      };
      ledger_client telling(
          io_, options,
          [this](const std::string &address, const wire::Envelope &envelope) {
            group_.receive(address, envelope);
          });
      group_.client = &telling;
      group_.load_reports_received = 0;
      telling.learn_members(members_at({"third:1", "leader:1"}));
      for (const char *attempt : {"a", "b", "c"}) {
        await_result(io_, telling.begin(turn(attempt),
                                        steady_now() + duration_ms{5000}));
      }
      const int expected = interval == an_hour ? 1 : 3;
      CPPUNIT_ASSERT_EQUAL(expected, group_.load_reports_received);
      CPPUNIT_ASSERT_EQUAL(expected, heard);
    }
  }

  void the_place_of_a_turn_is_sent_and_received() {
    group_.place_of_previous = "engine-1";
    const auto grant = begin("a", duration_ms{5000});
    CPPUNIT_ASSERT((grant.previous_place ==
                    turn_place{.instance = "engine-1", .tokens = 77}));
    turn_end end{.program = "p", .attempt = "a", .used = 1};
    end.kept.id = "a";
    end.kept.place = {.instance = "engine-2", .tokens = 99};
    CPPUNIT_ASSERT(await_result(
        io_, client_->finish(end, steady_now() + duration_ms{5000})));
    const wire::TurnPlace &told = group_.taken.back().end().kept().place();
    CPPUNIT_ASSERT_EQUAL(std::string("engine-2"), told.instance());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, told.tokens());
  }

  void a_refusal_redirects_to_the_leader() {
    group_.leader = "third:1";
    CPPUNIT_ASSERT(begin("a", duration_ms{5000}).verdict ==
                   turn_verdict::granted);
    CPPUNIT_ASSERT_EQUAL(std::string("third:1"), group_.asked.back());
    CPPUNIT_ASSERT(group_.asked.size() <= 2);
  }

  void a_silent_node_is_skipped() {
    group_.others_are_silent = true;
    CPPUNIT_ASSERT(begin("a", duration_ms{5000}).verdict ==
                   turn_verdict::granted);
  }

  void an_unanswered_turn_is_unavailable_and_released() {
    group_.leader = "nobody:1";
    group_.others_are_silent = true;
    CPPUNIT_ASSERT(begin("a", duration_ms{60}).verdict ==
                   turn_verdict::unavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, client_->unsettled());
    group_.leader = "leader:1";
    while (client_->unsettled() > 0) {
      io_.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), group_.taken.back().end().attempt());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, group_.taken.back().end().used());
  }

  void an_end_is_retried_until_it_is_confirmed() {
    group_.leader = "nobody:1";
    group_.others_are_silent = true;
    const bool confirmed =
        await_result(io_, client_->finish({.program = "p",
                                           .attempt = "a",
                                           .used = 7,
                                           .kept = {},
                                           .keep = duration_ms{1000}},
                                          steady_now() + duration_ms{60}));
    CPPUNIT_ASSERT(!confirmed);
    group_.leader = "leader:1";
    while (client_->unsettled() > 0) {
      io_.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, group_.taken.back().end().used());
  }

  void timeouts_at_dead_nodes_do_not_abandon_the_leader() {
    // Guards against requests sent to dead nodes: each of their timeouts made
    // the client abandon a leader that answers.
    group_.others_are_silent = true;
    group_.leader = "other:1"; // not the one that is asked first
    asio::steady_timer timer(io_);
    constexpr int requests = 150;
    int answered = 0;
    std::size_t settled_at = 0;
    for (int number = 0; number < requests; ++number) {
      asio::co_spawn(
          io_,
          client_->begin(turn("q" + std::to_string(number)),
                         steady_now() + duration_ms{20000}),
          [&answered](std::exception_ptr, turn_grant) { ++answered; });
      await_result(io_, [&timer]() -> asio::awaitable<bool> {
        timer.expires_after(duration_ms{3});
        co_await timer.async_wait(as_result);
        co_return true;
      }());
      if (number == requests / 2) {
        settled_at = group_.asked.size();
      }
    }
    while (answered < requests) {
      io_.run_one();
    }
    const auto strayed = std::count_if(
        group_.asked.begin() + static_cast<std::ptrdiff_t>(settled_at),
        group_.asked.end(),
        [this](const std::string &asked) { return asked != group_.leader; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, strayed);
  }

  // Guards against a timeout that stays short while all responses take longer:
  // every request would be sent several times, and no response time could be
  // measured (Karn's rule).
  void a_slow_leader_does_not_get_every_request_twice() {
    constexpr std::size_t requests = 10;
    ledger_client client(
        io_,
        ledger_options{.address = "gateway:1",
                       .min_retry_timeout = duration_ms{25},
                       .max_retry_timeout = duration_ms{400},
                       .unserved_after = duration_ms{60000}},
        [this](const std::string &address, const wire::Envelope &envelope) {
          group_.receive(address, envelope);
        });
    group_.client = &client;
    group_.answers_after = duration_ms{150};
    client.learn_members(members_at({"leader:1"}));
    asio::co_spawn(io_, test_support::tick_forever(io_, client),
                   asio::detached);
    for (std::size_t each = 0; each < requests; ++each) {
      const timestamp patient = steady_now() + duration_ms{60000};
      CPPUNIT_ASSERT(
          await_result(io_, client.begin(turn(std::to_string(each)), patient))
              .verdict == turn_verdict::granted);
    }
    // Each request is sent again at most once.
    CPPUNIT_ASSERT_LESSEQUAL(2 * requests, group_.asked_ids.size());
  }

  void concurrent_requests_share_a_message() {
    begin("warm", duration_ms{5000});
    const std::size_t before = group_.asked.size();
    int answered = 0;
    for (const char *attempt : {"a", "b", "c"}) {
      asio::co_spawn(
          io_, client_->begin(turn(attempt), steady_now() + duration_ms{5000}),
          [&answered](std::exception_ptr, turn_grant) { ++answered; });
    }
    while (answered < 3) {
      io_.run_one();
    }
    CPPUNIT_ASSERT_EQUAL(before + 1, group_.asked.size());
  }

  /// No node leads, and the deadlines of callers are longer than the test may
  /// take.
  void check_refused_until_back() {
    static constexpr duration_ms patience{5000};
    ledger_client client(
        io_,
        {.address = "gateway:1",
         .min_retry_timeout = duration_ms{40},
         .unserved_after = duration_ms{100}},
        [this](const std::string &address, const wire::Envelope &envelope) {
          group_.receive(address, envelope);
        });
    group_.client = &client;
    client.learn_members(members_at({"other:1", "leader:1", "third:1"}));
    asio::co_spawn(io_, test_support::tick_forever(io_, client),
                   asio::detached);
    const auto begin = [this, &client](const std::string &attempt) {
      return await_result(io_,
                          client.begin(turn(attempt), steady_now() + patience));
    };
    group_.leader = "nobody:1";
    group_.names_leader = false;
    const turn_grant held = begin("held");
    CPPUNIT_ASSERT(held.verdict == turn_verdict::unavailable);
    CPPUNIT_ASSERT(held.retry_after > duration_ms{0});
    const turn_grant next = begin("next");
    CPPUNIT_ASSERT(next.verdict == turn_verdict::unavailable);
    CPPUNIT_ASSERT(next.retry_after > duration_ms{0});
    group_.leader = "leader:1";
    // A probe finds the leader without any request.
    turn_grant back = begin("back");
    const timestamp give_up = steady_now() + patience;
    while (back.verdict != turn_verdict::granted && steady_now() < give_up) {
      io_.restart();
      io_.run_for(duration_ms{20});
      back = begin("back");
    }
    CPPUNIT_ASSERT(back.verdict == turn_verdict::granted);
  }

  void a_silent_partition_refuses_at_once_until_it_is_back() {
    group_.others_are_silent = true;
    check_refused_until_back();
  }

  void a_partition_without_a_leader_refuses_at_once() {
    check_refused_until_back();
  }

  void a_reply_to_an_earlier_process_is_ignored() {
    // Guards against replies to a killed gateway being accepted by its
    // successor at the same address.
    group_.leader = "nobody";
    group_.others_are_silent = true;
    begin("of the earlier process", duration_ms{30});
    const std::vector<std::uint64_t> earlier = group_.asked_ids;
    CPPUNIT_ASSERT(!earlier.empty());
    io_.stop();
    ledger_client fresh(io_, ledger_options{.address = "gateway:1"},
                        [](const std::string &, const wire::Envelope &) {});
    fresh.learn_members(members_at({"leader:1"}));
    wire::Envelope late;
    for (const std::uint64_t id : earlier) {
      wire::RecordReplyItem &item = *late.mutable_record_reply()->add_items();
      item.set_id(id);
      item.set_verdict(wire::RECORD_GRANTED);
      item.add_history()->set_input("another program's words");
    }
    asio::steady_timer timer(io_, duration_ms{20});
    timer.async_wait([&](auto) { fresh.on_message(late); });
    const turn_grant grant = await_result(
        io_, fresh.begin(turn("fresh"), steady_now() + duration_ms{60}));
    CPPUNIT_ASSERT(grant.verdict == turn_verdict::unavailable);
    CPPUNIT_ASSERT(grant.history.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_client_test);

} // namespace
} // namespace heathtrestle::records
