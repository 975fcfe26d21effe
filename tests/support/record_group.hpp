// A simulated record group in virtual time, with fake disks and a network whose
// faults can be injected. The same seed gives the same run.
#pragma once

#include "records/record_node.hpp"
#include "support/turns_in_memory.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::test_support {

/// The contents of a disk, which outlive the process of its node.
struct fake_disk {
  boot_id identity;
  raft::saved_replica replica;
  wire::RecordSnapshot snapshot;
  wire::RecordMembers members;
  turns_in_memory turns;

  void write(const records::record_effects &effects) {
    const raft::unsaved_changes &changes = effects.write;
    turns.keep(effects.kept);
    if (changes.hard) {
      replica.hard = *changes.hard;
    }
    if (changes.installed) {
      replica.base = *changes.installed;
      replica.entries.clear();
      snapshot = effects.installed.value_or(wire::RecordSnapshot());
    }
    if (changes.truncate_from != 0) {
      while (replica.base.index + replica.entries.size() >=
             changes.truncate_from) {
        replica.entries.pop_back();
      }
    }
    for (const wire::LogEntry *entry : changes.entries) {
      replica.entries.push_back(*entry);
    }
    if (effects.members) {
      members = *effects.members;
    }
  }
};

class record_group {
public:
  static constexpr const char *client_address = "client";

  explicit record_group(std::uint64_t seed, records::group_size size = {},
                        std::uint32_t partition = 0,
                        std::uint32_t partitions = 1)
      : random_(seed), options_{.size = size,
                                .partition = partition,
                                .partitions = partitions} {}

  /// Options of nodes that are started from now on.
  records::record_node_options &options() { return options_; }
  /// Adds a machine and starts its process, which knows all machines added so
  /// far.
  void add(const std::string &name) {
    machines_[name].disk.identity = boot_id{random_()};
    start(name);
  }
  void bootstrap(const std::string &name) {
    machines_.at(name).node->bootstrap(now_, random_());
  }
  void kill(const std::string &name) { machines_.at(name).node.reset(); }
  /// Kills the process and empties the disk.
  void wipe(const std::string &name) {
    kill(name);
    machines_.at(name).disk = {};
    machines_.at(name).disk.identity = boot_id{random_()};
  }
  void start(const std::string &name) {
    node_machine &started = machines_.at(name);
    wire::RecordMember self;
    self.set_name(name);
    self.set_address(name);
    records::recovered_state recovered{.identity = started.disk.identity,
                                       .is_new = false,
                                       .replica = started.disk.replica,
                                       .snapshot = started.disk.snapshot,
                                       .members = started.disk.members};
    started.node = std::make_unique<records::record_node>(
        std::move(self), std::move(recovered), options_, now_, random_());
    started.node->learn_members(directory());
    started.node->set_retiring(retiring_); // the requests are read again
  }
  void isolate(const std::string &name) { isolated_.insert(name); }
  void heal() {
    isolated_.clear();
    cut_.clear();
  }
  /// Drops all messages between two nodes.
  void cut(const std::string &one, const std::string &other) {
    cut_.insert({one, other});
    cut_.insert({other, one});
  }
  /// Adds a delay to messages to the node.
  void slow_down(const std::string &name, duration_ms by) { slow_[name] = by; }
  /// Sets whether replies to the client are lost.
  void lose_replies(bool lost) { replies_lost_ = lost; }
  void freeze(const std::string &name) { frozen_.insert(name); }
  void thaw(const std::string &name) { frozen_.erase(name); }
  void retire(const std::string &name) {
    retiring_.insert(name);
    for (auto &[each, machine] : machines_) {
      if (machine.node) {
        machine.node->set_retiring(retiring_);
      }
    }
  }

  void run(duration_ms span) {
    const timestamp end = now_ + span;
    while (now_ < end) {
      now_ += duration_ms{5};
      deliver();
      for (auto &[name, machine] : machines_) {
        const bool due = machine.has_messages || now_ >= machine.next_tick;
        if (machine.node && due && !frozen_.contains(name)) {
          machine.has_messages = false;
          machine.next_tick = now_ + duration_ms{50};
          step(name, machine);
        }
      }
      retry_requests();
    }
  }

  /// Submits a change and repeats it to every node until it is answered.
  std::uint64_t submit(wire::RecordChange change) {
    const std::uint64_t id = ++next_id_;
    unanswered_[id] = std::move(change);
    return id;
  }
  /// Sends a request to the leader without waiting for the reply or repeating
  /// it.
  void submit_once(int number) {
    const std::string leader_name = leader();
    if (leader_name.empty()) {
      return;
    }
    wire::RecordChange change;
    change.mutable_begin()->set_program(std::to_string(number));
    send_once(leader_name, std::move(change));
  }
  /// Sends a change to a node without repeating it.
  /// @param id the id of an earlier request to send a copy of it.
  /// @param wait how long its caller waits; zero when nobody does.
  std::uint64_t send_once(const std::string &to, wire::RecordChange change,
                          std::optional<std::uint64_t> id = std::nullopt,
                          duration_ms wait = duration_ms{0}) {
    const std::uint64_t used_id = id.value_or(next_id_ + 1);
    next_id_ = std::max(next_id_, used_id);
    wire::Envelope envelope;
    wire::RecordRequest &request = *envelope.mutable_record_request();
    request.set_reply_to(client_address);
    wire::RecordRequestItem &item = *request.add_items();
    item.set_id(used_id);
    item.set_wait_ms(static_cast<std::uint64_t>(wait.count()));
    *item.mutable_change() = std::move(change);
    in_flight_.push_back({now_, client_address, to, std::move(envelope)});
    return used_id;
  }
  /// Sends one request for a permit of a tenant that is limited to ten requests
  /// a second with a burst of ten.
  void request_permit(const std::string &node) {
    wire::Envelope envelope;
    wire::RecordRequest &request = *envelope.mutable_record_request();
    request.set_reply_to(client_address);
    wire::RecordRequestItem &item = *request.add_items();
    item.set_id(++next_id_);
    wire::TakePermit &wanted = *item.mutable_change()->mutable_take_permit();
    wanted.set_tenant("tenant");
    wire::QuotaTerms &terms = *wanted.mutable_terms();
    terms.set_version(1);
    terms.set_millirequests_per_second(10000);
    terms.set_burst_millirequests(10000);
    terms.set_window_ms(5000);
    terms.set_overshoot_permille(100);
    terms.set_slack(20);
    permit_requests_[item.id()] = now_;
    in_flight_.push_back({now_, client_address, node, std::move(envelope)});
  }
  /// Sends a heartbeat of an unknown leader with a later term.
  void claim_leadership(const std::string &to, std::uint64_t term) {
    wire::Envelope envelope;
    envelope.set_from(make_node_id("stranger").value());
    envelope.set_from_boot(1);
    wire::HeartbeatBatch &batch = *envelope.mutable_heartbeat_batch();
    *batch.mutable_leader() =
        to_wire(replica_id{make_node_id("stranger"), boot_id{1}});
    batch.add_heartbeats()->set_term(term);
    in_flight_.push_back({now_, client_address, to, std::move(envelope)});
  }
  /// Times at which permits were granted before they expired.
  [[nodiscard]] const std::vector<timestamp> &permits_used() const {
    return permits_used_;
  }
  std::uint64_t keep_turn(const std::string &id,
                          std::size_t input_bytes = 200) {
    wire::RecordChange change;
    wire::EndTurn &end = *change.mutable_end();
    end.set_program("program-" + id);
    end.set_attempt(id);
    end.set_used(1);
    end.set_keep_ms(1000000);
    end.mutable_kept()->set_id(id);
    end.mutable_kept()->set_input(std::string(input_bytes, 'x'));
    return submit(std::move(change));
  }
  std::uint64_t begin_turn(const std::string &program,
                           const std::string &attempt, std::uint64_t most,
                           std::uint64_t budget,
                           const std::string &previous = {}) {
    wire::RecordChange change;
    wire::BeginTurn &begin = *change.mutable_begin();
    begin.set_program(program);
    begin.set_attempt(attempt);
    begin.set_most(most);
    begin.set_budget(budget);
    begin.set_previous(previous);
    begin.set_want_history(true);
    begin.set_keep_ms(1000000);
    return submit(std::move(change));
  }
  /// @return nothing until the group has answered.
  [[nodiscard]] std::optional<wire::RecordVerdict>
  verdict(std::uint64_t id) const {
    const auto answer = reply(id);
    return answer ? std::optional(answer->verdict()) : std::nullopt;
  }
  /// The reply without its history; nothing until the group has answered.
  [[nodiscard]] std::optional<wire::RecordReplyItem>
  reply(std::uint64_t id) const {
    const auto found = replies_.find(id);
    return found == replies_.end() ? std::nullopt
                                   : std::optional(found->second);
  }
  [[nodiscard]] std::size_t unanswered() const { return unanswered_.size(); }

  /// The leader that can commit; empty if there is none.
  [[nodiscard]] std::string leader() const {
    for (const auto &[name, machine] : machines_) {
      const bool leads = machine.node && machine.node->is_leader() &&
                         machine.node->log()->established();
      if (leads && !frozen_.contains(name) && !isolated_.contains(name)) {
        return name;
      }
    }
    return {};
  }
  [[nodiscard]] std::set<std::string> voters() const {
    std::set<std::string> names;
    const std::string leader_name = leader();
    if (leader_name.empty()) {
      return names;
    }
    for (const replica_id &voter : at(leader_name).log()->voters()) {
      for (const auto &[name, machine] : machines_) {
        if (make_node_id(name) == voter.node) {
          names.insert(name);
        }
      }
    }
    return names;
  }
  [[nodiscard]] const records::record_node &at(const std::string &name) const {
    return *machines_.at(name).node;
  }
  [[nodiscard]] bool is_up(const std::string &name) const {
    return machines_.at(name).node != nullptr;
  }
  [[nodiscard]] std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto &[name, machine] : machines_) {
      all.push_back(name);
    }
    return all;
  }
  std::uint64_t draw() { return random_(); }
  [[nodiscard]] timestamp now() const { return now_; }
  /// Total bytes sent to a node.
  [[nodiscard]] std::size_t bytes_to(const std::string &name) const {
    const auto found = bytes_to_.find(name);
    return found == bytes_to_.end() ? 0 : found->second;
  }
  /// Size of the largest message sent to a node.
  [[nodiscard]] std::size_t largest_to(const std::string &name) const {
    const auto found = largest_to_.find(name);
    return found == largest_to_.end() ? 0 : found->second;
  }
  /// The leader address in the reply of a node that refuses a request; empty
  /// when it knows none.
  std::string leader_named_by(const std::string &name) {
    wire::Envelope envelope;
    wire::RecordRequest &request = *envelope.mutable_record_request();
    request.set_reply_to(client_address);
    request.add_items()->set_id(++next_id_);
    in_flight_.push_back({now_, client_address, name, std::move(envelope)});
    named_leader_.clear();
    run(duration_ms{50});
    return named_leader_;
  }
  /// Number of hello messages sent between nodes.
  [[nodiscard]] std::size_t hellos() const { return hellos_; }
  /// Number of times the nodes have logged an event.
  [[nodiscard]] std::size_t logged(logging::event number) const {
    const auto found = logged_.find(number);
    return found == logged_.end() ? 0 : found->second;
  }
  /// True when the disk of the node has the body of each stored turn.
  [[nodiscard]] bool has_all_bodies(const std::string &name) {
    node_machine &machine = machines_.at(name);
    const wire::RecordSnapshot state = machine.node->table().snapshot();
    return std::ranges::all_of(state.turns(), [&machine](const auto &kept) {
      const auto whole = machine.disk.turns.read(kept.turn().id());
      return whole && whole->ByteSizeLong() == kept.bytes();
    });
  }
  /// Number of history turns missing from the disks of nodes.
  [[nodiscard]] std::size_t missing_turns() const { return missing_turns_; }
  /// Bytes sent to nodes that could not receive them.
  [[nodiscard]] std::size_t undeliverable_bytes() const {
    return undeliverable_bytes_;
  }

private:
  struct node_machine {
    fake_disk disk;
    std::unique_ptr<records::record_node> node;
    timestamp next_tick{};
    bool has_messages = false;
  };
  struct in_flight_message {
    timestamp due;
    std::string from;
    std::string to;
    wire::Envelope envelope;
  };

  [[nodiscard]] wire::RecordMembers directory() const {
    wire::RecordMembers members;
    for (const auto &[name, machine] : machines_) {
      wire::RecordMember &member = *members.add_members();
      member.set_name(name);
      member.set_address(name);
      *member.mutable_replica() =
          to_wire({make_node_id(name), machine.disk.identity});
    }
    return members;
  }

  void step(const std::string &name, node_machine &stepped) {
    const auto wall =
        static_cast<std::uint64_t>(now_.time_since_epoch().count());
    auto first = stepped.node->step(now_, wall, random_());
    post(name, first.early);
    stepped.disk.write(first);
    auto second = stepped.node->after_write(now_);
    stepped.disk.turns.keep(second.kept);
    for (records::addressed_message &message : second.messages) {
      missing_turns_ +=
          records::fill_turn_bodies(message.envelope, stepped.disk.turns);
    }
    post(name, second.messages);
    stepped.disk.turns.drop(second.dropped);
    for (const records::logged_event &each : second.log) {
      ++logged_[each.number];
    }
  }

  void post(const std::string &from,
            std::vector<records::addressed_message> &messages) {
    for (records::addressed_message &message : messages) {
      const std::size_t bytes = message.envelope.ByteSizeLong();
      bytes_to_[message.address] += bytes;
      hellos_ += message.envelope.has_record_hello() ? 1 : 0;
      std::size_t &largest = largest_to_[message.address];
      largest = std::max(largest, bytes);
      const auto found = slow_.find(message.address);
      const auto delay =
          duration_ms{1 + static_cast<int>(random_() % 8)} +
          (found == slow_.end() ? duration_ms{0} : found->second);
      in_flight_.push_back(
          {now_ + delay, from, message.address, std::move(message.envelope)});
    }
  }

  [[nodiscard]] bool passes(const in_flight_message &each) const {
    const bool reachable =
        !isolated_.contains(each.from) && !isolated_.contains(each.to);
    return reachable && !cut_.contains({each.from, each.to});
  }

  void deliver() {
    std::vector<in_flight_message> waiting;
    std::vector<in_flight_message> due;
    for (in_flight_message &each : in_flight_) {
      (each.due <= now_ ? due : waiting).push_back(std::move(each));
    }
    in_flight_ = std::move(waiting);
    for (in_flight_message &each : due) {
      if (each.to == client_address) {
        if (passes(each) && !replies_lost_) {
          take_reply(each.envelope.record_reply());
        }
        continue;
      }
      const auto found = machines_.find(each.to);
      const bool taken =
          found != machines_.end() && found->second.node && passes(each);
      if (!taken) {
        const bool own = each.from != client_address;
        undeliverable_bytes_ += own ? each.envelope.ByteSizeLong() : 0;
        continue;
      }
      found->second.node->receive(
          {.envelope = std::move(each.envelope), .arrived = now_});
      found->second.has_messages = true;
    }
  }

  void take_reply(const wire::RecordReply &reply) {
    if (reply.not_leader()) {
      named_leader_ = reply.leader_address();
    }
    for (const wire::RecordReplyItem &item : reply.items()) {
      const auto permit = permit_requests_.find(item.id());
      if (permit != permit_requests_.end() && item.permit().granted() &&
          now_ < permit->second + tenants::permit_lifetime) {
        permits_used_.push_back(now_);
      }
      if (unanswered_.erase(item.id()) > 0) {
        replies_[item.id()] = item;
        replies_[item.id()].clear_history();
      }
    }
  }

  void retry_requests() {
    if (unanswered_.empty() || now_ < next_retry_) {
      return;
    }
    next_retry_ = now_ + duration_ms{200};
    wire::Envelope envelope;
    wire::RecordRequest &request = *envelope.mutable_record_request();
    request.set_reply_to(client_address);
    for (const auto &[id, change] : unanswered_) {
      wire::RecordRequestItem &item = *request.add_items();
      item.set_id(id);
      *item.mutable_change() = change;
    }
    for (const auto &[name, machine] : machines_) {
      in_flight_.push_back({now_, client_address, name, envelope});
    }
  }

  timestamp now_ = timestamp_from(100000);
  std::mt19937_64 random_;
  records::record_node_options options_;
  std::map<std::string, node_machine> machines_;
  std::vector<in_flight_message> in_flight_;
  std::set<std::string> isolated_;
  std::set<std::string> frozen_;
  std::map<std::string, duration_ms> slow_;
  bool replies_lost_ = false;
  std::set<std::pair<std::string, std::string>> cut_;
  std::set<std::string> retiring_;
  std::map<std::uint64_t, wire::RecordChange> unanswered_;
  std::map<std::uint64_t, wire::RecordReplyItem> replies_;
  std::map<std::uint64_t, timestamp> permit_requests_;
  std::vector<timestamp> permits_used_;
  std::uint64_t next_id_ = 0;
  timestamp next_retry_{};
  std::size_t undeliverable_bytes_ = 0;
  std::size_t missing_turns_ = 0;
  std::map<std::string, std::size_t> bytes_to_;
  std::map<std::string, std::size_t> largest_to_;
  std::size_t hellos_ = 0;
  std::string named_leader_;
  std::map<logging::event, std::size_t> logged_;
};

} // namespace heathtrestle::test_support
