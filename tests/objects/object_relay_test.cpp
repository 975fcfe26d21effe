// Tests object replication: the relay's change log, the relay, and the follower
// with and without working relays.
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

/// An in-memory store with one kind of objects, changed by the test.
class fake_object_store : public test_support::read_only_store {
public:
  explicit fake_object_store(asio::io_context &io) : io_(io) {}

  /// When false, calls fail with `no_answer`.
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
  /// Makes pending and later calls fail, as when their machine is cut off.
  void disconnect() { reachable = false; }
  /// When true, watches never return and listings time out.
  bool unresponsive = false;
  /// When true, the next watch fails because its history is gone.
  bool forgets_history = false;
  /// How long a listing takes.
  duration_ms listing_time{0};
  /// Changes that one watch returns at most.
  std::size_t answer_limit = 100000;

  asio::awaitable<store_result<listing>> list(std::string) override {
    ++listings;
    if (unresponsive) {
      asio::steady_timer timeout(io_, duration_ms{10});
      co_await timeout.async_wait(as_result);
      co_return store_error::no_answer;
    }
    if (!reachable) {
      co_return store_error::no_answer;
    }
    if (listing_time.count() > 0) {
      asio::steady_timer timer(io_, listing_time);
      co_await timer.async_wait(as_result);
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
    while (reachable && !forgets_history &&
           (unresponsive || revision_ <= revision)) {
      timer.expires_after(duration_ms{1});
      co_await timer.async_wait(as_result);
    }
    if (std::exchange(forgets_history, false)) {
      co_return store_error::history_gone;
    }
    if (!reachable) {
      co_return store_error::no_answer;
    }
    change_list changes{.changes = {}, .revision = revision_};
    for (const auto &[at, each] : log_) {
      if (at > revision && changes.changes.size() < answer_limit) {
        changes.changes.push_back(each);
        changes.revision = at;
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
  CPPUNIT_TEST(new_follower_receives_all_objects);
  CPPUNIT_TEST(follower_receives_changes_since_its_revision);
  CPPUNIT_TEST(new_listing_is_logged_as_changes);
  CPPUNIT_TEST(follower_behind_the_log_receives_all_objects);
  CPPUNIT_TEST(long_specifications_are_compressed);
  CPPUNIT_TEST(damaged_objects_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  change_log log_;

  std::set<std::string> names_in_update(const follower_revision &have,
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
  void new_follower_receives_all_objects() {
    log_.apply(listing{{named("a", 3), named("b", 4)}, 5});
    bool whole = false;
    CPPUNIT_ASSERT((names_in_update({}, &whole) == name_set{"+a", "+b"}));
    CPPUNIT_ASSERT(whole);
  }

  void follower_receives_changes_since_its_revision() {
    log_.apply(listing{{named("a", 3)}, 5});
    log_.apply(change{named("b", 6), false}, 6);
    log_.apply(change{named("a", 7), true}, 7);
    bool whole = true;
    CPPUNIT_ASSERT(
        (names_in_update({true, 5}, &whole) == name_set{"+b", "-a"}));
    CPPUNIT_ASSERT(!whole);
    CPPUNIT_ASSERT((names_in_update({true, 6}) == name_set{"-a"}));
    CPPUNIT_ASSERT(names_in_update({true, 7}).empty());
    CPPUNIT_ASSERT(names_in_update({true, 9}).empty()); // ahead of this relay
  }

  void new_listing_is_logged_as_changes() {
    log_.apply(listing{{named("a", 3), named("b", 4)}, 5});
    log_.apply(listing{{named("b", 4), named("c", 8)}, 9});
    CPPUNIT_ASSERT((names_in_update({true, 5}) == name_set{"-a", "+c"}));
    log_.apply(listing{{named("a", 3)}, 6}); // older than the copy
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, log_.revision());
  }

  void follower_behind_the_log_receives_all_objects() {
    log_.apply(listing{{named("a", 3)}, 5});
    for (std::uint64_t revision = 6; revision < 4000; ++revision) {
      log_.apply(change{named("b", revision), false}, revision);
    }
    bool whole = false;
    CPPUNIT_ASSERT(
        (names_in_update({true, 5}, &whole) == name_set{"+a", "+b"}));
    CPPUNIT_ASSERT(whole);
    names_in_update({true, 3990}, &whole);
    CPPUNIT_ASSERT(!whole);
  }

  void long_specifications_are_compressed() {
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

/// Two relays and a gateway, connected by messages that can be dropped.
class object_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_relay_test);
  CPPUNIT_TEST(gateway_stays_current_without_calling_the_store);
  CPPUNIT_TEST(lost_message_is_sent_again_after_a_heartbeat);
  CPPUNIT_TEST(silent_relay_is_replaced);
  CPPUNIT_TEST(relay_cut_off_from_the_store_is_replaced);
  CPPUNIT_TEST(gateway_without_relays_watches_the_store);
  CPPUNIT_TEST(lagging_relay_does_not_revert_the_copy);
  CPPUNIT_TEST(malformed_object_keeps_the_others);
  CPPUNIT_TEST(relay_watches_only_while_it_has_followers);
  CPPUNIT_TEST(preference_order_alternates_zones);
  CPPUNIT_TEST(relay_reports_the_age_of_its_copy);
  CPPUNIT_TEST(relay_with_an_unresponsive_store_confirms_nothing);
  CPPUNIT_TEST(answer_delay_counts_towards_the_age);
  CPPUNIT_TEST(incomplete_copy_is_not_confirmed);
  CPPUNIT_TEST(changes_of_other_kinds_do_not_prevent_confirmation);
  CPPUNIT_TEST(a_late_answer_confirms_nothing);
  CPPUNIT_TEST(gateway_without_relays_confirms_with_the_store);
  CPPUNIT_TEST(relay_that_lists_a_long_kind_again_is_kept);
  CPPUNIT_TEST(burst_of_changes_is_fetched_without_pauses);
  CPPUNIT_TEST(long_list_is_sent_once_in_packed_form);
  CPPUNIT_TEST(relay_follows_another_relay);
  CPPUNIT_TEST(long_lists_are_sent_to_few_followers_at_a_time);
  CPPUNIT_TEST(slow_follower_is_sent_little_until_it_confirms);
  CPPUNIT_TEST(broadcasts_reach_a_gateway_whose_relay_is_down);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  fake_object_store store_{io_};        // used by the gateway
  fake_object_store first_store_{io_};  // used by the first relay
  fake_object_store second_store_{io_}; // used by the second relay
  std::map<std::string, std::unique_ptr<object_relay>> relays_;
  std::set<std::string> dead_relays_;
  int copies_to_drop_ = 0;
  int packed_lists_ = 0;
  /// Broadcasts that reached the gateway.
  int broadcasts_ = 0;
  std::size_t further_relays_ = 0;
  /// Followers of the relays that follow others.
  std::map<std::string, std::unique_ptr<object_follower>> upstreams_;
  object_cache cache_;
  std::set<std::string> seen_;
  std::unique_ptr<object_watch> watch_;
  std::unique_ptr<object_follower> follower_;

  static constexpr const char *first = "relay-a:1";
  static constexpr const char *second = "relay-b:1";
  static constexpr const char *gateway_address = "gateway:1";

  /// Adds a relay that confirms its copy every `interval`; zero for never.
  /// @param upstream the follower by which it follows another relay, if any.
  void add_relay(const std::string &address, fake_object_store &store,
                 duration_ms interval = duration_ms{0},
                 object_follower *upstream = nullptr) {
    relays_[address] = std::make_unique<object_relay>(
        io_, store, address,
        std::vector<watch_options>{{.kind = things,
                                    .min_poll_interval = duration_ms{1},
                                    .initial_backoff = duration_ms{1},
                                    .enabled_check_interval = duration_ms{1},
                                    .confirm_interval = interval}},
        [this, address](const std::string &to, const wire::Envelope &envelope) {
          const bool lost = dead_relays_.contains(address) ||
                            (copies_to_drop_ > 0 && copies_to_drop_-- > 0);
          broadcasts_ += !lost && envelope.has_crash_notice() ? 1 : 0;
          for (const wire::CopiedKind &each :
               envelope.object_copies().kinds()) {
            packed_lists_ += each.inflated_bytes() > 0 ? 1 : 0;
          }
          if (!lost && to != gateway_address) {
            asio::post(io_, [this, to, envelope] {
              upstreams_.at(to)->on_copies(envelope.object_copies());
            });
          } else if (!lost) {
            asio::post(io_, [this, envelope] {
              follower_->on_copies(envelope.object_copies());
            });
          }
        });
    if (upstream != nullptr) {
      relays_[address]->follow(*upstream);
    }
    relays_[address]->start();
  }

  void to_relay(const std::string &address, const wire::Envelope &envelope) {
    if (!dead_relays_.contains(address)) {
      asio::post(io_, [this, address, envelope] {
        relays_.at(address)->on_follow(envelope.follow_objects());
      });
    }
  }

  void put(const std::string &name) {
    for (fake_object_store *store : {&store_, &first_store_, &second_store_}) {
      store->put(name);
    }
  }
  void erase(const std::string &name) {
    for (fake_object_store *store : {&store_, &first_store_, &second_store_}) {
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
                      .min_poll_interval = poll_interval_,
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
        follow_options{.address = gateway_address,
                       .further_relays = further_relays_,
                       .registration_interval = duration_ms{5},
                       .heartbeat = duration_ms{5},
                       .relay_timeout = duration_ms{40},
                       .confirmation_validity = duration_ms{60},
                       .startup_grace_period = start_patience_},
        [known = std::move(known)] {
          return relay_order{.relays = known, .preferred = 1};
        },
        [this](const std::string &address, const wire::Envelope &envelope) {
          to_relay(address, envelope);
        });
    follower_->add(things, *watch_);
    asio::co_spawn(io_, watch_->run(), asio::detached);
    asio::co_spawn(io_, watch_->confirm_periodically(), asio::detached);
    asio::co_spawn(io_, follower_->run(), asio::detached);
  }

  /// Both relays, in the order in which the gateway tries them.
  std::vector<relay_address> both_relays() {
    return sort_by_preference({{.name = "a", .address = first, .zone = "z"},
                               {.name = "b", .address = second, .zone = "z"}});
  }

  /// The store that a relay of `both_relays()` uses.
  fake_object_store &store_of(const std::string &address) {
    return address == first ? first_store_ : second_store_;
  }

  duration_ms start_patience_{3600000};
  duration_ms confirm_interval_{0};
  duration_ms poll_interval_{1};

  static constexpr duration_ms often{5};

  /// Adds two relays that confirm their copies, in the order in which the
  /// gateway tries them.
  std::vector<relay_address> both_confirming_relays() {
    add_relay("relay-c:1", first_store_, often);
    add_relay("relay-d:1", second_store_, often);
    return sort_by_preference(
        {{.name = "c", .address = "relay-c:1", .zone = "z"},
         {.name = "d", .address = "relay-d:1", .zone = "z"}});
  }

  /// Adds 600 objects, which is a long list.
  void put_many() {
    for (int number = 0; number < 600; ++number) {
      put("many-" + std::to_string(number));
    }
  }

  void run_for(duration_ms time) {
    const timestamp end = steady_now() + time;
    run_until([end] { return steady_now() >= end; });
  }

public:
  void setUp() override {
    add_relay(first, first_store_);
    add_relay(second, second_store_);
    put("one");
  }
  void tearDown() override { io_.stop(); }

  void broadcasts_reach_a_gateway_whose_relay_is_down() {
    further_relays_ = 1;
    start(both_relays());
    wait_for({"one"});
    run_for(duration_ms{20});
    const std::string followed = follower_->relay();
    const std::string other = followed == first ? second : first;
    // The relay that it only registers with does not watch the store for it.
    CPPUNIT_ASSERT_EQUAL(0, store_of(other).listings);
    dead_relays_.insert(followed);
    wire::Envelope notice;
    notice.mutable_crash_notice()->set_request(1);
    relays_.at(followed)->broadcast(notice);
    relays_.at(other)->broadcast(notice);
    CPPUNIT_ASSERT_EQUAL(1, broadcasts_);
  }

  void gateway_stays_current_without_calling_the_store() {
    start(both_relays());
    wait_for({"one"});
    put("two");
    wait_for({"one", "two"});
    erase("one");
    wait_for({"two"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings + store_.watches);
    CPPUNIT_ASSERT(first_store_.listings == 0 || second_store_.listings == 0);
  }

  void lost_message_is_sent_again_after_a_heartbeat() {
    start(both_relays());
    wait_for({"one"});
    copies_to_drop_ = 1;
    put("two");
    put("three");
    wait_for({"one", "two", "three"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
  }

  void silent_relay_is_replaced() {
    start(both_relays());
    wait_for({"one"});
    const std::string left = follower_->relay();
    dead_relays_.insert(left);
    put("two");
    wait_for({"one", "two"});
    run_until([this] { return follower_->is_current(); });
    CPPUNIT_ASSERT(follower_->relay() != left);
  }

  void relay_cut_off_from_the_store_is_replaced() {
    start(both_relays());
    wait_for({"one"});
    const std::string left = follower_->relay();
    store_of(left).disconnect();
    put("two");
    wait_for({"one", "two"});
    run_until([this, &left] {
      return follower_->relay() != left && follower_->is_current();
    });
  }

  void gateway_without_relays_watches_the_store() {
    dead_relays_ = {first, second};
    start_patience_ = duration_ms{20};
    start(both_relays());
    wait_for({"one"});
    put("two");
    wait_for({"one", "two"});
    CPPUNIT_ASSERT(store_.listings > 0);
    // Once a relay is back, the gateway follows it again.
    dead_relays_.clear();
    run_until([this] { return follower_->is_current(); });
    put("three");
    wait_for({"one", "two", "three"});
  }

  void lagging_relay_does_not_revert_the_copy() {
    start(both_relays());
    wait_for({"one"});
    // The gateway has listed the store itself, which was ahead of the relay.
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
    // Changes after a gap are rejected.
    CPPUNIT_ASSERT(
        !watch_->apply_changes({{{named("late", 20), false}}, 20}, 15));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watch_->revision());
  }

  void malformed_object_keeps_the_others() {
    start(both_relays());
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

  void relay_watches_only_while_it_has_followers() {
    const auto order = both_relays();
    start({order.front()});
    wait_for({"one"});
    CPPUNIT_ASSERT(store_of(order.front().address).watches > 0);
    CPPUNIT_ASSERT_EQUAL(0, store_of(order.back().address).listings);
  }

  void relay_that_lists_a_long_kind_again_is_kept() {
    put_many();
    start(both_relays());
    run_until([this] { return seen_.size() == 601; });
    const std::string kept = follower_->relay();
    store_of(kept).listing_time = duration_ms{300};
    store_of(kept).forgets_history = true;
    put("late");
    run_until([this] { return seen_.size() == 602; });
    CPPUNIT_ASSERT_EQUAL(kept, follower_->relay());
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
  }

  void burst_of_changes_is_fetched_without_pauses() {
    dead_relays_ = {first, second};
    start_patience_ = duration_ms{0};
    poll_interval_ = duration_ms{600000};
    store_.answer_limit = 150;
    start(both_relays());
    run_until([this] { return store_.watches == 1; });
    put_many();
    run_until([this] { return seen_.size() == 601; });
    CPPUNIT_ASSERT_EQUAL(1, store_.listings);
  }

  void long_list_is_sent_once_in_packed_form() {
    put_many();
    start(both_relays());
    run_until([this] { return seen_.size() == 601; });
    run_for(duration_ms{50});
    CPPUNIT_ASSERT_EQUAL(1, packed_lists_);
  }

  void relay_follows_another_relay() {
    upstreams_[second] = std::make_unique<object_follower>(
        io_, follow_options{.address = second, .heartbeat = duration_ms{5}},
        [] {
          return relay_order{
              .relays = {{.name = "a", .address = first, .zone = "z"}},
              .preferred = 1};
        },
        [this](const std::string &address, const wire::Envelope &envelope) {
          to_relay(address, envelope);
        });
    relays_.erase(second);
    add_relay(second, second_store_, duration_ms{0}, upstreams_[second].get());
    start({{.name = "b", .address = second, .zone = "z"}});
    wait_for({"one"});
    put("two");
    wait_for({"one", "two"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings + store_.watches);
    CPPUNIT_ASSERT_EQUAL(0, second_store_.listings + second_store_.watches);
    // Without its own relay it watches the store.
    dead_relays_.insert(first);
    put("three");
    wait_for({"one", "two", "three"});
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
    CPPUNIT_ASSERT(second_store_.listings > 0);
  }

  void long_lists_are_sent_to_few_followers_at_a_time() {
    constexpr int count = 100;
    constexpr int at_a_time = 16;
    put_many();
    std::set<std::string> served;
    object_relay relay(
        io_, first_store_, "relay-e:1",
        {{.kind = things, .enabled_check_interval = duration_ms{1}}},
        [&served](const std::string &to, const wire::Envelope &envelope) {
          if (envelope.object_copies().kinds(0).inflated_bytes() > 0) {
            served.insert(to);
          }
        });
    relay.start();
    const auto follow = [&relay](const std::string &from,
                                 std::uint64_t revision) {
      wire::FollowObjects heartbeat;
      heartbeat.set_reply_to(from);
      wire::FollowedKind &kind = *heartbeat.add_kinds();
      kind.set_kind(things);
      kind.set_known(revision > 0);
      kind.set_revision(revision);
      relay.on_follow(heartbeat);
    };
    const auto address = [](int number) {
      return "gateway-" + std::to_string(number) + ":1";
    };
    follow(address(0), 0);
    run_until([&served] { return !served.empty(); });
    for (int number = 1; number < count; ++number) {
      follow(address(number), 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{at_a_time}, served.size());
    // Followers that have applied their list make room for others.
    for (int round = 0; round < count / at_a_time + 1; ++round) {
      const std::set<std::string> done = served;
      for (const std::string &each : done) {
        follow(each, 601);
      }
      for (int number = 0; number < count; ++number) {
        if (!served.contains(address(number))) {
          follow(address(number), 0);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{count}, served.size());
    io_.stop();
  }

  void slow_follower_is_sent_little_until_it_confirms() {
    constexpr int bursts = 60;
    constexpr int burst = 100;
    const std::string text(100, 'x');
    std::size_t bytes = 0;
    object_relay relay(
        io_, first_store_, "relay-f:1",
        {{.kind = things,
          .min_poll_interval = duration_ms{1},
          .enabled_check_interval = duration_ms{1}}},
        [&bytes](const std::string &, const wire::Envelope &envelope) {
          bytes += envelope.ByteSizeLong();
        });
    relay.start();
    wire::FollowObjects heartbeat;
    heartbeat.set_reply_to("gateway-f:1");
    wire::FollowedKind &kind = *heartbeat.add_kinds();
    kind.set_kind(things);
    relay.on_follow(heartbeat);
    run_until([&bytes] { return bytes > 0; });
    for (int number = 0; number < bursts * burst; ++number) {
      first_store_.put("many-" + std::to_string(number), text);
      if (number % burst == 0) {
        run_for(duration_ms{3});
        relay.on_follow(heartbeat); // it has confirmed nothing
      }
    }
    run_for(duration_ms{20});
    CPPUNIT_ASSERT(bytes < 300000);
    io_.stop();
  }

  void preference_order_alternates_zones() {
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

  void relay_reports_the_age_of_its_copy() {
    const timestamp started_at = steady_now();
    start(both_confirming_relays());
    run_until([&] { return watch_->confirmed_at() > started_at; });
    const timestamp before = watch_->confirmed_at();
    run_until([&] { return watch_->confirmed_at() > before; });
    CPPUNIT_ASSERT(watch_->confirmed_at() <= steady_now());
    CPPUNIT_ASSERT_EQUAL(0, store_.listings);
  }

  void relay_with_an_unresponsive_store_confirms_nothing() {
    first_store_.put("only here"); // makes the two stores differ
    start(both_confirming_relays());
    run_until([this] { return watch_->confirmed_at() != timestamp{}; });
    const std::string left = follower_->relay();
    fake_object_store &silent =
        left == "relay-c:1" ? first_store_ : second_store_;
    silent.unresponsive = true;
    store_.unresponsive = true; // nor can the gateway confirm its copy itself
    const timestamp unresponsive_since = steady_now();
    run_until([&] {
      const bool followed = follower_->relay() == left;
      CPPUNIT_ASSERT(!followed || watch_->confirmed_at() <= unresponsive_since);
      return !followed;
    });
    run_until([&] { return watch_->confirmed_at() > unresponsive_since; });
  }

  /// An answer to a heartbeat without new objects.
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

  void answer_delay_counts_towards_the_age() {
    start(both_relays());
    wait_for({"one"});
    constexpr std::uint32_t age_ms = 700;
    const timestamp sent = steady_now() - duration_ms{3000};
    follower_->on_copies(answer_to(sent, age_ms));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
    // A pushed update answers no heartbeat, so its delay is unknown.
    follower_->on_copies(answer_to({}, 1));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
    // Age 0 means that the relay's copy was never confirmed.
    follower_->on_copies(answer_to(steady_now(), 0));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent) - age_ms,
                         milliseconds_of(watch_->confirmed_at()));
  }

  void incomplete_copy_is_not_confirmed() {
    start(both_relays());
    wait_for({"one"});
    wire::ObjectCopies copies = answer_to(steady_now(), 1);
    copies.mutable_kinds(0)->set_since(8); // the gateway lacks earlier changes
    copies.mutable_kinds(0)->set_revision(9);
    *copies.mutable_kinds(0)->add_objects() = to_wire(named("nine", 9), false);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT(watch_->confirmed_at() == timestamp{});
  }

  void changes_of_other_kinds_do_not_prevent_confirmation() {
    start(both_relays());
    wait_for({"one"});
    // The relay has listed again after changes of other kinds had advanced the
    // store's counter.
    wire::ObjectCopies copies = answer_to(steady_now(), 1);
    copies.mutable_kinds(0)->set_since(watch_->revision());
    copies.mutable_kinds(0)->set_revision(watch_->revision() + 40);
    follower_->on_copies(copies);
    CPPUNIT_ASSERT(watch_->confirmed_at() != timestamp{});
  }

  /// Answers wait unread while the gateway's process stands still.
  void a_late_answer_confirms_nothing() {
    start(both_relays());
    wait_for({"one"});
    run_until([this] { return follower_->confirmed_at() != timestamp{}; });
    dead_relays_ = {first, second};
    run_for(duration_ms{100});
    const timestamp before = follower_->confirmed_at();
    const timestamp long_ago = steady_now() - duration_ms{3000};
    follower_->on_copies(answer_to(long_ago, 1));
    follower_->on_copies(answer_to({}, 1));
    CPPUNIT_ASSERT(follower_->confirmed_at() == before);
    const timestamp sent = steady_now();
    follower_->on_copies(answer_to(sent, 1));
    CPPUNIT_ASSERT_EQUAL(milliseconds_of(sent),
                         milliseconds_of(follower_->confirmed_at()));
  }

  void gateway_without_relays_confirms_with_the_store() {
    dead_relays_ = {first, second};
    start_patience_ = duration_ms{20};
    confirm_interval_ = often;
    start(both_relays());
    wait_for({"one"});
    const timestamp listed = watch_->confirmed_at();
    CPPUNIT_ASSERT(listed != timestamp{});
    run_until([&] { return watch_->confirmed_at() > listed; });
    // An unresponsive store confirms nothing, although its watch has not
    // failed.
    store_.unresponsive = true;
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
