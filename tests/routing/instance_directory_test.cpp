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
  CPPUNIT_TEST(an_identical_record_is_unchanged);
  CPPUNIT_TEST(a_drained_instance_accepts_no_work);
  CPPUNIT_TEST(a_removed_instance_accepts_no_work);
  CPPUNIT_TEST(a_listing_removes_missing_instances);
  CPPUNIT_TEST(observations_survive_record_updates);
  CPPUNIT_TEST(a_new_incarnation_discards_observations);
  CPPUNIT_TEST(an_older_incarnation_is_outdated);
  CPPUNIT_TEST(an_older_incarnation_is_outdated_after_removal);
  CPPUNIT_TEST(the_same_incarnation_may_return);
  CPPUNIT_TEST(a_record_without_start_time_removes_the_instance);
  CPPUNIT_TEST(a_listing_keeps_the_newer_incarnation);
  CPPUNIT_TEST(without_start_times_an_id_is_one_instance);
  CPPUNIT_TEST(another_version_under_an_id_is_another_incarnation);
  CPPUNIT_TEST(versions_are_counted_while_they_are_listed);
  CPPUNIT_TEST(ended_incarnations_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  static instance_record versioned(const std::string &id,
                                   const std::string &version) {
    instance_record made = record(id, "s");
    made.version = software_version{version};
    return made;
  }

public:
  void another_version_under_an_id_is_another_incarnation() {
    instance_directory directory;
    directory.put(versioned("a", "v1"));
    const instance_ptr before = directory.find(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::restarted ==
                   directory.put(versioned("a", "v2")));
    CPPUNIT_ASSERT(!before->listed);
    CPPUNIT_ASSERT(!directory.contains(before->record.start()));
    CPPUNIT_ASSERT(directory.find(instance_id{"a"}) != before);
  }

  void versions_are_counted_while_they_are_listed() {
    instance_directory directory;
    const service_id service{"s"};
    directory.put(versioned("a", "v1"));
    directory.put(versioned("b", "v1"));
    directory.put(versioned("c", "v2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.versions_of(service).size());
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.versions_of(service).at(
                                             software_version{"v1"}));
    directory.put(versioned("b", "v2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.versions_of(service).size());
  }

  void an_identical_record_is_unchanged() {
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

  void a_removed_instance_accepts_no_work() {
    instance_directory directory;
    directory.put(record("a", "s"));
    const instance_ptr held = directory.replicas_of(service_id{"s"}).front();
    CPPUNIT_ASSERT(directory.remove(instance_id{"a"}));
    CPPUNIT_ASSERT(!held->accepts_work());
    CPPUNIT_ASSERT(directory.replicas_of(service_id{"s"}).empty());
    CPPUNIT_ASSERT(!directory.remove(instance_id{"a"}));
  }

  void a_listing_removes_missing_instances() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.replace_all({record("b", "s")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        directory.replicas_of(service_id{"s"}).front()->record.id.value());
  }

  void observations_survive_record_updates() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.replicas_of(service_id{"s"}).front()->in_flight = 3;
    instance_record changed = record("a", "s");
    changed.draining = true;
    directory.put(changed);
    CPPUNIT_ASSERT_EQUAL(
        3U, directory.replicas_of(service_id{"s"}).front()->in_flight);
  }

  void a_new_incarnation_discards_observations() {
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

  void an_older_incarnation_is_outdated() {
    instance_directory directory;
    directory.put(started("a", 200));
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 100)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200},
                         directory.find(instance_id{"a"})->record.born_ms);
  }

  void an_older_incarnation_is_outdated_after_removal() {
    instance_directory directory;
    directory.put(started("a", 200));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 100)));
    CPPUNIT_ASSERT(put_outcome::outdated == directory.put(started("a", 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void the_same_incarnation_may_return() {
    // Entries expire while the store is unavailable and are written again
    // later.
    instance_directory directory;
    directory.put(started("a", 200));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::added == directory.put(started("a", 200)));
  }

  void a_record_without_start_time_removes_the_instance() {
    instance_directory directory;
    directory.put(started("a", 200));
    CPPUNIT_ASSERT(put_outcome::missing_start_time ==
                   directory.put(started("a", 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void a_listing_keeps_the_newer_incarnation() {
    instance_directory directory;
    directory.put(started("a", 200));
    directory.replace_all({started("a", 100), started("b", 100)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200},
                         directory.find(instance_id{"a"})->record.born_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
  }

  void without_start_times_an_id_is_one_instance() {
    instance_directory directory;
    directory.put(started("a", 0));
    directory.remove(instance_id{"a"});
    CPPUNIT_ASSERT(put_outcome::added == directory.put(started("a", 0)));
    // An upgraded replica begins to report its start time.
    CPPUNIT_ASSERT(put_outcome::restarted == directory.put(started("a", 5)));
  }

  void ended_incarnations_are_bounded() {
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
