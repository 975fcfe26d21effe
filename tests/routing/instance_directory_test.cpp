#include "routing/instance_directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

instance_record record(const std::string &id, const std::string &service) {
  return {.id = instance_id{id},
          .service = service_id{service},
          .address = "10.0.0.1:80",
          .zone = "zone",
          .slots = 4,
          .draining = false};
}

instance_record started(const std::string &id, std::uint64_t born_ms) {
  instance_record made = record(id, "s");
  made.born_ms = born_ms;
  return made;
}

class instance_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(instance_directory_test);
  CPPUNIT_TEST(only_changes_that_matter_are_told);
  CPPUNIT_TEST(a_drained_instance_accepts_no_work);
  CPPUNIT_TEST(a_removed_instance_is_unlisted_for_its_requests_too);
  CPPUNIT_TEST(a_listing_drops_what_it_lacks);
  CPPUNIT_TEST(what_was_seen_of_an_instance_survives_its_updates);
  CPPUNIT_TEST(a_new_start_knows_nothing_of_the_one_before);
  CPPUNIT_TEST(an_older_start_does_not_come_back);
  CPPUNIT_TEST(an_older_start_does_not_come_back_after_a_removal);
  CPPUNIT_TEST(the_same_start_may_come_back);
  CPPUNIT_TEST(an_entry_that_hides_its_start_ends_the_one_known);
  CPPUNIT_TEST(a_listing_with_an_older_start_keeps_the_newer);
  CPPUNIT_TEST(where_no_start_is_told_an_id_is_one_instance);
  CPPUNIT_TEST(the_memory_of_ended_starts_is_bounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void only_changes_that_matter_are_told() {
    instance_directory directory;
    CPPUNIT_ASSERT(put_outcome::added == directory.put(record("a", "s")));
    CPPUNIT_ASSERT(put_outcome::unchanged == directory.put(record("a", "s")));
  }

  void a_drained_instance_accepts_no_work() {
    instance_directory directory;
    instance_record draining = record("a", "s");
    draining.draining = true;
    directory.put(draining);
    CPPUNIT_ASSERT(
        !directory.replicas_of(service_id{"s"}).front()->accepts_work());
  }

  void a_removed_instance_is_unlisted_for_its_requests_too() {
    instance_directory directory;
    directory.put(record("a", "s"));
    const instance_ptr held = directory.replicas_of(service_id{"s"}).front();
    CPPUNIT_ASSERT(directory.remove(instance_id{"a"}));
    CPPUNIT_ASSERT(!held->accepts_work());
    CPPUNIT_ASSERT(directory.replicas_of(service_id{"s"}).empty());
    CPPUNIT_ASSERT(!directory.remove(instance_id{"a"}));
  }

  void a_listing_drops_what_it_lacks() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.replace_all({record("b", "s")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        directory.replicas_of(service_id{"s"}).front()->record.id.value());
  }

  void what_was_seen_of_an_instance_survives_its_updates() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.replicas_of(service_id{"s"}).front()->in_flight = 3;
    instance_record changed = record("a", "s");
    changed.draining = true;
    directory.put(changed);
    CPPUNIT_ASSERT_EQUAL(
        3U, directory.replicas_of(service_id{"s"}).front()->in_flight);
  }

  void a_new_start_knows_nothing_of_the_one_before() {
    instance_directory directory;
    directory.put(started("a", 100));
    const instance_ptr before = directory.find(instance_id{"a"});
    before->in_flight = 3;
    before->consecutive_failures = 2;
    before->avoid_until = timestamp{} + duration_ms{1000};
    before->prefixes.record({{.id = 1, .tokens = 500}});
    CPPUNIT_ASSERT(put_outcome::restarted == directory.put(started("a", 200)));
    const instance_ptr after = directory.find(instance_id{"a"});
    CPPUNIT_ASSERT(!before->listed && after->listed);
    CPPUNIT_ASSERT_EQUAL(0U, after->in_flight);
    CPPUNIT_ASSERT_EQUAL(0U, after->consecutive_failures);
    CPPUNIT_ASSERT(after->avoid_until == timestamp{});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, after->prefixes.missing_tokens(
                                                 {{.id = 1, .tokens = 500}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         directory.replicas_of(service_id{"s"}).size());
  }

  void an_older_start_does_not_come_back() {
    instance_directory directory;
    directory.put(started("a", 200));
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 100)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200},
                         directory.find(instance_id{"a"})->record.born_ms);
  }

  void an_older_start_does_not_come_back_after_a_removal() {
    instance_directory directory;
    directory.put(started("a", 200));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 100)));
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void the_same_start_may_come_back() {
    // Entries lapse while the store is away, and are written again afterwards.
    instance_directory directory;
    directory.put(started("a", 200));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::added == directory.put(started("a", 200)));
  }

  void an_entry_that_hides_its_start_ends_the_one_known() {
    instance_directory directory;
    directory.put(started("a", 200));
    CPPUNIT_ASSERT(put_outcome::missing_start_time ==
                   directory.put(started("a", 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void a_listing_with_an_older_start_keeps_the_newer() {
    instance_directory directory;
    directory.put(started("a", 200));
    directory.replace_all({started("a", 100), started("b", 100)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200},
                         directory.find(instance_id{"a"})->record.born_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
  }

  void where_no_start_is_told_an_id_is_one_instance() {
    instance_directory directory;
    directory.put(started("a", 0));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::added == directory.put(started("a", 0)));
    // A replica that is updated begins to tell.
    CPPUNIT_ASSERT(put_outcome::restarted == directory.put(started("a", 5)));
  }

  void the_memory_of_ended_starts_is_bounded() {
    ended_incarnations ended(2);
    ended.add({.id = instance_id{"a"}, .born_ms = 10});
    ended.add({.id = instance_id{"b"}, .born_ms = 30});
    ended.add({.id = instance_id{"a"}, .born_ms = 20});
    ended.add({.id = instance_id{"c"}, .born_ms = 40});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         ended.latest_born_ms(instance_id{"a"}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                         ended.latest_born_ms(instance_id{"b"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_directory_test);

} // namespace
} // namespace heathtrestle::routing
