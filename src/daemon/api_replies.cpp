#include "daemon/api_replies.hpp"

#include <boost/json.hpp>

namespace heathtrestle::daemon {

namespace json = boost::json;

namespace {

constexpr std::uint64_t milliseconds_per_second = 1000;

std::string_view name_of(wire::RanStatus ran) {
  switch (ran) {
  case wire::RAN_NOT_RUN:
    return "not_run";
  case wire::RAN_RAN:
    return "ran";
  default:
    return "outcome_unknown";
  }
}

std::string_view name_of(wire::CallState state) {
  switch (state) {
  case wire::CALL_WAITING:
    return "waiting";
  case wire::CALL_RUNNING:
    return "running";
  case wire::CALL_COMPLETED:
    return "completed";
  case wire::CALL_NOT_RUN:
    return "not_run";
  case wire::CALL_FAILED:
    return "failed";
  default:
    return "outcome_unknown";
  }
}

json::object failure_object(const wire::Failure &failure) {
  json::object fields;
  fields["code"] = failure.code();
  fields["message"] = failure.message();
  fields["step"] = failure.step();
  fields["peer"] = failure.peer();
  fields["ran"] = name_of(failure.ran());
  fields["retry_after_ms"] = failure.retry_after_ms();
  fields["retry_with"] = failure.settled() ? "new_key" : "same_key";
  json::object body;
  body["error"] = std::move(fields);
  return body;
}

json::object usage_object(const wire::Usage &usage) {
  json::object fields;
  fields["prompt_tokens"] = usage.prompt_tokens();
  fields["completion_tokens"] = usage.output_tokens();
  fields["total_tokens"] = usage.prompt_tokens() + usage.output_tokens();
  fields["cached_tokens"] = usage.cached_tokens();
  return fields;
}

json::value parse_or_string(const std::string &text) {
  boost::system::error_code failure;
  json::value value = json::parse(text, failure);
  return failure ? json::value(text) : value;
}

json::object scheduling_object(const wire::CallOutcome &outcome) {
  json::object fields;
  fields["program"] = outcome.program();
  fields["key"] = outcome.call().request().key();
  fields["position"] = outcome.call().position();
  fields["attempts"] = outcome.call().attempt();
  fields["backend"] = outcome.call().backend();
  fields["cost"] = outcome.call().cost();
  return fields;
}

} // namespace

http::response failure_response(const wire::Failure &failure) {
  http::response answer = http::json_response(
      failure.http_status() == 0 ? 500 : failure.http_status(),
      json::serialize(failure_object(failure)) + "\n");
  if (failure.retry_after_ms() > 0) {
    const std::uint64_t seconds =
        (failure.retry_after_ms() + milliseconds_per_second - 1) /
        milliseconds_per_second;
    answer.headers["Retry-After"] = std::to_string(seconds);
  }
  return answer;
}

http::response failure_response(const error &failure) {
  wire::Failure converted;
  converted.set_code(std::string(heathtrestle::name_of(failure.code)));
  converted.set_message(failure.message);
  converted.set_step(failure.step);
  converted.set_peer(failure.peer);
  converted.set_ran(failure.ran == ran_status::not_run ? wire::RAN_NOT_RUN
                    : failure.ran == ran_status::ran   ? wire::RAN_RAN
                                                       : wire::RAN_UNKNOWN);
  converted.set_retry_after_ms(
      static_cast<std::uint64_t>(failure.retry_after.count()));
  converted.set_http_status(http_status_of(failure.code));
  return failure_response(converted);
}

std::string program_json(const wire::ProgramRecord &program) {
  json::object body;
  body["id"] = program.id();
  body["tenant"] = program.tenant();
  body["class"] = program.program_class();
  body["name"] = program.name();
  body["budget"] = program.budget();
  body["spent"] = program.spent();
  body["reserved"] = program.reserved();
  body["turns"] = program.next_position();
  body["turn_limit"] = program.turn_limit();
  body["ended"] = program.ended();
  body["end_reason"] = program.end_reason();
  json::array held;
  for (const std::string &backend : program.unreleased_backends()) {
    held.emplace_back(backend);
  }
  body["memory_held_at"] = std::move(held);
  json::array agents;
  for (const wire::AgentRecord &agent : program.agents()) {
    json::array history;
    for (const std::string &message : agent.history()) {
      history.push_back(parse_or_string(message));
    }
    agents.push_back(
        json::object{{"name", agent.name()}, {"history", std::move(history)}});
  }
  body["agents"] = std::move(agents);
  json::array calls;
  for (const wire::CallRecord &call : program.calls()) {
    json::object row;
    row["key"] = call.request().key();
    row["agent"] = call.request().agent();
    row["kind"] = call.request().kind() == wire::CALL_CHAT ? "chat" : "tool";
    row["target"] = call.request().target();
    row["position"] = call.position();
    row["state"] = name_of(call.state());
    row["attempts"] = call.attempt();
    row["backend"] = call.backend();
    row["cost"] = call.cost();
    if (call.state() == wire::CALL_COMPLETED) {
      row["answer"] = parse_or_string(call.answer());
    }
    calls.push_back(std::move(row));
  }
  body["calls"] = std::move(calls);
  return json::serialize(body) + "\n";
}

std::string completion_json(const wire::CallOutcome &outcome) {
  const wire::CallRecord &call = outcome.call();
  json::object choice;
  choice["index"] = 0;
  choice["message"] = parse_or_string(call.answer());
  choice["finish_reason"] = "stop";
  json::object body;
  body["id"] = call.request().key();
  body["object"] = "chat.completion";
  body["model"] = call.request().target();
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = usage_object(call.usage());
  body["heathtrestle"] = scheduling_object(outcome);
  return json::serialize(body) + "\n";
}

std::string tool_result_json(const wire::CallOutcome &outcome) {
  json::object body;
  body["result"] = parse_or_string(outcome.call().answer());
  body["heathtrestle"] = scheduling_object(outcome);
  return json::serialize(body) + "\n";
}

std::string completion_chunk(const std::string &id, const std::string &model,
                             const std::string &text,
                             const std::string &finish_reason) {
  json::object choice;
  choice["index"] = 0;
  json::object delta;
  if (!text.empty()) {
    delta["content"] = text;
  }
  choice["delta"] = std::move(delta);
  choice["finish_reason"] =
      finish_reason.empty() ? json::value(nullptr) : json::value(finish_reason);
  json::object body;
  body["id"] = id;
  body["object"] = "chat.completion.chunk";
  body["model"] = model;
  body["choices"] = json::array{std::move(choice)};
  return fmt::format("data: {}\n\n", json::serialize(body));
}

std::string failure_event(const wire::Failure &failure) {
  return fmt::format("event: error\ndata: {}\n\n",
                     json::serialize(failure_object(failure)));
}

std::string answer_text(const std::string &assistant_message) {
  const json::value value = parse_or_string(assistant_message);
  const json::value *content =
      value.is_object() ? value.as_object().if_contains("content") : nullptr;
  const bool is_text = content != nullptr && content->is_string();
  return is_text ? std::string(content->as_string()) : assistant_message;
}

} // namespace heathtrestle::daemon
