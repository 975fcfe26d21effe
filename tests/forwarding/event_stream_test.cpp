#include "forwarding/event_stream.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

class event_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_stream_test);
  CPPUNIT_TEST(whole_events_come_out_unchanged);
  CPPUNIT_TEST(an_event_may_arrive_byte_by_byte);
  CPPUNIT_TEST(carriage_returns_are_understood);
  CPPUNIT_TEST(an_event_that_breaks_off_stays_inside);
  CPPUNIT_TEST(data_lines_are_joined);
  CPPUNIT_TEST(an_id_that_is_no_number_is_none);
  CPPUNIT_TEST_SUITE_END();

public:
  void whole_events_come_out_unchanged() {
    event_splitter splitter;
    const auto events = splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), events[0].bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *events[1].id);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), events[1].data);
    CPPUNIT_ASSERT(splitter.at_boundary());
  }

  void an_event_may_arrive_byte_by_byte() {
    event_splitter splitter;
    std::vector<stream_event> events;
    const std::string text = "id: 7\r\ndata: x\r\n\r\n";
    for (const char byte : text) {
      for (stream_event &event : splitter.feed({&byte, 1})) {
        events.push_back(std::move(event));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT_EQUAL(text, events[0].bytes);
  }

  void carriage_returns_are_understood() {
    event_splitter splitter;
    const auto events = splitter.feed("id: 3\r\ndata: y\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, *events.at(0).id);
    CPPUNIT_ASSERT_EQUAL(std::string("y"), events.at(0).data);
  }

  void an_event_that_breaks_off_stays_inside() {
    event_splitter splitter;
    const auto events = splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT(!splitter.at_boundary());
  }

  void data_lines_are_joined() {
    const stream_event event = parse_event("data: a\ndata:b\nid: 1\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("a\nb"), event.data);
  }

  void an_id_that_is_no_number_is_none() {
    CPPUNIT_ASSERT(!parse_event("id: x\ndata: a\n\n").id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_test);

} // namespace
} // namespace heathtrestle::forwarding
