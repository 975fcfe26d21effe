// Seeded histories of one replica's storage against a plain model in memory,
// with a loss of power or the death of the process at every operation on files.
#include "records/replica_storage.hpp"

#include "support/simulated_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <set>

namespace heathtrestle::records {
namespace {

using test_support::simulated_directory;
using test_support::simulated_disk;

/// What a disk may hold between two acknowledged writes.
struct disk_state {
  raft::hard_state hard;
  std::uint64_t base_index = 0;
  std::uint64_t base_term = 0;
  std::vector<wire::LogEntry> entries; // after the base
  std::uint64_t applied = 0;
  std::set<std::string> turns; // of the snapshot
};

std::string body_of(const std::string &id) {
  return id + std::string(20 + id.size() * 7 % 90, 'x');
}

wire::RecordTurn turn_named(const std::string &id) {
  wire::RecordTurn turn;
  turn.set_id(id);
  turn.set_input(body_of(id));
  return turn;
}

std::vector<std::string> turns_of(const wire::LogEntry &entry) {
  std::vector<std::string> ids;
  for (const auto &change : entry.command().record_batch().changes()) {
    if (change.has_end()) {
      ids.push_back(change.end().kept().id());
    }
    for (const wire::RecordTurn &turn : change.keep().turns()) {
      ids.push_back(turn.id());
    }
  }
  return ids;
}

/// Why two states differ; empty if they do not.
std::string difference(const disk_state &found, const disk_state &expected) {
  if (found.hard != expected.hard) {
    return fmt::format("term {}, not {}", found.hard.term, expected.hard.term);
  }
  if (found.base_index != expected.base_index ||
      found.base_term != expected.base_term) {
    return fmt::format("base {}, not {}", found.base_index,
                       expected.base_index);
  }
  if (found.applied != expected.applied || found.turns != expected.turns) {
    return fmt::format("snapshot of {}, not {}", found.applied,
                       expected.applied);
  }
  if (found.entries.size() != expected.entries.size()) {
    return fmt::format("{} entries, not {}", found.entries.size(),
                       expected.entries.size());
  }
  for (std::size_t i = 0; i < found.entries.size(); ++i) {
    if (found.entries[i].SerializeAsString() !=
        expected.entries[i].SerializeAsString()) {
      return fmt::format("another entry {}", expected.entries[i].index());
    }
  }
  return {};
}

/// A storage under a random history, and the states that a start may find.
class history {
public:
  history(simulated_disk &disk, std::uint32_t seed)
      : disk_(disk), random_(seed + 1) {}

  static replica_storage_options small_segments() {
    return {.segment_bytes = 1500, .copied_bytes_per_write = 300};
  }

  /// Runs until the end or the first failed operation.
  void run(int steps) {
    possible_ = {state_};
    auto opened = replica_storage::open(
        std::make_unique<simulated_directory>(disk_), 7, small_segments());
    if (!opened) {
      return;
    }
    storage_ = std::move(opened.value().storage);
    for (int i = 0; i < steps; ++i) {
      if (!(this->*steps_.at(random_() % steps_.size()))()) {
        return;
      }
      possible_ = {state_};
    }
  }

  /// Opens what is left of the disk.
  /// @return what is wrong with it; empty if nothing.
  std::string check(simulated_disk &left) {
    auto opened = replica_storage::open(
        std::make_unique<simulated_directory>(left), 8, small_segments());
    if (!opened) {
      return describe(opened.error());
    }
    if (!opened.value().storage) {
      return opened.value().damage;
    }
    const recovered_state &recovered = opened.value().recovered;
    if (recovered.is_new) {
      return storage_ ? "the disk is empty" : "";
    }
    disk_state found{.hard = recovered.replica.hard,
                     .base_index = recovered.replica.base.index,
                     .base_term = recovered.replica.base.term,
                     .entries = recovered.replica.entries,
                     .applied = recovered.replica.applied,
                     .turns = {}};
    for (const wire::RecordKeptTurn &kept : recovered.snapshot.turns()) {
      found.turns.insert(kept.turn().id());
    }
    std::string last;
    for (const disk_state &each : possible_) {
      last = difference(found, each);
      if (last.empty()) {
        return check_bodies(*opened.value().storage, found);
      }
    }
    return last;
  }

private:
  using step = bool (history::*)();

  /// Applies the entries after the snapshot and reads everything.
  std::string check_bodies(replica_storage &storage,
                           const disk_state &found) const {
    std::set<std::string> expected;
    // A turn that was dropped after the snapshot may be gone already; the
    // entries after the snapshot drop it again.
    std::ranges::set_difference(found.turns, dropped_,
                                std::inserter(expected, expected.end()));
    for (const wire::LogEntry &entry : found.entries) {
      if (entry.index() <= found.applied) {
        continue;
      }
      std::vector<wire::RecordTurn> kept;
      for (const std::string &id : turns_of(entry)) {
        kept.push_back(turn_named(id));
        expected.insert(id);
      }
      if (!storage.keep(kept)) {
        return "a turn is not taken";
      }
    }
    for (const std::string &id : expected) {
      const auto turn = storage.read(id);
      if (!turn || turn->input() != body_of(id)) {
        return "the body of " + id + " is lost";
      }
    }
    return {};
  }

  [[nodiscard]] std::uint64_t last_index() const {
    return state_.base_index + state_.entries.size();
  }

  wire::LogEntry make_entry(std::uint64_t index) {
    wire::LogEntry entry;
    entry.set_index(index);
    entry.set_term(state_.hard.term);
    wire::RecordBatch &batch = *entry.mutable_command()->mutable_record_batch();
    for (std::uint32_t i = random_() % 4; i > 0; --i) {
      if (random_() % 2 == 0) {
        *batch.add_changes()->mutable_end()->mutable_kept() =
            turn_named(fmt::format("t{}", ++turns_));
      } else {
        *batch.add_changes()->mutable_keep()->add_turns() =
            turn_named(fmt::format("t{}", ++turns_));
      }
    }
    return entry;
  }

  bool write(const raft::unsaved_changes &changes,
             const wire::RecordSnapshot *snapshot = nullptr) {
    return storage_->write(changes, snapshot).has_value();
  }

  bool append() {
    raft::unsaved_changes changes;
    if (random_() % 3 == 0) {
      ++state_.hard.term;
      state_.hard.settled_voters = random_() % 50;
      changes.hard = state_.hard;
      possible_.push_back(state_);
    }
    const std::uint64_t unapplied = last_index() - applied_;
    if (unapplied > 0 && random_() % 4 == 0) {
      changes.truncate_from = last_index() - random_() % unapplied;
      state_.entries.resize(changes.truncate_from - state_.base_index - 1);
      possible_.push_back(state_);
    }
    const std::size_t first_new = state_.entries.size();
    for (std::uint32_t i = random_() % 4; i > 0; --i) {
      state_.entries.push_back(make_entry(last_index() + 1));
      possible_.push_back(state_);
    }
    for (std::size_t i = first_new; i < state_.entries.size(); ++i) {
      changes.entries.push_back(&state_.entries[i]);
    }
    return write(changes);
  }

  bool apply() {
    while (applied_ < last_index()) {
      ++applied_;
      const wire::LogEntry &entry =
          state_.entries[applied_ - state_.base_index - 1];
      std::vector<wire::RecordTurn> kept;
      for (const std::string &id : turns_of(entry)) {
        kept.push_back(turn_named(id));
        live_.insert(id);
      }
      if (!storage_->keep(kept)) {
        return false;
      }
      if (random_() % 3 == 0) {
        break;
      }
    }
    return true;
  }

  bool drop() {
    for (std::uint32_t i = random_() % 12; i > 0 && !live_.empty(); --i) {
      auto it = live_.begin();
      std::advance(it, random_() % live_.size());
      storage_->drop({*it});
      dropped_.insert(*it);
      live_.erase(it);
    }
    return true;
  }

  bool read() {
    for (const std::string &id : live_) {
      const auto turn = storage_->read(id);
      CPPUNIT_ASSERT(turn && turn->input() == body_of(id));
    }
    return true;
  }

  wire::RecordSnapshot snapshot_of(const std::set<std::string> &turns) {
    wire::RecordSnapshot snapshot;
    for (const std::string &id : turns) {
      snapshot.add_turns()->mutable_turn()->set_id(id);
    }
    return snapshot;
  }

  bool compact() {
    const std::uint64_t kept = random_() % 4;
    const std::uint64_t base =
        std::max(state_.base_index, applied_ > kept ? applied_ - kept : 0);
    const std::uint64_t dropped = base - state_.base_index;
    if (dropped > 0) {
      state_.base_term = state_.entries[dropped - 1].term();
    }
    state_.entries.erase(state_.entries.begin(),
                         state_.entries.begin() +
                             static_cast<std::ptrdiff_t>(dropped));
    state_.base_index = base;
    state_.applied = applied_;
    state_.turns = live_;
    possible_.push_back(state_);
    return storage_
        ->compact({.index = base, .term = state_.base_term, .voters = {}},
                  applied_, snapshot_of(live_))
        .has_value();
  }

  bool install() {
    if (random_() % 3 != 0) {
      return true;
    }
    std::set<std::string> turns;
    std::vector<wire::RecordTurn> arrived;
    for (std::uint32_t i = random_() % 10; i > 0; --i) {
      const std::string id = fmt::format("t{}", ++turns_);
      turns.insert(id);
      arrived.push_back(turn_named(id));
    }
    for (const std::string &id : live_) {
      if (random_() % 2 == 0) {
        turns.insert(id);
        arrived.push_back(turn_named(id));
      }
    }
    if (!storage_->keep(arrived)) {
      return false;
    }
    if (random_() % 4 == 0) {
      return true; // the rest of the snapshot never comes
    }
    raft::unsaved_changes changes;
    const std::uint64_t index = applied_ + 1 + random_() % 5;
    changes.installed =
        raft::log_base{.index = index, .term = state_.hard.term, .voters = {}};
    state_.entries.clear();
    state_.base_index = index;
    state_.base_term = state_.hard.term;
    state_.applied = applied_ = index;
    state_.turns = live_ = turns;
    possible_.push_back(state_);
    const wire::RecordSnapshot snapshot = snapshot_of(turns);
    return write(changes, &snapshot);
  }

  bool members() {
    wire::RecordMembers members;
    members.add_members()->set_name(fmt::format("n{}", random_() % 9));
    return storage_->write_members(members).has_value();
  }

  const std::vector<step> steps_{
      &history::append,  &history::append,  &history::append,
      &history::append,  &history::apply,   &history::apply,
      &history::apply,   &history::drop,    &history::read,
      &history::compact, &history::install, &history::members};

  simulated_disk &disk_;
  std::minstd_rand random_;
  std::unique_ptr<replica_storage> storage_;
  disk_state state_;
  /// States that the disk may hold now, from the last acknowledged one on.
  std::vector<disk_state> possible_;
  std::set<std::string> live_;
  std::set<std::string> dropped_;
  std::uint64_t applied_ = 0;
  std::uint64_t turns_ = 0;
};

class replica_storage_power_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_storage_power_test);
  CPPUNIT_TEST(a_loss_of_power_at_any_operation_loses_nothing_acknowledged);
  CPPUNIT_TEST(the_death_of_the_process_at_any_operation_loses_nothing);
  CPPUNIT_TEST(histories_end_as_the_model_says);
  CPPUNIT_TEST(a_disk_that_ignores_syncs_is_found_out);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int steps = 60;

  /// Runs a history to an operation, and checks what a start finds.
  template <typename Left>
  static std::string play(std::uint32_t seed, std::uint64_t operation,
                          Left left_of) {
    simulated_disk disk;
    disk.fail_from(operation);
    history played(disk, seed);
    played.run(steps);
    simulated_disk left = left_of(disk);
    const std::string wrong = played.check(left);
    return wrong.empty() ? wrong
                         : fmt::format("seed {} operation {}: {}", seed,
                                       operation, wrong);
  }

  static std::uint64_t operations_of(std::uint32_t seed) {
    simulated_disk disk;
    history(disk, seed).run(steps);
    return disk.operations();
  }

public:
  void a_loss_of_power_at_any_operation_loses_nothing_acknowledged() {
    constexpr std::uint32_t losses = 4; // of different writes, at one operation
    for (std::uint32_t seed = 0; seed < 40; ++seed) {
      const std::uint64_t operations = operations_of(seed);
      for (std::uint64_t at = 1; at <= operations; ++at) {
        for (std::uint32_t loss = 0; loss < losses; ++loss) {
          CPPUNIT_ASSERT_EQUAL(std::string(),
                               play(seed, at, [loss](simulated_disk &disk) {
                                 return disk.after_power_loss(loss);
                               }));
        }
      }
    }
  }

  // A full disk ends the process in the same way.
  void the_death_of_the_process_at_any_operation_loses_nothing() {
    for (std::uint32_t seed = 100; seed < 120; ++seed) {
      const std::uint64_t operations = operations_of(seed);
      for (std::uint64_t at = 1; at <= operations; ++at) {
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             play(seed, at, [](simulated_disk &disk) {
                               return disk.after_crash();
                             }));
      }
    }
  }

  void histories_end_as_the_model_says() {
    constexpr std::uint64_t never = ~std::uint64_t{0};
    for (std::uint32_t seed = 1000; seed < 3000; ++seed) {
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           play(seed, never, [seed](simulated_disk &disk) {
                             return disk.after_power_loss(seed);
                           }));
    }
  }

  void a_disk_that_ignores_syncs_is_found_out() {
    int found_out = 0;
    for (std::uint32_t seed = 0; seed < 20; ++seed) {
      simulated_disk disk;
      disk.ignore_syncs();
      history played(disk, seed);
      played.run(steps);
      simulated_disk left = disk.after_power_loss(seed);
      found_out += played.check(left).empty() ? 0 : 1;
    }
    CPPUNIT_ASSERT(found_out >= 15);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_storage_power_test);

} // namespace
} // namespace heathtrestle::records
