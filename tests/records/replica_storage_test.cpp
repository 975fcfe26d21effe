#include "records/replica_storage.hpp"

#include "records/record_runtime.hpp"
#include "storage/posix_directory.hpp"
#include "support/simulated_directory.hpp"
#include "support/temporary_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <filesystem>
#include <fstream>

namespace heathtrestle::records {
namespace {

wire::LogEntry entry(std::uint64_t index, std::uint64_t term) {
  wire::LogEntry made;
  made.set_index(index);
  made.set_term(term);
  made.set_leader_marker(true);
  return made;
}

wire::RecordTurn turn(const std::string &id) {
  wire::RecordTurn made;
  made.set_id(id);
  made.set_input("said in " + id);
  return made;
}

class replica_storage_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_storage_test);
  CPPUNIT_TEST(a_new_disk_gets_an_identity_and_keeps_it);
  CPPUNIT_TEST(everything_comes_back);
  CPPUNIT_TEST(a_truncated_tail_stays_away);
  CPPUNIT_TEST(a_snapshot_replaces_the_log);
  CPPUNIT_TEST(a_compacted_log_goes_on_behind_its_snapshot);
  CPPUNIT_TEST(a_snapshot_keeps_the_log_that_followers_may_lack);
  CPPUNIT_TEST(turns_are_read_before_and_after_they_are_written);
  CPPUNIT_TEST(unreferenced_turns_are_deleted_at_start);
  CPPUNIT_TEST(a_torn_tail_leaves_the_last_whole_write);
  CPPUNIT_TEST(a_database_of_an_earlier_version_is_refused);
  CPPUNIT_TEST(a_body_lies_in_its_log_entry_and_is_not_written_again);
  CPPUNIT_TEST(a_step_costs_one_write_and_one_sync);
  CPPUNIT_TEST(a_turn_that_is_stored_again_is_read_from_its_new_entry);
  CPPUNIT_TEST(a_changed_body_is_not_handed_out);
  CPPUNIT_TEST(space_is_bounded_by_the_living_bodies);
  CPPUNIT_TEST(damage_to_synced_bytes_is_told_from_a_torn_tail);
  CPPUNIT_TEST(a_lost_segment_is_damage);
  CPPUNIT_TEST(a_damaged_partition_empties_the_node);
  CPPUNIT_TEST_SUITE_END();

  test_support::temporary_directory folder_;
  const std::string &directory_ = folder_.path();

  replica_storage::opened open(std::uint64_t identity = 7,
                               const std::string &directory = {}) {
    auto files = storage::posix_directory::open_or_create(
        directory.empty() ? directory_ : directory);
    CPPUNIT_ASSERT(files);
    auto opened = replica_storage::open(std::move(files).value(), identity);
    CPPUNIT_ASSERT(opened);
    return std::move(opened).value();
  }

  static void append(replica_storage &storage,
                     const std::vector<wire::LogEntry> &entries,
                     std::uint64_t truncate_from = 0) {
    raft::unsaved_changes changes;
    changes.truncate_from = truncate_from;
    for (const wire::LogEntry &each : entries) {
      changes.entries.push_back(&each);
    }
    CPPUNIT_ASSERT(storage.write(changes, nullptr));
  }

public:
  void a_new_disk_gets_an_identity_and_keeps_it() {
    {
      const auto first = open(7).recovered;
      CPPUNIT_ASSERT(first.is_new);
      CPPUNIT_ASSERT(first.identity == boot_id{7});
    }
    const auto second = open(8).recovered;
    CPPUNIT_ASSERT(!second.is_new);
    CPPUNIT_ASSERT(second.identity == boot_id{7});
  }

  void everything_comes_back() {
    {
      const auto storage = open().storage;
      raft::unsaved_changes changes;
      changes.hard =
          raft::hard_state{.term = 5,
                           .voted_for = replica_id{node_id{1}, boot_id{2}},
                           .settled_voters = 17};
      const wire::LogEntry one = entry(1, 4);
      changes.entries = {&one};
      CPPUNIT_ASSERT(storage->write(changes, nullptr));
      wire::RecordMembers members;
      members.add_members()->set_name("n");
      CPPUNIT_ASSERT(storage->write_members(members));
    }
    const auto state = open().recovered;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.replica.hard.term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, state.replica.hard.settled_voters);
    CPPUNIT_ASSERT(state.replica.hard.voted_for ==
                   (replica_id{node_id{1}, boot_id{2}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.replica.entries.size());
    CPPUNIT_ASSERT_EQUAL(1, state.members.members_size());
  }

  void a_truncated_tail_stays_away() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1)});
      append(*storage, {entry(2, 2)}, 2);
    }
    const auto state = open().recovered;
    const auto &entries = state.replica.entries;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entries[1].term());
  }

  void a_snapshot_replaces_the_log() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1), entry(2, 1)});
      raft::unsaved_changes changes;
      changes.installed = raft::log_base{
          .index = 10, .term = 3, .voters = {{node_id{1}, boot_id{2}}}};
      wire::RecordSnapshot snapshot;
      snapshot.set_time_ms(77);
      const wire::LogEntry next = entry(11, 3);
      changes.entries = {&next};
      CPPUNIT_ASSERT(storage->write(changes, &snapshot));
    }
    const auto state = open().recovered;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, state.replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.replica.base.voters.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, state.snapshot.time_ms());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.replica.entries.size());
  }

  void a_compacted_log_goes_on_behind_its_snapshot() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1)});
      CPPUNIT_ASSERT(storage->log_bytes() > 0);
      wire::RecordSnapshot snapshot;
      CPPUNIT_ASSERT(
          storage->compact({.index = 2, .term = 1, .voters = {}}, 2, snapshot));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, storage->bytes_since_snapshot());
      CPPUNIT_ASSERT_EQUAL(entry(3, 1).ByteSizeLong(), storage->log_bytes());
    }
    const auto state = open().recovered;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         state.replica.entries.front().index());
  }

  void a_snapshot_keeps_the_log_that_followers_may_lack() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)});
      CPPUNIT_ASSERT(storage->compact({.index = 1, .term = 1, .voters = {}}, 3,
                                      wire::RecordSnapshot()));
    }
    const auto opened = open();
    const auto &storage = opened.storage;
    const recovered_state &state = opened.recovered;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.replica.applied);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.replica.entries.size());
    // Only entries after the snapshot count towards the next one.
    CPPUNIT_ASSERT_EQUAL(entry(4, 1).ByteSizeLong(),
                         storage->bytes_since_snapshot());
  }

  void turns_are_read_before_and_after_they_are_written() {
    {
      const auto storage = open().storage;
      CPPUNIT_ASSERT(storage->keep({turn("a"), turn("b"), turn("c")}));
      storage->drop({"b"});
      CPPUNIT_ASSERT(storage->read("a").has_value());
      CPPUNIT_ASSERT(!storage->read("b").has_value());
      append(*storage, {entry(1, 1)});
      CPPUNIT_ASSERT_EQUAL(std::string("said in a"),
                           storage->read("a")->input());
      storage->drop({"a"});
      CPPUNIT_ASSERT(storage->keep({turn("a")})); // stored again
      wire::RecordSnapshot snapshot;
      snapshot.add_turns()->mutable_turn()->set_id("a");
      snapshot.add_turns()->mutable_turn()->set_id("c");
      CPPUNIT_ASSERT(
          storage->compact({.index = 1, .term = 1, .voters = {}}, 1, snapshot));
    }
    const auto storage = open().storage;
    CPPUNIT_ASSERT_EQUAL(std::string("said in a"), storage->read("a")->input());
    CPPUNIT_ASSERT(storage->read("c").has_value());
    CPPUNIT_ASSERT(!storage->read("b").has_value());
  }

  void unreferenced_turns_are_deleted_at_start() {
    wire::LogEntry in_log;
    in_log.set_index(1);
    in_log.set_term(1);
    *in_log.mutable_command()
         ->mutable_record_batch()
         ->add_changes()
         ->mutable_end()
         ->mutable_kept() = turn("in the log");
    {
      const auto storage = open().storage;
      CPPUNIT_ASSERT(storage->keep({turn("in the log"), turn("of no use")}));
      CPPUNIT_ASSERT(storage->compact({.index = 0, .term = 0, .voters = {}}, 0,
                                      wire::RecordSnapshot()));
      append(*storage, {in_log});
    }
    const auto storage = open().storage;
    CPPUNIT_ASSERT(storage->read("in the log").has_value());
    CPPUNIT_ASSERT(!storage->read("of no use").has_value());
  }

  void a_torn_tail_leaves_the_last_whole_write() {
    // Copies the open log cut at every length, as a power loss may leave it.
    const auto storage = open().storage;
    append(*storage, {entry(1, 1)});
    const auto whole = std::filesystem::file_size(segment(1));
    append(*storage, {entry(2, 1), entry(3, 1)});
    const auto longer = std::filesystem::file_size(segment(1));
    CPPUNIT_ASSERT(longer > whole);
    std::size_t previous = 1;
    for (std::uintmax_t size = whole; size <= longer; ++size) {
      const std::size_t entries = entries_after_cut(size);
      CPPUNIT_ASSERT(entries == previous || entries == previous + 1);
      previous = entries;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, previous);
  }

  void a_database_of_an_earlier_version_is_refused() {
    std::ofstream(directory_ + "/records.db")
        << std::string(8192, 'x') << std::endl;
    auto files = storage::posix_directory::open_or_create(directory_);
    CPPUNIT_ASSERT(!replica_storage::open(std::move(files).value(), 7));
  }

  // Guards against turns refused after a restart of all storage nodes because
  // writing each turn twice takes most of a small node's processor.
  void a_body_lies_in_its_log_entry_and_is_not_written_again() {
    const auto storage = open().storage;
    const wire::LogEntry brings = entry_with_turn(1, "a");
    append(*storage, {brings});
    const std::uint64_t written = storage->counts().bytes_written;
    CPPUNIT_ASSERT(storage->keep({turn("a")}));
    CPPUNIT_ASSERT_EQUAL(written, storage->counts().bytes_written);
    CPPUNIT_ASSERT_EQUAL(std::string("said in a"), storage->read("a")->input());
  }

  // Guards against the same refusals, by many file operations for each step.
  void a_step_costs_one_write_and_one_sync() {
    test_support::simulated_disk disk;
    const auto storage = std::move(
        replica_storage::open(
            std::make_unique<test_support::simulated_directory>(disk), 7)
            .value()
            .storage);
    append(*storage, {entry(1, 1)});
    const std::uint64_t before = disk.operations();
    raft::unsaved_changes changes;
    changes.hard = raft::hard_state{.term = 1};
    const wire::LogEntry one = entry_with_turn(2, "a", 3000);
    const wire::LogEntry other = entry_with_turn(3, "b", 3000);
    changes.entries = {&one, &other};
    CPPUNIT_ASSERT(storage->write(changes, nullptr));
    CPPUNIT_ASSERT(storage->keep({turn("a", 3000), turn("b", 3000)}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, disk.operations() - before);
  }

  // Guards against a program refused for good because a body is looked for in
  // a segment that was deleted when the turn had expired before.
  void a_turn_that_is_stored_again_is_read_from_its_new_entry() {
    auto files = storage::posix_directory::open_or_create(directory_);
    const auto storage =
        std::move(replica_storage::open(std::move(files).value(), 7,
                                        {.segment_bytes = 1000})
                      .value()
                      .storage);
    append(*storage, {entry_with_turn(1, "a", 2000)});
    CPPUNIT_ASSERT(storage->keep({turn("a", 2000)}));
    storage->drop({"a"});
    CPPUNIT_ASSERT(!storage->read("a"));
    append(*storage, {entry(2, 1)});
    CPPUNIT_ASSERT(storage->compact({.index = 2, .term = 1, .voters = {}}, 2,
                                    wire::RecordSnapshot()));
    CPPUNIT_ASSERT(!std::filesystem::exists(segment(1)));
    append(*storage, {entry_with_turn(3, "a", 2000)});
    CPPUNIT_ASSERT(storage->keep({turn("a", 2000)}));
    CPPUNIT_ASSERT(storage->read("a"));
  }

  void a_changed_body_is_not_handed_out() {
    const auto storage = open().storage;
    append(*storage, {entry_with_turn(1, "a")});
    CPPUNIT_ASSERT(storage->keep({turn("a")}));
    flip_byte(segment(1), offset_of(segment(1), "said in a"));
    CPPUNIT_ASSERT(!storage->read("a"));
  }

  // Guards against a disk that fills up because segments with a few bodies
  // that are needed are never given back.
  void space_is_bounded_by_the_living_bodies() {
    constexpr std::uint32_t segment_bytes = 64U << 10U;
    constexpr std::size_t living = 40;
    auto files = storage::posix_directory::open_or_create(directory_);
    const auto storage =
        std::move(replica_storage::open(std::move(files).value(), 7,
                                        {.segment_bytes = segment_bytes})
                      .value()
                      .storage);
    std::vector<std::string> ids;
    wire::RecordSnapshot snapshot;
    for (std::uint64_t index = 1; index <= 3000; ++index) {
      ids.push_back(fmt::format("turn-{}", index));
      append(*storage, {entry_with_turn(index, ids.back(), 2000)});
      CPPUNIT_ASSERT(storage->keep({turn(ids.back(), 2000)}));
      if (ids.size() > living) {
        // One in twenty lives to the end, so no segment empties by itself.
        const std::string &old = ids[ids.size() - living - 1];
        if (index % 20 != 0) {
          storage->drop({old});
        }
      }
      if (index % 50 == 0) {
        CPPUNIT_ASSERT(storage->compact(
            {.index = index, .term = 1, .voters = {}}, index, snapshot));
      }
    }
    const storage_counts counts = storage->counts();
    CPPUNIT_ASSERT(counts.live_bytes > 150 * 2000);
    CPPUNIT_ASSERT(counts.total_bytes <
                   2 * counts.live_bytes + 4 * segment_bytes);
    // Each body was written once, and those that lived were copied.
    CPPUNIT_ASSERT(counts.bytes_written < 3000 * 2000 * 16 / 10);
    CPPUNIT_ASSERT_EQUAL(turn(ids.back(), 2000).input(),
                         storage->read(ids.back())->input());
  }

  void damage_to_synced_bytes_is_told_from_a_torn_tail() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1)});
      append(*storage, {entry(2, 1)});
      append(*storage, {entry(3, 1)});
    }
    const auto size = std::filesystem::file_size(segment(1));
    for (std::uintmax_t at = 8; at < size; at += 8) {
      const auto copy = copy_directory();
      flip_byte(copy / segment(1).filename(), at);
      const auto found = open(9, copy.string());
      // The last write may be torn, so only its loss looks like that.
      CPPUNIT_ASSERT(!found.storage ||
                     found.recovered.replica.entries.size() >= 2);
    }
    const auto copy = copy_directory();
    flip_byte(copy / "checkpoint", 60);
    CPPUNIT_ASSERT(!open(9, copy.string()).damage.empty());
  }

  void a_lost_segment_is_damage() {
    {
      const auto storage = open().storage;
      append(*storage, {entry(1, 1)});
      CPPUNIT_ASSERT(storage->compact({.index = 0, .term = 0, .voters = {}}, 0,
                                      wire::RecordSnapshot()));
    }
    std::filesystem::remove(segment(1));
    CPPUNIT_ASSERT(!open().damage.empty());
  }

  void a_damaged_partition_empties_the_node() {
    {
      auto disks = open_partitions(directory_, 2, 7);
      CPPUNIT_ASSERT(disks);
      append(*disks.value()[0].disk, {entry(1, 1)});
      append(*disks.value()[1].disk, {entry(1, 1)});
    }
    flip_byte(std::filesystem::path(directory_) / "1" / "checkpoint", 60);
    const auto disks = open_partitions(directory_, 2, 8);
    CPPUNIT_ASSERT(disks);
    for (const partition_disk &each : disks.value()) {
      CPPUNIT_ASSERT(each.recovered.is_new);
      CPPUNIT_ASSERT(each.recovered.identity == boot_id{8});
      CPPUNIT_ASSERT(each.recovered.replica.entries.empty());
    }
  }

private:
  static wire::RecordTurn turn(const std::string &id, std::size_t more) {
    wire::RecordTurn made = heathtrestle::records::turn(id);
    made.mutable_input()->append(more - id.size(), 'x');
    return made;
  }
  static wire::RecordTurn turn(const std::string &id) {
    return heathtrestle::records::turn(id);
  }

  static wire::LogEntry entry_with_turn(std::uint64_t index,
                                        const std::string &id,
                                        std::size_t more = 0) {
    wire::LogEntry made;
    made.set_index(index);
    made.set_term(1);
    *made.mutable_command()
         ->mutable_record_batch()
         ->add_changes()
         ->mutable_end()
         ->mutable_kept() = more == 0 ? turn(id) : turn(id, more);
    return made;
  }

  [[nodiscard]] std::filesystem::path segment(std::uint64_t number) const {
    return std::filesystem::path(directory_) /
           fmt::format("{:016}.log", number);
  }

  static void flip_byte(const std::filesystem::path &path,
                        std::uintmax_t offset) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char changed = static_cast<char>(file.get() ^ 1);
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(changed);
  }

  static std::uintmax_t offset_of(const std::filesystem::path &path,
                                  const std::string &text) {
    std::ifstream file(path, std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    const std::size_t found = bytes.find(text);
    CPPUNIT_ASSERT(found != std::string::npos);
    return found;
  }

  std::filesystem::path copy_directory() {
    const auto copy = std::filesystem::path(directory_) / "copy";
    std::filesystem::remove_all(copy);
    std::filesystem::create_directory(copy);
    for (const auto &each : std::filesystem::directory_iterator(directory_)) {
      if (each.is_regular_file()) {
        std::filesystem::copy_file(each.path(), copy / each.path().filename());
      }
    }
    return copy;
  }

  /// The entries found in a copy whose log is `size` bytes long.
  std::size_t entries_after_cut(std::uintmax_t size) {
    const auto copy = copy_directory();
    std::filesystem::resize_file(copy / segment(1).filename(), size);
    const auto opened = open(9, copy.string());
    CPPUNIT_ASSERT_EQUAL(std::string(), opened.damage);
    return opened.recovered.replica.entries.size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_storage_test);

} // namespace
} // namespace heathtrestle::records
