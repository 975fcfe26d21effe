#include "programs/program_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::programs {
namespace {

constexpr std::uint64_t budget = 1000;

wire::Command create(const std::string &id) {
  wire::Command command;
  command.mutable_create_program()->set_id(id);
  command.mutable_create_program()->set_budget(budget);
  command.mutable_create_program()->set_turn_limit(5);
  return command;
}

wire::Command record(const std::string &key, std::uint64_t reserve = 10,
                     const std::string &agent = "main") {
  wire::Command command;
  wire::RecordCall &call = *command.mutable_record_call();
  call.set_program("p");
  call.mutable_request()->set_key(key);
  call.mutable_request()->set_agent(agent);
  call.mutable_request()->add_messages("question " + key);
  call.set_reserve(reserve);
  return command;
}

wire::Command start(const std::string &key, std::uint32_t attempt) {
  wire::Command command;
  wire::StartAttempt &begun = *command.mutable_start_attempt();
  begun.set_program("p");
  begun.set_key(key);
  begun.set_attempt(attempt);
  begun.set_backend("engine-1");
  return command;
}

wire::Command finish(const std::string &key, std::uint32_t attempt,
                     std::uint64_t cost = 5) {
  wire::Command command;
  wire::FinishCall &done = *command.mutable_finish_call();
  done.set_program("p");
  done.set_key(key);
  done.set_attempt(attempt);
  done.set_state(wire::CALL_COMPLETED);
  done.set_answer("answer " + key);
  done.set_cost(cost);
  return command;
}

class program_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(program_store_test);
  CPPUNIT_TEST(one_call_of_an_agent_runs_at_a_time);
  CPPUNIT_TEST(agents_run_side_by_side);
  CPPUNIT_TEST(a_call_waits_for_the_one_it_comes_after);
  CPPUNIT_TEST(history_grows_with_completed_calls);
  CPPUNIT_TEST(a_repeated_key_changes_nothing);
  CPPUNIT_TEST(a_late_outcome_of_an_old_attempt_is_refused);
  CPPUNIT_TEST(the_budget_holds);
  CPPUNIT_TEST(a_refused_key_stays_refused);
  CPPUNIT_TEST(loops_end_at_the_turn_limit);
  CPPUNIT_TEST(an_ended_program_runs_nothing);
  CPPUNIT_TEST(conversations_must_extend_the_history);
  CPPUNIT_TEST(a_snapshot_restores_everything);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    store_ = {};
    store_.apply(create("p"));
  }

  void one_call_of_an_agent_runs_at_a_time() {
    store_.apply(record("a"));
    store_.apply(record("b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runnable_calls(program()).size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         runnable_calls(program())[0]->request().key());
    store_.apply(start("a", 1));
    CPPUNIT_ASSERT(runnable_calls(program()).empty());
    store_.apply(finish("a", 1));
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         runnable_calls(program())[0]->request().key());
  }

  void agents_run_side_by_side() {
    store_.apply(record("a"));
    store_.apply(record("b", 10, "side"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runnable_calls(program()).size());
  }

  void a_call_waits_for_the_one_it_comes_after() {
    store_.apply(record("a"));
    wire::Command dependent = record("b", 10, "side");
    dependent.mutable_record_call()->mutable_request()->set_after("a");
    store_.apply(dependent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runnable_calls(program()).size());
    store_.apply(start("a", 1));
    store_.apply(finish("a", 1));
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         runnable_calls(program())[0]->request().key());
  }

  void history_grows_with_completed_calls() {
    store_.apply(record("a"));
    store_.apply(start("a", 1));
    store_.apply(finish("a", 1));
    const wire::AgentRecord &agent = *find_agent(program(), "main");
    CPPUNIT_ASSERT_EQUAL(2, agent.history_size());
    CPPUNIT_ASSERT_EQUAL(std::string("question a"), agent.history(0));
    CPPUNIT_ASSERT_EQUAL(std::string("answer a"), agent.history(1));
  }

  void a_repeated_key_changes_nothing() {
    store_.apply(record("a"));
    const std::string before = program().SerializeAsString();
    CPPUNIT_ASSERT(!store_.apply(record("a")).refusal.has_value());
    CPPUNIT_ASSERT(before == program().SerializeAsString());
  }

  void a_late_outcome_of_an_old_attempt_is_refused() {
    store_.apply(record("a"));
    store_.apply(start("a", 1));
    store_.apply(start("a", 2));
    CPPUNIT_ASSERT(store_.apply(finish("a", 1)).refusal.has_value());
    CPPUNIT_ASSERT(store_.apply(start("a", 2)).refusal.has_value());
    CPPUNIT_ASSERT(!store_.apply(finish("a", 2)).refusal.has_value());
    CPPUNIT_ASSERT(store_.apply(finish("a", 2)).refusal.has_value());
  }

  void the_budget_holds() {
    CPPUNIT_ASSERT(!store_.apply(record("a", 700)).refusal.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("budget_exhausted"),
                         store_.apply(record("b", 301)).refusal->code());
    store_.apply(start("a", 1));
    // A reported cost above the reservation is capped at the reservation.
    store_.apply(finish("a", 1, 5000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{700}, program().spent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, program().reserved());
    CPPUNIT_ASSERT(!store_.apply(record("c", 300)).refusal.has_value());
  }

  void a_refused_key_stays_refused() {
    store_.apply(record("a", 900));
    CPPUNIT_ASSERT(store_.apply(record("b", 200)).refusal.has_value());
    store_.apply(start("a", 1));
    store_.apply(finish("a", 1, 0));
    // The refused request is repeated after budget has become available.
    store_.apply(record("b", 200));
    CPPUNIT_ASSERT(find_call(program(), "b")->state() == wire::CALL_NOT_RUN);
    CPPUNIT_ASSERT(runnable_calls(program()).empty());
  }

  void loops_end_at_the_turn_limit() {
    for (int turn = 0; turn < 5; ++turn) {
      const std::string key = std::to_string(turn);
      store_.apply(record(key));
      store_.apply(start(key, 1));
      store_.apply(finish(key, 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("turn_limit"),
                         store_.apply(record("more")).refusal->code());
  }

  void an_ended_program_runs_nothing() {
    store_.apply(record("a"));
    wire::Command end;
    end.mutable_end_program()->set_program("p");
    const apply_result ended = store_.apply(end);
    CPPUNIT_ASSERT(ended.finished_keys == std::vector<std::string>{"a"});
    CPPUNIT_ASSERT(find_call(program(), "a")->state() == wire::CALL_NOT_RUN);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, program().reserved());
    CPPUNIT_ASSERT_EQUAL(std::string("program_ended"),
                         store_.apply(record("b")).refusal->code());
  }

  void conversations_must_extend_the_history() {
    store_.apply(record("a"));
    wire::CallRequest request;
    request.set_agent("main");
    request.add_messages("question a");
    request.add_messages("answer a");
    request.add_messages("question b");
    CPPUNIT_ASSERT(reduce_to_new_messages(program(), request).has_value());
    store_.apply(start("a", 1));
    store_.apply(finish("a", 1));
    wire::CallRequest mixed = request;
    mixed.set_messages(1, "another program's answer");
    CPPUNIT_ASSERT(reduce_to_new_messages(program(), mixed).has_value());
    CPPUNIT_ASSERT(!reduce_to_new_messages(program(), request).has_value());
    CPPUNIT_ASSERT_EQUAL(1, request.messages_size());
    CPPUNIT_ASSERT_EQUAL(std::string("question b"), request.messages(0));
  }

  void a_snapshot_restores_everything() {
    store_.apply(record("a"));
    store_.apply(start("a", 1));
    program_store copy;
    copy.restore(store_.snapshot());
    CPPUNIT_ASSERT(program().SerializeAsString() ==
                   copy.find(program_id{"p"})->SerializeAsString());
  }

private:
  const wire::ProgramRecord &program() { return *store_.find(program_id{"p"}); }

  program_store store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_store_test);

} // namespace
} // namespace heathtrestle::programs
