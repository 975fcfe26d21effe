#include "tenants/key_ring.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

namespace heathtrestle::tenants {
namespace {

tenant holder(const std::string &name, std::vector<std::string> keys) {
  tenant made;
  made.id = tenant_id{name};
  for (std::string &key : keys) {
    made.keys.emplace_back(std::move(key));
  }
  return made;
}

std::string complaint(const std::vector<tenant> &tenants) {
  const auto checked = validate_tenants(tenants);
  return checked ? std::string() : checked.error().message;
}

class key_ring_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_ring_test);
  CPPUNIT_TEST(each_key_leads_to_its_tenant);
  CPPUNIT_TEST(nobody_holds_another_key);
  CPPUNIT_TEST(sound_tenants_are_accepted);
  CPPUNIT_TEST(a_key_of_two_tenants_is_refused);
  CPPUNIT_TEST(empty_and_repeated_names_are_refused);
  CPPUNIT_TEST(a_quota_that_is_no_quantity_is_refused);
  CPPUNIT_TEST(a_key_is_read_from_its_field);
  CPPUNIT_TEST(malformed_fields_hold_no_key);
  CPPUNIT_TEST(no_bytes_in_a_field_do_harm);
  CPPUNIT_TEST_SUITE_END();

public:
  void each_key_leads_to_its_tenant() {
    const key_ring keys({holder("a", {"k1", "k2"}), holder("b", {"k3"})});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), keys.find("k1")->id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), keys.find("k2")->id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), keys.find("k3")->id.value());
  }

  void nobody_holds_another_key() {
    const key_ring keys({holder("a", {"k1"})});
    for (const char *other : {"", "k", "k11", "K1", " k1"}) {
      CPPUNIT_ASSERT_MESSAGE(other, keys.find(other) == nullptr);
    }
    CPPUNIT_ASSERT(key_ring().find("k1") == nullptr);
    CPPUNIT_ASSERT(key_ring().empty());
  }

  void sound_tenants_are_accepted() {
    tenant limited = holder("b", {"k2"});
    limited.quota = {.rate_per_second = 10, .burst = 0};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         complaint({holder("a", {"k1"}), limited}));
  }

  void a_key_of_two_tenants_is_refused() {
    const std::string said =
        complaint({holder("a", {"secret"}), holder("b", {"secret"})});
    CPPUNIT_ASSERT(said.find("\"b\"") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE("a key is never printed",
                           said.find("secret") == std::string::npos);
  }

  void empty_and_repeated_names_are_refused() {
    CPPUNIT_ASSERT(!complaint({holder("", {"k1"})}).empty());
    CPPUNIT_ASSERT(!complaint({holder("a", {""})}).empty());
    CPPUNIT_ASSERT(
        !complaint({holder("a", {"k1"}), holder("a", {"k2"})}).empty());
  }

  void a_quota_that_is_no_quantity_is_refused() {
    for (const double wrong : {-1.0, std::numeric_limits<double>::infinity(),
                               std::numeric_limits<double>::quiet_NaN()}) {
      tenant odd = holder("a", {"k1"});
      odd.quota.rate_per_second = wrong;
      CPPUNIT_ASSERT(!complaint({odd}).empty());
      odd.quota = {.rate_per_second = 1, .burst = wrong};
      CPPUNIT_ASSERT(!complaint({odd}).empty());
    }
  }

  void a_key_is_read_from_its_field() {
    CPPUNIT_ASSERT(parse_credential("Bearer abc", "Bearer") == "abc");
    CPPUNIT_ASSERT(parse_credential("bearer  abc ", "Bearer") == "abc");
  }

  void malformed_fields_hold_no_key() {
    for (const char *field : {"", "Bearer", "Bearer ", "abc", "Basic abc",
                              "Bearerabc", "Bearer a b", "Bearer a,b"}) {
      CPPUNIT_ASSERT_MESSAGE(field, parse_credential(field, "Bearer").empty());
    }
  }

  void no_bytes_in_a_field_do_harm() {
    constexpr int fields = 20000;
    constexpr std::size_t longest = 24;
    const std::string alphabet("Bear \t,:\0\xff", 10);
    std::mt19937 random(7);
    for (int round = 0; round < fields; ++round) {
      std::string field = round % 2 == 0 ? "Bearer " : "";
      const std::size_t length = random() % longest;
      for (std::size_t place = 0; place < length; ++place) {
        field += alphabet[random() % alphabet.size()];
      }
      const std::string_view key = parse_credential(field, "Bearer");
      CPPUNIT_ASSERT(key.find_first_of(" \t,") == std::string_view::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_ring_test);

} // namespace
} // namespace heathtrestle::tenants
