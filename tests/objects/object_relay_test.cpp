// Copies of watched objects that gateways get through storage nodes: what a
// relay keeps and sends, and what a follower does with it and without it.
#include "objects/change_log.hpp"
#include "objects/object_follower.hpp"
#include "objects/object_relay.hpp"

#include "support/coroutines.hpp"
#include "support/read_only_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <set>

namespace heathtrestle::objects {
namespace {

const std::string things = "things";

object named(const std::string &name, std::uint64_t revision,
             const std::string &text = "") {
  return {.name = name,
          .revision = revision,
          .specification = boost::json::value(text.empty() ? name : text),
          .status = {},
          .is_deleting = false};
}

/// A store with one kind of objects that changes when the test says so.
class small_store : public test_support::read_only_store {
public:
  explicit small_store(asio::io_context &io) : io_(io) {}

  /// Whether calls are answered at all.
  bool reachable = true;
  int listings = 0;
  int watches = 0;

  void put(const std::string &name, const std::string &text = "") {
    ++revision_;
    objects_[name] = named(name, revision_, text);
    log_.push_back({revision_, {objects_[name], false}});
  }
  void erase(const std::string &name) {
    ++revision_;
    objects_.erase(name);
    log_.push_back({revision_, {named(name, revision_), true}});
  }
  /// Waiting watches end without an answer, as when their machine is cut off.
  void cut_off() { reachable = false; }
  /// Calls are taken and never answered; a listing gives up after a while.
  bool mute = false;

  asio::awaitable<store_result<listing>> list(std::string) override {
    ++listings;
    if (mute) {
      asio::steady_timer timeout(io_, duration_ms{10});
      co_await timeout.async_wait(as_result);
      co_return store_error::no_answer;
    }
    if (!reachable) {
      co_return store_error::no_answer;
    }
    listing all{.items = {}, .revision = revision_};
    for (const auto &[name, each] : objects_) {
      all.items.push_back(each);
    }
    co_return all;
  }
  asio::awaitable<store_result<change_list>>
  watch(std::string, std::uint64_t revision, duration_ms) override {
    ++watches;
    asio::steady_timer timer(io_);
    while (reachable && (mute || revision_ <= revision)) {
      timer.expires_after(duration_ms{1});
      co_await timer.async_wait(as_result);
    }
    if (!reachable) {
      co_return store_error::no_answer;
    }
    change_list changes{.changes = {}, .revision = revision_};
    for (const auto &[at, each] : log_) {
      if (at > revision) {
        changes.changes.push_back(each);
      }
    }
    co_return changes;
  }

private:
  asio::io_context &io_;
  std::uint64_t revision_ = 0;
  std::map<std::string, object> objects_;
  std::vector<std::pair<std::uint64_t, change>> log_;
};

class change_log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(change_log_test);
  CPPUNIT_TEST(a_new_follower_gets_everything);
  CPPUNIT_TEST(a_follower_gets_the_changes_since_its_revision);
  CPPUNIT_TEST(a_new_listing_counts_as_changes);
  CPPUNIT_TEST(who_is_too_far_behind_gets_everything);
  CPPUNIT_TEST(long_specifications_travel_deflated);
  CPPUNIT_TEST(damaged_objects_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  change_log log_;

  std::set<std::string> lacking(const follower_revision &have,
                                bool *whole = nullptr) {
    wire::CopiedKind message;
    log_.write_update(message, have);
    if (whole != nullptr) {
      *whole = message.whole();
    }
    std::set<std::string> names;
    for (const wire::CopiedObject &each : message.objects()) {
      names.insert((each.deleted() ? "-" : "+") + each.name());
    }
    return names;
  }

  using name_set = std::set<std::string>;

public:
  void a_new_follower_gets_everything() {
    log_.apply(listing{{named("a", 3), named("b", 4)}, 5});
    bool whole = false;
    CPPUNIT_ASSERT((lacking({}, &whole) == name_set{"+a", "+b"}));
    CPPUNIT_ASSERT(whole);
  }

  void a_follower_gets_the_changes_since_its_revision() {
    log_.apply(listing{{named("a", 3)}, 5});
    log_.apply(change{named("b", 6), false}, 6);
    log_.apply(change{named("a", 7), true}, 7);
    bool whole = true;
    CPPUNIT_ASSERT((lacking({true, 5}, &whole) == name_set{"+b", "-a"}));
    CPPUNIT_ASSERT(!whole);
    CPPUNIT_ASSERT((lacking({true, 6}) == name_set{"-a"}));
    CPPUNIT_ASSERT(lacking({true, 7}).empty());
    CPPUNIT_ASSERT(lacking({true, 9}).empty()); // ahead of this relay
  }

  void a_new_listing_counts_as_changes() {
    log_.apply(listing{{named("a", 3), named("b", 4)}, 5});
    log_.apply(listing{{named("b", 4), named("c", 8)}, 9});
    CPPUNIT_ASSERT((lacking({true, 5}) == name_set{"-a", "+c"}));
    log_.apply(listing{{named("a", 3)}, 6}); // older than what is known
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, log_.revision());
  }

  void who_is_too_far_behind_gets_everything() {
    log_.apply(listing{{named("a", 3)}, 5});
    for (std::uint64_t revision = 6; revision < 4000; ++revision) {
      log_.apply(change{named("b", revision), false}, revision);
    }
    bool whole = false;
    CPPUNIT_ASSERT((lacking({true, 5}, &whole) == name_set{"+a", "+b"}));
    CPPUNIT_ASSERT(whole);
    lacking({true, 3990}, &whole);
    CPPUNIT_ASSERT(!whole);
  }

  void long_specifications_travel_deflated() {
    const std::string text(100000, 'x');
    const wire::CopiedObject message = to_wire(named("a", 3, text), false);
    CPPUNIT_ASSERT(message.specification().size() < 2000);
    const auto read = from_wire(message);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(read.value().changed.specification ==
                   boost::json::value(text));
  }

  void damaged_objects_are_rejected() {
    wire::CopiedObject message =
        to_wire(named("a", 3, std::string(5000, 'x')), false);
    message.set_inflated_bytes(4000);
    CPPUNIT_ASSERT(!from_wire(message));
    message.set_inflated_bytes(1U << 31U);
    CPPUNIT_ASSERT(!from_wire(message));
    wire::CopiedObject plain = to_wire(named("a", 3), false);
    plain.set_specification("{");
    CPPUNIT_ASSERT(!from_wire(plain));
  }
};

/// Two relays and a gateway, with messages that may be lost.
class object_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_relay_test);
  CPPUNIT_TEST(a_gateway_is_kept_current_without_the_store);
  CPPUNIT_TEST(a_lost_message_is_made_up_for);
  CPPUNIT_TEST(a_silent_relay_is_left);
  CPPUNIT_TEST(a_relay_that_is_cut_from_the_store_is_left);
  CPPUNIT_TEST(without_relays_the_gateway_watches_the_store);
  CPPUNIT_TEST(a_relay_that_lags_turns_nothing_back);
  CPPUNIT_TEST(a_copy_that_cannot_be_read_leaves_the_others);
  CPPUNIT_TEST(a_relay_watches_only_while_it_is_followed);
  CPPUNIT_TEST(relays_next_to_each_other_lie_in_different_zones);
  CPPUNIT_TEST(a_relay_tells_how_old_its_copy_can_be);
  CPPUNIT_TEST(a_relay_whose_store_falls_silent_proves_nothing_more);
  CPPUNIT_TEST(an_answer_that_was_long_on_its_way_looks_no_younger);
  CPPUNIT_TEST(only_who_has_everything_is_as_new_as_the_relay);
  CPPUNIT_TEST(a_relay_ahead_by_other_kinds_proves_as_much);
  CPPUNIT_TEST(on_its_own_the_gateway_asks_the_store_for_proof);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  small_store store_{io_};       // as the gateway reaches it
  small_store near_store_{io_};  // as the first relay reaches it
  small_store other_store_{io_}; // as the second one reaches it
  std::map<std::string, std::unique_ptr<object_relay>> relays_;
  std::set<std::string> dead_;
  int lose_copies_ = 0;
  object_cache cache_;
  std::set<std::string> seen_;
  std::unique_ptr<object_watch> watch_;
  std::unique_ptr<object_follower> follower_;

  static constexpr const char *first = "relay-a:1";
  static constexpr const char *second = "relay-b:1";

  /// A relay that confirms its copy every `interval`; zero for never.
  void add_relay(const std::string &address, small_store &store,
                 duration_ms interval = duration_ms{0}) {
    relays_[address] = std::make_unique<object_relay>(
        io_, store, address,
        std::vector<watch_options>{{.kind = things,
                                    .min_poll_interval = duration_ms{1},
                                    .initial_backoff = duration_ms{1},
                                    .enabled_check_interval = duration_ms{1},
                                    .confirm_interval = interval}},
        [this, address](const std::string &, const wire::Envelope &envelope) {
          const bool lost = dead_.contains(address) ||
                            (lose_copies_ > 0 && lose_copies_-- > 0);
          if (!lost) {
            asio::post(io_, [this, envelope] {
              follower_->on_copies(envelope.object_copies());
            });
          }
        });
    relays_[address]->start();
  }

  void to_relay(const std::string &address, const wire::Envelope &envelope) {
    if (!dead_.contains(address)) {
      asio::post(io_, [this, address, envelope] {
        relays_.at(address)->on_follow(envelope.follow_objects());
      });
    }
  }

  void put(const std::string &name) {
    for (small_store *store : {&store_, &near_store_, &other_store_}) {
      store->put(name);
    }
  }
  void erase(const std::string &name) {
    for (small_store *store : {&store_, &near_store_, &other_store_}) {
      store->erase(name);
    }
  }

  /// Runs until the gateway has these objects.
  void wait_for(const std::set<std::string> &wanted) {
    while (seen_ != wanted) {
      io_.restart();
      io_.run_one();
    }
  }

  template <typename Condition> void run_until(Condition holds) {
    while (!holds()) {
      io_.restart();
      io_.run_one();
    }
  }

  void start(std::vector<relay_address> known) {
    watch_ = std::make_unique<object_watch>(
        io_, store_, std::vector<listing_source *>{}, cache_,
        watch_options{.kind = things,
                      .min_poll_interval = duration_ms{1},
                      .initial_backoff = duration_ms{1},
                      .enabled = [this] { return !follower_->is_current(); },
                      .enabled_check_interval = duration_ms{1},
                      .confirm_interval = confirm_interval_},
        object_watch::handlers{.on_listing =
                                   [this](const listing &listed) {
                                     seen_.clear();
                                     for (const object &each : listed.items) {
                                       seen_.insert(each.name);
                                     }
                                   },
                               .on_change =
                                   [this](const change &changed) {
                                     if (changed.deleted) {
                                       seen_.erase(changed.changed.name);
                                     } else {
                                       seen_.insert(changed.changed.name);
                                     }
                                   }});
    follower_ = std::make_unique<object_follower>(
        io_,
        follow_options{.address = "gateway:1",
                       .relays = 1,
                       .heartbeat = duration_ms{5},
                       .relay_timeout = duration_ms{40},
                       .confirmation_validity = duration_ms{60},
                       .startup_grace_period = start_patience_},
        [known = std::move(known)] { return known; },
        [this](const std::string &address, const wire::Envelope &envelope) {
          to_relay(address, envelope);
        });
    follower_->add(things, *watch_);
    asio::co_spawn(io_, watch_->run(), asio::detached);
    asio::co_spawn(io_, watch_->confirm_periodically(), asio::detached);
    asio::co_spawn(io_, follower_->run(), asio::detached);
  }

  /// Both relays, the one that is tried first in front.
  std::vector<relay_address> both() {
    return sort_by_preference({{.name = "a", .address = first, .zone = "z"},
                               {.name = "b", .address = second, .zone = "z"}});
  }

  /// Starts with the store that a relay of `both()` reaches.
  small_store &store_of(const std::string &address) {
    return address == first ? near_store_ : other_store_;
  }

  duration_ms start_patience_{3600000};
  duration_ms confirm_interval_{0};

  static constexpr duration_ms often{5};

  /// Two relays that confirm their copies, in the order of their trial.
  std::vector<relay_address> both_confirming() {
    add_relay("relay-c:1", near_store_, often);
    add_relay("relay-d:1", other_store_, often);
    return sort_by_preference(
        {{.name = "c", .address = "relay-c:1", .zone = "z"},
         {.name = "d", .address = "relay-d:1", .zone = "z"}});
  }

  void run_for(duration_ms time) {
    const timestamp end = steady_now() + time;
    run_until([end] { return steady_now() >= end; });
  }

public:
  void setUp() override {
    add_relay(first, near_store_);
    add_relay(second, other_store_);
    put("one");
  }
  void tearDown() override { io_.stop(); }

  void a_gateway_is_kept_current_without_the_store() {
    start(both());
    wait_for({"one"});
    put("two");
    wait_for({"one", "two"});
    erase("one");
    wait_for({"two"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings + store_.watches);
    CPPUNIT_ASSERT(near_store_.listings == 0 || other_store_.listings == 0);
  }

  void a_lost_message_is_made_up_for() {
    start(both());
    wait_for({"one"});
    lose_copies_ = 1;
    put("two");
    put("three");
    wait_for({"one", "two", "three"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
  }

  void a_silent_relay_is_left() {
    start(both());
    wait_for({"one"});
    const std::string left = follower_->relay();
    dead_.insert(left);
    put("two");
    wait_for({"one", "two"});
    run_until([this] { return follower_->is_current(); });
    CPPUNIT_ASSERT(follower_->relay() != left);
  }

  void a_relay_that_is_cut_from_the_store_is_left() {
    start(both());
    wait_for({"one"});
    const std::string left = follower_->relay();
    store_of(left).cut_off();
    put("two");
    wait_for({"one", "two"});
    run_until([this, &left] {
      return follower_->relay() != left && follower_->is_current();
    });
  }

  void without_relays_the_gateway_watches_the_store() {
    dead_ = {first, second};
    start_patience_ = duration_ms{20};
    start(both());
    wait_for({"one"});
    put("two");
    wait_for({"one", "two"});
    CPPUNIT_ASSERT(store_.listings > 0);
    // Once a relay is back the store is left alone.
    dead_.clear();
    run_until([this] { return follower_->is_current(); });
    put("three");
    wait_for({"one", "two", "three"});
  }

  void a_relay_that_lags_turns_nothing_back() {
    start(both());
    wait_for({"one"});
    // The gateway has listed the store itself, which was ahead.
    watch_->apply_listing(listing{{named("one", 1), named("new", 9)}, 9});
    wire::ObjectCopies copies;
    copies.set_from(follower_->relay());
    wire::CopiedKind &kind = *copies.add_kinds();
    kind.set_kind(things);
    kind.set_whole(true);
    kind.set_revision(5);
    *kind.add_objects() = to_wire(named("old", 5), false);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT((seen_ == std::set<std::string>{"one", "new"}));
    // Changes that follow others which are missing here are not taken in.
    CPPUNIT_ASSERT(
        !watch_->apply_changes({{{named("late", 20), false}}, 20}, 15));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watch_->revision());
  }

  void a_copy_that_cannot_be_read_leaves_the_others() {
    start(both());
    wait_for({"one"});
    wire::ObjectCopies copies;
    copies.set_from(follower_->relay());
    wire::CopiedKind &kind = *copies.add_kinds();
    kind.set_kind(things);
    kind.set_since(watch_->revision());
    kind.set_revision(watch_->revision() + 2);
    wire::CopiedObject &damaged = *kind.add_objects();
    damaged = to_wire(named("one", watch_->revision() + 1), false);
    damaged.set_specification("{");
    *kind.add_objects() = to_wire(named("two", watch_->revision() + 2), false);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT((seen_ == std::set<std::string>{"one", "two"}));
    const auto copy = cache_.find(things);
    CPPUNIT_ASSERT(copy->items.at(0).specification.is_null());
  }

  void a_relay_watches_only_while_it_is_followed() {
    const auto order = both();
    start({order.front()});
    wait_for({"one"});
    CPPUNIT_ASSERT(store_of(order.front().address).watches > 0);
    CPPUNIT_ASSERT_EQUAL(0, store_of(order.back().address).listings);
  }

  void relays_next_to_each_other_lie_in_different_zones() {
    std::vector<relay_address> known;
    for (int number = 0; number < 12; ++number) {
      const std::string name = std::to_string(number);
      known.push_back({.name = name,
                       .address = name + ":1",
                       .zone = number < 8 ? "big" : "small"});
    }
    const auto order = sort_by_preference(known);
    CPPUNIT_ASSERT_EQUAL(known.size(), order.size());
    for (std::size_t place = 0; place + 1 < 8; place += 2) {
      CPPUNIT_ASSERT(order[place].zone != order[place + 1].zone);
    }
    std::reverse(known.begin(), known.end());
    CPPUNIT_ASSERT(sort_by_preference(known) == order);
  }

  void a_relay_tells_how_old_its_copy_can_be() {
    const timestamp begun = steady_now();
    start(both_confirming());
    run_until([&] { return watch_->confirmed_at() > begun; });
    const timestamp before = watch_->confirmed_at();
    run_until([&] { return watch_->confirmed_at() > before; });
    CPPUNIT_ASSERT(watch_->confirmed_at() <= steady_now());
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
  }

  void a_relay_whose_store_falls_silent_proves_nothing_more() {
    near_store_.put("only here"); // tells the two stores apart
    start(both_confirming());
    run_until([this] { return watch_->confirmed_at() != timestamp{}; });
    const std::string left = follower_->relay();
    small_store &silent = left == "relay-c:1" ? near_store_ : other_store_;
    silent.mute = true;
    store_.mute = true; // the gateway's own way proves nothing either
    const timestamp muted = steady_now();
    run_until([&] {
      const bool followed = follower_->relay() == left;
      CPPUNIT_ASSERT(!followed || watch_->confirmed_at() <= muted);
      return !followed;
    });
    run_until([&] { return watch_->confirmed_at() > muted; });
  }

  /// An answer to a heartbeat, without anything that the gateway lacks.
  wire::ObjectCopies answer_to(timestamp heartbeat, std::uint32_t age_ms) {
    wire::ObjectCopies copies;
    copies.set_from(follower_->relay());
    copies.set_heartbeat_sent_ms(
        heartbeat == timestamp{} ? 0 : milliseconds_of(heartbeat));
    wire::CopiedKind &kind = *copies.add_kinds();
    kind.set_kind(things);
    kind.set_current(true);
    kind.set_confirmed_age_ms(age_ms);
    return copies;
  }

  void an_answer_that_was_long_on_its_way_looks_no_younger() {
    start(both());
    wait_for({"one"});
    constexpr std::uint32_t age_ms = 700;
    const timestamp sent = steady_now() - duration_ms{3000};
    follower_->on_copies(answer_to(sent, age_ms));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
    // What is pushed answers nothing: nobody knows how long it travelled.
    follower_->on_copies(answer_to({}, 1));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
    // A relay that was never confirmed proves nothing.
    follower_->on_copies(answer_to(steady_now(), 0));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
  }

  void only_who_has_everything_is_as_new_as_the_relay() {
    start(both());
    wait_for({"one"});
    wire::ObjectCopies copies = answer_to(steady_now(), 1);
    copies.mutable_kinds(0)->set_since(8); // what comes before is missing here
    copies.mutable_kinds(0)->set_revision(9);
    *copies.mutable_kinds(0)->add_objects() = to_wire(named("nine", 9), false);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT(watch_->confirmed_at() == timestamp{});
  }

  void a_relay_ahead_by_other_kinds_proves_as_much() {
    start(both());
    wait_for({"one"});
    // The relay has listed anew: the store's counter has gone on meanwhile,
    // and no object of this kind has changed.
    wire::ObjectCopies copies = answer_to(steady_now(), 1);
    copies.mutable_kinds(0)->set_since(watch_->revision());
    copies.mutable_kinds(0)->set_revision(watch_->revision() + 40);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT(watch_->confirmed_at() != timestamp{});
  }

  void on_its_own_the_gateway_asks_the_store_for_proof() {
    dead_ = {first, second};
    start_patience_ = duration_ms{20};
    confirm_interval_ = often;
    start(both());
    wait_for({"one"});
    const timestamp listed = watch_->confirmed_at();
    CPPUNIT_ASSERT(listed != timestamp{});
    run_until([&] { return watch_->confirmed_at() > listed; });
    // A store that is silent to this gateway proves nothing, whatever its
    // watch looks like.
    store_.mute = true;
    run_for(4 * often);
    const timestamp last = watch_->confirmed_at();
    run_for(10 * often);
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(last),
                         milliseconds_of(watch_->confirmed_at()));
    CPPUNIT_ASSERT(!watch_->is_current());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_log_test);
CPPUNIT_TEST_SUITE_REGISTRATION(object_relay_test);

} // namespace
} // namespace heathtrestle::objects
