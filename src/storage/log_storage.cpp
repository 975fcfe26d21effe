#include "storage/log_storage.hpp"

#include <sqlite3.h>

#include <array>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle::storage {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

namespace {

constexpr const char *file_name = "/records.db";
constexpr const char *schema =
    "CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value BLOB NOT NULL)"
    " WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS log(idx INTEGER PRIMARY KEY, entry BLOB NOT "
    "NULL);"
    "CREATE TABLE IF NOT EXISTS turns(id TEXT PRIMARY KEY, body BLOB NOT "
    "NULL);";
/// The exclusive lock keeps the index of the write-ahead log in process memory
/// instead of a shared file; full synchronization syncs each commit.
/// Checkpoints are limited to 1 MB, since a longer one delays the replies of a
/// node with a small share of a processor.
constexpr const char *pragmas = "PRAGMA locking_mode=EXCLUSIVE;"
                                "PRAGMA journal_mode=WAL;"
                                "PRAGMA synchronous=FULL;"
                                "PRAGMA wal_autocheckpoint=250;"
                                "PRAGMA cache_size=-2000;"
                                "PRAGMA temp_store=MEMORY;";

constexpr std::string_view key_identity = "identity";
constexpr std::string_view key_hard = "hard";
constexpr std::string_view key_base = "base";
constexpr std::string_view key_snapshot = "snapshot";
constexpr std::string_view key_members = "members";
constexpr std::string_view key_applied = "applied";

/// Buffered turns are written in one transaction when they reach this size.
/// Until then their log entries restore them.
constexpr std::size_t max_unwritten_bytes = std::size_t{128} << 10U;
/// Obsolete log entries deleted with each write. They are deleted gradually
/// because SQLite visits all pages of each.
constexpr std::uint64_t entries_deleted_at_once = 8;

/// Hard state and log base are encoded as existing wire messages. In the
/// encoded hard state, the last index is that of the last completed change of
/// voters.
std::string encode(const raft::hard_state &hard) {
  wire::VoteRequest message;
  message.set_term(hard.term);
  message.set_last_index(hard.settled_voters);
  if (hard.voted_for) {
    *message.mutable_candidate() = to_wire(*hard.voted_for);
  }
  return message.SerializeAsString();
}

std::string encode(const raft::log_base &base) {
  wire::SnapshotRequest message;
  message.set_last_index(base.index);
  message.set_last_term(base.term);
  for (const replica_id &voter : base.voters) {
    *message.mutable_replicas()->add_voters() = to_wire(voter);
  }
  return message.SerializeAsString();
}

bool decode(const std::string &bytes, raft::hard_state &hard) {
  wire::VoteRequest message;
  if (!message.ParseFromString(bytes)) {
    return false;
  }
  hard.term = message.term();
  hard.settled_voters = message.last_index();
  if (message.has_candidate()) {
    hard.voted_for = from_wire(message.candidate());
  }
  return true;
}

bool decode(const std::string &bytes, raft::log_base &base) {
  wire::SnapshotRequest message;
  if (!message.ParseFromString(bytes)) {
    return false;
  }
  base.index = message.last_index();
  base.term = message.last_term();
  for (const wire::ReplicaId &voter : message.replicas().voters()) {
    base.voters.push_back(from_wire(voter));
  }
  return true;
}

} // namespace

/// The database connection and its most frequently used statement.
struct log_storage::database {
  using statement = std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt *)>;

  sqlite3 *handle = nullptr;
  std::string path;
  /// Prepared on first use. `sqlite3_close_v2` keeps the connection open until
  /// the statement is finalized.
  statement read_turn{nullptr, &sqlite3_finalize};

  ~database() { sqlite3_close_v2(handle); }

  [[nodiscard]] error failure(std::string step) const {
    return {.code = error_code::internal,
            .message = sqlite3_errmsg(handle),
            .step = std::move(step),
            .peer = path};
  }

  result<void> execute(const char *sql, std::string step) {
    if (sqlite3_exec(handle, sql, nullptr, nullptr, nullptr) != SQLITE_OK) {
      return failure(std::move(step));
    }
    return outcome::success();
  }

  statement prepare(const char *sql) {
    sqlite3_stmt *prepared = nullptr;
    sqlite3_prepare_v2(handle, sql, -1, &prepared, nullptr);
    return {prepared, &sqlite3_finalize};
  }

  static void bind(sqlite3_stmt *into, int place, std::string_view bytes) {
    sqlite3_bind_blob64(into, place, bytes.data(), bytes.size(),
                        SQLITE_TRANSIENT);
  }

  static void bind_text(sqlite3_stmt *into, int place, std::string_view text) {
    sqlite3_bind_text(into, place, text.data(), static_cast<int>(text.size()),
                      SQLITE_TRANSIENT);
  }

  static std::string column(sqlite3_stmt *from, int place) {
    const void *bytes = sqlite3_column_blob(from, place);
    const auto size =
        static_cast<std::size_t>(sqlite3_column_bytes(from, place));
    return bytes == nullptr
               ? std::string()
               : std::string(static_cast<const char *>(bytes), size);
  }

  result<void> put_meta(std::string_view key, std::string_view value) {
    const statement put =
        prepare("INSERT OR REPLACE INTO meta(key, value) VALUES(?, ?)");
    bind_text(put.get(), 1, key);
    bind(put.get(), 2, value);
    if (sqlite3_step(put.get()) != SQLITE_DONE) {
      return failure("write " + std::string(key));
    }
    return outcome::success();
  }

  std::optional<std::string> get_meta(std::string_view key) {
    const statement get = prepare("SELECT value FROM meta WHERE key = ?");
    bind_text(get.get(), 1, key);
    if (sqlite3_step(get.get()) != SQLITE_ROW) {
      return std::nullopt;
    }
    return column(get.get(), 0);
  }

  result<void> delete_log(const char *sql, std::uint64_t index) {
    const statement remove = prepare(sql);
    sqlite3_bind_int64(remove.get(), 1, static_cast<sqlite3_int64>(index));
    if (sqlite3_step(remove.get()) != SQLITE_DONE) {
      return failure("truncate the log");
    }
    return outcome::success();
  }

  /// Runs `work` in a transaction and rolls back if it fails.
  /// @return the first failure.
  template <typename Work> result<void> transact(Work work) {
    auto begun = execute("BEGIN IMMEDIATE", "begin");
    if (!begun) {
      return begun;
    }
    result<void> done = work();
    if (!done) {
      const auto undone = execute("ROLLBACK", "roll back");
      return done;
    }
    return execute("COMMIT", "commit");
  }
};

log_storage::log_storage(std::unique_ptr<database> opened)
    : database_(std::move(opened)) {}

log_storage::~log_storage() = default;

result<std::unique_ptr<log_storage>>
log_storage::open(const std::string &directory, std::uint64_t fresh_identity) {
  auto opened = std::make_unique<database>();
  opened->path = directory + file_name;
  const int flags =
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (sqlite3_open_v2(opened->path.c_str(), &opened->handle, flags, nullptr) !=
      SQLITE_OK) {
    return opened->failure("open");
  }
  const auto configured = opened->execute(pragmas, "configure");
  if (!configured) {
    return configured.error();
  }
  const auto made = opened->execute(schema, "create tables");
  if (!made) {
    return made.error();
  }
  std::unique_ptr<log_storage> storage(new log_storage(std::move(opened)));
  if (!storage->database_->get_meta(key_identity)) {
    const auto named = storage->database_->put_meta(
        key_identity, fmt::format("{:016x}", fresh_identity));
    if (!named) {
      return named.error();
    }
    storage->created_ = true;
  }
  return storage;
}

result<recovered_state> log_storage::recover() {
  recovered_state state;
  state.is_new = created_;
  const std::string identity = *database_->get_meta(key_identity);
  constexpr int hexadecimal = 16;
  state.identity = boot_id{std::stoull(identity, nullptr, hexadecimal)};
  const auto unreadable = [this](std::string_view what) {
    return error{.code = error_code::internal,
                 .message = "unreadable " + std::string(what),
                 .step = "recover",
                 .peer = database_->path};
  };
  if (const auto bytes = database_->get_meta(key_hard);
      bytes && !decode(*bytes, state.replica.hard)) {
    return unreadable(key_hard);
  }
  if (const auto bytes = database_->get_meta(key_base);
      bytes && !decode(*bytes, state.replica.base)) {
    return unreadable(key_base);
  }
  state.replica.applied = state.replica.base.index;
  if (const auto bytes = database_->get_meta(key_applied)) {
    state.replica.applied = std::stoull(*bytes);
  }
  if (const auto bytes = database_->get_meta(key_snapshot);
      bytes && !state.snapshot.ParseFromString(*bytes)) {
    return unreadable(key_snapshot);
  }
  if (const auto bytes = database_->get_meta(key_members);
      bytes && !state.members.ParseFromString(*bytes)) {
    return unreadable(key_members);
  }
  obsolete_through_ = state.replica.base.index;
  const auto rows =
      database_->prepare("SELECT entry FROM log WHERE idx > ? ORDER BY idx");
  sqlite3_bind_int64(rows.get(), 1,
                     static_cast<sqlite3_int64>(state.replica.base.index));
  while (sqlite3_step(rows.get()) == SQLITE_ROW) {
    const std::string bytes = database::column(rows.get(), 0);
    wire::LogEntry entry;
    const std::uint64_t expected =
        state.replica.base.index + state.replica.entries.size() + 1;
    if (!entry.ParseFromString(bytes) || entry.index() != expected) {
      return unreadable("log entry");
    }
    log_bytes_ += bytes.size();
    const bool in_snapshot = expected <= state.replica.applied;
    bytes_since_snapshot_ += in_snapshot ? 0 : bytes.size();
    state.replica.entries.push_back(std::move(entry));
  }
  BOOST_OUTCOME_TRY(delete_orphaned_turns(state));
  return state;
}

result<void> log_storage::delete_orphaned_turns(const recovered_state &state) {
  std::unordered_set<std::string> known;
  for (const wire::RecordKeptTurn &kept : state.snapshot.turns()) {
    known.insert(kept.turn().id());
  }
  for (const wire::LogEntry &entry : state.replica.entries) {
    for (const wire::RecordChange &change :
         entry.command().record_batch().changes()) {
      known.insert(change.end().kept().id());
      for (const wire::RecordTurn &copy : change.keep().turns()) {
        known.insert(copy.id());
      }
    }
  }
  const auto rows = database_->prepare("SELECT id FROM turns");
  while (sqlite3_step(rows.get()) == SQLITE_ROW) {
    std::string id = database::column(rows.get(), 0);
    if (!known.contains(id)) {
      turns_to_delete_.push_back(std::move(id));
    }
  }
  if (turns_to_delete_.empty()) {
    return outcome::success();
  }
  return database_->transact([this] { return flush_turns(); });
}

result<void> log_storage::keep(std::vector<wire::RecordTurn> turns) {
  for (wire::RecordTurn &turn : turns) {
    unwritten_bytes_ += turn.ByteSizeLong();
    std::string id = turn.id();
    unwritten_turns_.insert_or_assign(std::move(id), std::move(turn));
  }
  if (unwritten_bytes_ < max_unwritten_bytes) {
    return outcome::success();
  }
  return database_->transact([this] { return flush_turns(); });
}

void log_storage::drop(const std::vector<std::string> &ids) {
  for (const std::string &id : ids) {
    unwritten_turns_.erase(id);
    turns_to_delete_.push_back(id);
  }
}

std::optional<wire::RecordTurn> log_storage::read(const std::string &id) {
  const auto unwritten = unwritten_turns_.find(id);
  if (unwritten != unwritten_turns_.end()) {
    return unwritten->second;
  }
  if (!database_->read_turn) {
    database_->read_turn =
        database_->prepare("SELECT body FROM turns WHERE id = ?");
  }
  sqlite3_stmt *const get = database_->read_turn.get();
  database::bind_text(get, 1, id);
  std::optional<wire::RecordTurn> turn;
  if (sqlite3_step(get) == SQLITE_ROW) {
    turn.emplace();
    const bool readable = turn->ParseFromArray(sqlite3_column_blob(get, 0),
                                               sqlite3_column_bytes(get, 0));
    if (!readable) {
      turn.reset();
    }
  }
  sqlite3_reset(get);
  return turn;
}

result<void> log_storage::flush_turns() {
  if (!turns_to_delete_.empty()) {
    const auto remove = database_->prepare("DELETE FROM turns WHERE id = ?");
    for (const std::string &id : turns_to_delete_) {
      sqlite3_reset(remove.get());
      database::bind_text(remove.get(), 1, id);
      if (sqlite3_step(remove.get()) != SQLITE_DONE) {
        return database_->failure("delete a turn");
      }
    }
    turns_to_delete_.clear();
  }
  if (!unwritten_turns_.empty()) {
    // Turns never change, so one that a replayed entry brings again is ignored.
    const auto insert = database_->prepare(
        "INSERT OR IGNORE INTO turns(id, body) VALUES(?, ?)");
    for (const auto &[id, turn] : unwritten_turns_) {
      sqlite3_reset(insert.get());
      database::bind_text(insert.get(), 1, id);
      database::bind(insert.get(), 2, turn.SerializeAsString());
      if (sqlite3_step(insert.get()) != SQLITE_DONE) {
        return database_->failure("insert a turn");
      }
    }
    unwritten_turns_.clear();
    unwritten_bytes_ = 0;
  }
  return outcome::success();
}

result<void> log_storage::write(const raft::unsaved_changes &changes,
                                const wire::RecordSnapshot *snapshot) {
  return database_->transact([&]() -> result<void> {
    if (changes.hard) {
      BOOST_OUTCOME_TRY(database_->put_meta(key_hard, encode(*changes.hard)));
    }
    if (changes.installed && snapshot != nullptr) {
      // The snapshot replaces the whole log, including entries after its index.
      BOOST_OUTCOME_TRY(
          database_->delete_log("DELETE FROM log WHERE idx >= ?", 0));
      BOOST_OUTCOME_TRY(flush_turns());
      BOOST_OUTCOME_TRY(
          put_base(*changes.installed, changes.installed->index, *snapshot));
      obsolete_through_ = 0;
      log_bytes_ = 0;
      bytes_since_snapshot_ = 0;
    }
    BOOST_OUTCOME_TRY(delete_obsolete_entries());
    if (changes.truncate_from != 0) {
      BOOST_OUTCOME_TRY(database_->delete_log("DELETE FROM log WHERE idx >= ?",
                                              changes.truncate_from));
    }
    const auto insert =
        database_->prepare("INSERT INTO log(idx, entry) VALUES(?, ?)");
    for (const wire::LogEntry *entry : changes.entries) {
      const std::string bytes = entry->SerializeAsString();
      sqlite3_reset(insert.get());
      sqlite3_bind_int64(insert.get(), 1,
                         static_cast<sqlite3_int64>(entry->index()));
      database::bind(insert.get(), 2, bytes);
      if (sqlite3_step(insert.get()) != SQLITE_DONE) {
        return database_->failure("append to the log");
      }
      log_bytes_ += bytes.size();
      bytes_since_snapshot_ += bytes.size();
    }
    return outcome::success();
  });
}

result<void> log_storage::compact(const raft::log_base &base,
                                  std::uint64_t applied,
                                  const wire::RecordSnapshot &snapshot) {
  BOOST_OUTCOME_TRY(database_->transact([&]() -> result<void> {
    BOOST_OUTCOME_TRY(flush_turns());
    return put_base(base, applied, snapshot);
  }));
  obsolete_through_ = base.index;
  bytes_since_snapshot_ = 0;
  const auto left = database_->prepare(
      "SELECT IFNULL(SUM(LENGTH(entry)), 0) FROM log WHERE idx > ?");
  sqlite3_bind_int64(left.get(), 1, static_cast<sqlite3_int64>(base.index));
  if (sqlite3_step(left.get()) != SQLITE_ROW) {
    return database_->failure("read the size of the log");
  }
  log_bytes_ = static_cast<std::uint64_t>(sqlite3_column_int64(left.get(), 0));
  return outcome::success();
}

result<void> log_storage::delete_obsolete_entries() {
  if (obsolete_through_ == 0) {
    return outcome::success();
  }
  const auto remove =
      database_->prepare("DELETE FROM log WHERE idx <= ? AND idx < (SELECT "
                         "MIN(idx) FROM log) + ?");
  sqlite3_bind_int64(remove.get(), 1,
                     static_cast<sqlite3_int64>(obsolete_through_));
  sqlite3_bind_int64(remove.get(), 2,
                     static_cast<sqlite3_int64>(entries_deleted_at_once));
  if (sqlite3_step(remove.get()) != SQLITE_DONE) {
    return database_->failure("delete obsolete log entries");
  }
  if (sqlite3_changes(database_->handle) == 0) {
    obsolete_through_ = 0;
  }
  return outcome::success();
}

result<void> log_storage::put_base(const raft::log_base &base,
                                   std::uint64_t applied,
                                   const wire::RecordSnapshot &snapshot) {
  BOOST_OUTCOME_TRY(database_->put_meta(key_base, encode(base)));
  BOOST_OUTCOME_TRY(database_->put_meta(key_applied, std::to_string(applied)));
  return database_->put_meta(key_snapshot, snapshot.SerializeAsString());
}

result<void> log_storage::write_members(const wire::RecordMembers &members) {
  return database_->put_meta(key_members, members.SerializeAsString());
}

} // namespace heathtrestle::storage
