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

class instance_directory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(instance_directory_test);
  CPPUNIT_TEST(only_changes_that_matter_are_told);
  CPPUNIT_TEST(a_drained_instance_accepts_no_work);
  CPPUNIT_TEST(a_removed_instance_is_unlisted_for_its_requests_too);
  CPPUNIT_TEST(a_listing_drops_what_it_lacks);
  CPPUNIT_TEST(what_was_seen_of_an_instance_survives_its_updates);
  CPPUNIT_TEST_SUITE_END();

public:
  void only_changes_that_matter_are_told() {
    instance_directory directory;
    CPPUNIT_ASSERT(directory.put(record("a", "s")));
    CPPUNIT_ASSERT(!directory.put(record("a", "s")));
  }

  void a_drained_instance_accepts_no_work() {
    instance_directory directory;
    instance_record draining = record("a", "s");
    draining.draining = true;
    directory.put(draining);
    CPPUNIT_ASSERT(!directory.of(service_id{"s"}).front()->accepts_work());
  }

  void a_removed_instance_is_unlisted_for_its_requests_too() {
    instance_directory directory;
    directory.put(record("a", "s"));
    const instance_ptr held = directory.of(service_id{"s"}).front();
    CPPUNIT_ASSERT(directory.remove(instance_id{"a"}));
    CPPUNIT_ASSERT(!held->accepts_work());
    CPPUNIT_ASSERT(directory.of(service_id{"s"}).empty());
    CPPUNIT_ASSERT(!directory.remove(instance_id{"a"}));
  }

  void a_listing_drops_what_it_lacks() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.replace_all({record("b", "s")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("b"),
        directory.of(service_id{"s"}).front()->record.id.value());
  }

  void what_was_seen_of_an_instance_survives_its_updates() {
    instance_directory directory;
    directory.put(record("a", "s"));
    directory.of(service_id{"s"}).front()->in_flight = 3;
    instance_record changed = record("a", "s");
    changed.draining = true;
    directory.put(changed);
    CPPUNIT_ASSERT_EQUAL(3U, directory.of(service_id{"s"}).front()->in_flight);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_directory_test);

} // namespace
} // namespace heathtrestle::routing
