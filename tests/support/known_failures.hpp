// The known failures that KNOWN-RED.txt lists. These tests still run and their
// failures are printed, but they do not fail the test run.
#pragma once

#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::test_support {

class known_failures {
public:
  /// @param path file with one line per test: its name, a colon, the cause and
  /// where it is tracked. A missing file lists no failures.
  explicit known_failures(const std::string &path) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      const std::size_t end = line.find(": ");
      if (end != std::string::npos) {
        tests_.push_back(line.substr(0, end));
      }
    }
  }

  /// @param test "namespaces::fixture::test".
  [[nodiscard]] bool lists(std::string_view test) const {
    for (const std::string &listed : tests_) {
      if (test.ends_with("::" + listed)) {
        return true;
      }
    }
    return false;
  }

private:
  std::vector<std::string> tests_; // "fixture::test"
};

} // namespace heathtrestle::test_support
