// The settings of a program: a list of keys with types, ranges and texts, read
// from a TOML file and from flags of the same names, and checked in one place.
#pragma once

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::config {

/// One key. `assign` checks a value written as text and stores it.
struct setting {
  std::string key;      // "section.name"
  std::string expected; // what a value must look like
  std::string initial;  // the default, as text
  std::string help;
  bool required = false;
  bool is_list = false;
  bool is_flag = false;
  std::function<bool(const std::vector<std::string> &)> assign;
};

class settings_schema {
public:
  /// Each of these binds a key to a variable that holds its default.
  void text(std::string key, std::string &target, std::string help,
            bool required = false);
  void texts(std::string key, std::vector<std::string> &target,
             std::string help);
  void integer(std::string key, std::uint64_t &target, std::uint64_t least,
               std::uint64_t most, std::string help);
  void real(std::string key, double &target, double least, double most,
            std::string help);
  void milliseconds(std::string key, std::chrono::milliseconds &target,
                    std::uint64_t least, std::uint64_t most, std::string help);
  void flag(std::string key, bool &target, std::string help);
  void choice(std::string key, std::string &target,
              std::vector<std::string> options, std::string help);
  /// A list of which every member must be one of the options.
  void choices(std::string key, std::vector<std::string> &target,
               std::vector<std::string> options, std::string help);
  void address(std::string key, std::string &target, std::string help,
               bool required = false);

  [[nodiscard]] const std::vector<setting> &settings() const {
    return settings_;
  }

  /// Reads a TOML file.
  /// @return `invalid_request` with file, line, key and what was expected.
  result<void> load_file(const std::string &path);

  /// Assigns one key from a flag.
  result<void> assign(const std::string &key,
                      const std::vector<std::string> &values,
                      const std::string &origin);

  /// @return an error naming the first required key that has no value.
  [[nodiscard]] result<void> check_required() const;

private:
  setting *find(std::string_view key);
  void add(setting added);

  std::vector<setting> settings_;
  std::vector<std::string> assigned_;
};

/// What the command line of a program asked for.
enum class start_choice : std::uint8_t { run, exit_success, exit_failure };

/// Exit code for settings or flags that are not accepted.
inline constexpr int exit_code_bad_settings = 2;

/// Reads `--config FILE`, one flag for each key, `--check-config` and
/// `--help`, and reports on standard output or standard error.
start_choice parse_command_line(int argc, char **argv, std::string_view program,
                                std::string_view purpose,
                                settings_schema &schema);

} // namespace heathtrestle::config
