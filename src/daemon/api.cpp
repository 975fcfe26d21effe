#include "daemon/api.hpp"

#include "daemon/api_replies.hpp"
#include "daemon/api_requests.hpp"
#include "daemon/metrics.hpp"
#include "daemon/operator_api.hpp"
#include "daemon/runtime.hpp"

#include <chrono>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::daemon {

namespace {

constexpr std::uint32_t status_created = 201;
/// How long a request waits for a message from the reducer. The reducer
/// enforces its own, separate time limit.
constexpr std::chrono::minutes reply_timeout{30};

std::vector<std::string> segments_of(const std::string &path) {
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start <= path.size() && !path.empty()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    if (end > start) {
      segments.push_back(path.substr(start, end - start));
    }
    start = end + 1;
  }
  return segments;
}

error not_ready() {
  return {.code = error_code::not_ready,
          .message = "the cluster has not formed yet",
          .step = "route",
          .peer = {},
          .ran = ran_status::not_run,
          .retry_after = std::chrono::milliseconds(1000)};
}

/// Submits a request to the reducer and receives its replies. If it is
/// destroyed before the final reply, it reports to the reducer that the client
/// is gone.
class pending_request {
public:
  pending_request(daemon_runtime &runtime, wire::ClientRequest request,
                  std::uint64_t time_limit_ms, bool key_is_fresh)
      : runtime_(runtime),
        handle_(runtime.clients(), runtime.new_request_id()) {
    request.set_request_id(handle_.id());
    wire::Event event;
    *event.mutable_client_arrived()->mutable_request() = std::move(request);
    event.mutable_client_arrived()->set_time_limit_ms(time_limit_ms);
    event.mutable_client_arrived()->set_key_is_fresh(key_is_fresh);
    runtime.post(std::move(event));
  }
  ~pending_request() {
    if (!answered_) {
      wire::Event event;
      event.mutable_client_gone()->set_request_id(handle_.id());
      runtime_.post(std::move(event));
    }
  }
  pending_request(const pending_request &) = delete;
  pending_request &operator=(const pending_request &) = delete;

  std::optional<client_message> next() {
    auto message = handle_.mailbox().pop_until(
        std::chrono::steady_clock::now() + reply_timeout);
    answered_ = message.has_value() &&
                std::holds_alternative<wire::ReplyToClient>(*message);
    return message;
  }

  /// Waits for the final reply and discards streamed text. Returns a failure
  /// with code `internal` on timeout.
  wire::ClientReply final_reply() {
    while (auto message = next()) {
      if (auto *reply = std::get_if<wire::ReplyToClient>(&*message)) {
        return reply->reply();
      }
    }
    wire::ClientReply none;
    none.mutable_failure()->set_code("internal");
    return none;
  }

private:
  daemon_runtime &runtime_;
  client_registry::handle handle_;
  bool answered_ = false;
};

std::uint32_t respond(http::exchange &exchange, http::response answer) {
  const std::uint32_t status = answer.status;
  exchange.respond(std::move(answer));
  return status;
}

/// Returns a request addressed to the program's partition, or a `not_ready`
/// error while the cluster has no partitions yet.
result<wire::ClientRequest> request_for(daemon_runtime &runtime,
                                        const std::string &program) {
  const auto partition = runtime.node().partition_for(program);
  if (!partition.has_value()) {
    return not_ready();
  }
  wire::ClientRequest request;
  request.set_partition(partition->value());
  return request;
}

std::uint32_t answer_program(http::exchange &exchange,
                             const wire::ClientReply &reply,
                             std::uint32_t success) {
  if (reply.has_program()) {
    return respond(exchange,
                   http::json_response(success, program_json(reply.program())));
  }
  return respond(exchange, failure_response(reply.failure()));
}

std::uint32_t create_program(daemon_runtime &runtime,
                             http::exchange &exchange) {
  const auto command = runtime.node().with_configuration(
      [&](const config::configuration_store &configuration) {
        return read_create_program(exchange.incoming(), configuration,
                                   "p-" + runtime.new_request_id());
      });
  if (!command) {
    return respond(exchange, failure_response(command.error()));
  }
  auto request = request_for(runtime, command.value().id());
  if (!request) {
    return respond(exchange, failure_response(request.error()));
  }
  *request.value().mutable_create_program() = command.value();
  pending_request pending(runtime, std::move(request.value()), 0, false);
  return answer_program(exchange, pending.final_reply(), status_created);
}

std::uint32_t program_by_id(daemon_runtime &runtime, http::exchange &exchange,
                            const std::string &program, bool end) {
  auto request = request_for(runtime, program);
  if (!request) {
    return respond(exchange, failure_response(request.error()));
  }
  if (end) {
    request.value().mutable_end_program()->set_program(program);
    request.value().mutable_end_program()->set_reason("ended by the caller");
  } else {
    request.value().mutable_read_program()->set_program(program);
  }
  pending_request pending(runtime, std::move(request.value()), 0, false);
  return answer_program(exchange, pending.final_reply(), 200);
}

wire::Failure failure_of(const wire::ClientReply &reply) {
  return reply.has_failure() ? reply.failure()
                             : reply.outcome().call().failure();
}

bool completed(const wire::ClientReply &reply) {
  return reply.has_outcome() &&
         reply.outcome().call().state() == wire::CALL_COMPLETED;
}

std::uint32_t send_reply(http::exchange &exchange,
                         const wire::ClientReply &reply) {
  if (!completed(reply)) {
    return respond(exchange, failure_response(failure_of(reply)));
  }
  const bool chat = reply.outcome().call().request().kind() == wire::CALL_CHAT;
  return respond(exchange, http::json_response(
                               200, chat ? completion_json(reply.outcome())
                                         : tool_result_json(reply.outcome())));
}

/// Sends the rest of the completed answer and ends the stream. Sends an error
/// event instead if the call failed or its answer doesn't begin with the text
/// that was already streamed.
void finish_stream(http::exchange &exchange, const wire::ClientReply &reply,
                   const std::string &sent) {
  if (!completed(reply)) {
    exchange.write(failure_event(failure_of(reply)));
    exchange.finish_stream();
    return;
  }
  const wire::CallRecord &call = reply.outcome().call();
  const std::string text = answer_text(call.answer());
  if (!text.starts_with(sent)) {
    wire::Failure failure;
    failure.set_code("answer_changed");
    failure.set_message("the call ran again and its answer differs from what "
                        "was streamed; ask again with the same key");
    failure.set_ran(wire::RAN_RAN);
    failure.set_retry_after_ms(1);
    exchange.write(failure_event(failure));
    exchange.finish_stream();
    return;
  }
  const std::string &key = call.request().key();
  const std::string &model = call.request().target();
  if (text.size() > sent.size()) {
    exchange.write(completion_chunk(key, model, text.substr(sent.size()), ""));
  }
  exchange.write(completion_chunk(key, model, "", "stop"));
  exchange.write("data: [DONE]\n\n");
  exchange.finish_stream();
}

std::uint32_t stream_reply(http::exchange &exchange, pending_request &pending,
                           const wire::CallRequest &call) {
  std::string sent;
  bool started = false;
  const auto start = [&] {
    if (!started) {
      exchange.start_stream(200, {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-cache"}});
      started = true;
    }
  };
  while (auto message = pending.next()) {
    if (const auto *part = std::get_if<wire::StreamToClient>(&*message)) {
      if (part->offset() != sent.size()) {
        continue; // the final reply contains the missing text
      }
      start();
      sent += part->text();
      if (!exchange.write(
              completion_chunk(call.key(), call.target(), part->text(), ""))) {
        return 200; // the client disconnected; it can retry with the same key
      }
    } else if (const auto *reply =
                   std::get_if<wire::ReplyToClient>(&*message)) {
      if (!started && !completed(reply->reply())) {
        return send_reply(exchange, reply->reply());
      }
      start();
      finish_stream(exchange, reply->reply(), sent);
      return 200;
    }
  }
  return 500;
}

std::uint32_t submit(daemon_runtime &runtime, http::exchange &exchange,
                     result<parsed_call> call) {
  if (!call) {
    return respond(exchange, failure_response(call.error()));
  }
  auto request = request_for(runtime, call.value().submit.program());
  if (!request) {
    return respond(exchange, failure_response(request.error()));
  }
  *request.value().mutable_submit_call() = call.value().submit;
  pending_request pending(runtime, std::move(request.value()),
                          call.value().time_limit_ms,
                          call.value().key_is_fresh);
  if (call.value().stream) {
    return stream_reply(exchange, pending, call.value().submit.call());
  }
  return send_reply(exchange, pending.final_reply());
}

struct routed {
  std::string route; // path pattern, used as a metrics label
  std::uint32_t status;
};

routed route_request(daemon_runtime &runtime, http::exchange &exchange) {
  const http::request &request = exchange.incoming();
  const std::vector<std::string> path = segments_of(request.path);
  const std::string &method = request.method;
  const auto is = [&path](std::initializer_list<std::string_view> pattern) {
    return std::equal(path.begin(), path.end(), pattern.begin(), pattern.end(),
                      [](const std::string &part, std::string_view expected) {
                        return expected == "*" || part == expected;
                      });
  };
  if (method == "GET" && is({"healthz"})) {
    return {"/healthz",
            respond(exchange, http::json_response(200, "{\"ok\":true}\n"))};
  }
  if (method == "GET" && is({"readyz"})) {
    const bool ready = runtime.node().ready();
    return {
        "/readyz",
        respond(exchange, ready ? http::json_response(200, "{\"ready\":true}\n")
                                : failure_response(not_ready()))};
  }
  if (method == "GET" && is({"metrics"})) {
    return {"/metrics",
            respond(exchange, {.status = 200,
                               .headers = {{"Content-Type", "text/plain"}},
                               .body = print_metrics(runtime)})};
  }
  if (!has_role(runtime.settings(), gateway_role)) {
    return {"none",
            respond(exchange, failure_response(
                                  error{.code = error_code::not_found,
                                        .message = "this daemon is no gateway",
                                        .step = "route",
                                        .peer = runtime.settings().name}))};
  }
  if (method == "POST" && is({"v1", "programs"})) {
    return {"/v1/programs", create_program(runtime, exchange)};
  }
  const bool reads_or_ends = method == "GET" || method == "DELETE";
  if (reads_or_ends && is({"v1", "programs", "*"})) {
    return {"/v1/programs/{program}",
            program_by_id(runtime, exchange, path[2], method == "DELETE")};
  }
  if (method == "POST" && is({"v1", "programs", "*", "tools", "*"})) {
    return {"/v1/programs/{program}/tools/{tool}",
            submit(runtime, exchange,
                   read_tool_call(request, path[2], path[4],
                                  runtime.new_request_id()))};
  }
  if (method == "POST" && is({"v1", "chat", "completions"})) {
    return {"/v1/chat/completions",
            submit(runtime, exchange,
                   read_chat_call(request, runtime.new_request_id()))};
  }
  if (method == "POST" && is({"v1", "statements"})) {
    return {"/v1/statements", run_statement(runtime, exchange)};
  }
  return {"none",
          respond(exchange,
                  failure_response(error{
                      .code = error_code::not_found,
                      .message = fmt::format("no {} {}", method, request.path),
                      .step = "route",
                      .peer = {}}))};
}

} // namespace

void handle_request(daemon_runtime &runtime, http::exchange &exchange) {
  const auto began = std::chrono::steady_clock::now();
  const routed done = route_request(runtime, exchange);
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  count_request(done.route, done.status, took.count());
}

} // namespace heathtrestle::daemon
