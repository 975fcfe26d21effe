#include "storage/log_storage.hpp"

#include "support/temporary_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>

namespace heathtrestle::storage {
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

class log_storage_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_storage_test);
  CPPUNIT_TEST(a_new_disk_gets_an_identity_and_keeps_it);
  CPPUNIT_TEST(everything_comes_back);
  CPPUNIT_TEST(a_truncated_tail_stays_away);
  CPPUNIT_TEST(a_snapshot_replaces_the_log);
  CPPUNIT_TEST(a_compacted_log_goes_on_behind_its_snapshot);
  CPPUNIT_TEST(a_snapshot_keeps_the_log_that_followers_may_lack);
  CPPUNIT_TEST(turns_are_read_before_and_after_they_are_written);
  CPPUNIT_TEST(unreferenced_turns_are_deleted_at_start);
  CPPUNIT_TEST(a_torn_tail_leaves_the_last_whole_write);
  CPPUNIT_TEST(a_file_that_is_no_database_is_refused);
  CPPUNIT_TEST_SUITE_END();

  test_support::temporary_directory folder_;
  const std::string &directory_ = folder_.path();

  std::unique_ptr<log_storage> open(std::uint64_t identity = 7) {
    auto opened = log_storage::open(directory_, identity);
    CPPUNIT_ASSERT(opened);
    return std::move(opened).value();
  }

  static void append(log_storage &storage,
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
      const auto first = open(7)->recover();
      CPPUNIT_ASSERT(first.value().is_new);
      CPPUNIT_ASSERT(first.value().identity == boot_id{7});
    }
    const auto second = open(8)->recover();
    CPPUNIT_ASSERT(!second.value().is_new);
    CPPUNIT_ASSERT(second.value().identity == boot_id{7});
  }

  void everything_comes_back() {
    {
      const auto storage = open();
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
    const auto state = open()->recover();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.value().replica.hard.term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17},
                         state.value().replica.hard.settled_voters);
    CPPUNIT_ASSERT(state.value().replica.hard.voted_for ==
                   (replica_id{node_id{1}, boot_id{2}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.value().replica.entries.size());
    CPPUNIT_ASSERT_EQUAL(1, state.value().members.members_size());
  }

  void a_truncated_tail_stays_away() {
    {
      const auto storage = open();
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1)});
      append(*storage, {entry(2, 2)}, 2);
    }
    const auto state = open()->recover();
    const auto &entries = state.value().replica.entries;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entries[1].term());
  }

  void a_snapshot_replaces_the_log() {
    {
      const auto storage = open();
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
    const auto state = open()->recover();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, state.value().replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         state.value().replica.base.voters.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, state.value().snapshot.time_ms());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.value().replica.entries.size());
  }

  void a_compacted_log_goes_on_behind_its_snapshot() {
    {
      const auto storage = open();
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1)});
      CPPUNIT_ASSERT(storage->log_bytes() > 0);
      wire::RecordSnapshot snapshot;
      CPPUNIT_ASSERT(
          storage->compact({.index = 2, .term = 1, .voters = {}}, 2, snapshot));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, storage->bytes_since_snapshot());
      CPPUNIT_ASSERT_EQUAL(entry(3, 1).ByteSizeLong(), storage->log_bytes());
    }
    const auto state = open()->recover();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.value().replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         state.value().replica.entries.front().index());
  }

  void a_snapshot_keeps_the_log_that_followers_may_lack() {
    {
      const auto storage = open();
      append(*storage, {entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)});
      CPPUNIT_ASSERT(storage->compact({.index = 1, .term = 1, .voters = {}}, 3,
                                      wire::RecordSnapshot()));
    }
    const auto storage = open();
    const auto state = storage->recover();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.value().replica.base.index);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.value().replica.applied);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, state.value().replica.entries.size());
    // Only entries after the snapshot count towards the next one.
    CPPUNIT_ASSERT_EQUAL(entry(4, 1).ByteSizeLong(),
                         storage->bytes_since_snapshot());
  }

  void turns_are_read_before_and_after_they_are_written() {
    {
      const auto storage = open();
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
    const auto storage = open();
    CPPUNIT_ASSERT(storage->recover());
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
      const auto storage = open();
      CPPUNIT_ASSERT(storage->keep({turn("in the log"), turn("of no use")}));
      CPPUNIT_ASSERT(storage->compact({.index = 0, .term = 0, .voters = {}}, 0,
                                      wire::RecordSnapshot()));
      append(*storage, {in_log});
    }
    const auto storage = open();
    CPPUNIT_ASSERT(storage->recover());
    CPPUNIT_ASSERT(storage->read("in the log").has_value());
    CPPUNIT_ASSERT(!storage->read("of no use").has_value());
  }

  void a_torn_tail_leaves_the_last_whole_write() {
    // Copies the open database with its write-ahead log cut at every length, as
    // a power loss may leave it.
    const auto storage = open();
    append(*storage, {entry(1, 1)});
    const auto wal = std::filesystem::path(directory_) / "records.db-wal";
    const auto whole = std::filesystem::file_size(wal);
    append(*storage, {entry(2, 1), entry(3, 1)});
    const auto longer = std::filesystem::file_size(wal);
    CPPUNIT_ASSERT(longer > whole);
    constexpr std::uintmax_t stride = 509;
    for (std::uintmax_t size = whole; size <= longer; size += stride) {
      const std::size_t entries = entries_after_cut(wal, size);
      const std::size_t expected = size < longer ? 1 : 3;
      CPPUNIT_ASSERT_EQUAL(expected, entries);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, entries_after_cut(wal, longer));
  }

  void a_file_that_is_no_database_is_refused() {
    std::ofstream(directory_ + "/records.db")
        << std::string(8192, 'x') << std::endl;
    CPPUNIT_ASSERT(!log_storage::open(directory_, 7));
  }

private:
  /// The entries found in a copy whose write-ahead log is `size` bytes long.
  std::size_t entries_after_cut(const std::filesystem::path &wal,
                                std::uintmax_t size) {
    const auto copy = std::filesystem::path(directory_) / "copy";
    std::filesystem::remove_all(copy);
    std::filesystem::create_directory(copy);
    std::filesystem::copy_file(std::filesystem::path(directory_) / "records.db",
                               copy / "records.db");
    std::filesystem::copy_file(wal, copy / "records.db-wal");
    std::filesystem::resize_file(copy / "records.db-wal", size);
    auto opened = log_storage::open(copy.string(), 9);
    CPPUNIT_ASSERT(opened);
    const auto state = opened.value()->recover();
    CPPUNIT_ASSERT(state);
    return state.value().replica.entries.size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_storage_test);

} // namespace
} // namespace heathtrestle::storage
