// Frames of the record log under arbitrary changes of their bytes.
#include "storage/frame.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace heathtrestle::storage {
namespace {

constexpr std::uint64_t seed = 5;

class frame_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(frame_test);
  CPPUNIT_TEST(a_frame_is_read_as_it_was_written);
  CPPUNIT_TEST(a_frame_of_another_segment_is_not_valid);
  CPPUNIT_TEST(a_changed_frame_is_not_valid);
  CPPUNIT_TEST(arbitrary_bytes_hold_no_frame);
  CPPUNIT_TEST_SUITE_END();

  static std::string two_frames() {
    std::string bytes;
    append_frame(bytes, seed, 0, {.kind = 1, .index = 2, .term = 3}, "first",
                 {{.key = make_extent_key("k"), .offset = 1, .size = 3}});
    append_frame(bytes, seed, 64, {.kind = 4, .generation = 9}, "", {});
    return bytes;
  }

public:
  void a_frame_is_read_as_it_was_written() {
    const std::string bytes = two_frames();
    const auto first = read_frame(bytes, 0, seed);
    CPPUNIT_ASSERT(first);
    CPPUNIT_ASSERT(first->labels ==
                   (frame_labels{.kind = 1, .index = 2, .term = 3}));
    CPPUNIT_ASSERT(first->payload == "first");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first->extents.size());
    CPPUNIT_ASSERT(first->extents[0].key == make_extent_key("k"));
    CPPUNIT_ASSERT_EQUAL(checksum_of("irs"), first->extent_checksums[0]);
    const auto second = read_frame(bytes, first->size, seed);
    CPPUNIT_ASSERT(second);
    CPPUNIT_ASSERT(second->labels ==
                   (frame_labels{.kind = 4, .generation = 9}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{64}, second->durable);
    CPPUNIT_ASSERT_EQUAL(bytes.size(), first->size + second->size);
  }

  void a_frame_of_another_segment_is_not_valid() {
    CPPUNIT_ASSERT(!read_frame(two_frames(), 0, seed + 1));
  }

  void a_changed_frame_is_not_valid() {
    const std::string bytes = two_frames();
    const std::size_t checked = bytes.find("first") + 5;
    for (std::size_t at = 0; at < checked; ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ (1 << bit));
        CPPUNIT_ASSERT(!read_frame(changed, 0, seed));
      }
    }
  }

  void arbitrary_bytes_hold_no_frame() {
    std::minstd_rand random(1);
    const std::string valid = two_frames();
    for (int round = 0; round < 200000; ++round) {
      std::string bytes = valid.substr(0, random() % (valid.size() + 1));
      for (std::uint32_t changes = 1 + random() % 8; changes > 0; --changes) {
        if (!bytes.empty()) {
          bytes[random() % bytes.size()] = static_cast<char>(random());
        }
      }
      const std::size_t at = random() % (bytes.size() + 9);
      const auto frame = read_frame(bytes, at, seed);
      CPPUNIT_ASSERT(!frame || at + frame->size <= bytes.size());
      is_known_durable(bytes, at, seed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace
} // namespace heathtrestle::storage
