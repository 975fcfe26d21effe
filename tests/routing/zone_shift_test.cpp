// Guards against a traffic shift that overloads the remaining engines or ends
// late.
#include "routing/zone_shift.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace heathtrestle::routing {
namespace {

constexpr std::size_t engine_count = 48;
/// The engines of the zone that is drained: a third.
constexpr std::size_t drained_engines = engine_count / 3;
constexpr double tokens_per_ms = 336;
constexpr double new_tokens = 1700;
constexpr double conversations_per_second = 200;
constexpr double turns_of_conversation = 15;
constexpr double pause_ms = 400;
constexpr double drained_at_ms = 10000;
constexpr double observed_ms = 3000;

/// A conversation whose next turn is due.
struct due_turn {
  double at_ms = 0;
  std::uint64_t draw = 0;
  std::size_t engine = 0;
  double history = 0;

  bool operator>(const due_turn &other) const { return at_ms > other.at_ms; }
};

struct outcome {
  /// Mean wait of turns for the start of prefill after the drain.
  double mean_wait_ms = 0;
  /// 99th percentile of the wait.
  double high_wait_ms = 0;
};

/// Simulates conversations that stay at the engine that caches their prompts
/// until `shift` moves them. Engines read one prompt at a time.
class fleet {
public:
  explicit fleet(zone_shift shift) : shift_(shift) {}

  outcome simulate() {
    std::exponential_distribution<double> gap(conversations_per_second / 1000);
    double next_ms = gap(random_);
    while (next_ms < drained_at_ms + observed_ms) {
      while (!due_.empty() && due_.top().at_ms <= next_ms) {
        const due_turn turn = due_.top();
        due_.pop();
        run(turn);
      }
      due_turn first{.at_ms = next_ms, .draw = random_()};
      first.engine = engine_for(first);
      run(first);
      next_ms += gap(random_);
    }
    return summary();
  }

private:
  bool is_blocked(const due_turn &turn, std::size_t engine) const {
    const auto now = timestamp_from(static_cast<std::uint64_t>(turn.at_ms));
    return engine < drained_engines && turn.at_ms >= drained_at_ms &&
           !shift_.keeps(turn.draw, now);
  }

  /// The less busy of two random engines.
  std::size_t engine_for(const due_turn &turn) {
    const auto draw = [&] {
      std::size_t engine = random_() % engine_count;
      while (is_blocked(turn, engine)) {
        engine = random_() % engine_count;
      }
      return engine;
    };
    const std::size_t left = draw();
    const std::size_t right = draw();
    return free_at_[left] <= free_at_[right] ? left : right;
  }

  void run(due_turn turn) {
    double missing = new_tokens;
    if (is_blocked(turn, turn.engine)) {
      turn.engine = engine_for(turn);
      missing += turn.history;
    }
    double &free_at = free_at_[turn.engine];
    const double begins = std::max(free_at, turn.at_ms);
    free_at = begins + missing / tokens_per_ms;
    if (turn.at_ms >= drained_at_ms) {
      waits_.push_back(begins - turn.at_ms);
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < 1 - 1 / turns_of_conversation) {
      std::exponential_distribution<double> pause(1 / pause_ms);
      turn.at_ms = free_at + pause(random_);
      turn.history += new_tokens;
      due_.push(turn);
    }
  }

  outcome summary() {
    std::sort(waits_.begin(), waits_.end());
    double sum = 0;
    for (const double wait : waits_) {
      sum += wait;
    }
    return {.mean_wait_ms = sum / static_cast<double>(waits_.size()),
            .high_wait_ms = waits_[waits_.size() * 99 / 100]};
  }

  zone_shift shift_;
  std::mt19937_64 random_{7};
  std::vector<double> free_at_ = std::vector<double>(engine_count, 0.0);
  std::priority_queue<due_turn, std::vector<due_turn>, std::greater<>> due_;
  std::vector<double> waits_;
};

constexpr duration_ms limit{5000};

class zone_shift_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(zone_shift_test);
  CPPUNIT_TEST(the_share_falls_to_zero);
  CPPUNIT_TEST(a_moved_conversation_does_not_return);
  CPPUNIT_TEST(moves_at_once_if_the_start_is_unknown);
  CPPUNIT_TEST(a_late_notice_leaves_less_time);
  CPPUNIT_TEST(the_zone_is_empty_within_half_of_the_limit);
  CPPUNIT_TEST(a_gradual_shift_reduces_waiting);
  CPPUNIT_TEST_SUITE_END();

  const timestamp heard_ = timestamp_from(100000);

public:
  void the_share_falls_to_zero() {
    const zone_shift shift{.begin = heard_, .end = heard_ + duration_ms{1000}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, shift.remaining(heard_), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.25, shift.remaining(heard_ + duration_ms{750}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, shift.remaining(shift.end), 1e-9);
    CPPUNIT_ASSERT(!shift.keeps(0, shift.end));
  }

  void a_moved_conversation_does_not_return() {
    const zone_shift shift{.begin = heard_, .end = heard_ + duration_ms{1000}};
    std::mt19937_64 random(1);
    for (int each = 0; each < 100; ++each) {
      const std::uint64_t draw = random();
      bool kept = true;
      for (timestamp now = heard_; now <= shift.end; now += duration_ms{10}) {
        const bool keeps = shift.keeps(draw, now);
        CPPUNIT_ASSERT(kept || !keeps);
        kept = keeps;
      }
      CPPUNIT_ASSERT(!kept);
    }
  }

  void moves_at_once_if_the_start_is_unknown() {
    const zone_shift shift = plan_shift(std::nullopt, heard_, limit);
    CPPUNIT_ASSERT(!shift.keeps(0, heard_));
  }

  void a_late_notice_leaves_less_time() {
    const zone_shift soon =
        plan_shift(heard_ - duration_ms{200}, heard_, limit);
    const zone_shift late =
        plan_shift(heard_ - duration_ms{2000}, heard_, limit);
    const zone_shift too_late = plan_shift(heard_ - limit, heard_, limit);
    CPPUNIT_ASSERT(late.end < soon.end);
    CPPUNIT_ASSERT(!too_late.keeps(0, heard_));
  }

  void the_zone_is_empty_within_half_of_the_limit() {
    for (int age_ms = 0; age_ms < 2500; age_ms += 50) {
      const timestamp undrained = heard_ - duration_ms{age_ms};
      const zone_shift shift = plan_shift(undrained, heard_, limit);
      CPPUNIT_ASSERT(shift.end <= undrained + limit / 2);
    }
  }

  // Drains a third of the engines under normal load.
  void a_gradual_shift_reduces_waiting() {
    const timestamp drained =
        timestamp_from(static_cast<std::uint64_t>(drained_at_ms));
    const outcome at_once =
        fleet({.begin = drained, .end = drained}).simulate();
    const outcome paced = fleet(plan_shift(drained, drained, limit)).simulate();
    const std::string told = "mean " + std::to_string(at_once.mean_wait_ms) +
                             " and " + std::to_string(paced.mean_wait_ms) +
                             " ms, one in a hundred " +
                             std::to_string(at_once.high_wait_ms) + " and " +
                             std::to_string(paced.high_wait_ms) + " ms";
    CPPUNIT_ASSERT_MESSAGE(told, paced.mean_wait_ms < at_once.mean_wait_ms);
    CPPUNIT_ASSERT_MESSAGE(told, paced.high_wait_ms < at_once.high_wait_ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_shift_test);

} // namespace
} // namespace heathtrestle::routing
