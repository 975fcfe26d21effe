// The objects of the shared configuration, as parsed from the JSON documents
// that the platform keeps. docs/SETTINGS.md describes every field.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace heathtrestle::config {

/// A customer; programs of tenants share capacity by weight.
struct tenant_object {
  std::uint32_t weight = 1;
  std::set<std::string> classes; // that its programs may be created in
};

/// A priority class with its price and the budget of each program in it.
struct class_object {
  std::uint32_t priority = 0;     // 0 is the most urgent
  std::uint64_t price = 0;        // micro-units a token
  std::uint64_t budget = 0;       // micro-units a program
  std::uint32_t turn_limit = 0;   // calls a program
  std::set<std::string> programs; // names allowed; empty: all
};

struct model_object {
  /// Fewest bytes of prompt that one token can stand for: it turns the length
  /// of a prompt into an upper bound on its tokens.
  std::uint32_t minimum_bytes_per_token = 1;
  std::uint32_t default_output_tokens = 256;
};

enum class backend_state : std::uint8_t { active, draining };

/// One replica of a model engine.
struct backend_object {
  std::string address; // "ip:port"
  std::string model;
  std::string zone;
  std::string machine;            // empty: not tied to the machine list
  std::uint32_t slots = 8;        // requests sent at once
  std::uint32_t queue_limit = 64; // requests waiting before refusals
  backend_state state = backend_state::active;
};

struct tool_object {
  std::string address; // "ip:port"
  std::uint64_t time_limit_ms = 30000;
  std::uint64_t price = 0; // micro-units a call
};

enum class machine_state : std::uint8_t { live, leaving };

struct machine_object {
  machine_state state = machine_state::live;
};

using object = std::variant<tenant_object, class_object, model_object,
                            backend_object, tool_object, machine_object>;

/// Parses and checks one document.
/// @param kind "tenant", "class", "model", "backend", "tool" or "machine".
/// @return `invalid_request` naming the field and what was expected.
result<object> parse_object(std::string_view kind, std::string_view name,
                            std::string_view document);

} // namespace heathtrestle::config
