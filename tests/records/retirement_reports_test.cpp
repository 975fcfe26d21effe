#include "records/retirement_reports.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

using reports_due = std::vector<retirement_report>;

class retirement_reports_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(retirement_reports_test);
  CPPUNIT_TEST(a_request_is_told_its_progress_and_its_end_once);
  CPPUNIT_TEST(an_end_that_was_told_is_not_taken_back);
  CPPUNIT_TEST(a_new_reporter_goes_by_what_is_recorded);
  CPPUNIT_TEST(a_report_is_repeated_until_the_store_has_it);
  CPPUNIT_TEST(progress_that_arrives_late_is_corrected);
  CPPUNIT_TEST(an_older_status_changes_nothing);
  CPPUNIT_TEST(a_request_that_was_withdrawn_is_forgotten);
  CPPUNIT_TEST(a_request_made_anew_begins_anew);
  CPPUNIT_TEST_SUITE_END();

  retirement_reports reports_;
  timestamp now_ = timestamp_from(1000);

  reports_due due() { return reports_.take_due(now_); }
  static reports_due one(bool completed) {
    return {{.node = "a", .completed = completed}};
  }

public:
  void a_request_is_told_its_progress_and_its_end_once() {
    reports_.on_request("a", 1, std::nullopt);
    CPPUNIT_ASSERT(due() == one(false));
    reports_.on_request("a", 2, false);
    reports_.on_emptied({});
    CPPUNIT_ASSERT(due().empty());
    now_ += duration_ms{5000};
    reports_.on_emptied({"a"});
    CPPUNIT_ASSERT(due() == one(true));
    reports_.on_request("a", 3, true);
    CPPUNIT_ASSERT(due().empty());
  }

  void an_end_that_was_told_is_not_taken_back() {
    reports_.on_request("a", 1, false);
    reports_.on_emptied({"a"});
    CPPUNIT_ASSERT(due() == one(true));
    // A partition loses a voter before the store has the report.
    reports_.on_emptied({});
    now_ += duration_ms{5000};
    CPPUNIT_ASSERT(due() == one(true));
    reports_.on_request("a", 2, true);
    reports_.on_emptied({});
    now_ += duration_ms{5000};
    CPPUNIT_ASSERT(due().empty());
  }

  void a_request_made_anew_begins_anew() {
    reports_.on_request("a", 1, std::nullopt);
    reports_.on_emptied({"a"});
    reports_.on_request("a", 2, true);
    // Withdrawn and created again without a notification.
    reports_.on_request("a", 9, std::nullopt);
    CPPUNIT_ASSERT(due() == one(false));
  }

  void a_new_reporter_goes_by_what_is_recorded() {
    reports_.on_request("a", 7, true);
    reports_.on_emptied({});
    CPPUNIT_ASSERT(due().empty());
    CPPUNIT_ASSERT(!reports_.is_wanted({.node = "a", .completed = false}));
  }

  void a_report_is_repeated_until_the_store_has_it() {
    reports_.on_request("a", 1, false);
    reports_.on_emptied({"a"});
    CPPUNIT_ASSERT(due() == one(true));
    now_ += duration_ms{200};
    CPPUNIT_ASSERT(due().empty()); // not by every check
    now_ += duration_ms{1000};
    CPPUNIT_ASSERT(due() == one(true));
    CPPUNIT_ASSERT(reports_.is_wanted({.node = "a", .completed = true}));
  }

  void progress_that_arrives_late_is_corrected() {
    // The reply to the first report was lost, and the report takes effect after
    // the last one.
    reports_.on_request("a", 1, std::nullopt);
    reports_.on_emptied({"a"});
    reports_.on_request("a", 5, true);
    CPPUNIT_ASSERT(due().empty());
    reports_.on_request("a", 6, false);
    reports_.on_emptied({});
    CPPUNIT_ASSERT(due() == one(true));
  }

  void an_older_status_changes_nothing() {
    reports_.on_request("a", 5, true);
    reports_.on_request("a", 4, false);
    now_ += duration_ms{5000};
    CPPUNIT_ASSERT(due().empty());
  }

  void a_request_that_was_withdrawn_is_forgotten() {
    reports_.on_request("a", 1, std::nullopt);
    reports_.on_request("b", 2, std::nullopt);
    reports_.keep_only({"b"});
    CPPUNIT_ASSERT((reports_.requested() == std::set<std::string>{"b"}));
    reports_.on_withdrawn("b");
    CPPUNIT_ASSERT(due().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retirement_reports_test);

} // namespace
} // namespace heathtrestle::records
