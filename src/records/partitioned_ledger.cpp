#include "records/partitioned_ledger.hpp"

#include "logging/log.hpp"
#include "records/partitions.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::records {

namespace {

/// Interval of the probes while the group is unreachable.
constexpr duration_ms probe_interval{100};
/// Interval of the checks while nothing is pending. Most gateways of a large
/// fleet are idle most of the time, and each wake-up costs processor time.
constexpr duration_ms idle_tick_interval{500};

} // namespace

partitioned_ledger::partitioned_ledger(asio::io_context &io,
                                       const ledger_options &options,
                                       std::size_t partitions,
                                       const ledger_client::sender &send)
    : io_(io), send_(send), tick_timer_(io) {
  for (std::size_t number = 0; number < partitions; ++number) {
    ledger_options own = options;
    own.partition = static_cast<std::uint32_t>(number);
    own.on_pending = [this] { end_pause(); };
    if (number != 0) {
      own.loads = {}; // load reports are summed by the leader of partition 0
    }
    clients_.push_back(std::make_unique<ledger_client>(io, own, send));
  }
}

ledger_client &partitioned_ledger::client_of(const std::string &key) {
  return *clients_[partition_of(key, clients_.size())];
}

asio::awaitable<turn_grant> partitioned_ledger::begin(turn_request request,
                                                      timestamp deadline) {
  if (detector_.cut_off()) {
    co_return turn_grant{};
  }
  const std::size_t home = partition_of(request.program, clients_.size());
  ledger_client &client = *clients_[home];
  turn_grant grant = co_await client.begin(request, deadline);
  const bool elsewhere = grant.verdict == turn_verdict::unknown_turn &&
                         clients_.size() > 1 && !request.previous.empty();
  if (!elsewhere) {
    co_return grant;
  }
  turn_grant found =
      co_await find_in_other_partitions(request.previous, home, deadline);
  if (found.verdict != turn_verdict::granted) {
    found.step = grant_step::search;
    co_return found;
  }
  request.copies = found.history;
  const bool wants_history = std::exchange(request.want_history, false);
  grant = co_await client.begin(std::move(request), deadline);
  grant.step = grant_step::copy;
  if (grant.verdict == turn_verdict::unknown_turn) {
    grant.verdict = turn_verdict::unavailable; // another partition holds it,
                                               // but the copy was lost
  }
  if (wants_history && grant.verdict == turn_verdict::granted) {
    grant.history = std::move(found.history);
  }
  co_return grant;
}

/// A search for a turn in several partitions.
struct partitioned_ledger::turn_search {
  explicit turn_search(asio::io_context &io) : over(io) {}

  /// Handles one partition's reply.
  void on_answer(std::size_t partition, turn_grant answer) {
    awaited.erase(partition);
    if (answer.verdict == turn_verdict::granted) {
      found = std::move(answer);
    } else if (answer.verdict != turn_verdict::unknown_turn) {
      found.verdict = turn_verdict::unavailable; // this partition may hold it
    }
    if (is_over()) {
      over.cancel();
    }
  }
  [[nodiscard]] bool is_over() const {
    return awaited.empty() || found.verdict == turn_verdict::granted;
  }

  std::set<std::size_t> awaited;
  turn_grant found;
  /// Cancelled when the search is over.
  asio::steady_timer over;
};

asio::awaitable<turn_grant>
partitioned_ledger::find_in_other_partitions(std::string last, std::size_t home,
                                             timestamp deadline) {
  // Search all partitions at once: one after the other, together with the first
  // grant and the copy, would take up to six round trips, longer than a turn
  // waits for its grant when the group takes 0.2 s and more for each.
  const auto search = std::make_shared<turn_search>(io_);
  search->found.verdict = turn_verdict::unknown_turn;
  for (std::size_t number = 0; number < clients_.size(); ++number) {
    if (number != home) {
      search->awaited.insert(number);
    }
  }
  for (std::size_t number = 0; number < clients_.size(); ++number) {
    if (number != home) {
      asio::co_spawn(io_, search_in(number, last, deadline, search),
                     asio::detached);
    }
  }
  if (!search->is_over()) {
    search->over.expires_at(deadline);
    co_await search->over.async_wait(as_result);
  }
  if (!search->is_over()) {
    search->found.verdict = turn_verdict::unavailable;
    search->found.unanswered.assign(search->awaited.begin(),
                                    search->awaited.end());
  }
  co_return std::move(search->found);
}

asio::awaitable<void>
partitioned_ledger::search_in(std::size_t number, std::string last,
                              timestamp deadline,
                              std::shared_ptr<turn_search> search) {
  turn_grant answer =
      co_await clients_[number]->read(std::move(last), deadline);
  if (search->found.verdict != turn_verdict::granted) {
    search->on_answer(number, std::move(answer));
  }
}

asio::awaitable<bool> partitioned_ledger::finish(turn_end end,
                                                 timestamp deadline) {
  ledger_client &client = client_of(end.program);
  return client.finish(std::move(end), deadline);
}

asio::awaitable<permit_answer>
partitioned_ledger::take_permit(permit_request request, timestamp deadline) {
  if (detector_.cut_off()) {
    co_return permit_answer{};
  }
  ledger_client &client = client_of(request.tenant.value());
  co_return co_await client.take_permit(std::move(request), deadline);
}

asio::awaitable<crash_verdict>
partitioned_ledger::report_crashes(crash_report report, timestamp deadline) {
  if (detector_.cut_off()) {
    co_return crash_verdict{};
  }
  ledger_client &client = client_of(report.account);
  co_return co_await client.report_crashes(std::move(report), deadline);
}

void partitioned_ledger::announce(crash_notice notice) {
  wire::Envelope envelope;
  wire::CrashNotice &told = *envelope.mutable_crash_notice();
  told.set_request(notice.request.value());
  told.set_sent_to(notice.sent_to);
  told.set_left(notice.left);
  told.set_has_ended(notice.has_ended);
  for (const wire::RecordMember &each : members().members()) {
    send_(each.address(), envelope);
  }
}

void partitioned_ledger::settle(turn_end end) {
  ledger_client &client = client_of(end.program);
  client.settle(std::move(end));
}

void partitioned_ledger::check_reachability() {
  const timestamp now = steady_now();
  timestamp oldest{};
  for (const auto &client : clients_) {
    const timestamp since = client->unanswered_since();
    const bool older =
        since != timestamp{} && (oldest == timestamp{} || since < oldest);
    oldest = older ? since : oldest;
  }
  const group_reachability before = detector_.state();
  detector_.check(oldest, now);
  if (before != detector_.state()) {
    logging::line(logging::event::dependency_lost)
        .field("dependency", "record group")
        .field("reason", "no node answers")
        .write();
  }
  if (detector_.state() != group_reachability::reachable &&
      now >= next_probe_) {
    next_probe_ = now + probe_interval;
    clients_.front()->probe();
  }
}

void partitioned_ledger::on_peer_reachability(peer_reachability reported) {
  const bool was_cut_off = detector_.cut_off();
  detector_.on_peer_reachability(reported);
  if (was_cut_off == detector_.cut_off()) {
    return;
  }
  logging::line(logging::event::dependency_lost)
      .field("dependency", "record group")
      .field("reason", detector_.cut_off() ? "this gateway is cut off"
                                           : "no gateway hears it")
      .write();
  if (detector_.cut_off()) {
    for (const auto &client : clients_) {
      client->cancel_grants();
    }
  }
}

void partitioned_ledger::on_message(const wire::Envelope &envelope) {
  if (detector_.state() != group_reachability::reachable) {
    logging::line(logging::event::dependency_regained)
        .field("dependency", "record group")
        .write();
  }
  detector_.on_reply(steady_now());
  const std::size_t number = envelope.record_partition();
  if (number < clients_.size()) {
    clients_[number]->on_message(envelope);
  }
}

void partitioned_ledger::learn_members(const wire::RecordMembers &members) {
  for (const auto &client : clients_) {
    client->learn_members(members);
  }
}

const wire::RecordMembers &partitioned_ledger::members() const {
  return clients_.front()->members();
}

std::vector<storage_place> partitioned_ledger::storage_places() const {
  std::vector<storage_place> places;
  for (const auto &client : clients_) {
    for (const wire::RecordMember &each : client->members().members()) {
      places.push_back(
          {.node = each.name(), .zone = each.zone(), .region = each.region()});
    }
  }
  return places;
}

bool partitioned_ledger::is_unresponsive() const {
  return std::any_of(clients_.begin(), clients_.end(), [](const auto &client) {
    return client->is_unresponsive();
  });
}

std::size_t partitioned_ledger::unsettled() const {
  return std::accumulate(clients_.begin(), clients_.end(), std::size_t{0},
                         [](std::size_t sum, const auto &client) {
                           return sum + client->unsettled();
                         });
}

asio::awaitable<void> partitioned_ledger::run() {
  while (true) {
    const bool all_idle = std::ranges::all_of(
        clients_, [](const auto &client) { return client->idle(); });
    paused_ = all_idle;
    tick_timer_.expires_after(all_idle ? idle_tick_interval
                                       : ledger_client::tick_interval);
    co_await tick_timer_.async_wait(as_result);
    paused_ = false;
    for (const auto &client : clients_) {
      client->tick();
    }
  }
}

void partitioned_ledger::end_pause() {
  if (std::exchange(paused_, false)) {
    tick_timer_.cancel();
  }
}

} // namespace heathtrestle::records
