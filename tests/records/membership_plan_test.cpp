#include "records/membership_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

replica_id id(std::uint64_t node, std::uint64_t identity = 1) {
  return {node_id{node}, boot_id{identity}};
}

node_view voter(std::uint64_t node) {
  return {.replica = id(node), .votes = true, .alive = true};
}

node_view spare(std::uint64_t node, std::uint64_t identity = 1) {
  return {.replica = id(node, identity), .alive = true, .caught_up = true};
}

class membership_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(membership_plan_test);
  CPPUNIT_TEST(a_settled_group_stays_as_it_is);
  CPPUNIT_TEST(a_new_node_first_learns);
  CPPUNIT_TEST(a_learner_that_caught_up_votes_while_voters_are_wanted);
  CPPUNIT_TEST(a_dead_identity_gives_way_to_its_successor);
  CPPUNIT_TEST(a_spare_waits_for_a_dead_nodes_return);
  CPPUNIT_TEST(a_silent_voter_is_replaced_by_a_spare_and_only_then_removed);
  CPPUNIT_TEST(a_silent_voter_stays_without_a_spare);
  CPPUNIT_TEST(a_gone_voter_leaves_without_a_spare);
  CPPUNIT_TEST(a_gone_voter_stays_while_another_is_out_of_touch);
  CPPUNIT_TEST(a_gone_voter_stays_while_a_node_may_take_its_place);
  CPPUNIT_TEST(a_second_gone_voter_stays);
  CPPUNIT_TEST(a_gone_voter_that_is_back_votes_again);
  CPPUNIT_TEST(a_new_leader_removes_no_gone_voter);
  CPPUNIT_TEST(a_retiring_voter_stays_without_a_spare);
  CPPUNIT_TEST(a_retiring_voter_that_stays_gives_way_to_its_successor);
  CPPUNIT_TEST(a_group_without_its_full_number_bears_no_loss);
  CPPUNIT_TEST(a_retiring_voter_stays_until_its_successor_votes);
  CPPUNIT_TEST(a_successor_that_dies_while_it_learns_is_followed_by_another);
  CPPUNIT_TEST(a_candidate_that_is_silent_for_a_moment_is_waited_for);
  CPPUNIT_TEST(a_retiring_voter_stays_while_another_is_out_of_touch);
  CPPUNIT_TEST(a_successor_holds_the_log_before_a_voter_leaves);
  CPPUNIT_TEST(a_lost_voter_is_removed_before_a_retiring_one);
  CPPUNIT_TEST(of_several_retiring_the_leader_leaves_last);
  CPPUNIT_TEST(a_new_leader_does_not_shrink_the_group);
  CPPUNIT_TEST(a_surplus_voter_stays_while_another_is_silent);
  CPPUNIT_TEST(the_last_voter_stays);
  CPPUNIT_TEST(a_retiring_leader_resigns);
  CPPUNIT_TEST(the_size_follows_the_tolerated_losses);
  CPPUNIT_TEST(no_more_nodes_learn_than_are_wanted);
  CPPUNIT_TEST(a_successor_learns_however_many_follow);
  CPPUNIT_TEST(a_new_leader_takes_in_no_spares);
  CPPUNIT_TEST(a_new_leader_takes_in_successors_and_missing_voters);
  CPPUNIT_TEST(voters_are_spread_over_zones);
  CPPUNIT_TEST(spares_are_spread_over_zones);
  CPPUNIT_TEST_SUITE_END();

  std::vector<node_view> nodes_{voter(1), voter(2), voter(3)};
  std::vector<replica_id> learners_;
  group_size size_;

  bool recruits_ = true;

  std::optional<membership_change> next() {
    return next_membership_change(nodes_, learners_, size_, recruits_);
  }

public:
  void setUp() override { nodes_.front().is_self = true; }

  void a_settled_group_stays_as_it_is() { CPPUNIT_ASSERT(!next()); }

  void a_new_node_first_learns() {
    nodes_.push_back(spare(4));
    nodes_.back().caught_up = false;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(4));
  }

  void a_learner_that_caught_up_votes_while_voters_are_wanted() {
    nodes_.pop_back();
    nodes_.push_back(spare(4));
    learners_.push_back(id(4));
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(4));
  }

  void a_dead_identity_gives_way_to_its_successor() {
    nodes_[2].dead = true;
    nodes_[2].alive = false;
    nodes_.push_back(spare(3, 2));
    learners_.push_back(id(3, 2));
    const auto change = std::get<replace_voter>(*next());
    CPPUNIT_ASSERT(change.dead == id(3, 1));
    CPPUNIT_ASSERT(change.successor == id(3, 2));
  }

  void a_spare_waits_for_a_dead_nodes_return() {
    nodes_[2].dead = true;
    nodes_.push_back(spare(3, 2));
    nodes_.back().caught_up = false;
    nodes_.push_back(spare(4));
    learners_ = {id(3, 2), id(4)};
    CPPUNIT_ASSERT(!next());
  }

  void a_silent_voter_is_replaced_by_a_spare_and_only_then_removed() {
    nodes_[1].long_silent = true;
    nodes_.push_back(spare(4));
    learners_ = {id(4)};
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(4));
    nodes_.back().votes = true;
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
  }

  void a_silent_voter_stays_without_a_spare() {
    nodes_[1].long_silent = true;
    CPPUNIT_ASSERT(!next());
  }

  void lose(std::size_t place) {
    nodes_[place].alive = false;
    nodes_[place].long_silent = true;
    nodes_[place].gone = true;
  }

  /// Two of three voters could not go on after the loss of a disk.
  void a_gone_voter_leaves_without_a_spare() {
    lose(1);
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
    nodes_.erase(nodes_.begin() + 1);
    CPPUNIT_ASSERT(!next());
  }

  void a_gone_voter_stays_while_another_is_out_of_touch() {
    lose(1);
    nodes_[2].alive = false;
    CPPUNIT_ASSERT(!next());
    nodes_[2].alive = true;
    nodes_[2].lagging = true;
    CPPUNIT_ASSERT(!next());
  }

  void a_gone_voter_stays_while_a_node_may_take_its_place() {
    lose(1);
    nodes_.push_back(spare(4));
    nodes_.back().caught_up = false;
    learners_ = {id(4)};
    CPPUNIT_ASSERT(!next());
  }

  /// Of five voters three could not bear the loss of two.
  void a_second_gone_voter_stays() {
    size_ = group_size::tolerating(2);
    nodes_.push_back(voter(4));
    nodes_.push_back(voter(5));
    lose(1);
    lose(2);
    CPPUNIT_ASSERT(!next());
    nodes_.erase(nodes_.begin() + 1);
    CPPUNIT_ASSERT(!next());
  }

  void a_gone_voter_that_is_back_votes_again() {
    nodes_[1] = spare(2);
    learners_ = {id(2)};
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(2));
  }

  /// It cannot know yet which nodes there are.
  void a_new_leader_removes_no_gone_voter() {
    lose(1);
    recruits_ = false;
    CPPUNIT_ASSERT(!next());
  }

  /// Two voters that are left could not bear the loss of one.
  void a_retiring_voter_stays_without_a_spare() {
    nodes_[1].retiring = true;
    CPPUNIT_ASSERT(!next());
    nodes_.push_back(spare(4));
    learners_ = {id(4)};
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(4));
  }

  /// Its machine is needed until another one takes its place.
  void a_retiring_voter_that_stays_gives_way_to_its_successor() {
    nodes_[2].dead = true;
    nodes_[2].alive = false;
    nodes_[2].retiring = true;
    nodes_.push_back(spare(3, 2));
    nodes_.back().retiring = true;
    learners_ = {id(3, 2)};
    CPPUNIT_ASSERT(std::get<replace_voter>(*next()).successor == id(3, 2));
  }

  void a_group_without_its_full_number_bears_no_loss() {
    CPPUNIT_ASSERT(tolerates_losses(nodes_, size_));
    nodes_.pop_back();
    CPPUNIT_ASSERT(!tolerates_losses(nodes_, size_));
  }

  void a_retiring_voter_stays_until_its_successor_votes() {
    nodes_[1].retiring = true;
    nodes_.push_back(spare(4));
    nodes_.back().caught_up = false;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(4));
    learners_ = {id(4)};
    CPPUNIT_ASSERT(!next());
    nodes_.back().caught_up = true;
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(4));
    nodes_.back().votes = true;
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
  }

  void a_successor_that_dies_while_it_learns_is_followed_by_another() {
    size_.spares = 0;
    nodes_[1].retiring = true;
    nodes_.push_back(spare(4));
    nodes_.back().caught_up = false;
    nodes_.push_back(spare(5));
    nodes_.back().caught_up = false;
    learners_ = {id(4)};
    CPPUNIT_ASSERT(!next());
    nodes_[3].alive = false;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(5));
    learners_ = {id(4), id(5)};
    CPPUNIT_ASSERT(!next());
  }

  void a_candidate_that_is_silent_for_a_moment_is_waited_for() {
    nodes_[1].retiring = true;
    nodes_.push_back(spare(4));
    nodes_.back().alive = false;
    CPPUNIT_ASSERT(!next());
    nodes_.back().long_silent = true;
    CPPUNIT_ASSERT(!next());
    nodes_.back() = spare(4);
    learners_ = {id(4)};
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(4));
  }

  void a_retiring_voter_stays_while_another_is_out_of_touch() {
    // One of three voters is silent: without the retiring one no majority is
    // left to commit its removal.
    nodes_[1].retiring = true;
    nodes_[2].alive = false;
    CPPUNIT_ASSERT(!next());
    nodes_[2].long_silent = true;
    CPPUNIT_ASSERT(!next());
    nodes_[2] = voter(3);
    CPPUNIT_ASSERT(!next());
    nodes_.push_back(voter(4));
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
  }

  void a_successor_holds_the_log_before_a_voter_leaves() {
    nodes_[1].retiring = true;
    nodes_.push_back(voter(4));
    nodes_.back().lagging = true;
    CPPUNIT_ASSERT(!next());
    nodes_.back().lagging = false;
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
  }

  void a_lost_voter_is_removed_before_a_retiring_one() {
    nodes_[1].retiring = true;
    nodes_[2].alive = false;
    nodes_[2].long_silent = true;
    nodes_.push_back(voter(4));
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(3));
  }

  void of_several_retiring_the_leader_leaves_last() {
    nodes_[0].retiring = true;
    nodes_[1].retiring = true;
    nodes_.push_back(voter(4));
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
    nodes_[1] = voter(5);
    CPPUNIT_ASSERT(std::holds_alternative<resign_leadership>(*next()));
  }

  void a_new_leader_does_not_shrink_the_group() {
    nodes_[1].retiring = true;
    recruits_ = false;
    CPPUNIT_ASSERT(!next());
    nodes_.push_back(voter(4));
    CPPUNIT_ASSERT(std::get<remove_voter>(*next()).replica == id(2));
  }

  void a_surplus_voter_stays_while_another_is_silent() {
    nodes_.push_back(voter(4));
    nodes_[1].alive = false;
    CPPUNIT_ASSERT(!next());
    nodes_[1].alive = true;
    CPPUNIT_ASSERT(std::holds_alternative<remove_voter>(*next()));
  }

  void the_last_voter_stays() {
    nodes_.resize(1);
    nodes_[0].retiring = true;
    CPPUNIT_ASSERT(!next());
  }

  void a_retiring_leader_resigns() {
    nodes_[0].retiring = true;
    CPPUNIT_ASSERT(!next());
    nodes_.push_back(voter(4));
    CPPUNIT_ASSERT(std::holds_alternative<resign_leadership>(*next()));
  }

  void the_size_follows_the_tolerated_losses() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group_size::tolerating(0).voters);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group_size::tolerating(1).voters);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group_size::tolerating(2).voters);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group_size::tolerating(2).spares);
  }

  void no_more_nodes_learn_than_are_wanted() {
    for (std::uint64_t node = 4; node <= 6; ++node) {
      nodes_.push_back(spare(node));
    }
    learners_ = {id(4), id(5)};
    CPPUNIT_ASSERT(!next());
    nodes_[4].alive = false; // one of the two learners is silent
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(6));
  }

  void a_successor_learns_however_many_follow() {
    nodes_[2].dead = true;
    nodes_.push_back(spare(4));
    nodes_.push_back(spare(5));
    nodes_.push_back(spare(6));
    nodes_.push_back(spare(3, 2));
    nodes_.back().caught_up = false;
    learners_ = {id(4), id(5), id(6)};
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(3, 2));
  }

  void a_new_leader_takes_in_no_spares() {
    nodes_.push_back(spare(4));
    nodes_.back().caught_up = false;
    recruits_ = false;
    CPPUNIT_ASSERT(!next());
    recruits_ = true;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(4));
  }

  void a_new_leader_takes_in_successors_and_missing_voters() {
    recruits_ = false;
    nodes_[2].dead = true;
    nodes_.push_back(spare(3, 2));
    nodes_.back().caught_up = false;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(3, 2));
    nodes_ = {voter(1), voter(2), spare(4)};
    nodes_.back().caught_up = false;
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(4));
  }

  void voters_are_spread_over_zones() {
    nodes_[0].zone = "a";
    nodes_[1].zone = "b";
    nodes_.pop_back();
    nodes_.push_back(spare(4));
    nodes_.back().zone = "a";
    nodes_.push_back(spare(5));
    nodes_.back().zone = "c";
    learners_ = {id(4), id(5)};
    CPPUNIT_ASSERT(std::get<add_voter>(*next()).replica == id(5));
  }

  void spares_are_spread_over_zones() {
    nodes_[0].zone = "a";
    nodes_[1].zone = "a";
    nodes_[2].zone = "b";
    nodes_.push_back(spare(4));
    nodes_.back().zone = "a";
    nodes_.push_back(spare(5));
    nodes_.back().zone = "c";
    CPPUNIT_ASSERT(std::get<add_learner>(*next()).replica == id(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_plan_test);

} // namespace
} // namespace heathtrestle::records
