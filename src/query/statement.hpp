// The operator query language: syntax trees of its statements and the parser.
// docs/OPERATORS.md describes the language.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::query {

enum class comparison : std::uint8_t {
  equal,
  not_equal,
  less,
  less_or_equal,
  greater,
  greater_or_equal,
};

/// A literal value: an integer, a string or a list of strings.
using literal =
    std::variant<std::int64_t, std::string, std::vector<std::string>>;

struct condition {
  std::string field;
  comparison operation = comparison::equal;
  literal value;
};

struct ordering {
  std::string field;
  bool descending = false;
};

/// `show TABLE [where ...] [order by ...] [limit N]`
struct show_statement {
  std::string table;
  std::vector<condition> conditions;
  std::optional<ordering> order;
  std::optional<std::int64_t> limit;
};

struct assignment {
  std::string field;
  literal value;
};

/// `add KIND NAME field = value, ...`: creates an object that must not exist.
/// `set KIND NAME field = value, ... [if version N]`: changes an existing
/// object.
struct write_statement {
  bool creates = false;
  std::string kind;
  std::string name;
  std::vector<assignment> assignments;
  std::optional<std::int64_t> version;
};

/// `remove KIND NAME [if version N]`
struct remove_statement {
  std::string kind;
  std::string name;
  std::optional<std::int64_t> version;
};

/// `drain backend NAME [if version N]`
struct drain_statement {
  std::string name;
  std::optional<std::int64_t> version;
};

/// `end program ID`
struct end_statement {
  std::string program;
};

using statement =
    std::variant<show_statement, write_statement, remove_statement,
                 drain_statement, end_statement>;

/// Parses one statement.
/// @return `invalid_request` with the column of the syntax error and what was
/// expected there.
result<statement> parse_statement(std::string_view text);

} // namespace heathtrestle::query
