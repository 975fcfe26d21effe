#include "config/settings_schema.hpp"

#include "http/address.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <toml++/toml.h>

namespace heathtrestle::config {

namespace options = boost::program_options;

namespace {

template <typename Number>
std::optional<Number> parse_number(const std::string &text) {
  Number number{};
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole ? std::optional(number) : std::nullopt;
}

/// Returns a `setting::assign` function that accepts one number within a range.
/// @param store writes the number to the setting's variable.
template <typename Number, typename Store>
auto number_assignment(Number least, Number most, Store store) {
  return [least, most, store](const std::vector<std::string> &values) {
    const auto number = values.size() == 1
                            ? parse_number<Number>(values.front())
                            : std::nullopt;
    if (!number.has_value() || *number < least || *number > most) {
      return false;
    }
    store(*number);
    return true;
  };
}

bool contains(const std::vector<std::string> &texts, const std::string &text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

/// Converts a TOML value to the texts that `setting::assign` takes; `nullopt`
/// for types that no setting has.
std::optional<std::vector<std::string>> texts_of(const toml::node &node) {
  if (const auto *text = node.as_string()) {
    return std::vector{text->get()};
  }
  if (const auto *number = node.as_integer()) {
    return std::vector{std::to_string(number->get())};
  }
  if (const auto *number = node.as_floating_point()) {
    return std::vector{fmt::format("{}", number->get())};
  }
  if (const auto *truth = node.as_boolean()) {
    return std::vector<std::string>{truth->get() ? "true" : "false"};
  }
  const auto *array = node.as_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> texts;
  for (const toml::node &item : *array) {
    const auto *text = item.as_string();
    if (text == nullptr) {
      return std::nullopt;
    }
    texts.push_back(text->get());
  }
  return texts;
}

struct located_value {
  std::string key;
  const toml::node *value;
};

void collect(const toml::table &table, const std::string &prefix,
             std::vector<located_value> &found) {
  for (const auto &[name, node] : table) {
    const std::string key = prefix.empty()
                                ? std::string(name.str())
                                : fmt::format("{}.{}", prefix, name.str());
    if (const auto *inner = node.as_table()) {
      collect(*inner, key, found);
    } else {
      found.push_back({key, &node});
    }
  }
}

std::string help_text(std::string_view program, std::string_view purpose,
                      const options::options_description &flags) {
  std::ostringstream text;
  text << program << ": " << purpose << "\n\n" << flags;
  return text.str();
}

} // namespace

void settings_schema::add(setting added) {
  settings_.push_back(std::move(added));
}

void settings_schema::text(std::string key, std::string &target,
                           std::string help, bool required) {
  add({.key = std::move(key),
       .expected = "a text",
       .initial = target,
       .help = std::move(help),
       .required = required,
       .is_list = false,
       .assign = [&target](const std::vector<std::string> &values) {
         if (values.size() != 1) {
           return false;
         }
         target = values.front();
         return true;
       }});
}

void settings_schema::texts(std::string key, std::vector<std::string> &target,
                            std::string help) {
  add({.key = std::move(key),
       .expected = "a list of texts",
       .initial = fmt::format("[{}]", fmt::join(target, ", ")),
       .help = std::move(help),
       .required = false,
       .is_list = true,
       .assign = [&target](const std::vector<std::string> &values) {
         target = values;
         return true;
       }});
}

void settings_schema::integer(std::string key, std::uint64_t &target,
                              std::uint64_t least, std::uint64_t most,
                              std::string help) {
  add({.key = std::move(key),
       .expected = fmt::format("a whole number from {} to {}", least, most),
       .initial = std::to_string(target),
       .help = std::move(help),
       .assign = number_assignment<std::uint64_t>(
           least, most, [&target](std::uint64_t number) { target = number; })});
}

void settings_schema::real(std::string key, double &target, double least,
                           double most, std::string help) {
  add({.key = std::move(key),
       .expected = fmt::format("a number from {} to {}", least, most),
       .initial = fmt::format("{}", target),
       .help = std::move(help),
       .assign = number_assignment<double>(
           least, most, [&target](double number) { target = number; })});
}

void settings_schema::milliseconds(std::string key,
                                   std::chrono::milliseconds &target,
                                   std::uint64_t least, std::uint64_t most,
                                   std::string help) {
  add({.key = std::move(key),
       .expected = fmt::format("whole milliseconds from {} to {}", least, most),
       .initial = std::to_string(target.count()),
       .help = std::move(help),
       .assign = number_assignment<std::uint64_t>(
           least, most, [&target](std::uint64_t number) {
             target = std::chrono::milliseconds(number);
           })});
}

void settings_schema::choice(std::string key, std::string &target,
                             std::vector<std::string> options,
                             std::string help) {
  std::string expected =
      fmt::format("one of \"{}\"", fmt::join(options, "\", \""));
  add({.key = std::move(key),
       .expected = std::move(expected),
       .initial = target,
       .help = std::move(help),
       .assign = [&target, options = std::move(options)](
                     const std::vector<std::string> &values) {
         const bool known =
             values.size() == 1 && contains(options, values.front());
         if (known) {
           target = values.front();
         }
         return known;
       }});
}

void settings_schema::flag(std::string key, bool &target, std::string help) {
  add({.key = std::move(key),
       .expected = "true or false",
       .initial = target ? "true" : "false",
       .help = std::move(help),
       .is_flag = true,
       .assign = [&target](const std::vector<std::string> &values) {
         const bool known = values.size() == 1 && (values.front() == "true" ||
                                                   values.front() == "false");
         if (known) {
           target = values.front() == "true";
         }
         return known;
       }});
}

void settings_schema::choices(std::string key, std::vector<std::string> &target,
                              std::vector<std::string> options,
                              std::string help) {
  std::string expected =
      fmt::format("a list of some of \"{}\"", fmt::join(options, "\", \""));
  add({.key = std::move(key),
       .expected = std::move(expected),
       .initial = fmt::format("[{}]", fmt::join(target, ", ")),
       .help = std::move(help),
       .is_list = true,
       .assign = [&target, options = std::move(options)](
                     const std::vector<std::string> &values) {
         const bool known = !values.empty() &&
                            std::all_of(values.begin(), values.end(),
                                        [&options](const std::string &value) {
                                          return contains(options, value);
                                        });
         if (known) {
           target = values;
         }
         return known;
       }});
}

void settings_schema::address(std::string key, std::string &target,
                              std::string help, bool required) {
  add({.key = std::move(key),
       .expected = "an address of the form ip:port",
       .initial = target,
       .help = std::move(help),
       .required = required,
       .is_list = false,
       .assign = [&target](const std::vector<std::string> &values) {
         const bool valid =
             values.size() == 1 && http::parse_address(values.front());
         if (valid) {
           target = values.front();
         }
         return valid;
       }});
}

result<void> settings_schema::load_file(const std::string &path) {
  toml::table document;
  try {
    document = toml::parse_file(path);
  } catch (const toml::parse_error &failure) {
    return fail(error_code::invalid_request,
                fmt::format("{}:{}: {}", path, failure.source().begin.line,
                            failure.description()),
                "read settings");
  }
  std::vector<located_value> values;
  collect(document, "", values);
  for (const located_value &located : values) {
    const std::string origin =
        fmt::format("{}:{}", path, located.value->source().begin.line);
    const setting *known = find(located.key);
    const auto texts = texts_of(*located.value);
    const bool wrong_shape =
        known != nullptr &&
        (!texts.has_value() || known->is_list != located.value->is_array() ||
         known->is_flag != located.value->is_boolean());
    if (wrong_shape) {
      return fail(error_code::invalid_request,
                  fmt::format("{}: {}: expected {}", origin, located.key,
                              known->expected),
                  "read settings");
    }
    const auto assigned =
        assign(located.key, texts.value_or(std::vector<std::string>()), origin);
    if (!assigned) {
      return assigned.as_failure();
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> settings_schema::assign(const std::string &key,
                                     const std::vector<std::string> &values,
                                     const std::string &origin) {
  setting *known = find(key);
  if (known == nullptr) {
    return fail(error_code::invalid_request,
                fmt::format("{}: {}: no such key", origin, key),
                "read settings");
  }
  if (!known->assign(values)) {
    return fail(error_code::invalid_request,
                fmt::format("{}: {}: \"{}\": expected {}", origin, key,
                            fmt::join(values, ", "), known->expected),
                "read settings");
  }
  assigned_.push_back(key);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> settings_schema::check_required() const {
  for (const setting &each : settings_) {
    const bool given = std::find(assigned_.begin(), assigned_.end(),
                                 each.key) != assigned_.end();
    if (each.required && !given) {
      return fail(
          error_code::invalid_request,
          fmt::format("{}: missing: expected {}", each.key, each.expected),
          "read settings");
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

setting *settings_schema::find(std::string_view key) {
  const auto found =
      std::find_if(settings_.begin(), settings_.end(),
                   [key](const setting &each) { return each.key == key; });
  return found == settings_.end() ? nullptr : &*found;
}

start_choice parse_command_line(int argc, char **argv, std::string_view program,
                                std::string_view purpose,
                                settings_schema &schema) {
  options::options_description flags("Flags");
  flags.add_options()("help", "print this text")(
      "config", options::value<std::string>(),
      "settings file in TOML")("check-config", "check the settings and exit");
  for (const setting &each : schema.settings()) {
    const std::string help =
        fmt::format("{} ({}{}{})", each.help, each.expected,
                    each.initial.empty() ? "" : "; default ", each.initial);
    flags.add_options()(each.key.c_str(),
                        options::value<std::vector<std::string>>()->composing(),
                        help.c_str());
  }
  const auto reject = [program](std::string_view message) {
    logging::configure(program, logging::severity::info);
    logging::write(logging::event::settings_rejected, message);
    return start_choice::exit_failure;
  };
  options::variables_map given;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(flags)
                       .positional({})
                       .run(),
                   given);
  } catch (const options::error &failure) {
    return reject(failure.what());
  }
  if (given.contains("help")) {
    fmt::print("{}", help_text(program, purpose, flags));
    return start_choice::exit_success;
  }
  if (given.contains("config")) {
    const auto loaded = schema.load_file(given["config"].as<std::string>());
    if (!loaded) {
      return reject(loaded.error().message);
    }
  }
  for (const setting &each : schema.settings()) {
    if (!given.contains(each.key)) {
      continue;
    }
    const auto assigned = schema.assign(
        each.key, given[each.key].as<std::vector<std::string>>(), "flag");
    if (!assigned) {
      return reject(assigned.error().message);
    }
  }
  const auto complete = schema.check_required();
  if (!complete) {
    return reject(complete.error().message);
  }
  if (given.contains("check-config")) {
    fmt::print("the settings are accepted\n");
    return start_choice::exit_success;
  }
  return start_choice::run;
}

} // namespace heathtrestle::config
