// Keeps a copy of one kind of objects up to date: lists the objects, watches
// for changes from the listed revision, and lists again when a watch fails or
// the store has discarded the changes in between. At startup a peer's copy is
// used while the store is unavailable.
#pragma once

#include "objects/object_cache.hpp"
#include "objects/object_store.hpp"
#include "runtime/asio.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace heathtrestle::objects {

struct watch_options {
  std::string kind;
  /// How long one watch call waits for changes. A lost answer is noticed at the
  /// end of the call, or earlier through `hint`.
  duration_ms long_poll_timeout{28000};
  /// The watch lists again when it stays behind a hinted revision for this
  /// long, not counting the pause between two calls.
  duration_ms hint_grace_period{400};
  duration_ms hint_check_interval{200};
  /// Timeout of the first watch call after a failed one. Short, because a store
  /// that is discarding its history may leave a watch waiting for changes that
  /// it no longer has.
  duration_ms long_poll_timeout_after_loss{400};
  /// Shortest time from one watch call to the next; changes that are closer
  /// together are fetched by one call.
  duration_ms min_poll_interval{150};
  /// After an answer with at least this many changes the next call follows at
  /// once: the store limits the size of an answer, and forgets changes that are
  /// not fetched in time.
  std::size_t burst_changes = 100;
  duration_ms initial_backoff{100};
  duration_ms max_backoff{1000};
  /// Returns whether to watch the store at present; empty for always. While
  /// false, the copy changes only by what a relay sends.
  std::function<bool()> enabled;
  duration_ms enabled_check_interval{50};
  /// Returns true while the relays cannot reach the store either; empty for
  /// never. Calls are then `shared_outage_retry_interval` apart: the relays
  /// report the store's return within a second, and frequent retries of a whole
  /// fleet would delay the recovery of the store.
  std::function<bool()> store_down_for_others;
  /// Allows one failed call within the time in which changes have to take
  /// effect.
  duration_ms shared_outage_retry_interval{4000};
  /// Interval of the listings that confirm the copy; zero for none. The copy
  /// counts as current only while they succeed: a watch without changes proves
  /// nothing, as the store may be unresponsive to this process only.
  duration_ms confirm_interval{0};
};

/// The minimum interval between calls that watch replicas, which come and go in
/// bursts. The time for which a draining replica may still receive requests has
/// to cover the interval, a call, and a listing when the watch has failed
/// silently.
constexpr duration_ms instance_poll_interval(duration_ms drain_notice) {
  constexpr std::int64_t polls_per_drain_notice = 3;
  return drain_notice / polls_per_drain_notice;
}

/// How long one call of a relay that watches replicas or the configuration
/// waits for changes. Its connection may have gone silent, which shows only
/// when the call is given up: the call and a listing after it have to fit into
/// the time for which a draining replica may still receive requests.
constexpr duration_ms relay_poll_timeout(duration_ms drain_notice) {
  constexpr std::int64_t calls_per_drain_notice = 2;
  return drain_notice / calls_per_drain_notice;
}

/// The same for a gateway while it follows no relay. All gateways make these
/// calls then, so they are longer.
constexpr duration_ms gateway_poll_timeout(duration_ms drain_notice) {
  constexpr std::int64_t drain_notices_per_call = 2;
  return drain_notices_per_call * drain_notice;
}

/// How often a copy of the configuration is confirmed. A gateway whose relay
/// cannot confirm it has to notice, try other relays and finally the store
/// itself before its API keys expire: three missed answers, and three relays of
/// 0.6 s each, fit when the interval is a tenth of that time.
constexpr duration_ms confirm_interval(duration_ms key_revocation) {
  constexpr std::int64_t confirmations_per_revocation = 10;
  return key_revocation / confirmations_per_revocation;
}

/// How often the list of drained zones is confirmed. A relay that cannot
/// confirm it is replaced after three intervals, half of the limit. The other
/// half is for trying another relay, so that a drain takes effect in time when
/// the store does not answer one relay but answers the others.
constexpr duration_ms drain_confirm_interval(duration_ms zone_drain) {
  constexpr std::int64_t confirmations_per_drain = 6;
  /// More frequent confirmations would only load the store: no drain has to
  /// take effect sooner.
  constexpr duration_ms min_interval{100};
  return std::max(zone_drain / confirmations_per_drain, min_interval);
}

class object_watch {
public:
  /// The first two are called after the cache has been updated.
  struct handlers {
    std::function<void(const listing &)> on_listing;
    std::function<void(const change &)> on_change;
    /// Called when the copy is known to be at least as new as the store was at
    /// the given time.
    std::function<void(timestamp)> on_confirmed;
  };

  /// All references must outlive the watch.
  object_watch(asio::io_context &io, object_store &store,
               std::vector<listing_source *> peers, object_cache &cache,
               watch_options options, handlers notify);

  /// Lists and watches the store; runs until the process ends.
  asio::awaitable<void> run();
  /// Confirms the copy by a listing at every `confirm_interval`, without
  /// waiting for earlier answers: a lost one does not delay the next. Returns
  /// at once when the interval is zero, otherwise runs until the process ends.
  asio::awaitable<void> confirm_periodically();
  /// Lists again when the watch stays behind a hinted revision; runs until the
  /// process ends.
  asio::awaitable<void> relist_when_behind();

  /// Applies a listing from a relay unless the copy is as new.
  void apply_listing(const listing &listed);
  /// Applies changes from a relay.
  /// @param since the revision that the changes follow.
  /// @return false when the copy is older than `since`, so that changes in
  /// between are missing.
  bool apply_changes(const change_list &changes, std::uint64_t since);

  /// Advances the copy to `revision` after a relay reported no changes since
  /// `since`.
  void apply_unchanged(std::uint64_t since, std::uint64_t revision);
  /// Records that the copy is at least as new as the store was at `moment`.
  void record_confirmation(timestamp moment);

  /// Reports that another process has seen a change with this revision.
  void hint(std::uint64_t revision);
  [[nodiscard]] std::uint64_t hinted_revision() const {
    return hinted_revision_;
  }
  /// The revision of the copy.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// True once a listing has been applied.
  [[nodiscard]] bool known() const { return known_; }
  /// True from a successful listing until a watch call fails or the watch is
  /// disabled.
  [[nodiscard]] bool in_sync() const { return in_sync_; }
  /// True while other processes may rely on the copy: the store is watched and,
  /// where confirmations are enabled, has recently confirmed the copy.
  [[nodiscard]] bool is_current() const;
  /// True while a listing is under way that the copy needs to be current, and
  /// the store answers.
  [[nodiscard]] bool is_loading() const {
    return !in_sync_ && reachable_ && enabled();
  }
  /// When the copy was last known to be as new as the store; the epoch for
  /// never.
  [[nodiscard]] timestamp confirmed_at() const { return confirmed_at_; }
  /// The highest revision of any object of this kind seen so far.
  [[nodiscard]] std::uint64_t newest_object_revision() const {
    return newest_object_revision_;
  }

private:
  asio::awaitable<void> confirm_once();
  asio::awaitable<bool> list_from(listing_source &source,
                                  std::string_view source_name);
  asio::awaitable<void> list_until_known();
  asio::awaitable<void> wait_until_enabled();
  [[nodiscard]] bool enabled() const {
    return !options_.enabled || options_.enabled();
  }
  bool replace_copy(const listing &listed);
  /// True while the store is down for other processes too.
  [[nodiscard]] bool is_shared_outage() const {
    return options_.store_down_for_others && options_.store_down_for_others();
  }
  /// True when the copy has every change that the listing has.
  [[nodiscard]] bool has_all_changes_of(const listing &listed) const;
  asio::awaitable<void> back_off();
  void apply_newer_changes(const change_list &received);
  void on_answer();
  void on_failure(store_error error);

  asio::io_context &io_;
  object_store &store_;
  std::vector<listing_source *> peers_;
  object_cache &cache_;
  watch_options options_;
  handlers notify_;
  std::minstd_rand random_{std::random_device{}()};
  std::uint64_t revision_ = 0;
  std::uint64_t newest_object_revision_ = 0;
  timestamp confirmed_at_{};
  /// Number of confirmations that the store has not answered yet.
  int pending_confirmations_ = 0;
  std::uint64_t hinted_revision_ = 0;
  /// Since when `hinted_revision_` has been ahead of `revision_`.
  timestamp behind_since_{};
  bool known_ = false;
  /// See `in_sync`.
  bool in_sync_ = false;
  /// True from a failed watch call until the next successful one.
  bool recovering_ = false;
  bool reachable_ = true;
  duration_ms backoff_;
  timestamp next_call_{};
};

} // namespace heathtrestle::objects
