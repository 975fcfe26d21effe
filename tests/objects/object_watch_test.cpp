#include "objects/object_watch.hpp"

#include "support/coroutines.hpp"
#include "support/read_only_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

namespace heathtrestle::objects {
namespace {

object named(const std::string &name, std::uint64_t revision) {
  return {.name = name,
          .revision = revision,
          .specification = boost::json::value(name),
          .status = {},
          .is_deleting = false};
}

/// Returns scripted answers in order. After the last one, listings fail and
/// watches never return.
class scripted_store : public test_support::read_only_store {
public:
  explicit scripted_store(asio::io_context &io) : io_(io) {}

  std::deque<store_result<listing>> listings;
  std::deque<store_result<change_list>> watches;
  std::size_t refused_listings = 0;
  std::vector<std::uint64_t> watched_from;
  std::vector<duration_ms> waits;

  asio::awaitable<store_result<listing>> list(std::string) override {
    if (listings.empty()) {
      ++refused_listings;
      co_return store_error::unavailable;
    }
    auto next = listings.front();
    listings.pop_front();
    co_return next;
  }
  asio::awaitable<store_result<change_list>>
  watch(std::string, std::uint64_t revision, duration_ms wait) override {
    watched_from.push_back(revision);
    waits.push_back(wait);
    if (watches.empty()) {
      asio::steady_timer forever(io_, asio::steady_timer::time_point::max());
      co_await forever.async_wait(as_result);
      co_return store_error::no_answer;
    }
    auto next = watches.front();
    watches.pop_front();
    co_return next;
  }

private:
  asio::io_context &io_;
};

class object_watch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_watch_test);
  CPPUNIT_TEST(watches_from_the_listed_revision);
  CPPUNIT_TEST(relists_when_history_is_gone);
  CPPUNIT_TEST(lists_from_a_peer_while_the_store_is_down);
  CPPUNIT_TEST(ignores_an_older_listing_of_a_peer);
  CPPUNIT_TEST(empty_answer_keeps_the_revision);
  CPPUNIT_TEST(relists_after_a_failed_watch);
  CPPUNIT_TEST(first_watch_after_a_failure_is_short);
  CPPUNIT_TEST(relists_when_behind_a_hint);
  CPPUNIT_TEST(ignores_a_hint_that_is_not_newer);
  CPPUNIT_TEST(hint_between_two_calls_does_not_relist);
  CPPUNIT_TEST(retries_rarely_while_the_store_is_down_for_all);
  CPPUNIT_TEST(retries_often_while_only_this_process_is_cut_off);
  CPPUNIT_TEST(repeated_changes_are_ignored);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  scripted_store store_{io_};
  scripted_store peer_{io_};
  object_cache cache_;
  std::vector<std::string> seen_;

  /// Runs the watch until `watches` calls to watch were made.
  void run_until(std::size_t watches) {
    object_watch watch(
        io_, store_, {&peer_}, cache_,
        {.kind = "things", .initial_backoff = duration_ms{1}},
        {.on_listing =
             [this](const listing &listed) {
               seen_.push_back("listed " + std::to_string(listed.items.size()));
             },
         .on_change =
             [this](const change &changed) {
               seen_.push_back((changed.deleted ? "-" : "+") +
                               changed.changed.name);
             }});
    asio::co_spawn(io_, watch.run(), asio::detached);
    while (store_.watched_from.size() < watches) {
      io_.run_one();
    }
    io_.stop();
  }

  /// Sends a hint during an unanswered watch call, then runs until `listings`
  /// listings were applied or `patience` has passed.
  /// @param interval the minimum time from one watch call to the next.
  void hint_during_watch(std::uint64_t revision, std::size_t listings,
                         duration_ms patience,
                         duration_ms interval = duration_ms{5}) {
    object_watch watch(
        io_, store_, {}, cache_,
        {.kind = "things",
         .hint_grace_period = duration_ms{20},
         .hint_check_interval = duration_ms{5},
         .min_poll_interval = interval},
        {.on_listing =
             [this](const listing &listed) {
               seen_.push_back("listed " + std::to_string(listed.items.size()));
             },
         .on_change = [](const change &) {}});
    asio::co_spawn(io_, watch.run(), asio::detached);
    asio::co_spawn(io_, watch.relist_when_behind(), asio::detached);
    while (store_.watched_from.empty()) {
      io_.run_one();
    }
    watch.hint(revision);
    const timestamp end = steady_now() + patience;
    while (seen_.size() < listings && steady_now() < end) {
      io_.run_one_until(end);
    }
    io_.stop();
  }

public:
  void watches_from_the_listed_revision() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(
        change_list{{{named("b", 6), false}, {named("a", 7), true}}, 7});
    run_until(2);
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "+b", "-a"}));
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 7}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache_.find("things")->items.size());
  }

  void relists_when_history_is_gone() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(store_error::history_gone);
    store_.listings.push_back(listing{{named("c", 8)}, 9});
    run_until(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, store_.watched_from.back());
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         cache_.find("things")->items.front().name);
  }

  void lists_from_a_peer_while_the_store_is_down() {
    store_.listings.push_back(store_error::no_answer);
    peer_.listings.push_back(listing{{named("p", 2)}, 4});
    run_until(1);
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, store_.watched_from.front());
  }

  void ignores_an_older_listing_of_a_peer() {
    cache_.replace("things", listing{{named("new", 8)}, 9});
    store_.listings.push_back(store_error::no_answer);
    peer_.listings.push_back(listing{{named("old", 2)}, 4});
    store_.listings.push_back(listing{{named("newer", 11)}, 12});
    run_until(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, store_.watched_from.front());
  }

  void empty_answer_keeps_the_revision() {
    // The store's counter may include a change that its watch has not seen.
    store_.listings.push_back(listing{{}, 5});
    store_.watches.push_back(change_list{{}, 9});
    run_until(2);
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 5}));
  }

  void relists_after_a_failed_watch() {
    // A store that is discarding its history may neither refuse a watch from
    // the old revision nor report the missed changes.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(store_error::no_answer);
    store_.listings.push_back(listing{{named("a", 3), named("b", 8)}, 9});
    run_until(2);
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "listed 2"}));
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 9}));
  }

  void first_watch_after_a_failure_is_short() {
    // Changes between the listing and the watch are reported after the watch
    // ends.
    store_.listings.push_back(listing{{}, 5});
    store_.watches.push_back(store_error::no_answer);
    store_.listings.push_back(listing{{}, 5});
    store_.watches.push_back(change_list{{}, 5});
    run_until(3);
    const watch_options defaults;
    CPPUNIT_ASSERT(store_.waits == (std::vector<duration_ms>{
                                       defaults.long_poll_timeout,
                                       defaults.long_poll_timeout_after_loss,
                                       defaults.long_poll_timeout}));
    CPPUNIT_ASSERT(defaults.long_poll_timeout_after_loss <
                   defaults.long_poll_timeout);
  }

  void relists_when_behind_a_hint() {
    // The answer of the watch call was lost, but another process saw the
    // change.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    hint_during_watch(8, 2, duration_ms{10000});
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "listed 1"}));
  }

  void ignores_a_hint_that_is_not_newer() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    hint_during_watch(4, 2, duration_ms{120});
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
  }

  void repeated_changes_are_ignored() {
    // A relay sends all changes since the revision that it last received.
    object_watch watch(io_, store_, {}, cache_, {.kind = "things"},
                       {.on_listing = [](const listing &) {},
                        .on_change =
                            [this](const change &changed) {
                              seen_.push_back((changed.deleted ? "-" : "+") +
                                              changed.changed.name);
                            }});
    watch.apply_listing({{named("a", 9)}, 9});
    watch.apply_changes({{{named("a", 6), false},
                          {named("a", 7), true},
                          {named("b", 10), false}},
                         10},
                        5);
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"+b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache_.find("things")->items.size());
  }

  void hint_between_two_calls_does_not_relist() {
    // The next watch call is not due yet and will report the change at a lower
    // cost than a listing.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    store_.watches.push_back(change_list{{{named("b", 6), false}}, 6});
    hint_during_watch(8, 2, duration_ms{120}, duration_ms{60000});
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.watched_from.size());
  }

  /// Counts the calls of ten gateways to an unavailable store in 400 ms.
  std::size_t calls_to_failed_store(bool down_for_others) {
    std::vector<std::unique_ptr<object_cache>> caches;
    std::vector<std::unique_ptr<object_watch>> watches;
    for (int gateway = 0; gateway < 10; ++gateway) {
      caches.push_back(std::make_unique<object_cache>());
      watches.push_back(std::make_unique<object_watch>(
          io_, store_, std::vector<listing_source *>{}, *caches.back(),
          watch_options{.kind = "things",
                        .initial_backoff = duration_ms{5},
                        .max_backoff = duration_ms{20},
                        .store_down_for_others =
                            [down_for_others] { return down_for_others; },
                        .shared_outage_retry_interval = duration_ms{400},
                        .confirm_interval = duration_ms{20}},
          object_watch::handlers{.on_listing = [](const listing &) {},
                                 .on_change = [](const change &) {},
                                 .on_confirmed = {}}));
      watches.back()->apply_listing({{named("a", 3)}, 5});
      asio::co_spawn(io_, watches.back()->run(), asio::detached);
      asio::co_spawn(io_, watches.back()->confirm_periodically(),
                     asio::detached);
    }
    io_.run_for(duration_ms{400});
    return store_.refused_listings;
  }

  void retries_rarely_while_the_store_is_down_for_all() {
    // One call each at the start, and few second ones.
    CPPUNIT_ASSERT(calls_to_failed_store(true) <= 20);
  }

  void retries_often_while_only_this_process_is_cut_off() {
    CPPUNIT_ASSERT(calls_to_failed_store(false) >= 200);
  }
};

class object_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_cache_test);
  CPPUNIT_TEST(encoded_listing_decodes_to_the_same);
  CPPUNIT_TEST(text_that_is_not_a_listing_is_malformed);
  CPPUNIT_TEST(malformed_item_keeps_the_others);
  CPPUNIT_TEST(a_specification_may_be_nested_deeply);
  CPPUNIT_TEST_SUITE_END();

public:
  void encoded_listing_decodes_to_the_same() {
    const listing before{{named("a", 3), named("b", 4)}, 5};
    const auto after = decode_listing(encode_listing(before));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, after.value().revision);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), after.value().items[1].name);
    CPPUNIT_ASSERT(after.value().items[1].specification ==
                   boost::json::value("b"));
  }

  void text_that_is_not_a_listing_is_malformed() {
    for (const char *text :
         {"", "{", "[]", "{\"revision\":1}", "{\"revision\":1,\"items\":{}}",
          "{\"revision\":\"x\",\"items\":[]}"}) {
      CPPUNIT_ASSERT(decode_listing(text).error() == store_error::malformed);
    }
  }

  void malformed_item_keeps_the_others() {
    const auto read = decode_listing(
        R"({"revision":9,"items":[{},{"name":7,"revision":1},{"name":"a"},
            {"name":"b","revision":4,"specification":"b"}]})");
    CPPUNIT_ASSERT(read);
    const auto &items = read.value().items;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), items[0].name);
    CPPUNIT_ASSERT(items[0].specification.is_null());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, items[1].revision);
  }

  void a_specification_may_be_nested_deeply() {
    // Every nesting depth accepted from the store is also accepted from a peer.
    object deep = named("deep", 3);
    for (int level = 0; level < 31; ++level) {
      deep.specification =
          boost::json::value(boost::json::array{deep.specification.parse()});
    }
    const auto read =
        decode_listing(encode_listing({{deep, named("b", 4)}, 5}));
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.value().items.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(object_watch_test);
CPPUNIT_TEST_SUITE_REGISTRATION(object_cache_test);

} // namespace
} // namespace heathtrestle::objects
