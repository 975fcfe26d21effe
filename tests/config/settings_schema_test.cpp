#include "config/settings_schema.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace heathtrestle::config {
namespace {

class settings_schema_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(settings_schema_test);
  CPPUNIT_TEST(good_settings_are_taken);
  CPPUNIT_TEST(bad_settings_are_told_with_line_and_key);
  CPPUNIT_TEST(a_missing_required_key_is_told);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    schema_ = {};
    schema_.text("node.name", name_, "a name", true);
    schema_.integer("node.workers", workers_, 1, 64, "threads");
    schema_.address("listen.http", address_, "an address");
    schema_.choice("log.level", level_, {"info", "debug"}, "a level");
    schema_.texts("cluster.seeds", seeds_, "addresses");
    path_ = std::filesystem::temp_directory_path() /
            fmt::format("heathtrestle-settings-{}.toml", ::getpid());
  }
  void tearDown() override { std::filesystem::remove(path_); }

  void good_settings_are_taken() {
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         load("[node]\nname = \"n\"\nworkers = 4\n"
                              "[cluster]\nseeds = [\"a\", \"b\"]\n"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, workers_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seeds_.size());
  }

  void bad_settings_are_told_with_line_and_key() {
    expect("[node]\nwokers = 4\n", ":2: node.wokers: no such key");
    expect("[node]\n\nworkers = 99\n",
           ":3: node.workers: \"99\": expected a whole number from 1 to 64");
    expect("[node]\nworkers = true\n",
           ":2: node.workers: expected a whole number from 1 to 64");
    expect("[listen]\nhttp = \"localhost\"\n",
           ":2: listen.http: \"localhost\": expected an address of the form "
           "ip:port");
    expect("[log]\nlevel = \"loud\"\n",
           ":2: log.level: \"loud\": expected one of \"info\", \"debug\"");
    expect("[cluster]\nseeds = \"a\"\n",
           ":2: cluster.seeds: expected a list of texts");
    CPPUNIT_ASSERT(load("[node\n").find(":1:") != std::string::npos);
  }

  void a_missing_required_key_is_told() {
    load("[node]\nworkers = 4\n");
    CPPUNIT_ASSERT_EQUAL(std::string("node.name: missing: expected a text"),
                         schema_.check_required().error().message);
  }

private:
  std::string load(const std::string &text) {
    std::ofstream(path_) << text;
    const auto loaded = schema_.load_file(path_);
    return loaded ? std::string() : loaded.error().message;
  }

  void expect(const std::string &text, const std::string &complaint) {
    CPPUNIT_ASSERT_EQUAL(path_.string() + complaint, load(text));
  }

  settings_schema schema_;
  std::string name_;
  std::uint64_t workers_ = 2;
  std::string address_;
  std::string level_ = "info";
  std::vector<std::string> seeds_;
  std::filesystem::path path_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_schema_test);

} // namespace
} // namespace heathtrestle::config
