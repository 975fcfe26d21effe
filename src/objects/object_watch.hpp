// Keeps a copy of one kind of objects up to date: lists it, watches it from
// there, and lists again when a watch was lost or the store has forgotten the
// changes between. While the store cannot be reached at the start, a peer's
// copy serves.
#pragma once

#include "objects/object_cache.hpp"
#include "objects/object_store.hpp"
#include "runtime/asio.hpp"

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
  duration_ms wait{28000};
  /// A hint counts when the watch has not caught up with it for this long, the
  /// pause between two calls not counted.
  duration_ms hint_patience{400};
  duration_ms hint_check{200};
  /// How long the first call after a lost one waits: a store that is dropping
  /// its history may keep a watch waiting for changes that it has forgotten.
  duration_ms wait_after_loss{400};
  /// Changes that come closer together than this are fetched by one call.
  duration_ms least_interval{150};
  duration_ms first_pause{100};
  duration_ms longest_pause{1000};
  /// Whether the store is to be watched at present; empty for always. While it
  /// is not, the copy is kept by what a relay sends.
  std::function<bool()> wanted;
  duration_ms wanted_check{50};
};

/// The pause between two calls that watch replicas. They come and go in waves,
/// and each call to the store has its price. The time for which a draining
/// replica may still be sent to has to hold the pause, a call, and a listing
/// where the watch has gone deaf.
constexpr duration_ms instance_interval(duration_ms drain_notice) {
  constexpr std::int64_t calls_in_drain_notice = 3;
  return drain_notice / calls_in_drain_notice;
}

class object_watch {
public:
  /// Both are called after the cache has taken the objects in.
  struct handlers {
    std::function<void(const listing &)> on_listing;
    std::function<void(const change &)> on_change;
  };

  /// All references outlive the watch.
  object_watch(asio::io_context &io, object_store &store,
               std::vector<listing_source *> peers, object_cache &cache,
               watch_options options, handlers notify);

  /// Both run until the process ends.
  asio::awaitable<void> run();
  /// Lists anew when the watch stays behind what `hint` told.
  asio::awaitable<void> follow_hints();

  /// Takes in what a relay sent; what is known already changes nothing.
  void take_listing(const listing &listed);
  /// @param since the changes are those after this revision.
  /// @return false when changes before them are missing here.
  bool take_changes(const change_list &changes, std::uint64_t since);

  /// Another process has heard of a change with this revision.
  void hint(std::uint64_t revision);
  [[nodiscard]] std::uint64_t hinted() const { return hinted_; }
  /// The revision of the copy.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// True once a listing was taken in.
  [[nodiscard]] bool known() const { return known_; }
  /// True while the store is watched, as far as it says.
  [[nodiscard]] bool in_sync() const { return in_sync_; }
  /// The newest change of an object of this kind that was heard of.
  [[nodiscard]] std::uint64_t newest_change() const { return newest_change_; }

private:
  asio::awaitable<bool> list_from(listing_source &source,
                                  std::string_view source_name);
  asio::awaitable<void> list_until_known();
  asio::awaitable<void> wait_until_wanted();
  [[nodiscard]] bool wanted() const {
    return !options_.wanted || options_.wanted();
  }
  bool take_in(const listing &listed);
  asio::awaitable<void> pause();
  void take(const change_list &changes);
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
  std::uint64_t newest_change_ = 0;
  std::uint64_t hinted_ = 0;
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
