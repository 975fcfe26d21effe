#include "records/partitioned_ledger.hpp"

#include "logging/log.hpp"
#include "records/partitions.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace heathtrestle::records {

namespace {

/// While nothing is heard one node is asked so often: some requests on the way
/// at a time, whatever the way takes.
constexpr duration_ms probe_interval{100};

} // namespace

partitioned_ledger::partitioned_ledger(asio::io_context &io,
                                       const ledger_options &options,
                                       std::size_t partitions,
                                       const ledger_client::sender &send)
    : io_(io) {
  for (std::size_t number = 0; number < partitions; ++number) {
    ledger_options own = options;
    own.partition = static_cast<std::uint32_t>(number);
    if (number != 0) {
      own.loads = {}; // one leader adds them up
    }
    clients_.push_back(std::make_unique<ledger_client>(io, own, send));
  }
}

ledger_client &partitioned_ledger::client_of(const std::string &key) {
  return *clients_[partition_of(key, clients_.size())];
}

asio::awaitable<turn_grant> partitioned_ledger::begin(turn_request request,
                                                      timestamp deadline) {
  if (contact_.cut_off()) {
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
  turn_grant found = co_await find_elsewhere(request.previous, home, deadline);
  if (found.verdict != turn_verdict::granted) {
    co_return found;
  }
  const bool kept =
      co_await client.keep(std::move(found.history), request.keep, deadline);
  if (!kept) {
    co_return turn_grant{};
  }
  co_return co_await client.begin(std::move(request), deadline);
}

asio::awaitable<turn_grant>
partitioned_ledger::find_elsewhere(std::string last, std::size_t home,
                                   timestamp deadline) {
  turn_grant answer;
  answer.verdict = turn_verdict::unknown_turn;
  for (std::size_t number = 0; number < clients_.size(); ++number) {
    if (number == home) {
      continue;
    }
    turn_grant found = co_await clients_[number]->read(last, deadline);
    if (found.verdict == turn_verdict::granted) {
      co_return found;
    }
    if (found.verdict != turn_verdict::unknown_turn) {
      answer.verdict = turn_verdict::unavailable; // it may be kept there
    }
  }
  co_return answer;
}

asio::awaitable<bool> partitioned_ledger::finish(turn_end end,
                                                 timestamp deadline) {
  ledger_client &client = client_of(end.program);
  return client.finish(std::move(end), deadline);
}

asio::awaitable<permit_answer>
partitioned_ledger::take_permit(permit_request request, timestamp deadline) {
  if (contact_.cut_off()) {
    co_return permit_answer{};
  }
  ledger_client &client = client_of(request.tenant.value());
  co_return co_await client.take_permit(std::move(request), deadline);
}

void partitioned_ledger::settle(turn_end end) {
  ledger_client &client = client_of(end.program);
  client.settle(std::move(end));
}

void partitioned_ledger::check_contact() {
  const timestamp now = steady_now();
  timestamp oldest{};
  for (const auto &client : clients_) {
    const timestamp since = client->unanswered_since();
    const bool older =
        since != timestamp{} && (oldest == timestamp{} || since < oldest);
    oldest = older ? since : oldest;
  }
  const contact_state before = contact_.state();
  contact_.check(oldest, now);
  if (before != contact_.state()) {
    logging::line(logging::event::dependency_lost)
        .field("dependency", "record group")
        .field("reason", "no node answers")
        .write();
  }
  if (contact_.state() != contact_state::in_touch && now >= next_probe_) {
    next_probe_ = now + probe_interval;
    clients_.front()->probe();
  }
}

void partitioned_ledger::on_peer_opinion(peer_opinion opinion) {
  const bool was_cut_off = contact_.cut_off();
  contact_.on_opinion(opinion);
  if (was_cut_off == contact_.cut_off()) {
    return;
  }
  logging::line(logging::event::dependency_lost)
      .field("dependency", "record group")
      .field("reason", contact_.cut_off() ? "this gateway is cut off"
                                          : "no gateway hears it")
      .write();
  if (contact_.cut_off()) {
    for (const auto &client : clients_) {
      client->give_up_grants();
    }
  }
}

void partitioned_ledger::on_message(const wire::Envelope &envelope) {
  if (contact_.state() != contact_state::in_touch) {
    logging::line(logging::event::dependency_regained)
        .field("dependency", "record group")
        .write();
  }
  contact_.on_heard(steady_now());
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

bool partitioned_ledger::is_lost() const {
  return std::any_of(clients_.begin(), clients_.end(),
                     [](const auto &client) { return client->is_lost(); });
}

std::size_t partitioned_ledger::unsettled() const {
  return std::accumulate(clients_.begin(), clients_.end(), std::size_t{0},
                         [](std::size_t sum, const auto &client) {
                           return sum + client->unsettled();
                         });
}

asio::awaitable<void> partitioned_ledger::run() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(ledger_client::tick_interval);
    co_await timer.async_wait(as_result);
    for (const auto &client : clients_) {
      client->tick();
    }
  }
}

} // namespace heathtrestle::records
