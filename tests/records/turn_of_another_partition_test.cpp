// Guards against continuing a turn of another partition by one request per
// partition in sequence: the round trips do not fit into the time that a turn
// waits for its grant while the group recovers.
#include "records/partitioned_ledger.hpp"

#include "records/partitions.hpp"
#include "support/coroutines.hpp"
#include "support/fake_partitions.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>

namespace heathtrestle::records {
namespace {

using test_support::await_result;

constexpr std::size_t partitions = 4;
/// Round trips that fit into the time that a turn waits for its grant while the
/// group recovers.
constexpr int most_rounds = 3;
/// Longer than the test takes on any machine.
constexpr duration_ms an_hour{3600000};

class turn_of_another_partition_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(turn_of_another_partition_test);
  CPPUNIT_TEST(a_turn_of_any_partition_is_continued_within_three_rounds);
  CPPUNIT_TEST(a_silent_partition_does_not_block_the_search);
  CPPUNIT_TEST(a_turn_that_no_partition_holds_is_unknown);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  test_support::fake_partitions group_{io_};
  std::unique_ptr<partitioned_ledger> ledger_;

  static std::string program_in(std::size_t number) {
    for (int name = 0;; ++name) {
      const std::string program = "program-" + std::to_string(name);
      if (partition_of(program, partitions) == number) {
        return program;
      }
    }
  }

  asio::awaitable<turn_grant> begin(std::size_t partition,
                                    const std::string &attempt,
                                    const std::string &previous) {
    return ledger_->begin({.program = program_in(partition),
                           .attempt = attempt,
                           .budget = 100,
                           .most = 10,
                           .previous = previous,
                           .want_history = !previous.empty(),
                           .keep = duration_ms{60000}},
                          steady_now() + an_hour);
  }

  void keep_turn(std::size_t partition, const std::string &id) {
    await_result(io_, begin(partition, id, ""));
    await_result(io_, ledger_->finish({.program = program_in(partition),
                                       .attempt = id,
                                       .used = 5,
                                       .kept = {.id = id,
                                                .previous = "",
                                                .input = "ask " + id + ".",
                                                .output = "say " + id + "."},
                                       .keep = duration_ms{60000}},
                                      steady_now() + an_hour));
  }

  /// Answers all queued requests repeatedly until the turn has its outcome.
  /// @return the number of rounds; a large number when there is no outcome.
  int rounds_until(std::optional<turn_grant> &outcome,
                   asio::awaitable<turn_grant> begun) {
    constexpr int many = 20;
    group_.queues_requests = true;
    asio::co_spawn(
        io_,
        [&outcome, &begun]() -> asio::awaitable<void> {
          outcome.emplace(co_await std::move(begun));
        },
        asio::detached);
    io_.restart();
    io_.poll();
    int rounds = 0;
    while (!outcome && rounds < many) {
      ++rounds;
      group_.answer_all();
      io_.restart();
      io_.poll();
    }
    return rounds;
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

  void a_turn_of_any_partition_is_continued_within_three_rounds() {
    for (std::size_t home = 0; home < partitions; ++home) {
      for (std::size_t keeper = 0; keeper < partitions; ++keeper) {
        group_.queues_requests = false;
        const std::string id =
            "kept " + std::to_string(home * partitions + keeper);
        keep_turn(keeper, id);
        std::optional<turn_grant> grant;
        const int rounds =
            rounds_until(grant, begin(home, "next to " + id, id));
        CPPUNIT_ASSERT(grant && grant->verdict == turn_verdict::granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grant->history.size());
        CPPUNIT_ASSERT_EQUAL("say " + id + ".", grant->history[0].output);
        CPPUNIT_ASSERT_LESSEQUAL(most_rounds, rounds);
      }
    }
  }

  void a_silent_partition_does_not_block_the_search() {
    keep_turn(3, "kept");
    group_.silent = {1};
    std::optional<turn_grant> grant;
    rounds_until(grant, begin(0, "next", "kept"));
    CPPUNIT_ASSERT(grant && grant->verdict == turn_verdict::granted);
  }

  void a_turn_that_no_partition_holds_is_unknown() {
    std::optional<turn_grant> grant;
    rounds_until(grant, begin(0, "next", "never was"));
    CPPUNIT_ASSERT(grant && grant->verdict == turn_verdict::unknown_turn);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_of_another_partition_test);

} // namespace
} // namespace heathtrestle::records
