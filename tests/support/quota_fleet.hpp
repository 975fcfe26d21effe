// Simulates the requests of one tenant at many gateways and the partition that
// keeps its quota account, without I/O. Records which requests are sent and the
// maximum in any window. Messages may be delayed or lost, gateways cut off or
// restarted, and leaders replaced without noticing it.
#pragma once

#include "records/permit_allocator.hpp"
#include "records/quota_clock.hpp"
#include "records/quota_messages.hpp"
#include "tenants/quota_account.hpp"
#include "tenants/tenant.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::test_support {

/// Delays, and probabilities of faults.
struct quota_faults {
  duration_ms max_message_delay{3}; // one way
  duration_ms max_commit_delay{20}; // until the proposer learns of it
  duration_ms max_send_delay{0};    // of a request with a permit
  double lost = 0;                  // share of messages lost
  double misdirected = 0;           // share of requests sent to a random node
};

class quota_fleet {
public:
  quota_fleet(std::size_t gateways, tenants::request_quota quota, unsigned seed,
              quota_faults faults = {}, std::size_t nodes = 3)
      : random_(seed), faults_(faults), cut_off_(gateways, false),
        started_(gateways, 0), version_(gateways, 1), nodes_(nodes) {
    terms_[1] = terms_of(quota, 1);
    for (node &each : nodes_) {
      each.clock.synchronize(0, now_);
    }
    change_leader();
  }

  /// Sends requests that begin no program, at random gateways.
  void run(duration_ms length, double per_second) {
    const timestamp end = now_ + length;
    for (; now_ < end; now_ += step) {
      due_ += per_second * std::chrono::duration<double>(step).count();
      for (; due_ >= 1; due_ -= 1) {
        begin(random_() % cut_off_.size(), false, {});
      }
      pass_time();
    }
  }

  /// Runs programs of `length` requests each, 250 ms apart, half of them at an
  /// eighth of the gateways.
  /// @param per_second total rate of the requests of the programs begun.
  void run_programs(duration_ms span, double per_second, int length) {
    const timestamp end = now_ + span;
    for (; now_ < end; now_ += step) {
      due_ += per_second / length * std::chrono::duration<double>(step).count();
      for (; due_ >= 1; due_ -= 1) {
        const std::size_t all = cut_off_.size();
        const std::size_t among =
            random_() % 2 == 0 ? std::max<std::size_t>(all / 8, 1) : all;
        programs_.push_back({.left = length});
        begin(random_() % among, true, programs_.size() - 1);
      }
      pass_time();
    }
  }

  /// Cuts the first `count` gateways off from all nodes.
  void cut_off(std::size_t count) {
    std::fill_n(cut_off_.begin(), count, true);
  }
  void heal() { std::fill(cut_off_.begin(), cut_off_.end(), false); }
  /// Restarts a gateway's process, which loses its pending requests.
  void restart(std::size_t gateway) { ++started_[gateway]; }
  /// Replaces the leader. The old one does not notice it and still serves the
  /// gateways that send it requests.
  void change_leader() {
    leader_ = (leader_ + 1) % nodes_.size();
    ++term_;
    node &next = nodes_[leader_];
    next.allocator.clear();
    next.term = term_;
    // A random part of the proposals in flight is recorded, and the proposer
    // does not learn of it.
    const std::size_t recorded = random_() % (commits_.size() + 1);
    for (std::size_t place = 0; place < recorded; ++place) {
      apply(commits_[place]);
    }
    commits_.clear();
    for (node &each : nodes_) {
      each.clock.synchronize(time_, now_);
    }
  }
  /// Changes the quota; gateways use it after `deliver_configuration`.
  void change_quota(tenants::request_quota quota) {
    const std::uint64_t version = terms_.rbegin()->first + 1;
    terms_[version] = terms_of(quota, version);
  }
  void deliver_configuration(std::size_t gateway) {
    version_[gateway] = terms_.rbegin()->first;
  }
  void deliver_configuration() {
    for (std::size_t gateway = 0; gateway < version_.size(); ++gateway) {
      deliver_configuration(gateway);
    }
  }
  void set_faults(quota_faults faults) { faults_ = faults; }

  /// The maximum number of requests sent in any window.
  [[nodiscard]] std::size_t most_in_window() const {
    return most_in_window(timestamp{});
  }
  /// The same, for requests sent at or after `from`.
  [[nodiscard]] std::size_t most_in_window(timestamp from) const {
    std::vector<timestamp> sent;
    for (const timestamp each : sent_) {
      if (each >= from) {
        sent.push_back(each);
      }
    }
    std::sort(sent.begin(), sent.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sent.size(); ++last) {
      while (sent[first] + window <= sent[last]) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  [[nodiscard]] std::size_t sent() const { return sent_.size(); }
  [[nodiscard]] timestamp now() const { return now_; }
  std::uint64_t draw() { return random_(); }
  [[nodiscard]] std::size_t gateways() const { return cut_off_.size(); }

  int refused = 0;
  int paced = 0;
  int begun = 0;  // programs
  int failed = 0; // programs refused after their first request

  static constexpr duration_ms window{5000};
  static constexpr std::uint32_t overshoot_permille = 100;
  static constexpr std::uint32_t slack = 20;

private:
  static constexpr duration_ms step{5};

  struct node {
    records::permit_allocator allocator;
    records::quota_clock clock;
    std::uint64_t term = 0;
  };
  struct program {
    int left = 0; // requests
    bool failed = false;
  };
  /// One request at a gateway.
  struct request {
    std::size_t gateway = 0;
    std::uint64_t started = 0; // incarnation of the gateway's process
    bool begins = false;
    std::size_t program = 0;
    timestamp asked{};
  };
  /// A proposed reservation that is not committed yet.
  struct commit {
    timestamp due{};
    std::uint64_t term = 0;
    std::size_t proposer = 0;
    tenants::quota_time time = 0;
    wire::ReserveQuota wanted;
  };
  /// A scheduled event.
  struct event {
    timestamp due{};
    std::uint64_t request = 0;
    enum class kind : std::uint8_t { asked, answered, sent, next } what{};
    std::size_t node = 0;
    wire::PermitAnswer answer;
  };

  static tenants::quota_terms terms_of(tenants::request_quota quota,
                                       std::uint64_t version) {
    constexpr double thousandths = 1000;
    return {.version = version,
            .millirequests_per_second =
                static_cast<std::uint64_t>(quota.rate_per_second * thousandths),
            .burst_millirequests =
                static_cast<std::uint64_t>(quota.burst * thousandths),
            .window = window,
            .overshoot_permille = overshoot_permille,
            .slack = slack};
  }

  duration_ms draw(duration_ms longest) {
    return duration_ms{static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(longest.count() + 1))};
  }
  bool loses_message() {
    constexpr std::uint64_t parts = 1000;
    return static_cast<double>(random_() % parts) <
           faults_.lost * static_cast<double>(parts);
  }

  void begin(std::size_t gateway, bool begins, std::size_t program) {
    const std::uint64_t id = ++last_request_;
    requests_[id] = {.gateway = gateway,
                     .started = started_[gateway],
                     .begins = begins,
                     .program = program,
                     .asked = now_};
    // A gateway may send to a former leader.
    const bool knows = random_() % 1000 >= faults_.misdirected * 1000;
    const std::size_t asked = knows ? leader_ : random_() % nodes_.size();
    if (!cut_off_[gateway] && !loses_message()) {
      events_.push_back({.due = now_ + draw(faults_.max_message_delay),
                         .request = id,
                         .what = event::kind::asked,
                         .node = asked});
    }
  }

  void pass_time() {
    record();
    while (!scheduled_requests_.empty() &&
           scheduled_requests_.front().first <= now_) {
      const auto [gateway, number] = scheduled_requests_.front().second;
      scheduled_requests_.pop_front();
      begin(gateway, false, number);
    }
    std::vector<event> due;
    std::erase_if(events_, [&](event &each) {
      const bool happens = each.due <= now_;
      if (happens) {
        due.push_back(std::move(each));
      }
      return happens;
    });
    for (event &each : due) {
      handle_event(each);
    }
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      serve(number);
    }
  }

  void serve(std::size_t number) {
    node &serving = nodes_[number];
    if (serving.term == 0) {
      return; // never led
    }
    const bool leads = serving.term == term_;
    for (wire::ReserveQuota &each : serving.allocator.take_reservations(now_)) {
      if (!leads) {
        continue; // never recorded
      }
      commits_.push_back({.due = now_ + draw(faults_.max_commit_delay),
                          .term = serving.term,
                          .proposer = number,
                          .time = serving.clock.time_at(now_),
                          .wanted = std::move(each)});
    }
    for (records::permit_reply &each : serving.allocator.take_replies()) {
      if (!loses_message()) {
        events_.push_back({.due = now_ + draw(faults_.max_message_delay),
                           .request = each.request.id,
                           .what = event::kind::answered,
                           .node = number,
                           .answer = std::move(each.answer)});
      }
    }
  }

  /// Commits entries in the order of their proposal; those of a replaced leader
  /// are not committed.
  void record() {
    while (!commits_.empty() && commits_.front().due <= now_) {
      const commit each = std::move(commits_.front());
      commits_.pop_front();
      const tenants::reservation made = apply(each);
      for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (number != each.proposer) {
          // The others may apply it later in reality; a clock that is
          // synchronized later is only slower.
          nodes_[number].clock.synchronize(time_, now_);
        }
      }
      node &proposer = nodes_[each.proposer];
      proposer.allocator.on_reserved(
          records::to_wire(made, each.wanted.tenant()),
          proposer.clock.time_at(now_), now_);
    }
  }

  tenants::reservation apply(const commit &entry) {
    time_ = std::max(time_, entry.time);
    return account_.reserve(records::from_wire(entry.wanted), time_);
  }

  void handle_event(event &each) {
    const auto found = requests_.find(each.request);
    if (found == requests_.end()) {
      return;
    }
    request &of = found->second;
    if (each.what == event::kind::asked) {
      node &asked = nodes_[each.node];
      wire::TakePermit wanted;
      wanted.set_tenant("a");
      wanted.set_begins_program(of.begins);
      *wanted.mutable_terms() = records::to_wire(terms_[version_[of.gateway]]);
      if (asked.term != 0) {
        asked.allocator.request_permit({.reply_to = std::to_string(of.gateway),
                                        .id = each.request,
                                        .wanted = std::move(wanted)},
                                       asked.clock.time_at(now_), now_);
      }
      return;
    }
    const bool gone = of.started != started_[of.gateway];
    if (gone || (each.what == event::kind::answered && cut_off_[of.gateway])) {
      requests_.erase(found);
      return;
    }
    if (each.what == event::kind::answered && !each.answer.granted()) {
      refuse(of, each.answer.paced());
      requests_.erase(found);
      return;
    }
    if (each.what == event::kind::answered) {
      events_.push_back({.due = now_ + draw(faults_.max_send_delay),
                         .request = each.request,
                         .what = event::kind::sent});
      return;
    }
    if (now_ < of.asked + tenants::permit_lifetime) {
      sent_.push_back(now_);
      continue_program(of);
    }
    requests_.erase(found);
  }

  void refuse(const request &of, bool was_paced) {
    ++refused;
    paced += was_paced ? 1 : 0;
    if (!programs_.empty() && !of.begins && !programs_[of.program].failed) {
      programs_[of.program].failed = true;
      ++failed;
    }
  }

  void continue_program(const request &of) {
    if (programs_.empty()) {
      return;
    }
    begun += of.begins ? 1 : 0;
    program &running = programs_[of.program];
    if (--running.left > 0 && !running.failed) {
      scheduled_requests_.push_back(
          {now_ + duration_ms{250}, {of.gateway, of.program}});
    }
  }

  std::mt19937_64 random_;
  quota_faults faults_;
  timestamp now_ = timestamp_from(1000000);
  std::map<std::uint64_t, tenants::quota_terms> terms_;
  std::vector<bool> cut_off_;
  std::vector<std::uint64_t> started_;
  std::vector<std::uint64_t> version_; // of each gateway's configuration

  std::vector<node> nodes_;
  std::size_t leader_ = 0;
  std::uint64_t term_ = 0;
  tenants::quota_account account_;
  tenants::quota_time time_ = 0;
  std::deque<commit> commits_; // in the order of the log

  std::map<std::uint64_t, request> requests_;
  std::uint64_t last_request_ = 0;
  std::vector<event> events_;
  std::vector<program> programs_;
  std::deque<std::pair<timestamp, std::pair<std::size_t, std::size_t>>>
      scheduled_requests_;
  double due_ = 0;
  std::vector<timestamp> sent_;
};

} // namespace heathtrestle::test_support
