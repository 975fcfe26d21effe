// A program is not kept waiting by attempts whose gateways died, and its
// clients never receive more than its budget and the most of one turn.
#include "records/token_account.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <vector>

namespace heathtrestle::records {
namespace {

constexpr std::uint64_t most = 589;
constexpr std::uint64_t lifetime_ms = 3000;
/// Longer than the account waits for a report after the lifetime.
constexpr std::uint64_t report_time_ms = 10000;

wire::BeginTurn turn(const std::string &attempt, const std::string &session,
                     std::uint64_t budget, std::uint64_t tokens = most) {
  wire::BeginTurn wanted;
  wanted.set_attempt(attempt);
  wanted.set_session(session);
  wanted.set_most(tokens);
  wanted.set_budget(budget);
  wanted.set_lifetime_ms(lifetime_ms);
  return wanted;
}

class token_account_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(token_account_test);
  CPPUNIT_TEST(a_lost_attempt_gives_way_to_the_next_of_its_session);
  CPPUNIT_TEST(a_lost_attempt_gives_way_when_its_lifetime_is_over);
  CPPUNIT_TEST(an_attempt_under_way_is_waited_for);
  CPPUNIT_TEST(the_allowance_bears_one_loss_at_a_time);
  CPPUNIT_TEST(losses_beyond_the_allowance_count_as_spent);
  CPPUNIT_TEST(a_budget_that_was_called_spent_stays_spent);
  CPPUNIT_TEST(the_allowance_bears_the_largest_loss);
  CPPUNIT_TEST(an_end_that_arrives_after_all_counts_what_was_used);
  CPPUNIT_TEST(the_oldest_holder_is_named);
  CPPUNIT_TEST(random_losses_stay_within_the_budget_and_one_turn);
  CPPUNIT_TEST(no_program_waits_for_lost_attempts_for_ever);
  CPPUNIT_TEST_SUITE_END();

  token_account account_;

  wire::RecordVerdict begin(const std::string &attempt,
                            const std::string &session, std::uint64_t budget,
                            std::uint64_t now_ms) {
    return account_.begin(turn(attempt, session, budget), now_ms);
  }

  /// Whether the turn can only wait for reservations, as gateways tell.
  [[nodiscard]] bool is_only_reserved(std::uint64_t budget) const {
    const token_account::balance balance = account_.current_balance();
    return balance.reserved > 0 && balance.spent + most <= budget;
  }

public:
  void a_lost_attempt_gives_way_to_the_next_of_its_session() {
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, begin("lost", "s", 900, 1000));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, begin("next", "s", 900, 1200));
  }

  void a_lost_attempt_gives_way_when_its_lifetime_is_over() {
    begin("lost", "s", 900, 1000);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         begin("early", "other", 900, 3900));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         begin("next", "other", 900, 4000));
  }

  void an_attempt_under_way_is_waited_for() {
    begin("running", "s", 900, 1000);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         begin("next", "other", 900, 2000));
    CPPUNIT_ASSERT(is_only_reserved(900));
    account_.end("running", 100);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED,
                         begin("again", "other", 900, 2100));
  }

  void the_allowance_bears_one_loss_at_a_time() {
    begin("first", "s", 900, 1000);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, begin("second", "s", 900, 1200));
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         begin("third", "s", 900, 1400));
    account_.end("first", 0); // not lost after all
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, begin("fourth", "s", 900, 1600));
  }

  void losses_beyond_the_allowance_count_as_spent() {
    begin("first", "s", 900, 1000);
    begin("second", "s", 900, 1200);
    begin("third", "s", 900, 1400);
    CPPUNIT_ASSERT(is_only_reserved(900));
    const std::uint64_t later = 1400 + lifetime_ms + report_time_ms;
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         begin("fourth", "s", 900, later));
    CPPUNIT_ASSERT(!is_only_reserved(900));
  }

  /// "Budget spent" is final for clients; a report that comes later must not
  /// take it back.
  void a_budget_that_was_called_spent_stays_spent() {
    begin("first", "s", 900, 1000);
    begin("second", "s", 900, 1400);
    begin("third", "s", 900, 1800);
    const std::uint64_t later = 1800 + lifetime_ms + report_time_ms;
    begin("fourth", "s", 900, later);
    CPPUNIT_ASSERT(!is_only_reserved(900));
    account_.end("first", 0);
    account_.end("second", 0);
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_BUDGET_SPENT,
                         begin("fifth", "s", 900, later + 100));
    CPPUNIT_ASSERT(!is_only_reserved(900));
  }

  void the_allowance_bears_the_largest_loss() {
    const auto start = [this](const std::string &attempt, std::uint64_t tokens,
                              std::uint64_t now_ms) {
      return account_.begin(turn(attempt, "s", 1000, tokens), now_ms);
    };
    start("small", 100, 1000);
    start("large", 800, 1000);
    const std::uint64_t later = 1000 + lifetime_ms;
    CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, start("next", 900, later));
    account_.end("next", 0);
    start("again", 900, later + report_time_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, account_.current_balance().spent);
  }

  void an_end_that_arrives_after_all_counts_what_was_used() {
    begin("slow", "s", 900, 1000);
    begin("next", "s", 900, 1200);
    account_.end("slow", 500);
    account_.end("next", 200);
    const token_account::balance balance = account_.current_balance();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{700}, balance.spent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, balance.reserved);
  }

  void the_oldest_holder_is_named() {
    CPPUNIT_ASSERT(!account_.oldest_holder(1000));
    begin("b", "s", 2000, 1000);
    begin("a", "t", 2000, 1500);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         account_.oldest_holder(1700)->attempt());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{700},
                         account_.oldest_holder(1700)->age_ms());
    CPPUNIT_ASSERT(!account_.oldest_holder(1700)->presumed_lost());
    begin("c", "s", 2000, 1800);
    // "b" is presumed lost.
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         account_.oldest_holder(1800)->attempt());
    account_.end("a", 0);
    account_.end("c", 0);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         account_.oldest_holder(1900)->attempt());
    CPPUNIT_ASSERT(account_.oldest_holder(1900)->presumed_lost());
  }

  /// Gateways die before, while and after tokens are delivered, their reports
  /// are late or lost, and sessions run beside each other or break the rule
  /// that one attempt follows the other.
  void random_losses_stay_within_the_budget_and_one_turn() {
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      std::mt19937_64 random(seed);
      const auto draw = [&random](std::uint64_t below) {
        return random() % below;
      };
      struct attempt_under_way {
        std::string id;
        std::uint64_t delivered;
      };
      const std::uint64_t budget = most + draw(4 * most);
      token_account account;
      std::vector<attempt_under_way> under_way;
      std::uint64_t received = 0;
      std::uint64_t least_called_spent = budget + 1;
      std::uint64_t now_ms = 1000;
      for (int step = 0; step < 300; ++step) {
        now_ms += draw(20) == 0 ? draw(12000) : draw(200);
        const std::string id = fmt::format("a{}", step);
        const std::string session = fmt::format("s{}", draw(3));
        const std::uint64_t tokens = 1 + draw(most);
        const auto verdict =
            account.begin(turn(id, session, budget, tokens), now_ms);
        if (account.current_balance().spent + tokens > budget) {
          least_called_spent = std::min(least_called_spent, tokens);
        }
        if (verdict == wire::RECORD_GRANTED) {
          CPPUNIT_ASSERT(tokens < least_called_spent);
          // What an unheard grant delivers is nothing.
          const std::uint64_t delivered = draw(4) == 0 ? 0 : draw(tokens + 1);
          received += delivered;
          under_way.push_back({id, delivered});
        }
        std::erase_if(under_way, [&](const attempt_under_way &each) {
          const std::uint64_t fate = draw(10);
          if (fate < 3) {
            account.end(each.id, each.delivered);
          }
          return fate < 4; // one of four dies without a report
        });
        if (draw(10) == 0) {
          wire::RecordProgram saved;
          account.save(saved);
          account = token_account::restore(saved);
        }
      }
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("seed {}: {} of {}", seed, received, budget),
          received <= budget + most);
    }
  }

  /// Whatever was lost, once reports cannot come any more the answer is a grant
  /// or that the budget is spent, on every replica.
  void no_program_waits_for_lost_attempts_for_ever() {
    constexpr std::uint64_t budgets[] = {900, 1178, 1767};
    for (const std::uint64_t budget : budgets) {
      for (int lost = 1; lost <= 6; ++lost) {
        token_account account;
        for (int each = 0; each < lost; ++each) {
          account.begin(turn(fmt::format("lost{}", each),
                             fmt::format("s{}", each % 2), budget),
                        1000 + static_cast<std::uint64_t>(each) * 100);
        }
        wire::RecordProgram saved;
        account.save(saved);
        token_account copy = token_account::restore(saved);
        std::uint64_t now_ms = 2000;
        wire::RecordVerdict verdict = wire::RECORD_BUDGET_SPENT;
        bool waits = true;
        for (int attempt = 0; attempt < 20 && waits; ++attempt) {
          now_ms += 1000;
          const auto wanted = turn(fmt::format("try{}", attempt), "s0", budget);
          verdict = account.begin(wanted, now_ms);
          CPPUNIT_ASSERT_EQUAL(verdict, copy.begin(wanted, now_ms));
          const auto balance = account.current_balance();
          CPPUNIT_ASSERT_EQUAL(balance.spent, copy.current_balance().spent);
          waits = verdict == wire::RECORD_BUDGET_SPENT &&
                  balance.spent + most <= budget;
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} of {}", lost, budget), !waits);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_account_test);

} // namespace
} // namespace heathtrestle::records
