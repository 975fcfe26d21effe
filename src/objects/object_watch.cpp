#include "objects/object_watch.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::objects {

object_watch::object_watch(asio::io_context &io, object_store &store,
                           std::vector<listing_source *> peers,
                           object_cache &cache, watch_options options,
                           handlers notify)
    : io_(io), store_(store), peers_(std::move(peers)), cache_(cache),
      options_(std::move(options)), notify_(std::move(notify)),
      backoff_(options_.initial_backoff) {}

asio::awaitable<void> object_watch::run() {
  while (true) {
    co_await wait_until_enabled();
    if (!in_sync_) {
      co_await list_until_known();
    }
    if (!in_sync_) {
      continue; // disabled in the meantime
    }
    if (steady_now() < next_call_) {
      asio::steady_timer timer(io_, next_call_ - steady_now());
      co_await timer.async_wait(as_result);
    }
    next_call_ = steady_now() + options_.min_poll_interval;
    const duration_ms wait = recovering_ ? options_.long_poll_timeout_after_loss
                                         : options_.long_poll_timeout;
    const auto answer = co_await store_.watch(options_.kind, revision_, wait);
    if (answer) {
      recovering_ = false;
      on_answer();
      if (answer.value().changes.size() >= options_.burst_changes) {
        next_call_ = {};
      }
      apply_newer_changes(answer.value());
      continue;
    }
    // Lists again, because a listing is certain to include the changes made in
    // between; a watch from the old revision may wait without reporting them.
    in_sync_ = false;
    recovering_ = true;
    if (answer.error() != store_error::history_gone) {
      on_failure(answer.error());
      co_await back_off();
    }
  }
}

asio::awaitable<void> object_watch::wait_until_enabled() {
  asio::steady_timer timer(io_);
  while (!enabled()) {
    // The next listing finds the changes made while disabled.
    in_sync_ = false;
    timer.expires_after(options_.enabled_check_interval);
    co_await timer.async_wait(as_result);
  }
}

asio::awaitable<void> object_watch::list_until_known() {
  while (enabled()) {
    if (co_await list_from(store_, "store")) {
      in_sync_ = true;
      co_return;
    }
    for (listing_source *peer : peers_) {
      // A peer's copy may be outdated, but it suffices to start serving and to
      // watch from its revision.
      if (!known_ && co_await list_from(*peer, "peer")) {
        in_sync_ = true;
        co_return;
      }
    }
    co_await back_off();
  }
}

asio::awaitable<bool> object_watch::list_from(listing_source &source,
                                              std::string_view source_name) {
  const timestamp requested_at = steady_now();
  const auto listed = co_await source.list(options_.kind);
  if (!listed) {
    on_failure(listed.error());
    co_return false;
  }
  if (!replace_copy(listed.value())) {
    co_return false;
  }
  if (source_name == "store") {
    on_answer();
    record_confirmation(requested_at);
  }
  co_return true;
}

bool object_watch::replace_copy(const listing &listed) {
  if (!cache_.replace(options_.kind, listed)) {
    return false;
  }
  revision_ = std::max(revision_, listed.revision);
  for (const object &each : listed.items) {
    newest_object_revision_ = std::max(newest_object_revision_, each.revision);
  }
  known_ = true;
  notify_.on_listing(listed);
  return true;
}

bool object_watch::has_all_changes_of(const listing &listed) const {
  return known_ &&
         std::all_of(listed.items.begin(), listed.items.end(),
                     [this](const object &each) {
                       return each.revision <= newest_object_revision_;
                     });
}

asio::awaitable<void> object_watch::confirm_periodically() {
  constexpr int max_pending = 4;
  if (options_.confirm_interval.count() == 0) {
    co_return;
  }
  asio::steady_timer timer(io_);
  while (true) {
    // Retries sooner while the copy is not current, to notice that the store is
    // back.
    timer.expires_after(is_current() ? options_.confirm_interval
                                     : options_.confirm_interval / 2);
    co_await timer.async_wait(as_result);
    const bool confirmed_lately =
        steady_now() < confirmed_at_ + options_.confirm_interval;
    const bool due =
        enabled() && known_ && !confirmed_lately && !is_shared_outage();
    if (due && pending_confirmations_ < max_pending) {
      asio::co_spawn(io_, confirm_once(), asio::detached);
    }
  }
}

asio::awaitable<void> object_watch::confirm_once() {
  ++pending_confirmations_;
  const timestamp requested_at = steady_now();
  const auto listed = co_await store_.list(options_.kind);
  --pending_confirmations_;
  if (!listed) {
    on_failure(listed.error());
    co_return;
  }
  if (has_all_changes_of(listed.value()) || replace_copy(listed.value())) {
    on_answer();
    record_confirmation(requested_at);
  }
}

void object_watch::record_confirmation(timestamp moment) {
  confirmed_at_ = std::max(confirmed_at_, moment);
  if (notify_.on_confirmed) {
    notify_.on_confirmed(moment);
  }
}

bool object_watch::is_current() const {
  // One answer may be late or lost before the copy counts as outdated.
  constexpr int valid_intervals = 3;
  const bool confirmed =
      options_.confirm_interval.count() == 0 ||
      steady_now() <
          confirmed_at_ + valid_intervals * options_.confirm_interval;
  return in_sync_ && confirmed;
}

void object_watch::apply_listing(const listing &listed) {
  if (!known_ || listed.revision > revision_) {
    replace_copy(listed);
  }
}

bool object_watch::apply_changes(const change_list &changes,
                                 std::uint64_t since) {
  if (!known_ || since > revision_) {
    return false;
  }
  apply_newer_changes(changes);
  return true;
}

void object_watch::apply_unchanged(std::uint64_t since,
                                   std::uint64_t revision) {
  if (known_ && since <= revision_) {
    revision_ = std::max(revision_, revision);
  }
}

void object_watch::apply_newer_changes(const change_list &received) {
  // A relay may repeat changes that the copy already has.
  change_list changes{.changes = {}, .revision = received.revision};
  std::copy_if(received.changes.begin(), received.changes.end(),
               std::back_inserter(changes.changes), [this](const change &each) {
                 return !cache_.has_newer(options_.kind, each.changed);
               });
  if (received.changes.empty()) {
    // Keeps the old revision, because the store's counter may be ahead of the
    // changes that its watch has seen. A watch from the old revision reports
    // missed changes, or that they are discarded.
    return;
  }
  if (!cache_.apply(options_.kind, changes)) {
    return;
  }
  revision_ = std::max(revision_, changes.revision);
  for (const change &each : changes.changes) {
    newest_object_revision_ =
        std::max(newest_object_revision_, each.changed.revision);
    notify_.on_change(each);
  }
}

void object_watch::hint(std::uint64_t revision) {
  if (revision > hinted_revision_ && revision > revision_) {
    behind_since_ = hinted_revision_ > revision_ ? behind_since_ : steady_now();
    hinted_revision_ = revision;
  }
}

asio::awaitable<void> object_watch::relist_when_behind() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(options_.hint_check_interval);
    co_await timer.async_wait(as_result);
    // No change arrives between two watch calls, and the next call reports it.
    // When a relay makes these calls, only the interval between them is known.
    const bool relayed = !enabled();
    const timestamp since = relayed ? behind_since_ + options_.min_poll_interval
                                    : std::max(behind_since_, next_call_);
    const bool behind = hinted_revision_ > revision_ &&
                        steady_now() >= since + options_.hint_grace_period;
    if (!behind || (!in_sync_ && !relayed)) {
      continue; // caught up, or a listing is already pending
    }
    logging::line(logging::event::watch_behind)
        .field("kind", options_.kind)
        .field("revision", revision_)
        .field("hinted", hinted_revision_)
        .field("behind_ms", (steady_now() - behind_since_).count())
        .write();
    if (!co_await list_from(store_, "store")) {
      co_await back_off();
    }
  }
}

void object_watch::on_answer() {
  backoff_ = options_.initial_backoff;
  if (!reachable_) {
    reachable_ = true;
    logging::line(logging::event::dependency_regained)
        .field("dependency", "object store")
        .field("kind", options_.kind)
        .field("revision", revision_)
        .write();
  }
}

void object_watch::on_failure(store_error error) {
  if (reachable_) {
    reachable_ = false;
    logging::line(logging::event::dependency_lost)
        .field("dependency", "object store")
        .field("kind", options_.kind)
        .field("reason", name_of(error))
        .field("revision", revision_)
        .write();
  }
}

asio::awaitable<void> object_watch::back_off() {
  const duration_ms mean =
      is_shared_outage() ? options_.shared_outage_retry_interval : backoff_;
  // Random jitter keeps the gateways from retrying all at once.
  const auto spread = static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(mean.count()));
  asio::steady_timer timer(io_, mean / 2 + duration_ms{spread});
  co_await timer.async_wait(as_result);
  backoff_ = std::min(2 * backoff_, options_.max_backoff);
}

} // namespace heathtrestle::objects
