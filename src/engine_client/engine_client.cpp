#include "engine_client/engine_client.hpp"

#include <boost/json.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace heathtrestle::engine_client {

namespace json = boost::json;

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_unprocessable = 422;
constexpr int resume_limit = 3;
constexpr http::client_timeouts generation_timeouts{
    .connect = std::chrono::milliseconds(2000),
    .silence = std::chrono::milliseconds(20000)};
constexpr http::client_timeouts control_timeouts{
    .connect = std::chrono::milliseconds(1000),
    .silence = std::chrono::milliseconds(5000)};

/// Incremental parser of server-sent events whose data are JSON objects. Other
/// lines are ignored.
class sse_parser {
public:
  /// @return false when a line is too long.
  template <typename OnData> bool feed(std::string_view part, OnData on_data) {
    pending_ += part;
    std::size_t start = 0;
    std::size_t end = 0;
    while ((end = pending_.find('\n', start)) != std::string::npos) {
      const std::string_view line(pending_.data() + start, end - start);
      if (line.starts_with(data_prefix)) {
        boost::system::error_code failure;
        json::value data =
            json::parse(std::string(line.substr(data_prefix.size())), failure);
        if (!failure && data.is_object()) {
          on_data(data.as_object());
        }
      }
      start = end + 1;
    }
    pending_.erase(0, start);
    return pending_.size() <= max_line_bytes;
  }

private:
  static constexpr std::string_view data_prefix = "data: ";
  static constexpr std::size_t max_line_bytes = 128U << 10U;
  std::string pending_;
};

/// The state of a generation, accumulated over all its streams.
struct generation {
  std::string text;
  std::optional<wire::Usage> usage; // set once the stream has ended
  std::optional<wire::EngineFinished> failure;
};

std::uint64_t number_in(const json::object &fields, std::string_view key) {
  const json::value *value = fields.if_contains(key);
  return value != nullptr && value->is_number()
             ? value->to_number<std::uint64_t>()
             : 0;
}

void apply_stream_data(const json::object &data,
                       const wire::StartEngineRequest &command,
                       generation &state, const event_sink &post) {
  if (const json::value *text = data.if_contains("text")) {
    const std::uint64_t offset = number_in(data, "offset");
    if (text->is_string() && offset == state.text.size()) {
      const std::string piece(text->as_string());
      state.text += piece;
      wire::Event event;
      wire::EngineProgress &progress = *event.mutable_engine_progress();
      progress.set_backend(command.backend());
      progress.set_engine_request(command.engine_request());
      progress.set_offset(offset);
      progress.set_text(piece);
      post(std::move(event));
    }
  }
  if (const json::value *usage = data.if_contains("usage")) {
    if (usage->is_object()) {
      wire::Usage counted;
      counted.set_prompt_tokens(number_in(usage->as_object(), "prompt_tokens"));
      counted.set_cached_tokens(number_in(usage->as_object(), "cached_tokens"));
      counted.set_output_tokens(
          number_in(usage->as_object(), "completion_tokens"));
      state.usage = counted;
    }
  }
}

http::request generation_request(const wire::StartEngineRequest &command,
                                 bool start_allowed, std::size_t offset) {
  json::object body;
  body["model"] = command.model();
  json::array messages;
  for (const std::string &message : command.messages()) {
    boost::system::error_code failure;
    messages.push_back(json::parse(message, failure));
  }
  body["messages"] = std::move(messages);
  body["max_tokens"] = command.max_output_tokens();
  body["stream"] = true;
  http::request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers["Content-Type"] = "application/json";
  request.headers["X-Request-Id"] = command.engine_request();
  request.headers["X-Epoch"] = std::to_string(command.epoch());
  request.headers["X-Program"] = command.program();
  request.headers["X-Priority"] = std::to_string(command.priority());
  request.headers["X-Resume-Offset"] = std::to_string(offset);
  request.headers["X-Start-Allowed"] = start_allowed ? "true" : "false";
  request.body = json::serialize(body);
  return request;
}

wire::EngineFinished failed(wire::DispatchStatus status, std::string detail) {
  wire::EngineFinished finished;
  finished.set_status(status);
  finished.set_detail(std::move(detail));
  return finished;
}

/// Maps a response with an error status to the outcome of the generation.
wire::EngineFinished classify(const http::response &answer, bool may_have_run) {
  const bool rejected = answer.status == status_bad_request ||
                        answer.status == status_unprocessable;
  if (rejected) {
    return failed(wire::DISPATCH_ENGINE_ERROR, answer.body);
  }
  if (may_have_run) {
    return failed(wire::DISPATCH_LOST,
                  answer.status == status_not_found
                      ? "the engine does not know the request"
                      : fmt::format("engine status {}", answer.status));
  }
  // An engine returns any other status only before it accepts the request.
  return failed(
      wire::DISPATCH_NOT_STARTED,
      fmt::format("engine status {}: {}", answer.status, answer.body));
}

void post_finished(const wire::StartEngineRequest &command,
                   wire::EngineFinished finished, const event_sink &post) {
  finished.set_backend(command.backend());
  finished.set_engine_request(command.engine_request());
  wire::Event event;
  *event.mutable_engine_finished() = std::move(finished);
  post(std::move(event));
}

} // namespace

void run_generation(http::client &client,
                    const wire::StartEngineRequest &command,
                    const event_sink &post) {
  generation state;
  bool may_have_run = !command.start_allowed();
  std::string last_failure = "no connection";
  for (int tries = 0; tries <= resume_limit; ++tries) {
    // Once the generation may have started, later requests only resume it.
    const bool start_allowed = command.start_allowed() && !may_have_run;
    sse_parser parser;
    const auto answer = client.send(
        command.address(),
        generation_request(command, start_allowed, state.text.size()),
        generation_timeouts, [&](std::string_view part) {
          const bool is_sound =
              parser.feed(part, [&](const json::object &data) {
                apply_stream_data(data, command, state, post);
              });
          return is_sound && !state.usage.has_value();
        });
    if (state.usage.has_value()) {
      wire::EngineFinished finished;
      finished.set_status(wire::DISPATCH_COMPLETED);
      finished.set_text(state.text);
      *finished.mutable_usage() = *state.usage;
      post_finished(command, std::move(finished), post);
      return;
    }
    if (!answer) {
      last_failure = describe(answer.error());
      may_have_run = may_have_run || answer.error().ran != ran_status::not_run;
      continue;
    }
    if (answer.value().status != status_ok) {
      post_finished(command, classify(answer.value(), may_have_run), post);
      return;
    }
    may_have_run = true;
    last_failure = "the stream ended early";
  }
  post_finished(
      command,
      failed(may_have_run ? wire::DISPATCH_LOST : wire::DISPATCH_NOT_STARTED,
             last_failure),
      post);
}

void cancel_generation(http::client &client,
                       const wire::CancelEngineRequest &command) {
  http::request request;
  request.method = "POST";
  request.path = "/v1/cancel";
  request.headers["X-Request-Id"] = command.engine_request();
  request.headers["X-Epoch"] = std::to_string(command.epoch());
  // A lost cancellation only wastes work on the engine, so it is not retried.
  [[maybe_unused]] const auto answer =
      client.send(command.address(), request, control_timeouts);
}

void release_memory(http::client &client,
                    const wire::ReleaseEngineMemory &command,
                    const event_sink &post) {
  http::request request;
  request.method = "POST";
  request.path = "/v1/cache/release";
  request.headers["X-Program"] = command.program();
  request.headers["X-Epoch"] = std::to_string(command.epoch());
  const auto answer = client.send(command.address(), request, control_timeouts);
  wire::Event event;
  wire::EngineMemoryReleased &released =
      *event.mutable_engine_memory_released();
  released.set_backend(command.backend());
  released.set_program(command.program());
  released.set_released(answer && answer.value().status == status_ok);
  post(std::move(event));
}

void fence_engine(http::client &client, const wire::FenceEngine &command,
                  const event_sink &post) {
  http::request request;
  request.method = "POST";
  request.path = "/v1/fence";
  request.headers["X-Epoch"] = std::to_string(command.epoch());
  const auto answer = client.send(command.address(), request, control_timeouts);
  wire::Event event;
  wire::EngineFenced &fenced = *event.mutable_engine_fenced();
  fenced.set_backend(command.backend());
  fenced.set_epoch(command.epoch());
  fenced.set_fenced(answer && answer.value().status == status_ok);
  post(std::move(event));
}

void invoke_tool(http::client &client, const wire::InvokeTool &command,
                 const event_sink &post) {
  http::request request;
  request.method = command.start_allowed() ? "POST" : "GET";
  request.path = fmt::format("/v1/tools/{}/invocations", command.tool());
  request.headers["Content-Type"] = "application/json";
  request.headers["Idempotency-Key"] = command.invocation();
  request.body = command.start_allowed() ? command.arguments() : "";
  const http::client_timeouts timeouts{
      .connect = std::chrono::milliseconds(2000),
      .silence = std::chrono::milliseconds(
          static_cast<std::int64_t>(command.time_limit_ms()))};
  const auto answer = client.send(command.address(), request, timeouts);

  wire::Event event;
  wire::ToolFinished &finished = *event.mutable_tool_finished();
  finished.set_partition(command.partition());
  finished.set_program(command.program());
  finished.set_key(command.key());
  finished.set_attempt(command.attempt());
  if (!answer) {
    const bool not_sent = answer.error().ran == ran_status::not_run;
    finished.set_status(not_sent && command.start_allowed()
                            ? wire::DISPATCH_NOT_STARTED
                            : wire::DISPATCH_LOST);
    finished.set_detail(describe(answer.error()));
  } else if (answer.value().status == status_ok) {
    finished.set_status(wire::DISPATCH_COMPLETED);
    finished.set_result(answer.value().body);
  } else if (!command.start_allowed()) {
    finished.set_status(wire::DISPATCH_LOST);
    finished.set_detail("the tool does not know the invocation");
  } else {
    finished.set_status(wire::DISPATCH_ENGINE_ERROR);
    finished.set_detail(fmt::format("status {}: {}", answer.value().status,
                                    answer.value().body));
  }
  post(std::move(event));
}

} // namespace heathtrestle::engine_client
