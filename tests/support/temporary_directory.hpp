// A temporary directory for one test, removed recursively on destruction.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace heathtrestle::test_support {

class temporary_directory {
public:
  temporary_directory() {
    path_ =
        (std::filesystem::temp_directory_path() / "heathtrestle-test-XXXXXX")
            .string();
    if (::mkdtemp(path_.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary directory at " +
                               path_);
    }
  }
  ~temporary_directory() {
    std::error_code
        ignored; // leftovers stay in the system's temporary directory
    std::filesystem::remove_all(path_, ignored);
  }
  temporary_directory(const temporary_directory &) = delete;
  temporary_directory &operator=(const temporary_directory &) = delete;

  [[nodiscard]] const std::string &path() const { return path_; }

private:
  std::string path_;
};

} // namespace heathtrestle::test_support
