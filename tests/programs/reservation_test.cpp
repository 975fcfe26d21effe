#include "programs/reservation.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::programs {
namespace {

class reservation_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(reservation_test);
  CPPUNIT_TEST(covers_prompt_and_answer);
  CPPUNIT_TEST(shortens_the_answer_to_the_budget);
  CPPUNIT_TEST(refuses_when_not_even_one_token_fits);
  CPPUNIT_TEST(counts_answers_that_are_still_to_come);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    program_ = {};
    program_.set_budget(1000);
    request_ = {};
    request_.set_agent("main");
    request_.add_messages(std::string(40, 'x')); // at most 10 tokens
    request_.set_max_output_tokens(20);
  }

  void covers_prompt_and_answer() {
    const auto reserved = reserve_chat(program_, request_, model_, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{(10 + 20) * 2}, reserved->amount);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, reserved->max_output_tokens);
  }

  void shortens_the_answer_to_the_budget() {
    program_.set_spent(970);
    const auto reserved = reserve_chat(program_, request_, model_, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, reserved->max_output_tokens);
    CPPUNIT_ASSERT(reserved->amount <= 30);
  }

  void refuses_when_not_even_one_token_fits() {
    program_.set_reserved(980);
    CPPUNIT_ASSERT(!reserve_chat(program_, request_, model_, 2).has_value());
  }

  void counts_answers_that_are_still_to_come() {
    const std::uint64_t alone = prompt_token_bound(program_, request_, 4);
    wire::CallRecord &earlier = *program_.add_calls();
    earlier.mutable_request()->set_agent("main");
    earlier.mutable_request()->set_max_output_tokens(100);
    CPPUNIT_ASSERT(prompt_token_bound(program_, request_, 4) > alone + 100);
  }

private:
  wire::ProgramRecord program_;
  wire::CallRequest request_;
  config::model_object model_{.minimum_bytes_per_token = 4};
};

CPPUNIT_TEST_SUITE_REGISTRATION(reservation_test);

} // namespace
} // namespace heathtrestle::programs
