#include "stand_ins/engine/prefix_cache.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::stand_ins {
namespace {

class prefix_cache_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_cache_test);
  CPPUNIT_TEST(a_prefix_is_found_again);
  CPPUNIT_TEST(the_least_recently_used_goes_first);
  CPPUNIT_TEST(release_keeps_what_others_hold);
  CPPUNIT_TEST_SUITE_END();

public:
  void a_prefix_is_found_again() {
    prefix_cache cache(100);
    const std::string text(320, 'a');
    cache.store("p", text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, cache.cached_tokens(text));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, cache.cached_tokens(text + "more"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cache.cached_tokens("b" + text));
  }

  void the_least_recently_used_goes_first() {
    prefix_cache cache(2);
    cache.store("p", std::string(64, 'a'));
    cache.store("q", std::string(64, 'b'));
    cache.store("p", std::string(64, 'a'));
    cache.store("r", std::string(64, 'c'));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16},
                         cache.cached_tokens(std::string(64, 'a')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         cache.cached_tokens(std::string(64, 'b')));
  }

  void release_keeps_what_others_hold() {
    prefix_cache cache(100);
    const std::string shared(64, 's');
    cache.store("p", shared + std::string(64, 'p'));
    cache.store("q", shared + std::string(64, 'q'));
    cache.release("p");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16},
                         cache.cached_tokens(shared + std::string(64, 'p')));
    cache.release("q");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.used());
    CPPUNIT_ASSERT(cache.programs().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefix_cache_test);

} // namespace
} // namespace heathtrestle::stand_ins
