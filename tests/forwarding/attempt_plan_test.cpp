#include "forwarding/attempt_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

routing::incarnation incarnation_of(const std::string &id,
                                    std::uint64_t born_ms) {
  return {.id = routing::instance_id{id}, .born_ms = born_ms};
}

const routing::incarnation first = incarnation_of("i-1", 100);
const routing::incarnation second = incarnation_of("i-2", 100);
const routing::incarnation third = incarnation_of("i-3", 100);
const routing::incarnation first_restarted = incarnation_of("i-1", 200);
const timestamp start = timestamp_from(10000);
const timestamp deadline = start + duration_ms{1000};

attempt_plan plan_for(bool repeatable, std::uint32_t attempts) {
  return {repeatable, attempts, start, deadline};
}

std::uint32_t status_of(const next_step &step) {
  const auto *answer = std::get_if<answer_step>(&step);
  return answer == nullptr ? 0 : answer->status;
}

class attempt_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(attempt_plan_test);
  CPPUNIT_TEST(the_first_step_sends_anywhere);
  CPPUNIT_TEST(a_lost_request_that_must_not_repeat_ends_with_502);
  CPPUNIT_TEST(a_refusal_leads_to_another_replica);
  CPPUNIT_TEST(all_replicas_refusing_leads_to_backoff_and_retry);
  CPPUNIT_TEST(a_503_means_that_no_replica_may_have_run_the_request);
  CPPUNIT_TEST(a_repeat_goes_to_no_more_replicas_than_allowed);
  CPPUNIT_TEST(without_another_replica_the_same_one_is_retried);
  CPPUNIT_TEST(an_ended_replica_does_not_count_against_the_limit);
  CPPUNIT_TEST(a_restarted_replica_is_a_different_one);
  CPPUNIT_TEST(a_non_repeatable_request_is_not_sent_to_a_restarted_replica);
  CPPUNIT_TEST(lost_attempts_are_bounded);
  CPPUNIT_TEST(after_the_deadline_nothing_is_sent);
  CPPUNIT_TEST(giving_up_sets_retry_after);
  CPPUNIT_TEST(the_plan_waits_for_a_replica_that_warms_up);
  CPPUNIT_TEST(a_warm_up_beyond_the_wait_deadline_is_not_waited_for);
  CPPUNIT_TEST_SUITE_END();

public:
  void the_first_step_sends_anywhere() {
    auto plan = plan_for(false, 1);
    const auto step = std::get<send_step>(plan.next(start));
    CPPUNIT_ASSERT(step.excluded.empty());
    CPPUNIT_ASSERT(step.only.empty());
  }

  void a_lost_request_that_must_not_repeat_ends_with_502() {
    auto plan = plan_for(false, 3);
    plan.on_attempt(first, attempt_outcome::lost);
    CPPUNIT_ASSERT_EQUAL(502U, status_of(plan.next(start)));
  }

  void a_refusal_leads_to_another_replica() {
    auto plan = plan_for(false, 1);
    plan.on_attempt(first, attempt_outcome::not_executed);
    const auto step = std::get<send_step>(plan.next(start));
    CPPUNIT_ASSERT(step.excluded.contains(first));
    CPPUNIT_ASSERT(step.only.empty());
  }

  void all_replicas_refusing_leads_to_backoff_and_retry() {
    auto plan = plan_for(false, 1);
    plan.on_attempt(first, attempt_outcome::not_executed);
    plan.on_no_candidate();
    CPPUNIT_ASSERT(std::holds_alternative<wait_step>(plan.next(start)));
    const auto step = std::get<send_step>(plan.next(start + duration_ms{5}));
    CPPUNIT_ASSERT(step.excluded.empty());
  }

  void a_503_means_that_no_replica_may_have_run_the_request() {
    auto refused = plan_for(false, 1);
    refused.on_attempt(first, attempt_outcome::not_executed);
    CPPUNIT_ASSERT_EQUAL(503U, status_of(refused.next(deadline)));
    auto lost = plan_for(true, 2);
    lost.on_attempt(first, attempt_outcome::lost);
    lost.on_attempt(second, attempt_outcome::not_executed);
    CPPUNIT_ASSERT_EQUAL(502U, status_of(lost.next(deadline)));
  }

  void a_repeat_goes_to_no_more_replicas_than_allowed() {
    auto plan = plan_for(true, 2);
    plan.on_attempt(first, attempt_outcome::lost);
    auto step = std::get<send_step>(plan.next(start));
    CPPUNIT_ASSERT(step.excluded.contains(first));
    CPPUNIT_ASSERT(step.only.empty());
    plan.on_attempt(second, attempt_outcome::lost);
    step = std::get<send_step>(plan.next(start));
    CPPUNIT_ASSERT(step.only == (std::set{first, second}));
  }

  void without_another_replica_the_same_one_is_retried() {
    auto plan = plan_for(true, 2);
    plan.on_attempt(first, attempt_outcome::lost);
    CPPUNIT_ASSERT(std::get<send_step>(plan.next(start)).only.empty());
    plan.on_no_candidate();
    CPPUNIT_ASSERT(std::get<send_step>(plan.next(start)).only ==
                   std::set{first});
    plan.on_no_candidate();
    CPPUNIT_ASSERT(std::holds_alternative<wait_step>(plan.next(start)));
  }

  void an_ended_replica_does_not_count_against_the_limit() {
    auto plan = plan_for(true, 1);
    plan.on_attempt(first, attempt_outcome::lost);
    CPPUNIT_ASSERT(std::get<send_step>(plan.next(start)).only ==
                   std::set{first});
    plan.on_instance_ended(first);
    CPPUNIT_ASSERT(std::get<send_step>(plan.next(start)).only.empty());
  }

  void a_restarted_replica_is_a_different_one() {
    auto plan = plan_for(true, 1);
    plan.on_attempt(first, attempt_outcome::lost);
    CPPUNIT_ASSERT(
        !std::get<send_step>(plan.next(start)).only.contains(first_restarted));
    plan.on_instance_ended(first);
    const auto step = std::get<send_step>(plan.next(start));
    CPPUNIT_ASSERT(step.only.empty());
    CPPUNIT_ASSERT(!step.excluded.contains(first_restarted));
  }

  void a_non_repeatable_request_is_not_sent_to_a_restarted_replica() {
    auto plan = plan_for(false, 2);
    plan.on_attempt(first, attempt_outcome::lost);
    plan.on_instance_ended(first);
    CPPUNIT_ASSERT_EQUAL(502U, status_of(plan.next(start)));
  }

  void lost_attempts_are_bounded() {
    auto plan = plan_for(true, 10);
    for (int loss = 0; loss < 4; ++loss) {
      plan.on_attempt(first, attempt_outcome::lost);
    }
    CPPUNIT_ASSERT_EQUAL(502U, status_of(plan.next(start)));
  }

  void after_the_deadline_nothing_is_sent() {
    auto plan = plan_for(true, 2);
    CPPUNIT_ASSERT_EQUAL(503U, status_of(plan.next(deadline)));
  }

  void giving_up_sets_retry_after() {
    auto plan = plan_for(true, 2);
    plan.on_no_candidate();
    const auto step = plan.next(start + duration_ms{900});
    CPPUNIT_ASSERT_EQUAL(503U, status_of(step));
    CPPUNIT_ASSERT(std::get<answer_step>(step).retry_after.count() > 0);
  }

  void the_plan_waits_for_a_replica_that_warms_up() {
    auto plan = plan_for(false, 1);
    plan.on_attempt(first, attempt_outcome::not_executed);
    plan.on_warming_up(start + duration_ms{20});
    const auto wait = std::get<wait_step>(plan.next(start));
    CPPUNIT_ASSERT(wait.pause == duration_ms{20});
    const auto again = std::get<send_step>(plan.next(start + duration_ms{20}));
    CPPUNIT_ASSERT(again.excluded.empty());
  }

  void a_warm_up_beyond_the_wait_deadline_is_not_waited_for() {
    auto plan = plan_for(false, 1);
    plan.on_warming_up(start + duration_ms{600});
    const auto step = plan.next(start);
    CPPUNIT_ASSERT_EQUAL(503U, status_of(step));
    CPPUNIT_ASSERT(std::get<answer_step>(step).retry_after.count() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_plan_test);

} // namespace
} // namespace heathtrestle::forwarding
