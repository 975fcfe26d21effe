#include "config/objects.hpp"

#include <limits>
#include <optional>

#include <boost/json.hpp>

namespace heathtrestle::config {

namespace json = boost::json;

namespace {

/// Reads and validates the fields of one document. Keeps the first error.
class field_reader {
public:
  field_reader(std::string_view kind, std::string_view name,
               const json::object &fields)
      : subject_(fmt::format("{} {}", kind, name)), fields_(fields) {}

  template <typename Integer>
  void integer(std::string_view key, Integer &target, std::uint64_t least,
               std::uint64_t most) {
    const json::value *value = find_field(key);
    if (value == nullptr) {
      return;
    }
    boost::system::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    if (failure || number < least || number > most) {
      report_invalid(key,
                     fmt::format("a whole number from {} to {}", least, most));
      return;
    }
    target = static_cast<Integer>(number);
  }

  void text(std::string_view key, std::string &target, bool required) {
    const json::value *value = find_field(key);
    if (value == nullptr) {
      if (required) {
        report_invalid(key, "a text, which is missing");
      }
      return;
    }
    if (!value->is_string() || (required && value->as_string().empty())) {
      report_invalid(key, "a text");
      return;
    }
    target = std::string(value->as_string());
  }

  void texts(std::string_view key, std::set<std::string> &target) {
    const json::value *value = find_field(key);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      report_invalid(key, "a list of texts");
      return;
    }
    for (const json::value &item : value->as_array()) {
      if (!item.is_string()) {
        report_invalid(key, "a list of texts");
        return;
      }
      target.emplace(item.as_string());
    }
  }

  /// Reads a field with two allowed values: `no` as false, `yes` as true.
  std::optional<bool> choice(std::string_view key, std::string_view no,
                             std::string_view yes) {
    const json::value *value = find_field(key);
    if (value == nullptr) {
      return std::nullopt;
    }
    if (value->is_string() && value->as_string() == no) {
      return false;
    }
    if (value->is_string() && value->as_string() == yes) {
      return true;
    }
    report_invalid(key, fmt::format("\"{}\" or \"{}\"", no, yes));
    return std::nullopt;
  }

  result<object> finish(object parsed) {
    for (const json::key_value_pair &field : fields_) {
      if (!known_.contains(field.key())) {
        report_invalid(field.key(), "no such field");
      }
    }
    if (!first_error_.empty()) {
      return fail(error_code::invalid_request, first_error_, "parse_object");
    }
    return parsed;
  }

private:
  const json::value *find_field(std::string_view key) {
    known_.emplace(key);
    return fields_.if_contains(key);
  }

  void report_invalid(std::string_view key, std::string_view expected) {
    if (first_error_.empty()) {
      first_error_ =
          fmt::format("{}: field {}: expected {}", subject_, key, expected);
    }
  }

  std::string subject_;
  const json::object &fields_;
  std::set<std::string, std::less<>> known_;
  std::string first_error_;
};

constexpr std::uint64_t largest_weight = 1000000;
constexpr std::uint64_t largest_priority = 15;
constexpr std::uint64_t largest_amount =
    std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t largest_turn_limit = 100000;
constexpr std::uint64_t largest_bytes_per_token = 64;
constexpr std::uint64_t largest_output = 1000000;
constexpr std::uint64_t largest_slots = 4096;
constexpr std::uint64_t largest_queue = 100000;
constexpr std::uint64_t largest_time_limit_ms = 86400000;

result<object> parse_tenant(field_reader &fields) {
  tenant_object tenant;
  fields.integer("weight", tenant.weight, 1, largest_weight);
  fields.texts("classes", tenant.classes);
  return fields.finish(tenant);
}

result<object> parse_class(field_reader &fields) {
  class_object parsed;
  fields.integer("priority", parsed.priority, 0, largest_priority);
  fields.integer("price", parsed.price, 0, largest_amount);
  fields.integer("budget", parsed.budget, 0, largest_amount);
  fields.integer("turn_limit", parsed.turn_limit, 0, largest_turn_limit);
  fields.texts("programs", parsed.programs);
  return fields.finish(parsed);
}

result<object> parse_model(field_reader &fields) {
  model_object model;
  fields.integer("minimum_bytes_per_token", model.minimum_bytes_per_token, 1,
                 largest_bytes_per_token);
  fields.integer("default_output_tokens", model.default_output_tokens, 1,
                 largest_output);
  return fields.finish(model);
}

result<object> parse_backend(field_reader &fields) {
  backend_object backend;
  fields.text("address", backend.address, true);
  fields.text("model", backend.model, true);
  fields.text("zone", backend.zone, false);
  fields.text("machine", backend.machine, false);
  fields.integer("slots", backend.slots, 1, largest_slots);
  fields.integer("queue_limit", backend.queue_limit, 0, largest_queue);
  const bool draining =
      fields.choice("state", "active", "draining").value_or(false);
  backend.state = draining ? backend_state::draining : backend_state::active;
  return fields.finish(backend);
}

result<object> parse_tool(field_reader &fields) {
  tool_object tool;
  fields.text("address", tool.address, true);
  fields.integer("time_limit_ms", tool.time_limit_ms, 1, largest_time_limit_ms);
  fields.integer("price", tool.price, 0, largest_amount);
  return fields.finish(tool);
}

result<object> parse_machine(field_reader &fields) {
  machine_object machine;
  const bool leaving =
      fields.choice("state", "live", "leaving").value_or(false);
  machine.state = leaving ? machine_state::leaving : machine_state::live;
  return fields.finish(machine);
}

} // namespace

result<object> parse_object(std::string_view kind, std::string_view name,
                            std::string_view document) {
  boost::system::error_code failure;
  const json::value value =
      json::parse(json::string_view(document.data(), document.size()), failure);
  if (failure || !value.is_object()) {
    return fail(error_code::invalid_request,
                fmt::format("{} {}: not a JSON object", kind, name),
                "parse_object");
  }
  field_reader fields(kind, name, value.as_object());
  if (kind == "tenant") {
    return parse_tenant(fields);
  }
  if (kind == "class") {
    return parse_class(fields);
  }
  if (kind == "model") {
    return parse_model(fields);
  }
  if (kind == "backend") {
    return parse_backend(fields);
  }
  if (kind == "tool") {
    return parse_tool(fields);
  }
  if (kind == "machine") {
    return parse_machine(fields);
  }
  return fail(error_code::invalid_request,
              fmt::format("no such kind of object: {}", kind), "parse_object");
}

} // namespace heathtrestle::config
