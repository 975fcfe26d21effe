// A directory in memory that simulates a loss of power: what was not synced is
// kept, dropped, torn or kept out of order, by a seed.
#pragma once

#include "storage/directory.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::test_support {

/// The contents of a file.
class simulated_contents {
public:
  void write(std::uint64_t offset, std::string_view bytes) {
    unsynced_.push_back({.offset = offset, .bytes = std::string(bytes)});
    apply(unsynced_.back(), now_);
  }
  void truncate(std::uint64_t size) {
    unsynced_.push_back({.offset = size, .bytes = {}, .truncates = true});
    apply(unsynced_.back(), now_);
  }
  void sync() {
    durable_ = now_;
    unsynced_.clear();
  }
  [[nodiscard]] const std::string &now() const { return now_; }

  /// What a loss of power leaves.
  [[nodiscard]] std::string after_power_loss(std::minstd_rand &random) const {
    std::string left = durable_;
    for (const change &each : unsynced_) {
      change survivor = each;
      switch (random() % 4) {
      case 0:
        continue; // dropped
      case 1:
        survivor.bytes.resize(random() % (each.bytes.size() + 1));
        break;
      case 2: {
        // The beginning is missing, the rest is there.
        const std::size_t cut = random() % (each.bytes.size() + 1);
        survivor.bytes.erase(0, cut);
        survivor.offset += each.truncates ? 0 : cut;
        break;
      }
      default:
        break;
      }
      apply(survivor, left);
    }
    return left;
  }

private:
  struct change {
    std::uint64_t offset = 0;
    std::string bytes;
    bool truncates = false;
  };

  static void apply(const change &made, std::string &to) {
    if (made.truncates) {
      to.resize(made.offset);
      return;
    }
    if (made.bytes.empty()) {
      return;
    }
    to.resize(std::max(to.size(), made.offset + made.bytes.size()));
    to.replace(made.offset, made.bytes.size(), made.bytes);
  }

  std::string durable_;
  std::string now_;
  std::vector<change> unsynced_;
};

/// A disk that outlives the directories through which it is used.
class simulated_disk {
public:
  using names = std::map<std::string, std::shared_ptr<simulated_contents>>;

  /// Operations that change something, so far.
  [[nodiscard]] std::uint64_t operations() const { return operations_; }
  /// The operation with this number and all after it fail; counted from 1.
  void fail_from(std::uint64_t operation) { fails_from_ = operation; }
  /// Syncs report success and do nothing.
  void ignore_syncs() { ignores_syncs_ = true; }

  /// The disk after a loss of power.
  [[nodiscard]] simulated_disk after_power_loss(std::uint32_t seed) const {
    std::minstd_rand random(seed + 1);
    names left = durable_;
    for (const auto &change : unsynced_names_) {
      if (random() % 2 == 0) {
        apply(change, left);
      }
    }
    return with_files(left, [&random](const simulated_contents &contents) {
      return contents.after_power_loss(random);
    });
  }
  /// The disk after the death of the process alone.
  [[nodiscard]] simulated_disk after_crash() const {
    return with_files(now_, [](const simulated_contents &contents) {
      return contents.now();
    });
  }

  /// Counts an operation.
  /// @return false if it fails.
  bool proceed() { return ++operations_ < fails_from_; }
  [[nodiscard]] names &files() { return now_; }
  void change_name(std::string name,
                   std::shared_ptr<simulated_contents> contents) {
    unsynced_names_.push_back({{std::move(name), std::move(contents)}});
    apply(unsynced_names_.back(), now_);
  }
  void rename(const std::string &from, const std::string &to) {
    unsynced_names_.push_back({{from, nullptr}, {to, now_.at(from)}});
    apply(unsynced_names_.back(), now_);
  }
  void sync(simulated_contents &contents) const {
    if (!ignores_syncs_) {
      contents.sync();
    }
  }
  void sync_names() {
    if (!ignores_syncs_) {
      durable_ = now_;
      unsynced_names_.clear();
    }
  }

private:
  /// Names that change together; null removes one.
  using name_change =
      std::vector<std::pair<std::string, std::shared_ptr<simulated_contents>>>;

  static void apply(const name_change &change, names &to) {
    for (const auto &[name, contents] : change) {
      if (contents) {
        to[name] = contents;
      } else {
        to.erase(name);
      }
    }
  }

  template <typename Contents>
  static simulated_disk with_files(const names &files, Contents contents_of) {
    simulated_disk made;
    for (const auto &[name, contents] : files) {
      auto copy = std::make_shared<simulated_contents>();
      copy->write(0, contents_of(*contents));
      copy->sync();
      made.now_[name] = std::move(copy);
    }
    made.durable_ = made.now_;
    return made;
  }

  names now_;
  names durable_;
  std::vector<name_change> unsynced_names_;
  std::uint64_t operations_ = 0;
  std::uint64_t fails_from_ = std::numeric_limits<std::uint64_t>::max();
  bool ignores_syncs_ = false;
};

class simulated_file : public storage::file {
public:
  simulated_file(simulated_disk &disk,
                 std::shared_ptr<simulated_contents> contents)
      : disk_(disk), contents_(std::move(contents)) {}

  result<void> write(std::uint64_t offset, std::string_view bytes) override {
    if (!disk_.proceed()) {
      contents_->write(offset, bytes); // it may be there in part
      return failure();
    }
    contents_->write(offset, bytes);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  result<std::size_t> read(std::uint64_t offset,
                           std::span<char> into) override {
    const std::string &bytes = contents_->now();
    if (offset >= bytes.size()) {
      return std::size_t{0};
    }
    const std::size_t n = std::min(into.size(), bytes.size() - offset);
    std::copy_n(bytes.begin() + static_cast<std::ptrdiff_t>(offset), n,
                into.begin());
    return n;
  }
  result<std::uint64_t> size() override { return contents_->now().size(); }
  result<void> truncate(std::uint64_t size) override {
    if (!disk_.proceed()) {
      return failure();
    }
    contents_->truncate(size);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  result<void> sync() override {
    if (!disk_.proceed()) {
      return failure();
    }
    disk_.sync(*contents_);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  static error failure() {
    return {.code = error_code::internal,
            .message = "no power",
            .step = {},
            .peer = {}};
  }

private:
  simulated_disk &disk_;
  std::shared_ptr<simulated_contents> contents_;
};

class simulated_directory : public storage::directory {
public:
  explicit simulated_directory(simulated_disk &disk) : disk_(disk) {}

  result<std::vector<std::string>> list() override {
    std::vector<std::string> names;
    for (const auto &[name, contents] : disk_.files()) {
      names.push_back(name);
    }
    return names;
  }
  result<std::unique_ptr<storage::file>>
  create(const std::string &name) override {
    if (!disk_.proceed()) {
      return simulated_file::failure();
    }
    auto contents = std::make_shared<simulated_contents>();
    disk_.change_name(name, contents);
    return opened(std::move(contents));
  }
  result<std::unique_ptr<storage::file>>
  open(const std::string &name) override {
    const auto found = disk_.files().find(name);
    if (found == disk_.files().end()) {
      return simulated_file::failure();
    }
    return opened(found->second);
  }
  result<void> rename(const std::string &from, const std::string &to) override {
    if (!disk_.proceed()) {
      return simulated_file::failure();
    }
    disk_.rename(from, to);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  result<void> remove(const std::string &name) override {
    if (!disk_.proceed()) {
      return simulated_file::failure();
    }
    disk_.change_name(name, nullptr);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  result<void> sync() override {
    if (!disk_.proceed()) {
      return simulated_file::failure();
    }
    disk_.sync_names();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  [[nodiscard]] const std::string &path() const override { return path_; }

private:
  std::unique_ptr<storage::file>
  opened(std::shared_ptr<simulated_contents> contents) {
    return std::make_unique<simulated_file>(disk_, std::move(contents));
  }

  simulated_disk &disk_;
  std::string path_ = "simulated";
};

} // namespace heathtrestle::test_support
