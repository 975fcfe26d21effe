// Snapshots are transferred in bounded parts, one at a time, and a transfer is
// not restarted without need.
#include "records/snapshot_transfer.hpp"

#include "support/record_group.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

using test_support::record_group;
using namespace std::chrono_literals;

constexpr std::size_t turns = 40;
constexpr std::size_t input_bytes = 1000;
constexpr std::size_t part_bytes = 8000;

replica_id follower(std::uint64_t number) {
  return {node_id{number}, boot_id{number}};
}

snapshot_image make_image(std::size_t part_limit = part_bytes) {
  std::vector<wire::RecordProgram> programs(3);
  for (std::size_t each = 0; each < programs.size(); ++each) {
    programs[each].set_id(fmt::format("program-{}", each));
  }
  std::vector<stored_turn> kept;
  for (std::size_t each = 0; each < turns; ++each) {
    auto turn = std::make_shared<wire::RecordTurn>();
    turn->set_id(fmt::format("turn-{}", each));
    turn->set_input(std::string(input_bytes, 'x'));
    kept.push_back(
        {.turn = turn, .expires_ms = each, .bytes = turn->ByteSizeLong()});
  }
  constexpr std::uint64_t time_ms = 77;
  return {time_ms, {}, std::move(programs), std::move(kept), part_limit};
}

snapshot_sender::source make_source(std::size_t) {
  wire::SnapshotRequest header;
  header.set_term(3);
  header.set_last_index(9);
  return {.header = header, .image = make_image()};
}

wire::SnapshotProgress progress_of(const replica_id &from, std::uint32_t next) {
  wire::SnapshotProgress progress;
  *progress.mutable_follower() = to_wire(from);
  progress.set_last_index(9);
  progress.set_next_part(next);
  return progress;
}

class snapshot_transfer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(snapshot_transfer_test);
  CPPUNIT_TEST(the_parts_of_an_image_are_bounded_and_hold_everything);
  CPPUNIT_TEST(an_empty_image_has_one_part);
  CPPUNIT_TEST(a_part_waits_for_the_one_before);
  CPPUNIT_TEST(a_lost_part_is_sent_again);
  CPPUNIT_TEST(followers_are_served_one_after_the_other);
  CPPUNIT_TEST(a_silent_follower_makes_way);
  CPPUNIT_TEST(copies_of_parts_are_passed_over);
  CPPUNIT_TEST(a_receiver_begins_anew_with_another_snapshot);
  CPPUNIT_TEST(no_message_of_a_group_exceeds_a_part);
  CPPUNIT_TEST(a_long_transfer_is_not_begun_again);
  CPPUNIT_TEST(a_transfer_outlives_a_restart_of_its_follower);
  CPPUNIT_TEST_SUITE_END();

public:
  void the_parts_of_an_image_are_bounded_and_hold_everything() {
    const snapshot_image image = make_image();
    CPPUNIT_ASSERT(image.parts() >= turns * input_bytes / (2 * part_bytes));
    int programs_seen = 0;
    int turns_seen = 0;
    for (std::size_t part = 0; part < image.parts(); ++part) {
      const wire::RecordSnapshot records = image.part(part);
      CPPUNIT_ASSERT(records.ByteSizeLong() < 2 * part_bytes);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, records.time_ms());
      programs_seen += records.programs_size();
      turns_seen += records.turns_size();
    }
    CPPUNIT_ASSERT_EQUAL(3, programs_seen);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(turns), turns_seen);
  }

  void an_empty_image_has_one_part() {
    const snapshot_image image(1, {}, {}, {}, part_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, image.parts());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, image.part(0).time_ms());
  }

  void a_part_waits_for_the_one_before() {
    snapshot_sender sender({});
    sender.enqueue(follower(1));
    const timestamp begun = timestamp_from(1000);
    const auto first = sender.next_due(begun, make_source);
    CPPUNIT_ASSERT(first && first->begins);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, first->request.part());
    CPPUNIT_ASSERT(first->request.more());
    CPPUNIT_ASSERT(!sender.next_due(begun + 100ms, make_source));
    sender.on_progress(progress_of(follower(1), 1), begun + 150ms);
    const auto second = sender.next_due(begun + 150ms, make_source);
    CPPUNIT_ASSERT(second && !second->begins);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, second->request.part());
  }

  void a_lost_part_is_sent_again() {
    snapshot_sender sender({});
    sender.enqueue(follower(1));
    const timestamp begun = timestamp_from(1000);
    CPPUNIT_ASSERT(sender.next_due(begun, make_source).has_value());
    const auto again = sender.next_due(begun + 700ms, make_source);
    CPPUNIT_ASSERT(again && !again->begins);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, again->request.part());
  }

  void followers_are_served_one_after_the_other() {
    snapshot_sender sender({});
    sender.enqueue(follower(1));
    sender.enqueue(follower(2));
    sender.enqueue(follower(2));
    const timestamp begun = timestamp_from(1000);
    CPPUNIT_ASSERT(sender.next_due(begun, make_source)->to == follower(1));
    CPPUNIT_ASSERT(!sender.next_due(begun, make_source));
    const auto all = static_cast<std::uint32_t>(make_image().parts());
    sender.on_progress(progress_of(follower(1), all), begun);
    CPPUNIT_ASSERT(sender.next_due(begun, make_source)->to == follower(2));
    sender.on_progress(progress_of(follower(2), all), begun);
    CPPUNIT_ASSERT(!sender.next_due(begun, make_source));
  }

  void a_silent_follower_makes_way() {
    snapshot_sender sender({});
    sender.enqueue(follower(1));
    sender.enqueue(follower(2));
    const timestamp begun = timestamp_from(1000);
    CPPUNIT_ASSERT(sender.next_due(begun, make_source)->to == follower(1));
    CPPUNIT_ASSERT(sender.next_due(begun + 2900ms, make_source)->to ==
                   follower(1));
    CPPUNIT_ASSERT(sender.next_due(begun + 3000ms, make_source)->to ==
                   follower(2));
  }

  void copies_of_parts_are_passed_over() {
    const snapshot_image image = make_image();
    snapshot_receiver receiver;
    bool complete = false;
    for (std::size_t number = 0; number < image.parts(); ++number) {
      for (int copy = 0; copy < 2 && !complete; ++copy) {
        wire::SnapshotRequest part = make_source(part_bytes).header;
        *part.mutable_records() = image.part(number);
        part.set_part(static_cast<std::uint32_t>(number));
        part.set_more(number + 1 < image.parts());
        complete = receiver.receive(part);
      }
    }
    CPPUNIT_ASSERT(complete);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(turns), receiver.take().turns_size());
  }

  void a_receiver_begins_anew_with_another_snapshot() {
    const snapshot_image image = make_image();
    snapshot_receiver receiver;
    wire::SnapshotRequest part = make_source(part_bytes).header;
    *part.mutable_records() = image.part(0);
    part.set_more(true);
    CPPUNIT_ASSERT(!receiver.receive(part));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, receiver.next_part());
    part.set_last_index(part.last_index() + 1);
    part.set_part(1);
    CPPUNIT_ASSERT(!receiver.receive(part));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, receiver.next_part());
  }

  void no_message_of_a_group_exceeds_a_part() {
    record_group group(31);
    fill(group);
    group.wipe("c");
    group.run(600ms);
    group.start("c");
    group.run(6000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, group.voters().size());
    CPPUNIT_ASSERT(group.largest_to("c") < 2 * part_bytes);
    CPPUNIT_ASSERT_EQUAL(group.at("a").table().turns(),
                         group.at("c").table().turns());
    CPPUNIT_ASSERT(group.has_all_bodies("c"));
  }

  void a_long_transfer_is_not_begun_again() {
    // The log grows by far more than it retains during the transfer.
    record_group group(32);
    fill(group);
    const std::size_t before = group.logged(logging::event::snapshot_sent);
    group.wipe("c");
    group.run(600ms);
    group.slow_down("c", 100ms);
    group.start("c");
    for (int wave = 0; wave < 600; ++wave) {
      group.submit_once(wave);
      group.run(20ms);
    }
    group.run(2000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         group.logged(logging::event::snapshot_sent) - before);
    CPPUNIT_ASSERT(group.at("c").log()->last_index() ==
                   group.at(group.leader()).log()->last_index());
  }

  void a_transfer_outlives_a_restart_of_its_follower() {
    record_group group(33);
    fill(group);
    group.wipe("c");
    group.run(600ms);
    group.slow_down("c", 100ms);
    group.start("c");
    group.run(1500ms);
    group.kill("c");
    group.run(300ms);
    group.start("c");
    group.run(20000ms);
    CPPUNIT_ASSERT(group.at("c").log()->last_index() ==
                   group.at(group.leader()).log()->last_index());
    CPPUNIT_ASSERT_EQUAL(group.at(group.leader()).table().turns(),
                         group.at("c").table().turns());
    CPPUNIT_ASSERT(group.has_all_bodies("c"));
  }

private:
  /// Starts three nodes and fills the log until its beginning is dropped.
  static void fill(record_group &group) {
    group.options().snapshots.part_bytes = part_bytes;
    group.options().raft.retained_entries = 4;
    group.options().raft.bytes_per_append = part_bytes;
    for (const char *name : {"a", "b", "c"}) {
      group.add(name);
    }
    group.bootstrap("a");
    group.run(4000ms);
    for (int wave = 0; wave < 100; ++wave) {
      group.keep_turn(fmt::format("fill-{}", wave), input_bytes);
      group.run(30ms);
    }
    group.run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.unanswered());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(snapshot_transfer_test);

} // namespace
} // namespace heathtrestle::records
