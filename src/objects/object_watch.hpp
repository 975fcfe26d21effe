// Keeps a copy of one kind of objects up to date: lists it, watches it from
// there, and lists again when a watch was lost or the store has forgotten the
// changes between. While the store cannot be reached at the start, a peer's
// copy serves.
#pragma once

#include "objects/object_cache.hpp"
#include "objects/object_store.hpp"
#include "runtime/asio.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace heathtrestle::objects {

struct watch_options {
  std::string kind;
  /// How long one watching call waits. An answer that is lost on its way is
  /// noticed at the end of the call, or by a hint from elsewhere.
  duration_ms long_poll_timeout{28000};
  /// A hint counts when the watch has not caught up with it for this long, the
  /// pause between two calls not counted.
  duration_ms hint_grace_period{400};
  duration_ms hint_check_interval{200};
  /// How long the first call after a lost one waits: a store that is dropping
  /// its history may keep a watch waiting for changes that it has forgotten.
  duration_ms long_poll_timeout_after_loss{400};
  /// Changes that come closer together than this are fetched by one call.
  duration_ms min_poll_interval{150};
  duration_ms initial_backoff{100};
  duration_ms max_backoff{1000};
  /// Whether the store is to be watched at present; empty for always. While it
  /// is not, the copy is kept by what a relay sends.
  std::function<bool()> enabled;
  duration_ms enabled_check_interval{50};
  /// True while others whose copies would do for this process ask the store in
  /// vain as well; empty for never. It is then asked seldom: they notice its
  /// return within a second and tell, and a whole fleet that asks a store which
  /// is down pays for each call and delays its return.
  std::function<bool()> store_down_for_others;
  /// One question in vain within the time in which changes have to take effect.
  duration_ms shared_outage_retry_interval{4000};
  /// The store is asked this often whether the copy is still current, and the
  /// copy counts as current only while it says so; zero for never. A watch that
  /// is silent proves nothing: the store may be silent to this process only.
  duration_ms confirm_interval{0};
};

/// The pause between two calls that watch replicas. They come and go in waves,
/// and each call to the store has its price. The time for which a draining
/// replica may still be sent to has to hold the pause, a call, and a listing
/// where the watch has gone deaf.
constexpr duration_ms instance_poll_interval(duration_ms drain_notice) {
  constexpr std::int64_t calls_in_drain_notice = 3;
  return drain_notice / calls_in_drain_notice;
}

/// How often a copy of the configuration is confirmed. A gateway whose relay
/// cannot confirm it has to notice, try other relays and at last the store
/// itself before what it knows of keys expires: three missed answers, and three
/// relays of 0.6 s each, fit into the time where this is a tenth of it.
constexpr duration_ms confirm_interval(duration_ms key_revocation) {
  constexpr std::int64_t answers_in_revocation = 10;
  return key_revocation / answers_in_revocation;
}

/// How often the list of drained zones is confirmed. A relay that cannot is
/// left after three intervals, half of the limit; the other half is for asking
/// another relay, so that a drain is known in time where the store says nothing
/// to one relay but answers the others.
constexpr duration_ms drain_confirm_interval(duration_ms zone_drain) {
  constexpr std::int64_t answers_in_drain = 6;
  /// More often would only cost the store: no drain is due sooner.
  constexpr duration_ms shortest{100};
  return std::max(zone_drain / answers_in_drain, shortest);
}

class object_watch {
public:
  /// Both are called after the cache has taken the objects in.
  struct handlers {
    std::function<void(const listing &)> on_listing;
    std::function<void(const change &)> on_change;
    /// The copy is as new as the store was at that moment, or newer.
    std::function<void(timestamp)> on_confirmed;
  };

  /// All references outlive the watch.
  object_watch(asio::io_context &io, object_store &store,
               std::vector<listing_source *> peers, object_cache &cache,
               watch_options options, handlers notify);

  /// All three run until the process ends.
  asio::awaitable<void> run();
  /// Asks the store at intervals whether the copy is current, whether earlier
  /// questions are answered or not: one that was lost holds up no other.
  asio::awaitable<void> confirm_periodically();
  /// Lists anew when the watch stays behind what `hint` told.
  asio::awaitable<void> relist_when_behind();

  /// Takes in what a relay sent; what is known already changes nothing.
  void apply_listing(const listing &listed);
  /// @param since the changes are those after this revision.
  /// @return false when changes before them are missing here.
  bool apply_changes(const change_list &changes, std::uint64_t since);

  /// A relay says that nothing has changed between the two revisions.
  void apply_unchanged(std::uint64_t since, std::uint64_t revision);
  /// A relay says that the copy is as new as the store was at `moment`.
  void record_confirmation(timestamp moment);

  /// Another process has heard of a change with this revision.
  void hint(std::uint64_t revision);
  [[nodiscard]] std::uint64_t hinted_revision() const {
    return hinted_revision_;
  }
  /// The revision of the copy.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// True once a listing was taken in.
  [[nodiscard]] bool known() const { return known_; }
  /// True while the store is watched, as far as it says.
  [[nodiscard]] bool in_sync() const { return in_sync_; }
  /// True while others may rely on the copy: the store is watched and, where
  /// that is asked for, has lately confirmed it.
  [[nodiscard]] bool is_current() const;
  /// When the copy was last known to be as new as the store; the epoch for
  /// never.
  [[nodiscard]] timestamp confirmed_at() const { return confirmed_at_; }
  /// The newest change of an object of this kind that was heard of.
  [[nodiscard]] std::uint64_t newest_object_revision() const {
    return newest_object_revision_;
  }

private:
  asio::awaitable<void> confirm_once();
  asio::awaitable<bool> list_from(listing_source &source,
                                  std::string_view source_name);
  asio::awaitable<void> list_until_known();
  asio::awaitable<void> wait_until_wanted();
  [[nodiscard]] bool enabled() const {
    return !options_.enabled || options_.enabled();
  }
  bool take_in(const listing &listed);
  /// True while the store is asked seldom, because others ask it in vain.
  [[nodiscard]] bool asks_seldom() const {
    return options_.store_down_for_others && options_.store_down_for_others();
  }
  /// True when the copy has every change that the listing has.
  [[nodiscard]] bool has_all_of(const listing &listed) const;
  asio::awaitable<void> pause();
  void take(const change_list &told);
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
  /// Questions whether the copy is current that are not answered yet.
  int confirming_ = 0;
  std::uint64_t hinted_revision_ = 0;
  /// Since when `hinted_` is ahead of `revision_`.
  timestamp behind_since_{};
  bool known_ = false;
  /// True while the copy is current as far as the store says.
  bool in_sync_ = false;
  /// True from a lost watch until a watch has been answered.
  bool recovering_ = false;
  bool reachable_ = true;
  duration_ms pause_;
  timestamp next_call_{};
};

} // namespace heathtrestle::objects
