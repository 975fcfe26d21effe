// Guards against accepting keys from a copy older than the revocation time.
#include "tenants/key_freshness.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::tenants {
namespace {

const timestamp start = timestamp_from(1000000);

class key_freshness_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_freshness_test);
  CPPUNIT_TEST(keys_are_valid_only_while_confirmed);
  CPPUNIT_TEST_SUITE_END();

public:
  void keys_are_valid_only_while_confirmed() {
    constexpr duration_ms revocation{5000};
    key_freshness known(revocation);
    CPPUNIT_ASSERT(!known.keys_valid(start));
    known.confirm(start);
    known.confirm(start - duration_ms{1000}); // an older response
    CPPUNIT_ASSERT(known.keys_valid(start + duration_ms{4600}));
    CPPUNIT_ASSERT(!known.keys_valid(start + revocation - revocation_margin));
    CPPUNIT_ASSERT(key_freshness(duration_ms{0}).keys_valid(start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_freshness_test);

} // namespace
} // namespace heathtrestle::tenants
