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

/// Answers what it is told to, in order; then it waits for ever.
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
  CPPUNIT_TEST(it_lists_and_watches_from_there);
  CPPUNIT_TEST(forgotten_history_is_listed_anew);
  CPPUNIT_TEST(while_the_store_is_down_a_peer_serves);
  CPPUNIT_TEST(a_peer_that_lags_does_not_turn_back_time);
  CPPUNIT_TEST(an_empty_answer_moves_nothing_on);
  CPPUNIT_TEST(after_a_lost_watch_it_lists_anew);
  CPPUNIT_TEST(the_first_watch_after_a_loss_is_short);
  CPPUNIT_TEST(a_watch_that_stays_behind_a_hint_lists_anew);
  CPPUNIT_TEST(a_hint_of_what_is_known_changes_nothing);
  CPPUNIT_TEST(a_hint_between_two_calls_waits_for_the_next);
  CPPUNIT_TEST(a_store_that_is_down_for_all_is_asked_seldom);
  CPPUNIT_TEST(a_store_that_is_down_for_this_process_alone_is_asked_often);
  CPPUNIT_TEST(changes_told_again_turn_nothing_back);
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

  /// Hints while a watching call is never answered, and waits until `listings`
  /// were taken in, or for `patience`.
  /// @param interval from one watching call to the next.
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
  void it_lists_and_watches_from_there() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(
        change_list{{{named("b", 6), false}, {named("a", 7), true}}, 7});
    run_until(2);
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "+b", "-a"}));
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 7}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache_.find("things")->items.size());
  }

  void forgotten_history_is_listed_anew() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(store_error::history_gone);
    store_.listings.push_back(listing{{named("c", 8)}, 9});
    run_until(2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, store_.watched_from.back());
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         cache_.find("things")->items.front().name);
  }

  void while_the_store_is_down_a_peer_serves() {
    store_.listings.push_back(store_error::no_answer);
    peer_.listings.push_back(listing{{named("p", 2)}, 4});
    run_until(1);
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, store_.watched_from.front());
  }

  void a_peer_that_lags_does_not_turn_back_time() {
    cache_.replace("things", listing{{named("new", 8)}, 9});
    store_.listings.push_back(store_error::no_answer);
    peer_.listings.push_back(listing{{named("old", 2)}, 4});
    store_.listings.push_back(listing{{named("newer", 11)}, 12});
    run_until(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, store_.watched_from.front());
  }

  void an_empty_answer_moves_nothing_on() {
    // The store may have heard nothing of a change that it counts already.
    store_.listings.push_back(listing{{}, 5});
    store_.watches.push_back(change_list{{}, 9});
    run_until(2);
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 5}));
  }

  void after_a_lost_watch_it_lists_anew() {
    // The store may be dropping its history: a watch from the old revision that
    // comes too early is neither refused nor told what it missed.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.watches.push_back(store_error::no_answer);
    store_.listings.push_back(listing{{named("a", 3), named("b", 8)}, 9});
    run_until(2);
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "listed 2"}));
    CPPUNIT_ASSERT(store_.watched_from == (std::vector<std::uint64_t>{5, 9}));
  }

  void the_first_watch_after_a_loss_is_short() {
    // What changes between the listing and the watch is heard after its end.
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

  void a_watch_that_stays_behind_a_hint_lists_anew() {
    // The answer of the watching call was lost; another process has heard.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    hint_during_watch(8, 2, duration_ms{10000});
    CPPUNIT_ASSERT(seen_ == (std::vector<std::string>{"listed 1", "listed 1"}));
  }

  void a_hint_of_what_is_known_changes_nothing() {
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    hint_during_watch(4, 2, duration_ms{120});
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
  }

  void changes_told_again_turn_nothing_back() {
    // A relay tells everything since the revision that it last heard of.
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

  void a_hint_between_two_calls_waits_for_the_next() {
    // The call has been answered and the next one is not due yet: a listing
    // would only bring sooner, and dearer, what that call brings.
    store_.listings.push_back(listing{{named("a", 3)}, 5});
    store_.listings.push_back(listing{{named("a", 8)}, 9});
    store_.watches.push_back(change_list{{{named("b", 6), false}}, 6});
    hint_during_watch(8, 2, duration_ms{120}, duration_ms{60000});
    CPPUNIT_ASSERT(seen_ == std::vector<std::string>{"listed 1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.watched_from.size());
  }

  /// Calls to a store that is down, by ten gateways in 400 ms.
  std::size_t calls_in_vain(bool others_ask) {
    std::vector<std::unique_ptr<object_cache>> caches;
    std::vector<std::unique_ptr<object_watch>> watches;
    for (int gateway = 0; gateway < 10; ++gateway) {
      caches.push_back(std::make_unique<object_cache>());
      watches.push_back(std::make_unique<object_watch>(
          io_, store_, std::vector<listing_source *>{}, *caches.back(),
          watch_options{
              .kind = "things",
              .initial_backoff = duration_ms{5},
              .max_backoff = duration_ms{20},
              .store_down_for_others = [others_ask] { return others_ask; },
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

  void a_store_that_is_down_for_all_is_asked_seldom() {
    // One call each at once, and hardly a second one.
    CPPUNIT_ASSERT(calls_in_vain(true) <= 20);
  }

  void a_store_that_is_down_for_this_process_alone_is_asked_often() {
    CPPUNIT_ASSERT(calls_in_vain(false) >= 200);
  }
};

class object_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_cache_test);
  CPPUNIT_TEST(a_listing_survives_its_encoding);
  CPPUNIT_TEST(text_that_is_no_listing_is_malformed);
  CPPUNIT_TEST(an_unreadable_item_leaves_the_others);
  CPPUNIT_TEST(a_specification_may_be_nested_deeply);
  CPPUNIT_TEST_SUITE_END();

public:
  void a_listing_survives_its_encoding() {
    const listing before{{named("a", 3), named("b", 4)}, 5};
    const auto after = decode_listing(encode_listing(before));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, after.value().revision);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), after.value().items[1].name);
    CPPUNIT_ASSERT(after.value().items[1].specification ==
                   boost::json::value("b"));
  }

  void text_that_is_no_listing_is_malformed() {
    for (const char *text :
         {"", "{", "[]", "{\"revision\":1}", "{\"revision\":1,\"items\":{}}",
          "{\"revision\":\"x\",\"items\":[]}"}) {
      CPPUNIT_ASSERT(decode_listing(text).error() == store_error::malformed);
    }
  }

  void an_unreadable_item_leaves_the_others() {
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
    // What the store's reader has taken is read from a peer, too.
    object deep = named("deep", 3);
    for (int level = 0; level < 31; ++level) {
      deep.specification = boost::json::array{deep.specification};
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
