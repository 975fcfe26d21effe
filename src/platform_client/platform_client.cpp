#include "platform_client/platform_client.hpp"

#include <boost/json.hpp>

#include <thread>

namespace heathtrestle::platform_client {

namespace json = boost::json;

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_conflict = 409;
constexpr std::uint32_t status_server_error = 500;
constexpr int max_read_back_attempts = 3;
constexpr http::client_timeouts call_timeouts{
    .connect = std::chrono::milliseconds(1000),
    .silence = std::chrono::milliseconds(3000)};
constexpr std::chrono::milliseconds watch_margin{3000};

error unexpected_response(const std::string &step, const std::string &peer,
                          const http::response &answer) {
  const bool unavailable = answer.status >= status_server_error;
  return {.code = unavailable ? error_code::platform_unavailable
                              : error_code::protocol_error,
          .message = fmt::format("status {}", answer.status),
          .step = step,
          .peer = peer,
          .ran = ran_status::unknown,
          .retry_after = std::chrono::milliseconds(2000)};
}

std::uint64_t number_in(const json::object &fields, std::string_view key) {
  const json::value *value = fields.if_contains(key);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code failure;
  const auto number = value->to_number<std::uint64_t>(failure);
  return failure ? 0 : number;
}

std::string text_in(const json::object &fields, std::string_view key) {
  const json::value *value = fields.if_contains(key);
  const bool is_text = value != nullptr && value->is_string();
  return is_text ? std::string(value->as_string()) : std::string();
}

bool flag_in(const json::object &fields, std::string_view key) {
  const json::value *value = fields.if_contains(key);
  return value != nullptr && value->is_bool() && value->as_bool();
}

std::optional<json::object> object_of(const std::string &body) {
  boost::system::error_code failure;
  json::value value = json::parse(body, failure);
  if (failure || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string path_of(const std::string &kind, const std::string &name) {
  return fmt::format("/v1/objects/{}/{}", kind, name);
}

} // namespace

result<std::optional<stored_object>>
platform_client::read(const std::string &kind, const std::string &name) {
  http::request request;
  request.path = path_of(kind, name);
  const auto answer = client_.send(address_, request, call_timeouts);
  if (!answer) {
    return answer.as_failure();
  }
  if (answer.value().status == status_not_found) {
    return std::optional<stored_object>();
  }
  const auto fields = object_of(answer.value().body);
  if (answer.value().status != status_ok || !fields.has_value()) {
    return unexpected_response("read object", address_, answer.value());
  }
  stored_object found;
  found.version = number_in(*fields, "version");
  found.change_id = text_in(*fields, "change_id");
  found.document = text_in(*fields, "document");
  found.removed = flag_in(*fields, "removed");
  return std::optional(std::move(found));
}

result<std::uint64_t> platform_client::write(const write_request &request) {
  auto first = write_once(request);
  const bool outcome_known = first || first.error().ran == ran_status::not_run;
  if (outcome_known) {
    return first;
  }
  // The response was lost. Read the object back to find out whether the write
  // took effect.
  for (int attempt = 0; attempt < max_read_back_attempts; ++attempt) {
    const auto found = read(request.kind, request.name);
    if (!found) {
      continue;
    }
    const bool exists = found.value().has_value();
    if (exists && found.value()->change_id == request.change_id) {
      return found.value()->version;
    }
    const std::uint64_t version =
        exists && !found.value()->removed ? found.value()->version : 0;
    if (version != request.expected_version) {
      // Another write created the current version. This one may or may not have
      // taken effect before it.
      error superseded = first.error();
      superseded.code = error_code::conflict;
      superseded.message = fmt::format(
          "the answer was lost and {} {} has version {} by another change; "
          "whether this change was made before it is not known",
          request.kind, request.name, version);
      return superseded;
    }
    // The write has not taken effect so far. A retry is safe: both copies
    // expect the same version, so at most one of them takes effect.
    auto again = write_once(request);
    if (again) {
      return again;
    }
  }
  error unknown = first.error();
  unknown.code = error_code::platform_unavailable;
  unknown.ran = ran_status::unknown;
  return unknown;
}

result<std::uint64_t>
platform_client::write_once(const write_request &request) {
  http::request outgoing;
  outgoing.method = request.document.empty() ? "DELETE" : "PUT";
  outgoing.path = path_of(request.kind, request.name);
  outgoing.headers["If-Match"] = std::to_string(request.expected_version);
  outgoing.headers["X-Change-Id"] = request.change_id;
  outgoing.body = request.document;
  const auto answer = client_.send(address_, outgoing, call_timeouts);
  if (!answer) {
    return answer.as_failure();
  }
  const auto fields = object_of(answer.value().body);
  if (answer.value().status == status_conflict) {
    return fail(
        error_code::conflict,
        fmt::format("{} {} has version {}, expected {}", request.kind,
                    request.name,
                    fields.has_value() ? number_in(*fields, "version") : 0,
                    request.expected_version),
        "compare and set", address_);
  }
  if (answer.value().status != status_ok || !fields.has_value()) {
    return unexpected_response("compare and set", address_, answer.value());
  }
  return number_in(*fields, "version");
}

result<wire::ConfigurationDelta>
platform_client::watch(std::uint64_t revision, std::chrono::milliseconds wait) {
  http::request request;
  request.path = "/v1/watch";
  request.query["after"] = std::to_string(revision);
  request.query["wait_ms"] = std::to_string(wait.count());
  const auto answer = client_.send(
      address_, request,
      {.connect = call_timeouts.connect, .silence = wait + watch_margin});
  if (!answer) {
    return answer.as_failure();
  }
  const auto fields = object_of(answer.value().body);
  if (answer.value().status != status_ok || !fields.has_value()) {
    return unexpected_response("watch", address_, answer.value());
  }
  wire::ConfigurationDelta delta;
  delta.set_from_revision(revision);
  delta.set_to_revision(number_in(*fields, "revision"));
  const json::value *objects = fields->if_contains("objects");
  if (objects == nullptr || !objects->is_array()) {
    return unexpected_response("watch", address_, answer.value());
  }
  for (const json::value &item : objects->as_array()) {
    if (!item.is_object()) {
      continue;
    }
    const json::object &changed = item.as_object();
    if (text_in(changed, "kind") == founding_kind) {
      continue;
    }
    wire::ConfigurationObject &object = *delta.add_objects();
    object.set_kind(text_in(changed, "kind"));
    object.set_name(text_in(changed, "name"));
    object.set_version(number_in(changed, "version"));
    object.set_document(text_in(changed, "document"));
    object.set_removed(flag_in(changed, "removed"));
  }
  return delta;
}

} // namespace heathtrestle::platform_client
