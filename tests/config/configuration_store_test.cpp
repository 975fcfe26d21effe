#include "config/configuration_store.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::config {
namespace {

wire::ConfigurationDelta delta(std::uint64_t from, std::uint64_t to,
                               const std::string &name,
                               const std::string &document,
                               const std::string &kind = "backend") {
  wire::ConfigurationDelta changes;
  changes.set_from_revision(from);
  changes.set_to_revision(to);
  wire::ConfigurationObject &object = *changes.add_objects();
  object.set_kind(kind);
  object.set_name(name);
  object.set_version(to);
  object.set_document(document);
  object.set_removed(document.empty());
  return changes;
}

constexpr auto active = R"({"address":"127.0.0.1:1","model":"m"})";
constexpr auto draining =
    R"({"address":"127.0.0.1:1","model":"m","state":"draining"})";

class configuration_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_store_test);
  CPPUNIT_TEST(never_goes_back);
  CPPUNIT_TEST(a_gap_is_noticed);
  CPPUNIT_TEST(draining_and_leaving_back_ends_get_no_work);
  CPPUNIT_TEST(a_bad_document_keeps_the_last_good_one);
  CPPUNIT_TEST(removals_are_passed_on);
  CPPUNIT_TEST(documents_are_checked_field_by_field);
  CPPUNIT_TEST_SUITE_END();

public:
  void never_goes_back() {
    configuration_store store;
    store.apply(delta(0, 5, "e", draining));
    CPPUNIT_ASSERT(store.apply(delta(0, 3, "e", active)) ==
                   delta_outcome::already_known);
    // A later delta that carries an older version of the object.
    wire::ConfigurationDelta overlapping = delta(0, 6, "e", active);
    overlapping.mutable_objects(0)->set_version(3);
    CPPUNIT_ASSERT(store.apply(overlapping) == delta_outcome::applied);
    CPPUNIT_ASSERT(!store.accepts_work("e"));
  }

  void a_gap_is_noticed() {
    configuration_store store;
    store.apply(delta(0, 2, "e", active));
    CPPUNIT_ASSERT(store.apply(delta(4, 5, "e", draining)) ==
                   delta_outcome::gap);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.revision());
  }

  void draining_and_leaving_back_ends_get_no_work() {
    configuration_store store;
    store.apply(delta(0, 1, "e",
                      R"({"address":"127.0.0.1:1","model":"m",)"
                      R"("machine":"rack-1"})"));
    CPPUNIT_ASSERT(store.accepts_work("e"));
    store.apply(delta(1, 2, "rack-1", R"({"state":"leaving"})", "machine"));
    CPPUNIT_ASSERT(!store.accepts_work("e"));
    CPPUNIT_ASSERT(!store.accepts_work("unknown"));
  }

  void a_bad_document_keeps_the_last_good_one() {
    configuration_store store;
    store.apply(delta(0, 1, "e", active));
    store.apply(delta(1, 2, "e", R"({"address":7})"));
    CPPUNIT_ASSERT(store.accepts_work("e"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.rejected().size());
  }

  void removals_are_passed_on() {
    configuration_store store;
    store.apply(delta(0, 1, "e", active));
    store.apply(delta(1, 2, "e", ""));
    CPPUNIT_ASSERT(store.backend("e") == nullptr);
    const wire::ConfigurationDelta changes = store.changes_after(1);
    CPPUNIT_ASSERT_EQUAL(1, changes.objects_size());
    CPPUNIT_ASSERT(changes.objects(0).removed());
  }

  void documents_are_checked_field_by_field() {
    const auto complaint = [](std::string_view kind, std::string_view text) {
      const auto parsed = parse_object(kind, "x", text);
      return parsed ? std::string() : parsed.error().message;
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), complaint("tenant", R"({"weight":3})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("tenant x: field weight: expected a whole number from 1 "
                    "to 1000000"),
        complaint("tenant", R"({"weight":0})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("tenant x: field wieght: expected no such field"),
        complaint("tenant", R"({"wieght":1})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("backend x: field model: expected a text, which is "
                    "missing"),
        complaint("backend", R"({"address":"127.0.0.1:1"})"));
    CPPUNIT_ASSERT_EQUAL(std::string("no such kind of object: planet"),
                         complaint("planet", "{}"));
    CPPUNIT_ASSERT_EQUAL(std::string("class x: not a JSON object"),
                         complaint("class", "]"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_store_test);

} // namespace
} // namespace heathtrestle::config
