// Guards against memory use that grows with the stored turns: bodies must be
// held on disk only, the log in memory must be bounded by bytes, and a restart
// must not read back more of the log than memory holds.
#include "records/record_runtime.hpp"

#include "support/temporary_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <mutex>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <malloc.h>

namespace heathtrestle::records {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t turn_bytes = 8000;
constexpr std::size_t turns = 3000;
constexpr std::size_t turns_a_request = 20;
/// A third of the stored bytes; the log, caches and indices need about half of
/// that.
constexpr std::size_t most_heap_bytes = turn_bytes * turns / 3;
constexpr std::uint64_t keep_ms = 600000;

std::size_t heap_bytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string free_address() {
  asio::io_context io;
  const asio::ip::tcp::acceptor bound(io,
                                      {asio::ip::make_address("127.0.0.1"), 0});
  return fmt::format("127.0.0.1:{}", bound.local_endpoint().port());
}

std::string input_of(std::size_t turn) {
  std::string text = fmt::format("input of {} ", turn);
  text.resize(turn_bytes, static_cast<char>('a' + turn % 26));
  return text;
}

std::string id_of(std::size_t turn) { return fmt::format("turn-{}", turn); }

/// A group of a single storage node with its disk in `directory`.
class running_node {
public:
  running_node(const std::string &directory, bool is_first) {
    auto disks = open_partitions(directory, 1, 7);
    CPPUNIT_ASSERT(disks);
    wire::RecordMember self;
    self.set_name("storage-1");
    self.set_address(address_);
    runtime_ = std::make_unique<record_runtime>(
        io_, self, std::move(disks).value(), record_node_options{});
    CPPUNIT_ASSERT(runtime_->start(address_));
    if (is_first) {
      runtime_->bootstrap();
    }
    run_until([this] { return runtime_->leads_any(); });
  }

  template <typename Condition> void run_until(Condition reached) {
    const auto give_up = std::chrono::steady_clock::now() + 30s;
    while (!reached() && std::chrono::steady_clock::now() < give_up) {
      io_.run_one_for(10ms);
    }
    CPPUNIT_ASSERT_MESSAGE("the condition was not reached within 30 s",
                           reached());
  }

  [[nodiscard]] const std::string &address() const { return address_; }

private:
  std::string address_ = free_address();
  asio::io_context io_;
  std::unique_ptr<record_runtime> runtime_;
};

/// Sends requests to a node and collects the replies.
class record_client {
public:
  record_client() {
    auto started = rpc::transport::start(
        {.address = address_, .cluster = "records"},
        [this](const wire::Envelope &envelope) { take(envelope); });
    CPPUNIT_ASSERT(started);
    transport_ = std::move(started).value();
  }

  /// Submits changes and repeats them until all are answered.
  /// @return the answers in order.
  std::vector<wire::RecordReplyItem>
  submit(running_node &node, const std::vector<wire::RecordChange> &changes) {
    wire::Envelope envelope;
    wire::RecordRequest &request = *envelope.mutable_record_request();
    request.set_reply_to(address_);
    const std::uint64_t first = next_id_;
    for (const wire::RecordChange &change : changes) {
      wire::RecordRequestItem &item = *request.add_items();
      item.set_id(next_id_++);
      *item.mutable_change() = change;
    }
    auto next_try = std::chrono::steady_clock::now();
    node.run_until([&] {
      if (std::chrono::steady_clock::now() >= next_try) {
        next_try += 100ms;
        transport_->send(node.address(), envelope);
      }
      return answered(first, changes.size());
    });
    const std::scoped_lock lock(mutex_);
    std::vector<wire::RecordReplyItem> answers;
    for (std::uint64_t id = first; id < next_id_; ++id) {
      answers.push_back(std::move(answers_.at(id)));
    }
    answers_.clear();
    return answers;
  }

private:
  void take(const wire::Envelope &envelope) {
    const std::scoped_lock lock(mutex_);
    for (const wire::RecordReplyItem &item : envelope.record_reply().items()) {
      answers_[item.id()] = item;
    }
  }
  bool answered(std::uint64_t first, std::size_t count) {
    const std::scoped_lock lock(mutex_);
    for (std::uint64_t id = first; id < first + count; ++id) {
      if (!answers_.contains(id)) {
        return false;
      }
    }
    return true;
  }

  std::string address_ = free_address();
  std::unique_ptr<rpc::transport> transport_;
  std::uint64_t next_id_ = 1;
  std::mutex mutex_;
  std::map<std::uint64_t, wire::RecordReplyItem> answers_;
};

wire::RecordChange keep_turn(std::size_t turn, std::size_t previous) {
  wire::RecordChange change;
  wire::EndTurn &end = *change.mutable_end();
  end.set_program("program");
  end.set_attempt(id_of(turn));
  end.set_used(1);
  end.set_keep_ms(keep_ms);
  end.mutable_kept()->set_id(id_of(turn));
  if (previous != turn) {
    end.mutable_kept()->set_previous(id_of(previous));
  }
  end.mutable_kept()->set_input(input_of(turn));
  end.mutable_kept()->set_output(fmt::format("output of {}", turn));
  return change;
}

/// Stores conversations with as many turns as one request contains.
void keep_turns(running_node &node, record_client &client) {
  for (std::size_t first = 0; first < turns; first += turns_a_request) {
    std::vector<wire::RecordChange> changes;
    for (std::size_t each = first; each < first + turns_a_request; ++each) {
      changes.push_back(keep_turn(each, std::max(first, each - 1)));
    }
    client.submit(node, changes);
  }
}

void assert_history(running_node &node, record_client &client,
                    std::size_t first) {
  wire::RecordChange change;
  change.mutable_read()->set_last(id_of(first + turns_a_request - 1));
  const auto answer = client.submit(node, {change}).front();
  CPPUNIT_ASSERT_EQUAL(wire::RECORD_GRANTED, answer.verdict());
  CPPUNIT_ASSERT_EQUAL(static_cast<int>(turns_a_request),
                       answer.history_size());
  for (std::size_t each = 0; each < turns_a_request; ++each) {
    const wire::RecordTurn &turn = answer.history(static_cast<int>(each));
    CPPUNIT_ASSERT_EQUAL(id_of(first + each), turn.id());
    CPPUNIT_ASSERT(input_of(first + each) == turn.input());
    CPPUNIT_ASSERT_EQUAL(fmt::format("output of {}", first + each),
                         turn.output());
  }
}

class record_memory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(record_memory_test);
  CPPUNIT_TEST(stored_turns_use_disk_and_not_memory);
  CPPUNIT_TEST(a_start_reads_no_more_than_the_memory_holds);
  CPPUNIT_TEST_SUITE_END();

  test_support::temporary_directory folder_;
  const std::string &directory_ = folder_.path();

public:
  void stored_turns_use_disk_and_not_memory() {
    record_client client;
    const std::size_t before = heap_bytes();
    running_node node(directory_, true);
    keep_turns(node, client);
    const std::size_t grown = heap_bytes() - before;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes more", grown),
                           grown < most_heap_bytes);
    assert_history(node, client, 0);
    assert_history(node, client, turns - turns_a_request);
  }

  void a_start_reads_no_more_than_the_memory_holds() {
    record_client client;
    {
      running_node node(directory_, true);
      keep_turns(node, client);
    }
    const std::size_t before = heap_bytes();
    running_node node(directory_, false);
    assert_history(node, client, 0);
    assert_history(node, client, turns - turns_a_request);
    const std::size_t grown = heap_bytes() - before;
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes more", grown),
                           grown < most_heap_bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_memory_test);

} // namespace
} // namespace heathtrestle::records
