// Checks the documents against the code: every event and setting is described,
// and every described one exists.
#include "daemon/daemon_settings.hpp"
#include "forwarding/gateway_settings.hpp"
#include "logging/event_catalogue.hpp"
#include "records/store_process.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace heathtrestle {
namespace {

std::string read_document(const std::string &name) {
  std::ifstream file(std::string(HEATHTRESTLE_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the first cells of table rows in a document that match `pattern`.
std::set<std::string> first_cells(const std::string &document,
                                  const std::string &pattern) {
  std::set<std::string> cells;
  const std::regex row("\n\\| `?(" + pattern + ")`? \\|");
  for (std::sregex_iterator match(document.begin(), document.end(), row), end;
       match != end; ++match) {
    cells.insert((*match)[1]);
  }
  return cells;
}

class documents_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(documents_test);
  CPPUNIT_TEST(every_event_is_in_the_catalogue);
  CPPUNIT_TEST(every_setting_is_described);
  CPPUNIT_TEST_SUITE_END();

public:
  void every_event_is_in_the_catalogue() {
    std::set<std::string> numbers;
    const std::string document = read_document("EVENTS.md");
    for (const logging::event_row &row : logging::event_table) {
      const std::string number =
          std::to_string(static_cast<std::uint32_t>(row.number));
      CPPUNIT_ASSERT_MESSAGE("two events have the number " + number,
                             numbers.insert(number).second);
      const std::string described =
          "| " + number + " | " + std::string(row.name) + " |";
      CPPUNIT_ASSERT_MESSAGE(described,
                             document.find(described) != std::string::npos);
    }
    CPPUNIT_ASSERT(first_cells(document, "[0-9]+") == numbers);
  }

  void every_setting_is_described() {
    check_settings<daemon::daemon_settings>("## heathtrestled");
    check_settings<forwarding::gateway_settings>("## heathtrestle-gateway");
    check_settings<records::store_settings>("## heathtrestle-store");
  }

private:
  /// Compares a program's settings with the section under `heading`.
  template <typename Settings>
  static void check_settings(const std::string &heading) {
    const std::string document = read_document("SETTINGS.md");
    const std::size_t begin = document.find("\n" + heading + "\n");
    CPPUNIT_ASSERT_MESSAGE(heading, begin != std::string::npos);
    const std::size_t end = document.find("\n## ", begin + 1);
    const std::string section = document.substr(begin, end - begin);
    Settings settings;
    config::settings_schema schema;
    describe_settings(schema, settings);
    std::set<std::string> keys;
    for (const config::setting &each : schema.settings()) {
      keys.insert(each.key);
      CPPUNIT_ASSERT_MESSAGE(each.key + ": " + each.help,
                             section.find(each.help) != std::string::npos);
    }
    CPPUNIT_ASSERT(first_cells(section, "[a-z]+\\.[a-z_]+") == keys);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

} // namespace
} // namespace heathtrestle
