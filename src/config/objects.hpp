// The objects of the shared configuration, parsed from the JSON documents in
// the platform's object store. docs/SETTINGS.md describes every field.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace heathtrestle::config {

/// A customer. Tenants share capacity in proportion to their weights.
struct tenant_object {
  std::uint32_t weight = 1;
  std::set<std::string> classes; // classes allowed for its programs
};

/// A priority class with its price and the budget of each of its programs.
struct class_object {
  std::uint32_t priority = 0;     // 0 is the most urgent
  std::uint64_t price = 0;        // micro-units per token
  std::uint64_t budget = 0;       // micro-units per program
  std::uint32_t turn_limit = 0;   // calls per program
  std::set<std::string> programs; // names allowed; empty: all
};

struct model_object {
  /// Smallest number of prompt bytes per token. Dividing the length of a prompt
  /// by it gives an upper bound on its tokens.
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
  std::uint32_t slots = 8;        // maximum concurrent requests
  std::uint32_t queue_limit = 64; // maximum waiting requests; more are rejected
  backend_state state = backend_state::active;
};

struct tool_object {
  std::string address; // "ip:port"
  std::uint64_t time_limit_ms = 30000;
  std::uint64_t price = 0; // micro-units per call
};

enum class machine_state : std::uint8_t { live, leaving };

struct machine_object {
  machine_state state = machine_state::live;
};

using object = std::variant<tenant_object, class_object, model_object,
                            backend_object, tool_object, machine_object>;

/// Parses and validates one document.
/// @param kind "tenant", "class", "model", "backend", "tool" or "machine".
/// @return `invalid_request` naming the field and what was expected.
result<object> parse_object(std::string_view kind, std::string_view name,
                            std::string_view document);

} // namespace heathtrestle::config
