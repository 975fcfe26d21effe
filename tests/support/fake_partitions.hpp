// A record group for tests of the ledger clients. Each partition answers from
// its own record table, at once or on request.
#pragma once

#include "records/partitioned_ledger.hpp"
#include "records/record_table.hpp"
#include "support/turns_in_memory.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

namespace heathtrestle::test_support {

class fake_partitions {
public:
  explicit fake_partitions(asio::io_context &io) : io_(io) {}

  records::partitioned_ledger *ledger = nullptr;
  /// Partitions that do not answer.
  std::set<std::uint32_t> silent;
  /// Requests are queued until `answer_all` is called.
  bool queues_requests = false;
  std::map<std::uint32_t, int> asked;

  void receive(const wire::Envelope &envelope) {
    ++asked[envelope.record_partition()];
    if (queues_requests) {
      queued_.push_back(envelope);
    } else {
      answer(envelope);
    }
  }

  /// @return true when any request was queued.
  bool answer_all() {
    const std::vector<wire::Envelope> taken = std::exchange(queued_, {});
    for (const wire::Envelope &each : taken) {
      answer(each);
    }
    return !taken.empty();
  }

  [[nodiscard]] std::size_t turns_in(std::uint32_t number) {
    return tables_[number].turns();
  }

private:
  void answer(const wire::Envelope &envelope) {
    const std::uint32_t number = envelope.record_partition();
    if (silent.contains(number)) {
      return;
    }
    wire::Envelope answer;
    answer.set_record_partition(number);
    wire::RecordReply &reply = *answer.mutable_record_reply();
    reply.set_leader_address("leader:1");
    for (const auto &item : envelope.record_request().items()) {
      wire::RecordBatch batch;
      batch.set_time_ms(1000);
      *batch.add_changes() = item.change();
      wire::RecordReplyItem &done = *reply.add_items();
      done = tables_[number].apply(batch).front();
      done.set_id(item.id());
      bodies_[number].keep(tables_[number].take_kept());
    }
    fill_turn_bodies(answer, bodies_[number]);
    asio::post(io_, [this, answer] { ledger->on_message(answer); });
  }

  asio::io_context &io_;
  std::vector<wire::Envelope> queued_;
  std::map<std::uint32_t, records::record_table> tables_;
  std::map<std::uint32_t, turns_in_memory> bodies_;
};

} // namespace heathtrestle::test_support
