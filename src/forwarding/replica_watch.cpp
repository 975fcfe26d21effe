#include "forwarding/replica_watch.hpp"

#include "forwarding/gateway.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::forwarding {

namespace {

constexpr duration_ms examination_interval{100};
/// Checks in a row that a silent replica leaves unanswered until the requests
/// that run there are broken off. A single one may be lost on the way.
constexpr int checks_until_ended = 2;
/// How long a replica must have been silent to be checked as soon as an attempt
/// is broken off.
constexpr duration_ms min_silence{250};

} // namespace

replica_watch::watched_replica &
replica_watch::entry_of(const routing::instance_ptr &target) {
  watched_ptr &watched = watched_[target->record.start()];
  if (watched == nullptr) {
    watched = std::make_shared<watched_replica>();
    watched->silence_limit = options_.silence_limit;
  }
  watched->target = target; // another object once its entry has come back
  if (!is_running_) {
    is_running_ = true;
    asio::co_spawn(gateway_.io(), run(), asio::detached);
  }
  return *watched;
}

std::shared_ptr<watched_attempt>
replica_watch::begin(const routing::instance_ptr &target,
                     std::function<void()> break_off) {
  auto attempt = std::make_shared<watched_attempt>();
  attempt->sent_at = steady_now();
  attempt->break_off = std::move(break_off);
  watched_replica &watched = entry_of(target);
  // It has accepted a connection for this attempt.
  watched.end.reset();
  std::erase_if(watched.running,
                [](const auto &each) { return each.expired(); });
  watched.running.push_back(attempt);
  return attempt;
}

void replica_watch::follow(const routing::instance_ptr &target,
                           timestamp sent_at, fate_handler on_fate) {
  if (const auto end = known_end(target->record.start())) {
    on_fate(*end);
    return;
  }
  if (followed_ >= options_.max_followed) {
    logging::line(logging::event::replica_not_followed)
        .field("instance", target->record.id.value())
        .field("followed", followed_)
        .write();
    on_fate(replica_fate::alive);
    return;
  }
  ++followed_;
  watched_replica &watched = entry_of(target);
  const timestamp now = steady_now();
  watched.followed.push_back({.sent_at = sent_at,
                              .until = now + options_.follow_time,
                              .on_fate = std::move(on_fate)});
  const bool is_silent = now - silent_since(watched) >= min_silence;
  if ((is_silent || !target->listed) && !watched.is_checked) {
    start_check(watched_.at(target->record.start()));
  }
}

std::optional<replica_fate>
replica_watch::known_end(const routing::incarnation &start) const {
  const auto found = watched_.find(start);
  return found != watched_.end() ? found->second->end : std::nullopt;
}

void replica_watch::on_ended(const routing::incarnation &start,
                             replica_fate fate) {
  const auto found = watched_.find(start);
  if (found != watched_.end() && !found->second->end) {
    end(*found->second, fate);
  }
}

asio::awaitable<void> replica_watch::run() {
  asio::steady_timer timer(gateway_.io());
  while (!watched_.empty()) {
    timer.expires_after(examination_interval);
    co_await timer.async_wait(as_result);
    const timestamp now = steady_now();
    const auto examined = watched_; // what they call may add replicas
    for (const auto &[start, watched] : examined) {
      examine(watched, now);
    }
    std::erase_if(watched_, [](const auto &entry) {
      const watched_replica &watched = *entry.second;
      return watched.running.empty() && watched.followed.empty() &&
             !watched.is_checked;
    });
  }
  is_running_ = false;
}

void replica_watch::examine(const watched_ptr &watched, timestamp now) {
  std::erase_if(watched->running,
                [](const auto &each) { return each.expired(); });
  // It was only cut off, or its process slept.
  if (watched->end && watched->target->heard_at > watched->ended_at) {
    watched->end.reset();
  }
  if (watched->target->heard_at > watched->alive_at) {
    watched->silence_limit = options_.silence_limit;
  }
  if (watched->is_checked) {
    return;
  }
  if (watched->end) {
    if (is_replaced(*watched, now) || has_crashed(*watched, now)) {
      break_off_running(*watched);
    }
    return;
  }
  resolve_expired(*watched, now);
  const bool is_needed =
      !watched->running.empty() || !watched->followed.empty();
  if (!is_needed) {
    return;
  }
  const duration_ms silence = now - silent_since(*watched);
  if (is_replaced(*watched, now)) {
    end(*watched, replica_fate::unlisted);
  } else if (must_check(*watched, silence)) {
    start_check(watched);
  }
}

bool replica_watch::must_check(watched_replica &watched, duration_ms silence) {
  const routing::instance &target = *watched.target;
  const bool has_left =
      !target.listed && !std::exchange(watched.was_unlisted, true);
  const bool closes_connections =
      !watched.followed.empty() &&
      gateway_.pool().drop_closed(target.record.start());
  return has_left || closes_connections || silence >= watched.silence_limit;
}

timestamp replica_watch::silent_since(const watched_replica &watched) {
  timestamp oldest = timestamp::max();
  for (const auto &each : watched.running) {
    if (const auto attempt = each.lock()) {
      oldest = std::min(oldest, attempt->sent_at);
    }
  }
  for (const followed_attempt &each : watched.followed) {
    oldest = std::min(oldest, each.sent_at);
  }
  return std::max({oldest, watched.target->heard_at, watched.alive_at});
}

bool replica_watch::is_replaced(const watched_replica &watched,
                                timestamp now) const {
  const routing::instance &target = *watched.target;
  if (target.listed || now - silent_since(watched) < min_silence) {
    return false;
  }
  const auto &listed = gateway_.replicas().directory().all();
  return std::ranges::any_of(listed, [&target](const auto &each) {
    return each.second->record.address == target.record.address &&
           each.second->record.start() != target.record.start();
  });
}

void replica_watch::start_check(const watched_ptr &watched) {
  watched->is_checked = true;
  asio::co_spawn(gateway_.io(), check(watched), asio::detached);
}

asio::awaitable<void> replica_watch::check(watched_ptr watched) {
  const timestamp begun = steady_now();
  const routing::instance_ptr target = watched->target;
  replica_fate fate = replica_fate::unreachable;
  for (int checks = 0; checks < checks_until_ended; ++checks) {
    fate = co_await probe_replica(gateway_, target->record);
    if (fate != replica_fate::unreachable || target->heard_at > begun) {
      break;
    }
    resolve(*watched, fate);
  }
  watched->is_checked = false;
  if (watched->end) {
    co_return; // found by another sign meanwhile
  }
  const bool lives = fate == replica_fate::alive || target->heard_at > begun;
  if (lives) {
    watched->alive_at = steady_now();
    watched->silence_limit =
        std::min(2 * watched->silence_limit, options_.max_silence_limit);
    co_return;
  }
  gateway_.replicas().on_failed(*target, "it has ended");
  if (fate == replica_fate::crashed) {
    gateway_.replicas().on_refused(*target);
  }
  end(*watched, fate);
}

void replica_watch::end(watched_replica &watched, replica_fate fate) {
  watched.end = fate;
  watched.ended_at = steady_now();
  const routing::instance &target = *watched.target;
  const bool was_heard = target.heard_at != timestamp{};
  logging::line(logging::event::replica_ended)
      .field("instance", target.record.id.value())
      .field("fate", name_of(fate))
      .field("running", watched.running.size())
      .field("followed", watched.followed.size())
      .field("silent_ms",
             was_heard ? (watched.ended_at - target.heard_at).count() : -1)
      .write();
  gateway_.pool().close_idle(target.record.start());
  resolve(watched, fate);
  if (fate != replica_fate::crashed || has_crashed(watched, watched.ended_at)) {
    break_off_running(watched);
  }
}

bool replica_watch::has_crashed(const watched_replica &watched,
                                timestamp now) const {
  const routing::instance &target = *watched.target;
  const bool may_be_leaving = target.record.draining || !target.listed;
  const bool is_silent = now - silent_since(watched) >= options_.silence_limit;
  return watched.end == replica_fate::crashed && !may_be_leaving && is_silent;
}

void replica_watch::break_off_running(const watched_replica &watched) {
  const auto running = watched.running;
  for (const auto &each : running) {
    if (const auto attempt = each.lock()) {
      attempt->break_off();
    }
  }
}

void replica_watch::resolve(watched_replica &watched, replica_fate fate) {
  const auto resolved = std::exchange(watched.followed, {});
  followed_ -= resolved.size();
  // A replica that drains ends as planned.
  const bool is_planned =
      watched.target->record.draining && fate != replica_fate::unreachable;
  for (const followed_attempt &each : resolved) {
    each.on_fate(is_planned ? replica_fate::alive : fate);
  }
}

void replica_watch::resolve_expired(watched_replica &watched, timestamp now) {
  const auto is_open = [now](const followed_attempt &each) {
    return now < each.until;
  };
  const auto first_expired = std::stable_partition(
      watched.followed.begin(), watched.followed.end(), is_open);
  const std::vector<followed_attempt> expired(first_expired,
                                              watched.followed.end());
  watched.followed.erase(first_expired, watched.followed.end());
  followed_ -= expired.size();
  for (const followed_attempt &each : expired) {
    each.on_fate(replica_fate::alive);
  }
}

} // namespace heathtrestle::forwarding
