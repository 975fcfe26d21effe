#include "tenants/key_ring.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

namespace heathtrestle::tenants {
namespace {

tenant tenant_with(const std::string &name, std::vector<std::string> keys) {
  tenant made;
  made.id = tenant_id{name};
  for (std::string &key : keys) {
    made.keys.emplace_back(std::move(key));
  }
  return made;
}

std::string validation_error(const std::vector<tenant> &tenants) {
  const auto checked = validate_tenants(tenants);
  return checked ? std::string() : checked.error().message;
}

class key_ring_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_ring_test);
  CPPUNIT_TEST(finds_the_tenant_of_each_key);
  CPPUNIT_TEST(unknown_keys_have_no_tenant);
  CPPUNIT_TEST(valid_tenants_are_accepted);
  CPPUNIT_TEST(a_key_of_two_tenants_is_rejected);
  CPPUNIT_TEST(empty_and_repeated_names_are_rejected);
  CPPUNIT_TEST(negative_and_non_finite_quotas_are_rejected);
  CPPUNIT_TEST(parses_the_key_of_a_credential_field);
  CPPUNIT_TEST(malformed_fields_yield_no_key);
  CPPUNIT_TEST(arbitrary_bytes_never_yield_a_key_with_separators);
  CPPUNIT_TEST_SUITE_END();

public:
  void finds_the_tenant_of_each_key() {
    const key_ring keys(
        {tenant_with("a", {"k1", "k2"}), tenant_with("b", {"k3"})});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), keys.find("k1")->id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), keys.find("k2")->id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), keys.find("k3")->id.value());
  }

  void unknown_keys_have_no_tenant() {
    const key_ring keys({tenant_with("a", {"k1"})});
    for (const char *other : {"", "k", "k11", "K1", " k1"}) {
      CPPUNIT_ASSERT_MESSAGE(other, keys.find(other) == nullptr);
    }
    CPPUNIT_ASSERT(key_ring().find("k1") == nullptr);
    CPPUNIT_ASSERT(key_ring().empty());
  }

  void valid_tenants_are_accepted() {
    tenant limited = tenant_with("b", {"k2"});
    limited.quota = {.rate_per_second = 10, .burst = 0};
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         validation_error({tenant_with("a", {"k1"}), limited}));
  }

  void a_key_of_two_tenants_is_rejected() {
    const std::string said = validation_error(
        {tenant_with("a", {"secret"}), tenant_with("b", {"secret"})});
    CPPUNIT_ASSERT(said.find("\"b\"") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE("a key is never printed",
                           said.find("secret") == std::string::npos);
  }

  void empty_and_repeated_names_are_rejected() {
    CPPUNIT_ASSERT(!validation_error({tenant_with("", {"k1"})}).empty());
    CPPUNIT_ASSERT(!validation_error({tenant_with("a", {""})}).empty());
    CPPUNIT_ASSERT(
        !validation_error({tenant_with("a", {"k1"}), tenant_with("a", {"k2"})})
             .empty());
  }

  void negative_and_non_finite_quotas_are_rejected() {
    for (const double wrong : {-1.0, std::numeric_limits<double>::infinity(),
                               std::numeric_limits<double>::quiet_NaN()}) {
      tenant odd = tenant_with("a", {"k1"});
      odd.quota.rate_per_second = wrong;
      CPPUNIT_ASSERT(!validation_error({odd}).empty());
      odd.quota = {.rate_per_second = 1, .burst = wrong};
      CPPUNIT_ASSERT(!validation_error({odd}).empty());
    }
  }

  void parses_the_key_of_a_credential_field() {
    CPPUNIT_ASSERT(parse_credential("Bearer abc", "Bearer") == "abc");
    CPPUNIT_ASSERT(parse_credential("bearer  abc ", "Bearer") == "abc");
  }

  void malformed_fields_yield_no_key() {
    for (const char *field : {"", "Bearer", "Bearer ", "abc", "Basic abc",
                              "Bearerabc", "Bearer a b", "Bearer a,b"}) {
      CPPUNIT_ASSERT_MESSAGE(field, parse_credential(field, "Bearer").empty());
    }
  }

  void arbitrary_bytes_never_yield_a_key_with_separators() {
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
