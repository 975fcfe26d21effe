#include "daemon/api_requests.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <map>
#include <optional>

namespace heathtrestle::daemon {

namespace json = boost::json;

namespace {

constexpr std::string_view main_agent = "main";
constexpr std::size_t longest_name = 200;
constexpr std::uint64_t largest_output = 1000000;
constexpr std::uint64_t largest_time_limit_ms = 86400000;

auto invalid(std::string message) {
  return fail(error_code::invalid_request, std::move(message), "read request");
}

result<json::object> read_object(const std::string &body) {
  boost::system::error_code failure;
  json::value value = json::parse(body, failure);
  if (failure) {
    return invalid(fmt::format("the body is not JSON: {}", failure.message()));
  }
  if (!value.is_object()) {
    return invalid("the body is not a JSON object");
  }
  return std::move(value.as_object());
}

result<std::string> read_text(const json::object &fields,
                              std::string_view key) {
  const json::value *value = fields.if_contains(key);
  const bool usable = value != nullptr && value->is_string() &&
                      !value->as_string().empty() &&
                      value->as_string().size() <= longest_name;
  if (!usable) {
    return invalid(fmt::format("field {}: expected a text of 1 to {} bytes",
                               key, longest_name));
  }
  return std::string(value->as_string());
}

json::value sorted(const json::value &value) {
  if (const auto *array = value.if_array()) {
    json::array items;
    for (const json::value &item : *array) {
      items.push_back(sorted(item));
    }
    return items;
  }
  if (const auto *object = value.if_object()) {
    std::map<std::string, json::value> ordered;
    for (const json::key_value_pair &field : *object) {
      ordered[std::string(field.key())] = sorted(field.value());
    }
    json::object fields;
    for (auto &[key, field] : ordered) {
      fields[key] = std::move(field);
    }
    return fields;
  }
  return value;
}

result<std::uint64_t> read_number_header(const http::request &request,
                                         std::string_view name,
                                         std::uint64_t most) {
  const std::string text = request.header(name);
  if (text.empty()) {
    return std::uint64_t{0};
  }
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  if (!whole || number > most) {
    return invalid(
        fmt::format("header {}: expected a whole number up to {}", name, most));
  }
  return number;
}

result<bool> read_flag_header(const http::request &request,
                              std::string_view name) {
  const std::string text = request.header(name);
  if (text.empty() || text == "false") {
    return false;
  }
  if (text == "true") {
    return true;
  }
  return invalid(fmt::format("header {}: expected true or false", name));
}

result<wire::HistoryMode> read_history_mode(const http::request &request) {
  const std::string text = request.header("Heathtrestle-History");
  if (text.empty() || text == "extend") {
    return wire::HISTORY_EXTEND;
  }
  if (text == "append") {
    return wire::HISTORY_APPEND;
  }
  if (text == "replace") {
    return wire::HISTORY_REPLACE;
  }
  return invalid(
      "header Heathtrestle-History: expected extend, append or replace");
}

/// Parses the fields and headers that chat and tool calls share.
result<parsed_call> read_common(const http::request &request,
                                const std::string &program,
                                const std::string &fallback_key) {
  parsed_call call;
  call.submit.set_program(program);
  wire::CallRequest &fields = *call.submit.mutable_call();
  const std::string key = request.header("Idempotency-Key");
  const std::string agent = request.header("Heathtrestle-Agent");
  if (key.size() > longest_name || agent.size() > longest_name) {
    return invalid(fmt::format("headers Idempotency-Key and Heathtrestle-Agent "
                               "have at most {} bytes",
                               longest_name));
  }
  call.key_is_fresh = key.empty();
  fields.set_key(key.empty() ? fallback_key : key);
  fields.set_agent(agent.empty() ? std::string(main_agent) : agent);
  fields.set_after(request.header("Heathtrestle-After"));
  BOOST_OUTCOME_TRY(const bool unrepeatable,
                    read_flag_header(request, "Heathtrestle-Unrepeatable"));
  fields.set_unrepeatable(unrepeatable);
  BOOST_OUTCOME_TRY(call.time_limit_ms,
                    read_number_header(request, "Heathtrestle-Deadline-Ms",
                                       largest_time_limit_ms));
  fields.set_time_limit_ms(call.time_limit_ms);
  return call;
}

} // namespace

std::string canonical_json(const std::string &text) {
  boost::system::error_code failure;
  const json::value value = json::parse(text, failure);
  return failure ? text : json::serialize(sorted(value));
}

result<wire::CreateProgram>
read_create_program(const http::request &request,
                    const config::configuration_store &configuration,
                    const std::string &fallback_id) {
  BOOST_OUTCOME_TRY(const json::object fields, read_object(request.body));
  BOOST_OUTCOME_TRY(const std::string tenant_name, read_text(fields, "tenant"));
  BOOST_OUTCOME_TRY(const std::string class_name, read_text(fields, "class"));
  BOOST_OUTCOME_TRY(const std::string name, read_text(fields, "name"));
  const config::tenant_object *tenant = configuration.tenant(tenant_name);
  const config::class_object *program_class =
      configuration.program_class(class_name);
  if (tenant == nullptr || program_class == nullptr) {
    return fail(error_code::not_found,
                fmt::format("no {} {}", tenant == nullptr ? "tenant" : "class",
                            tenant == nullptr ? tenant_name : class_name),
                "admit");
  }
  const bool class_open =
      tenant->classes.empty() || tenant->classes.contains(class_name);
  const bool program_allowed =
      program_class->programs.empty() || program_class->programs.contains(name);
  if (!class_open || !program_allowed) {
    return fail(error_code::forbidden,
                class_open ? fmt::format("class {} does not run program {}",
                                         class_name, name)
                           : fmt::format("tenant {} may not use class {}",
                                         tenant_name, class_name),
                "admit");
  }
  const std::string key = request.header("Idempotency-Key");
  wire::CreateProgram command;
  command.set_id(
      key.empty()
          ? fallback_id
          : fmt::format("p-{:016x}", stable_hash(tenant_name + "/" + key)));
  command.set_tenant(tenant_name);
  command.set_program_class(class_name);
  command.set_name(name);
  command.set_budget(program_class->budget);
  command.set_turn_limit(program_class->turn_limit);
  return command;
}

result<parsed_call> read_chat_call(const http::request &request,
                                   const std::string &fallback_key) {
  const std::string program = request.header("Heathtrestle-Program");
  if (program.empty()) {
    return invalid("header Heathtrestle-Program is missing");
  }
  BOOST_OUTCOME_TRY(parsed_call call,
                    read_common(request, program, fallback_key));
  BOOST_OUTCOME_TRY(const json::object fields, read_object(request.body));
  BOOST_OUTCOME_TRY(const std::string model, read_text(fields, "model"));
  wire::CallRequest &target = *call.submit.mutable_call();
  target.set_kind(wire::CALL_CHAT);
  target.set_target(model);
  BOOST_OUTCOME_TRY(const wire::HistoryMode mode, read_history_mode(request));
  target.set_history_mode(mode);

  const json::value *messages = fields.if_contains("messages");
  const bool has_messages = messages != nullptr && messages->is_array() &&
                            !messages->as_array().empty();
  if (!has_messages) {
    return invalid("field messages: expected a list of messages");
  }
  for (const json::value &message : messages->as_array()) {
    const auto *object = message.if_object();
    const bool usable = object != nullptr && object->contains("role") &&
                        object->contains("content");
    if (!usable) {
      return invalid("field messages: each message needs role and content");
    }
    target.add_messages(json::serialize(sorted(message)));
  }
  if (const json::value *limit = fields.if_contains("max_tokens")) {
    boost::system::error_code failure;
    const auto number = limit->to_number<std::uint64_t>(failure);
    if (failure || number == 0 || number > largest_output) {
      return invalid(
          fmt::format("field max_tokens: expected a whole number from 1 to {}",
                      largest_output));
    }
    target.set_max_output_tokens(static_cast<std::uint32_t>(number));
  }
  if (const json::value *stream = fields.if_contains("stream")) {
    if (!stream->is_bool()) {
      return invalid("field stream: expected true or false");
    }
    call.stream = stream->as_bool();
  }
  return call;
}

result<parsed_call> read_tool_call(const http::request &request,
                                   const std::string &program,
                                   const std::string &tool,
                                   const std::string &fallback_key) {
  BOOST_OUTCOME_TRY(parsed_call call,
                    read_common(request, program, fallback_key));
  BOOST_OUTCOME_TRY(const json::object fields, read_object(request.body));
  wire::CallRequest &target = *call.submit.mutable_call();
  target.set_kind(wire::CALL_TOOL);
  target.set_target(tool);
  target.set_arguments(json::serialize(sorted(fields)));
  return call;
}

} // namespace heathtrestle::daemon
