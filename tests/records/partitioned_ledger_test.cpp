#include "records/partitioned_ledger.hpp"

#include "records/partitions.hpp"
#include "support/coroutines.hpp"
#include "support/fake_partitions.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace heathtrestle::records {
namespace {

using test_support::await_result;

using test_support::fake_partitions;

constexpr std::size_t partitions = 4;

class partitioned_ledger_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(partitioned_ledger_test);
  CPPUNIT_TEST(the_number_of_partitions_follows_the_settings);
  CPPUNIT_TEST(each_program_has_one_partition);
  CPPUNIT_TEST(a_chain_of_another_partition_is_copied_over);
  CPPUNIT_TEST(a_turn_that_no_partition_knows_is_unknown);
  CPPUNIT_TEST(a_silent_partition_may_hold_the_turn);
  CPPUNIT_TEST(a_gateway_that_is_cut_off_grants_nothing_until_it_is_back);
  CPPUNIT_TEST(a_group_that_is_down_for_all_is_not_a_cut_off);
  CPPUNIT_TEST(it_reports_the_places_of_the_storage_nodes);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  fake_partitions group_{io_};
  std::unique_ptr<partitioned_ledger> ledger_;

  /// Returns a program of partition `number`.
  static std::string program_in(std::size_t number, std::size_t count = 0) {
    for (int name = 0;; ++name) {
      const std::string program = "program-" + std::to_string(name);
      if (partition_of(program, partitions) == number && count-- == 0) {
        return program;
      }
    }
  }

  /// @param patience long when a reply is expected, so that a busy machine does
  /// not change the outcome.
  turn_grant begin(const std::string &program, const std::string &attempt,
                   const std::string &previous,
                   duration_ms patience = duration_ms{10000}) {
    return await_result(io_, ledger_->begin({.program = program,
                                             .attempt = attempt,
                                             .budget = 100,
                                             .most = 10,
                                             .previous = previous,
                                             .want_history = !previous.empty(),
                                             .keep = duration_ms{60000}},
                                            steady_now() + patience));
  }

  void finish(const std::string &program, const std::string &attempt,
              const std::string &previous) {
    CPPUNIT_ASSERT(await_result(
        io_, ledger_->finish({.program = program,
                              .attempt = attempt,
                              .used = 5,
                              .kept = {.id = attempt,
                                       .previous = previous,
                                       .input = "ask " + attempt + ".",
                                       .output = "say " + attempt + "."},
                              .keep = duration_ms{60000}},
                             steady_now() + duration_ms{10000})));
  }

public:
  void setUp() override {
    ledger_ = std::make_unique<partitioned_ledger>(
        io_, ledger_options{.address = "gateway:1", .unserved_after = an_hour},
        partitions,
        [this](const std::string &, const wire::Envelope &envelope) {
          group_.receive(envelope);
        });
    group_.ledger = ledger_.get();
    wire::RecordMembers members;
    members.add_members()->set_address("leader:1");
    ledger_->learn_members(members);
  }

  void the_number_of_partitions_follows_the_settings() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, partition_count(0, 0, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, partition_count(0, 1, 5000));
    CPPUNIT_ASSERT_EQUAL(min_partitions_for_multiple_losses,
                         partition_count(0, 2, 0));
    CPPUNIT_ASSERT_EQUAL(min_partitions_for_multiple_losses,
                         partition_count(0, 2, 400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, partition_count(0, 2, 3200));
    CPPUNIT_ASSERT_EQUAL(max_partitions, partition_count(0, 2, 1000000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, partition_count(7, 1, 3200));
  }

  void each_program_has_one_partition() {
    for (std::uint32_t number = 0; number < partitions; ++number) {
      const std::string program = program_in(number);
      CPPUNIT_ASSERT(begin(program, "first", "").verdict ==
                     turn_verdict::granted);
      finish(program, "first", "");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group_.turns_in(number));
    }
  }

  void a_chain_of_another_partition_is_copied_over() {
    const std::string earlier = program_in(0);
    begin(earlier, "one", "");
    finish(earlier, "one", "");
    begin(earlier, "two", "one");
    finish(earlier, "two", "one");
    const std::string later = program_in(3);
    const turn_grant grant = begin(later, "three", "two");
    CPPUNIT_ASSERT(grant.verdict == turn_verdict::granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, grant.history.size());
    CPPUNIT_ASSERT_EQUAL(std::string("ask one."), grant.history[0].input);
    CPPUNIT_ASSERT_EQUAL(std::string("say two."), grant.history[1].output);
    finish(later, "three", "two");
    // The program's own partition now holds the whole chain.
    group_.silent = {0, 1, 2};
    const turn_grant next = begin(later, "four", "three");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, next.history.size());
  }

  void a_turn_that_no_partition_knows_is_unknown() {
    const turn_grant grant = begin(program_in(1), "one", "never was");
    CPPUNIT_ASSERT(grant.verdict == turn_verdict::unknown_turn);
    CPPUNIT_ASSERT_EQUAL(partitions, group_.asked.size());
  }

  void a_silent_partition_may_hold_the_turn() {
    group_.silent = {2};
    const turn_grant grant =
        begin(program_in(1), "one", "never was", duration_ms{300});
    CPPUNIT_ASSERT(grant.verdict == turn_verdict::unavailable);
  }

  void a_gateway_that_is_cut_off_grants_nothing_until_it_is_back() {
    const std::string program = program_in(1);
    begin(program, "one", "");
    group_.silent = {0, 1, 2, 3};
    // The deadline is longer than the test may take: only the cut-off ends the
    // wait.
    asio::co_spawn(io_, cut_off_once_silent(peer_reachability::reachable),
                   asio::detached);
    CPPUNIT_ASSERT(begin(program, "two", "", an_hour).verdict ==
                   turn_verdict::unavailable);
    CPPUNIT_ASSERT(ledger_->cut_off());
    const int asked = group_.asked[1];
    CPPUNIT_ASSERT(begin(program, "three", "", an_hour).verdict ==
                   turn_verdict::unavailable);
    CPPUNIT_ASSERT_EQUAL(asked, group_.asked[1]);
    group_.silent.clear();
    while (ledger_->cut_off()) { // a probe restores contact
      ledger_->check_reachability();
      io_.restart();
      io_.run_one_for(duration_ms{20});
    }
    CPPUNIT_ASSERT(begin(program, "four", "").verdict == turn_verdict::granted);
  }

  void a_group_that_is_down_for_all_is_not_a_cut_off() {
    group_.silent = {0, 1, 2, 3};
    asio::co_spawn(io_, cut_off_once_silent(peer_reachability::unreachable),
                   asio::detached);
    asio::co_spawn(io_, ledger_->run(), asio::detached);
    CPPUNIT_ASSERT(begin(program_in(1), "one", "", an_hour).verdict ==
                   turn_verdict::granted);
  }

private:
  static constexpr duration_ms an_hour{3600000};

  /// Waits until the group is unreachable and then applies the report of the
  /// peers. When they do not reach it either, the group comes back.
  asio::awaitable<void> cut_off_once_silent(peer_reachability reported) {
    asio::steady_timer timer(io_);
    while (ledger_->failure_detector().state() ==
           group_reachability::reachable) {
      timer.expires_after(duration_ms{20});
      co_await timer.async_wait(as_result);
      ledger_->check_reachability();
    }
    ledger_->on_peer_reachability(reported);
    if (reported != peer_reachability::reachable) {
      group_.silent.clear();
    }
  }

  void it_reports_the_places_of_the_storage_nodes() {
    wire::RecordMembers members;
    wire::RecordMember &far = *members.add_members();
    far.mutable_replica()->set_node(7);
    far.set_name("s7");
    far.set_address("far:1");
    far.set_zone("b1");
    far.set_region("b");
    ledger_->learn_members(members);
    const auto places = ledger_->storage_places();
    const storage_place wanted{.node = "s7", .zone = "b1", .region = "b"};
    CPPUNIT_ASSERT(std::find(places.begin(), places.end(), wanted) !=
                   places.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partitioned_ledger_test);

} // namespace
} // namespace heathtrestle::records
