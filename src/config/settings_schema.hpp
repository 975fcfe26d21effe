// The settings of a program: keys with types, ranges, defaults and help texts.
// Values come from a TOML file and from command-line flags of the same names.
#pragma once

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::config {

/// One setting. `assign` validates a value given as text and stores it.
struct setting {
  std::string key;      // "section.name"
  std::string expected; // description of valid values
  std::string initial;  // default value as text
  std::string help;
  bool required = false;
  bool is_list = false;
  bool is_flag = false;
  std::function<bool(const std::vector<std::string> &)> assign;
};

class settings_schema {
public:
  /// Each of these functions binds a key to a variable, whose present value is
  /// the default.
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
  /// Binds a list whose items must all be among the options.
  void choices(std::string key, std::vector<std::string> &target,
               std::vector<std::string> options, std::string help);
  void address(std::string key, std::string &target, std::string help,
               bool required = false);

  [[nodiscard]] const std::vector<setting> &settings() const {
    return settings_;
  }

  /// Reads and assigns the settings of a TOML file.
  /// @return `invalid_request` with file, line, key and what was expected.
  result<void> load_file(const std::string &path);

  /// Assigns one key.
  /// @param origin where the values come from, for error messages.
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

/// The outcome of parsing a command line: run the program, or exit.
enum class start_choice : std::uint8_t { run, exit_success, exit_failure };

/// Exit code for invalid settings or flags.
inline constexpr int exit_code_bad_settings = 2;

/// Reads `--config FILE`, one flag for each key, `--check-config` and
/// `--help`, and reports on standard output or standard error.
start_choice parse_command_line(int argc, char **argv, std::string_view program,
                                std::string_view purpose,
                                settings_schema &schema);

} // namespace heathtrestle::config
