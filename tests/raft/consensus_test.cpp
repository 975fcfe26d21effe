#include "raft/consensus.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace heathtrestle::raft {
namespace {

constexpr partition_id the_partition{};

replica_id replica(std::uint64_t number) {
  return {node_id{number}, boot_id{number}};
}

/// Replicas that exchange messages immediately, except with isolated ones.
class group {
public:
  explicit group(std::size_t count) {
    std::vector<replica_id> voters;
    for (std::uint64_t number = 1; number <= count; ++number) {
      voters.push_back(replica(number));
    }
    for (const replica_id &each : voters) {
      add(each, voters);
    }
  }

  void add(const replica_id &who, const std::vector<replica_id> &voters) {
    replicas_[who] = std::make_unique<consensus>(
        the_partition, who, voters, options{}, now_, who.node.value() * 77);
  }

  consensus &at(std::uint64_t number) { return *replicas_.at(replica(number)); }

  void run(duration_ms span) {
    const timestamp end = now_ + span;
    while (now_ < end) {
      now_ += duration_ms{50};
      for (auto &[who, each] : replicas_) {
        if (isolated.contains(who.node.value())) {
          continue;
        }
        outbox out;
        each->tick(now_, random_ += 13, out);
        deliver(who, out);
      }
      record_leaders();
    }
  }

  std::uint64_t propose(std::uint64_t number, const std::string &program) {
    wire::Command command;
    command.mutable_forget_program()->set_program(program);
    outbox out;
    const auto index = at(number).propose(command, now_, out);
    deliver(replica(number), out);
    return index ? index.value().value() : 0;
  }

  std::optional<std::uint64_t> leader() {
    for (auto &[who, each] : replicas_) {
      if (each->established() && !isolated.contains(who.node.value())) {
        return who.node.value();
      }
    }
    return std::nullopt;
  }

  std::vector<std::string> applied(std::uint64_t number) {
    for (const wire::LogEntry &entry : at(number).take_committed()) {
      if (entry.has_command()) {
        applied_[number].push_back(entry.command().forget_program().program());
      }
    }
    return applied_[number];
  }

  void deliver(const replica_id &from, outbox &out) {
    for (outgoing &message : out.messages) {
      if (!linked(from, message.to)) {
        continue;
      }
      outbox replies;
      dispatch(*replicas_.at(message.to), message.envelope, replies);
      deliver(message.to, replies);
    }
    for (const outgoing_heartbeat &heartbeat : out.heartbeats) {
      if (!linked(from, heartbeat.to)) {
        continue;
      }
      wire::HeartbeatReply reply;
      reply.set_term(replicas_.at(heartbeat.to)
                         ->handle(from, heartbeat.heartbeat, now_, random_));
      outbox replies;
      replicas_.at(from)->handle(heartbeat.to, reply, now_, replies);
      deliver(from, replies);
    }
    for (const replica_id &behind : out.snapshots_wanted) {
      if (linked(from, behind)) {
        outbox replies;
        replicas_.at(behind)->handle(replicas_.at(from)->snapshot_header(),
                                     now_, random_, replies);
        deliver(behind, replies);
      }
    }
  }

  [[nodiscard]] timestamp now() const { return now_; }

  std::set<std::uint64_t> isolated;
  /// Number of times that a second leader was seen in one term.
  std::size_t split_terms = 0;

private:
  bool linked(const replica_id &from, const replica_id &to) const {
    return replicas_.contains(to) && !isolated.contains(from.node.value()) &&
           !isolated.contains(to.node.value());
  }

  void dispatch(consensus &target, const wire::Envelope &envelope,
                outbox &out) {
    if (envelope.has_vote_request()) {
      target.handle(envelope.vote_request(), now_, random_, out);
    } else if (envelope.has_vote_reply()) {
      target.handle(envelope.vote_reply(), now_, out);
    } else if (envelope.has_append_request()) {
      target.handle(envelope.append_request(), now_, random_, out);
    } else if (envelope.has_append_reply()) {
      target.handle(envelope.append_reply(), now_, out);
    } else if (envelope.has_transfer_leadership()) {
      target.handle(envelope.transfer_leadership(), now_, random_, out);
    }
  }

  void record_leaders() {
    for (auto &[who, each] : replicas_) {
      if (each->is_leader()) {
        const auto [known, fresh] =
            leaders_.try_emplace(each->term().value(), who);
        split_terms += !fresh && known->second != who ? 1 : 0;
      }
    }
  }

  timestamp now_ = timestamp_from(1000);
  std::uint64_t random_ = 1;
  std::map<replica_id, std::unique_ptr<consensus>> replicas_;
  std::map<std::uint64_t, std::vector<std::string>> applied_;
  std::map<std::uint64_t, replica_id> leaders_;
};

class consensus_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(consensus_test);
  CPPUNIT_TEST(elects_one_leader);
  CPPUNIT_TEST(committed_entries_survive_the_leader);
  CPPUNIT_TEST(an_isolated_leader_commits_nothing_and_steps_down);
  CPPUNIT_TEST(an_isolated_replica_does_not_raise_the_term);
  CPPUNIT_TEST(an_old_term_is_refused);
  CPPUNIT_TEST(a_learner_becomes_a_voter);
  CPPUNIT_TEST(replicas_change_one_at_a_time);
  CPPUNIT_TEST(a_far_behind_follower_gets_a_snapshot);
  CPPUNIT_TEST(leadership_is_transferred);
  CPPUNIT_TEST(a_follower_that_lost_entries_is_not_flooded);
  CPPUNIT_TEST(a_suspended_leader_has_no_recent_quorum);
  CPPUNIT_TEST(entries_under_way_are_not_sent_with_every_heartbeat);
  CPPUNIT_TEST(the_survivor_of_two_voters_replaces_the_dead_one);
  CPPUNIT_TEST(a_removal_in_progress_lets_nobody_lead_alone);
  CPPUNIT_TEST(a_vote_of_a_dead_voter_counts_no_more);
  CPPUNIT_TEST(a_voter_of_the_set_before_a_change_has_a_vote);
  CPPUNIT_TEST(a_second_voter_may_lead_before_the_first_change_is_committed);
  CPPUNIT_TEST(growth_from_two_waits_for_both);
  CPPUNIT_TEST(growth_from_four_waits_for_a_majority_of_the_four);
  CPPUNIT_TEST(removal_from_four_waits_for_a_majority_of_the_four);
  CPPUNIT_TEST(a_dead_voter_is_removed_without_its_acknowledgement);
  CPPUNIT_TEST(old_acknowledgements_trigger_no_second_snapshot);
  CPPUNIT_TEST(a_follower_that_starts_late_needs_no_snapshot);
  CPPUNIT_TEST(a_backlog_is_sent_a_bounded_message_at_a_time);
  CPPUNIT_TEST(the_log_in_memory_is_bounded_in_bytes);
  CPPUNIT_TEST(entries_a_voter_lacks_are_retained_up_to_the_byte_limit);
  CPPUNIT_TEST(a_restored_log_may_begin_before_the_applied_index);
  CPPUNIT_TEST_SUITE_END();

public:
  void elects_one_leader() {
    group three(3);
    three.run(duration_ms{6000});
    CPPUNIT_ASSERT(three.leader().has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, three.split_terms);
  }

  void committed_entries_survive_the_leader() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t first = *three.leader();
    three.propose(first, "a");
    three.run(duration_ms{600});
    CPPUNIT_ASSERT(three.applied(first) == std::vector<std::string>{"a"});
    three.isolated = {first};
    three.run(duration_ms{8000});
    const std::uint64_t second = *three.leader();
    CPPUNIT_ASSERT(second != first);
    CPPUNIT_ASSERT(three.applied(second) == std::vector<std::string>{"a"});
  }

  void an_isolated_leader_commits_nothing_and_steps_down() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t old_leader = *three.leader();
    three.isolated = {old_leader};
    three.propose(old_leader, "lost");
    three.run(duration_ms{8000});
    const std::uint64_t new_leader = *three.leader();
    three.propose(new_leader, "kept");
    three.isolated.clear();
    three.run(duration_ms{4000});
    CPPUNIT_ASSERT(!three.at(old_leader).is_leader());
    CPPUNIT_ASSERT(three.applied(old_leader) ==
                   std::vector<std::string>{"kept"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, three.split_terms);
  }

  void an_isolated_replica_does_not_raise_the_term() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    const term_id term = three.at(leader).term();
    const std::uint64_t other = leader == 1 ? 2 : 1;
    three.isolated = {other};
    three.run(duration_ms{20000});
    three.isolated.clear();
    three.run(duration_ms{4000});
    CPPUNIT_ASSERT(three.at(leader).term() == term);
    CPPUNIT_ASSERT(three.at(leader).is_leader());
  }

  void an_old_term_is_refused() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    const std::uint64_t follower = leader == 1 ? 2 : 1;
    wire::AppendRequest stale;
    stale.set_term(0);
    *stale.mutable_leader() = to_wire(replica(3));
    outbox out;
    three.at(follower).handle(stale, three.now(), 1, out);
    const wire::AppendReply &reply =
        out.messages.front().envelope.append_reply();
    CPPUNIT_ASSERT(!reply.success());
    CPPUNIT_ASSERT(reply.term() > 0);
  }

  void a_learner_becomes_a_voter() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    three.propose(leader, "a");
    three.add(replica(4), {});
    outbox out;
    three.at(leader).add_learner(replica(4), three.now(), out);
    three.deliver(replica(leader), out);
    three.run(duration_ms{2000});
    CPPUNIT_ASSERT(three.at(leader).caught_up(replica(4)));
    std::vector<replica_id> voters = three.at(leader).voters();
    voters.push_back(replica(4));
    outbox change;
    CPPUNIT_ASSERT(
        !three.at(leader).change_replicas(voters, three.now(), change));
    three.deliver(replica(leader), change);
    three.run(duration_ms{1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, three.at(4).voters().size());
    CPPUNIT_ASSERT(three.applied(4) == std::vector<std::string>{"a"});
  }

  void replicas_change_one_at_a_time() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    outbox out;
    const auto two_at_once =
        three.at(leader).change_replicas({replica(leader)}, three.now(), out);
    CPPUNIT_ASSERT(two_at_once == propose_error::change_in_progress);
    // Isolated replicas do not answer, so the first change stays uncommitted.
    three.isolated = {1, 2, 3};
    std::vector<replica_id> fewer = three.at(leader).voters();
    std::erase(fewer, replica(leader == 1 ? 2 : 1));
    CPPUNIT_ASSERT(!three.at(leader).change_replicas(fewer, three.now(), out));
    CPPUNIT_ASSERT(
        three.at(leader).change_replicas({replica(leader)}, three.now(), out) ==
        propose_error::change_in_progress);
  }

  void a_far_behind_follower_gets_a_snapshot() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    const std::uint64_t behind = leader == 1 ? 2 : 1;
    three.isolated = {behind};
    for (int number = 0; number < 2000; ++number) {
      three.propose(leader, "x");
      three.at(leader).take_committed();
    }
    CPPUNIT_ASSERT(three.at(leader).log_entries() < 1000);
    three.isolated.clear();
    three.run(duration_ms{3000});
    CPPUNIT_ASSERT(three.at(behind).commit_index() ==
                   three.at(leader).commit_index());
  }

  void leadership_is_transferred() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    const std::uint64_t wanted = leader == 1 ? 2 : 1;
    outbox out;
    CPPUNIT_ASSERT(
        three.at(leader).transfer_leadership({replica(wanted)}, out));
    three.deliver(replica(leader), out);
    three.run(duration_ms{100});
    CPPUNIT_ASSERT(three.at(wanted).is_leader());
    CPPUNIT_ASSERT(three.at(wanted).elected_by_transfer());
    CPPUNIT_ASSERT(!three.at(leader).is_leader());
    // A leader elected after a timeout did not get leadership by transfer.
    three.isolated.insert(wanted);
    three.run(duration_ms{6000});
    CPPUNIT_ASSERT(!three.at(*three.leader()).elected_by_transfer());
  }

  void a_follower_that_lost_entries_is_not_flooded() {
    group three(3);
    three.run(duration_ms{6000});
    const std::uint64_t leader = *three.leader();
    three.propose(leader, "a");
    wire::AppendReply lost_entries;
    lost_entries.set_term(three.at(leader).term().value());
    *lost_entries.mutable_follower() = to_wire(replica(leader == 1 ? 2 : 1));
    lost_entries.set_match_index(0);
    outbox out;
    three.at(leader).handle(lost_entries, three.now(), out);
    CPPUNIT_ASSERT(out.messages.empty());
  }

  void a_suspended_leader_has_no_recent_quorum() {
    group three(3);
    three.run(duration_ms{6000});
    const consensus &leader = three.at(*three.leader());
    CPPUNIT_ASSERT(leader.has_recent_quorum(three.now()));
    // After a suspension of eight seconds it still considers itself the leader.
    CPPUNIT_ASSERT(leader.is_leader());
    CPPUNIT_ASSERT(!leader.has_recent_quorum(three.now() + duration_ms{8000}));
  }

  void entries_under_way_are_not_sent_with_every_heartbeat() {
    CPPUNIT_ASSERT(entry_messages_in_a_second(duration_ms{0}) >= 8);
    CPPUNIT_ASSERT(entry_messages_in_a_second(duration_ms{600}) <= 3);
  }

  void the_survivor_of_two_voters_replaces_the_dead_one() {
    consensus survivor = restored({replica(1), replica(2)});
    outbox out;
    const timestamp later = timestamp_from(60000);
    survivor.tick(later, 1, out);
    CPPUNIT_ASSERT(!survivor.is_leader()); // the other one may be alive
    survivor.declare_dead(replica(2));
    survivor.tick(later + duration_ms{10000}, 1, out);
    CPPUNIT_ASSERT(survivor.is_leader());
    CPPUNIT_ASSERT(!survivor.established()); // it cannot commit alone
    const replica_id back{node_id{2}, boot_id{22}};
    const auto refused = survivor.change_replicas(
        {replica(1), back}, later + duration_ms{10000}, out);
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(survivor.is_voter(back));
  }

  // The others may not know of the removal, and have committed without it.
  void a_removal_in_progress_lets_nobody_lead_alone() {
    consensus leader = restored({replica(1), replica(2), replica(3)});
    const timestamp now = elected_ = elect(leader);
    acknowledge(leader, replica(2), leader.last_index().value(), now);
    change_to(leader, {1, 2});
    CPPUNIT_ASSERT(leader.change_in_progress());
    const timestamp later = depose(leader, now);
    leader.declare_dead(replica(2));
    outbox out;
    leader.tick(later, 1, out);
    CPPUNIT_ASSERT(!leader.is_leader());
  }

  void a_vote_of_a_dead_voter_counts_no_more() {
    consensus candidate = restored({replica(1), replica(2), replica(3)});
    outbox out;
    const timestamp now = timestamp_from(60000);
    candidate.tick(now, 1, out); // asks for pre-votes
    vote(candidate, replica(2), true, candidate.term().value() + 1, now);
    CPPUNIT_ASSERT(!candidate.is_leader());
    candidate.declare_dead(replica(2));
    vote(candidate, replica(2), false, candidate.term().value(), now);
    CPPUNIT_ASSERT(!candidate.is_leader());
    vote(candidate, replica(3), false, candidate.term().value(), now);
    CPPUNIT_ASSERT(candidate.is_leader());
  }

  void a_voter_of_the_set_before_a_change_has_a_vote() {
    consensus leader = restored({replica(1), replica(2)});
    const timestamp now = elected_ = elect(leader);
    acknowledge(leader, replica(2), leader.last_index().value(), now);
    change_to(leader, {1, 2, 3});
    const timestamp later = depose(leader, now);
    outbox out;
    leader.tick(later, 1, out);
    // The third one is not enough: the first two may elect another leader.
    vote(leader, replica(3), true, leader.term().value() + 1, later);
    vote(leader, replica(3), false, leader.term().value(), later);
    CPPUNIT_ASSERT(!leader.is_leader());
    vote(leader, replica(2), true, leader.term().value() + 1, later);
    vote(leader, replica(2), false, leader.term().value(), later);
    vote(leader, replica(3), false, leader.term().value(), later);
    CPPUNIT_ASSERT(leader.is_leader());
  }

  // Guards against a storage node that crashes while a group is founded: its
  // log begins with the first change and does not say who voted before.
  void a_second_voter_may_lead_before_the_first_change_is_committed() {
    consensus second = restored({});
    wire::AppendRequest request;
    request.set_term(1);
    *request.mutable_leader() = to_wire(replica(2));
    wire::LogEntry &marker = *request.add_entries();
    marker.set_term(1);
    marker.set_index(1);
    marker.set_leader_marker(true);
    wire::LogEntry &change = *request.add_entries();
    change.set_term(1);
    change.set_index(2);
    *change.mutable_replicas()->add_voters() = to_wire(replica(2));
    *change.mutable_replicas()->add_voters() = to_wire(replica(1));
    outbox out;
    second.handle(request, timestamp_from(1000), 1, out);
    const timestamp now = elect(second);
    CPPUNIT_ASSERT(second.is_leader());
    acknowledge(second, replica(2), 2, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, second.commit_index().value());
    acknowledge(second, replica(2), second.last_index().value(), now);
    CPPUNIT_ASSERT(second.commit_index() == second.last_index());
    CPPUNIT_ASSERT(!second.change_in_progress());
  }

  void growth_from_two_waits_for_both() {
    // The two are a leader and a voter that lags; the third one acknowledges
    // quickly.
    consensus leader = restored({replica(1), replica(2)});
    const timestamp now = elect(leader);
    outbox out;
    acknowledge(leader, replica(2), leader.last_index().value(), now);
    CPPUNIT_ASSERT(leader.established());
    leader.add_learner(replica(3), now, out);
    CPPUNIT_ASSERT(!leader.change_replicas({replica(1), replica(2), replica(3)},
                                           now, out));
    const std::uint64_t change = leader.last_index().value();
    acknowledge(leader, replica(3), change, now);
    CPPUNIT_ASSERT(leader.commit_index().value() < change);
    acknowledge(leader, replica(2), change, now);
    CPPUNIT_ASSERT_EQUAL(change, leader.commit_index().value());
  }

  void growth_from_four_waits_for_a_majority_of_the_four() {
    // If the change were committed by 1, 2 and 5, then 3 and 4, which lack it,
    // could elect a leader among the four once 1 has lost its disk.
    consensus leader = leader_of_four();
    outbox out;
    leader.add_learner(replica(5), elected_, out);
    const std::uint64_t change = change_to(leader, {1, 2, 3, 4, 5});
    acknowledge(leader, replica(5), change, elected_);
    acknowledge(leader, replica(2), change, elected_);
    CPPUNIT_ASSERT(leader.commit_index().value() < change);
    acknowledge(leader, replica(3), change, elected_);
    CPPUNIT_ASSERT_EQUAL(change, leader.commit_index().value());
  }

  void removal_from_four_waits_for_a_majority_of_the_four() {
    consensus leader = leader_of_four();
    const std::uint64_t change = change_to(leader, {1, 2, 3});
    acknowledge(leader, replica(2), change, elected_);
    CPPUNIT_ASSERT(leader.commit_index().value() < change);
    acknowledge(leader, replica(3), change, elected_);
    CPPUNIT_ASSERT_EQUAL(change, leader.commit_index().value());
  }

  void a_dead_voter_is_removed_without_its_acknowledgement() {
    consensus leader = leader_of_four();
    leader.declare_dead(replica(4));
    const std::uint64_t change = change_to(leader, {1, 2, 3});
    acknowledge(leader, replica(2), change, elected_);
    CPPUNIT_ASSERT_EQUAL(change, leader.commit_index().value());
  }

  void old_acknowledgements_trigger_no_second_snapshot() {
    // A node that resumes first acknowledges the messages queued for it and
    // refuses those after them; one snapshot covers all of these.
    consensus leader = restored({replica(1), replica(2)}, {}, 100);
    timestamp now = elect(leader);
    outbox out;
    std::size_t snapshots = 0;
    leader.add_learner(replica(3), now, out);
    for (std::uint64_t held = 10; held < 60; held += 10) {
      now += duration_ms{60};
      snapshots += acknowledge(leader, replica(3), held, now);
      wire::AppendReply refusal;
      refusal.set_term(leader.term().value());
      refusal.set_match_index(held);
      *refusal.mutable_follower() = to_wire(replica(3));
      leader.handle(refusal, now, out);
    }
    snapshots += out.snapshots_wanted.size();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, snapshots);
  }

  void a_follower_that_starts_late_needs_no_snapshot() {
    // The follower starts after the leader was elected, answers a heartbeat
    // first, and holds the whole log except for its last entry.
    options settings;
    settings.probe_interval = duration_ms{50};
    constexpr std::uint64_t dropped = 100;
    consensus leader =
        restored({replica(1), replica(2), replica(3)}, settings, dropped);
    const timestamp begun = elect(leader);
    const timestamp now = begun + duration_ms{800};
    outbox out;
    wire::HeartbeatReply beat;
    beat.set_term(leader.term().value());
    leader.handle(replica(3), beat, now, out);
    CPPUNIT_ASSERT(out.snapshots_wanted.empty());
    wire::AppendReply refusal;
    refusal.set_term(leader.term().value());
    refusal.set_match_index(leader.last_index().value() - 1);
    *refusal.mutable_follower() = to_wire(replica(3));
    out = {};
    leader.handle(refusal, now + duration_ms{60}, out);
    CPPUNIT_ASSERT(out.snapshots_wanted.empty());
    CPPUNIT_ASSERT_EQUAL(
        1, out.messages.at(0).envelope.append_request().entries_size());
  }

  void a_backlog_is_sent_a_bounded_message_at_a_time() {
    options settings;
    settings.bytes_per_append = 4000;
    settings.backlog_threshold = 10;
    consensus leader = restored({replica(1), replica(2), replica(3)}, settings);
    const timestamp now = elect(leader);
    const std::uint64_t first = leader.last_index().value();
    acknowledge(leader, replica(2), first, now);
    acknowledge(leader, replica(3), first, now);
    outbox out;
    wire::Command command;
    command.mutable_forget_program()->set_program(std::string(1000, 'x'));
    for (int count = 0; count < 100; ++count) {
      CPPUNIT_ASSERT(leader.propose(command, now, out));
      acknowledge(leader, replica(2), leader.last_index().value(), now);
    }
    // The third replica has acknowledged nothing, so its backlog is not sent.
    std::uint64_t held = first;
    for (const outgoing &each : out.messages) {
      if (each.to == replica(3)) {
        held += static_cast<std::uint64_t>(
            each.envelope.append_request().entries_size());
      }
    }
    CPPUNIT_ASSERT(held > first);
    CPPUNIT_ASSERT(held <= first + 12);
    // Each acknowledgement is followed by one message of about
    // `bytes_per_append`.
    for (int step = 0; step < 5; ++step) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, entries_after(leader, held, now));
      held += 4;
    }
  }

  void the_log_in_memory_is_bounded_in_bytes() {
    options settings;
    settings.retained_bytes = 20 * entry_size;
    consensus leader = restored({replica(1), replica(2), replica(3)}, settings);
    const timestamp now = elect(leader);
    for (int each = 0; each < 200; ++each) {
      propose_large(leader, now);
      for (const std::uint64_t voter : {2, 3}) {
        acknowledge(leader, replica(voter), leader.last_index().value(), now);
      }
      CPPUNIT_ASSERT(leader.take_committed().size() <= 2);
      CPPUNIT_ASSERT(leader.log_bytes() < 24 * entry_size);
    }
    CPPUNIT_ASSERT(leader.log_bytes() >= 19 * entry_size);
  }

  void entries_a_voter_lacks_are_retained_up_to_the_byte_limit() {
    options settings;
    settings.retained_bytes = 10 * entry_size;
    settings.lagging_peer_entries = 1000;
    settings.lagging_peer_bytes = 50 * entry_size;
    consensus leader = restored({replica(1), replica(2), replica(3)}, settings);
    const timestamp now = elect(leader);
    acknowledge(leader, replica(3), leader.last_index().value(), now);
    const std::uint64_t reached = leader.match_index(replica(3));
    const auto commit_large = [&](int count) {
      for (int each = 0; each < count; ++each) {
        propose_large(leader, now);
        acknowledge(leader, replica(2), leader.last_index().value(), now);
        leader.take_committed();
      }
    };
    commit_large(45);
    CPPUNIT_ASSERT_EQUAL(reached, leader.base().index);
    commit_large(45);
    CPPUNIT_ASSERT(leader.base().index > reached);
    CPPUNIT_ASSERT(leader.log_bytes() <= 52 * entry_size);
  }

  void a_restored_log_may_begin_before_the_applied_index() {
    saved_replica saved;
    saved.hard.term = 1;
    saved.base = {.index = 10, .term = 1, .voters = {replica(1)}};
    for (std::uint64_t index = 11; index <= 15; ++index) {
      wire::LogEntry &entry = saved.entries.emplace_back();
      entry.set_index(index);
      entry.set_term(1);
      entry.mutable_command()->mutable_forget_program();
    }
    saved.applied = 13;
    consensus alone(the_partition, replica(1), std::move(saved), options{},
                    timestamp_from(1000), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, alone.commit_index().value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, alone.base().index);
    outbox out;
    alone.tick(timestamp_from(60000), 1, out);
    CPPUNIT_ASSERT(alone.is_leader());
    const std::vector<wire::LogEntry> committed = alone.take_committed();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, committed.front().index());
  }

private:
  /// @return the number of entries sent to the third replica, in one message,
  /// when it acknowledges `match`.
  static std::uint64_t entries_after(consensus &leader, std::uint64_t match,
                                     timestamp now) {
    wire::AppendReply reply;
    reply.set_term(leader.term().value());
    reply.set_success(true);
    reply.set_match_index(match);
    *reply.mutable_follower() = to_wire(replica(3));
    outbox out;
    leader.handle(reply, now, out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.messages.size());
    return static_cast<std::uint64_t>(
        out.messages.front().envelope.append_request().entries_size());
  }

  static constexpr std::size_t entry_size = 1000;
  static void propose_large(consensus &leader, timestamp now) {
    wire::Command command;
    command.mutable_forget_program()->set_program(std::string(entry_size, 'x'));
    outbox out;
    CPPUNIT_ASSERT(leader.propose(std::move(command), now, out));
  }

  static consensus restored(const std::vector<replica_id> &voters,
                            options settings = {}, std::uint64_t base = 0) {
    saved_replica saved;
    saved.base.index = base;
    saved.base.term = base > 0 ? 1 : 0;
    saved.hard.term = saved.base.term;
    saved.base.voters = voters;
    return {the_partition, replica(1),           std::move(saved),
            settings,      timestamp_from(1000), 1};
  }

  /// An established leader of four voters.
  consensus leader_of_four() {
    consensus leader =
        restored({replica(1), replica(2), replica(3), replica(4)});
    elected_ = elect(leader);
    for (const std::uint64_t voter : {2, 3}) {
      acknowledge(leader, replica(voter), leader.last_index().value(),
                  elected_);
    }
    CPPUNIT_ASSERT(leader.established());
    return leader;
  }

  /// Proposes a change of the voters.
  /// @return the index of the change.
  std::uint64_t change_to(consensus &leader,
                          const std::vector<std::uint64_t> &numbers) {
    std::vector<replica_id> voters;
    voters.reserve(numbers.size());
    for (const std::uint64_t number : numbers) {
      voters.push_back(replica(number));
    }
    outbox out;
    CPPUNIT_ASSERT(!leader.change_replicas(voters, elected_, out));
    return leader.last_index().value();
  }

  timestamp elected_{};

  /// Elects a replica with the votes of two others.
  static timestamp elect(consensus &candidate) {
    const timestamp now = timestamp_from(60000);
    outbox out;
    candidate.tick(now, 1, out);
    for (const bool pre_vote : {true, false}) {
      const std::uint64_t term = candidate.term().value() + (pre_vote ? 1 : 0);
      for (const std::uint64_t voter : {2, 3}) {
        vote(candidate, replica(voter), pre_vote, term, now);
      }
    }
    CPPUNIT_ASSERT(candidate.is_leader());
    return now;
  }

  /// Makes a leader step down.
  /// @return a time at which it campaigns again.
  static timestamp depose(consensus &leader, timestamp now) {
    wire::AppendReply reply;
    reply.set_term(leader.term().value() + 1);
    *reply.mutable_follower() = to_wire(replica(2));
    outbox out;
    leader.handle(reply, now, out);
    CPPUNIT_ASSERT(!leader.is_leader());
    return now + duration_ms{60000};
  }

  static void vote(consensus &candidate, const replica_id &voter, bool pre_vote,
                   std::uint64_t term, timestamp now) {
    wire::VoteReply reply;
    reply.set_granted(true);
    reply.set_pre_vote(pre_vote);
    reply.set_term(term);
    *reply.mutable_voter() = to_wire(voter);
    outbox out;
    candidate.handle(reply, now, out);
  }

  /// @return the number of snapshots that the leader requests on the
  /// acknowledgement.
  static std::size_t acknowledge(consensus &leader, const replica_id &from,
                                 std::uint64_t match, timestamp now) {
    wire::AppendReply reply;
    reply.set_term(leader.term().value());
    reply.set_success(true);
    reply.set_match_index(match);
    *reply.mutable_follower() = to_wire(from);
    outbox out;
    leader.handle(reply, now, out);
    return out.snapshots_wanted.size();
  }

  /// @return the number of messages with entries sent within a second to a
  /// follower that answers heartbeats while its acknowledgements are lost.
  static int entry_messages_in_a_second(duration_ms resend_after) {
    options settings;
    settings.probe_interval = duration_ms{50};
    settings.resend_after = resend_after;
    consensus leader = restored({replica(1), replica(2)}, settings);
    timestamp now = elect(leader);
    acknowledge(leader, replica(2), leader.last_index().value(), now);
    outbox out;
    wire::Command command;
    command.mutable_forget_program()->set_program("p");
    CPPUNIT_ASSERT(leader.propose(command, now, out));
    for (int beat = 0; beat < 10; ++beat) {
      now += duration_ms{100};
      wire::HeartbeatReply reply;
      reply.set_term(leader.term().value());
      leader.handle(replica(2), reply, now, out);
    }
    return static_cast<int>(std::count_if(
        out.messages.begin(), out.messages.end(), [](const outgoing &each) {
          return each.envelope.append_request().entries_size() > 0;
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_test);

} // namespace
} // namespace heathtrestle::raft
