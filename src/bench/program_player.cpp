#include "bench/program_player.hpp"

#include "base/ids.hpp"
#include "stand_ins/answer.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>

namespace heathtrestle::bench {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_created = 201;
constexpr std::uint32_t status_too_many = 429;
constexpr std::uint32_t status_server_error = 500;
constexpr std::chrono::milliseconds retry_pause{200};
constexpr http::client_timeouts call_timeouts{
    .connect = std::chrono::milliseconds(1000),
    .silence = std::chrono::milliseconds(30000)};

json::object parse_object(const std::string &text) {
  boost::system::error_code failure;
  json::value value = json::parse(text, failure);
  return !failure && value.is_object() ? std::move(value.as_object())
                                       : json::object();
}

std::string user_message(const std::string &text) {
  return json::serialize(json::object{{"content", text}, {"role", "user"}});
}

/// Returns the text of a completion that was not streamed.
std::string text_of_completion(const std::string &body) {
  const json::object fields = parse_object(body);
  boost::system::error_code failure;
  const json::value value(fields);
  const json::value *content =
      value.find_pointer("/choices/0/message/content", failure);
  const bool is_text = content != nullptr && content->is_string();
  return is_text ? std::string(content->as_string()) : std::string();
}

/// Returns the text of a streamed completion, or nothing when the stream ended
/// without "[DONE]".
std::optional<std::string> text_of_stream(const std::string &body) {
  std::string text;
  std::size_t start = 0;
  constexpr std::string_view prefix = "data: ";
  bool done = false;
  while (start < body.size()) {
    const std::size_t end = std::min(body.find('\n', start), body.size());
    const std::string_view line =
        std::string_view(body).substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(prefix)) {
      continue;
    }
    const std::string data(line.substr(prefix.size()));
    if (data == "[DONE]") {
      done = true;
      continue;
    }
    const json::value value(parse_object(data));
    boost::system::error_code failure;
    const json::value *piece =
        value.find_pointer("/choices/0/delta/content", failure);
    if (piece != nullptr && piece->is_string()) {
      text += std::string(piece->as_string());
    }
  }
  return done ? std::optional(text) : std::nullopt;
}

std::string error_field(const std::string &body, std::string_view field) {
  const json::value value(parse_object(body));
  boost::system::error_code failure;
  const json::value *found =
      value.find_pointer(fmt::format("/error/{}", field), failure);
  const bool is_text = found != nullptr && found->is_string();
  return is_text ? std::string(found->as_string()) : std::string();
}

} // namespace

program_player::program_player(http::client &client,
                               const driver_options &options,
                               const program_plan &plan, std::size_t number)
    : client_(client), options_(options), plan_(plan), number_(number),
      next_daemon_(number) {
  result_.name = plan.name;
  result_.program_class = plan.program_class;
  result_.tenant = plan.tenant;
}

program_result program_player::play() {
  const auto began = steady::now();
  bool going = create();
  for (std::size_t number = 0; going && number < plan_.stages.size();
       ++number) {
    going = play_stage(plan_.stages[number], number);
  }
  result_.finished = going;
  result_.latency_ms =
      std::chrono::duration<double, std::milli>(steady::now() - began).count();
  if (!id_.empty()) {
    check_history();
    end();
  }
  return result_;
}

bool program_player::create() {
  http::request request;
  request.method = "POST";
  request.path = "/v1/programs";
  request.headers["Idempotency-Key"] =
      fmt::format("{}-{}", options_.run, number_);
  request.body = json::serialize(json::object{{"tenant", plan_.tenant},
                                              {"class", plan_.program_class},
                                              {"name", plan_.name}});
  const auto answer = send_until_final(request);
  if (!answer.has_value() || answer->status != status_created) {
    record_error("the program could not be created: " +
                 (answer.has_value() ? answer->body : "no answer"));
    return false;
  }
  id_ = std::string(parse_object(answer->body).at("id").as_string());
  result_.id = id_;
  return true;
}

bool program_player::play_stage(const stage_plan &stage,
                                std::size_t stage_number) {
  std::atomic<bool> all{true};
  std::vector<boost::fibers::fiber> side_calls;
  for (std::size_t index = 1; index < stage.calls.size(); ++index) {
    side_calls.emplace_back([&, index] {
      all = play_call(stage.calls[index], key_of(stage_number, index)) && all;
    });
  }
  all = play_call(stage.calls.front(), key_of(stage_number, 0)) && all;
  for (boost::fibers::fiber &each : side_calls) {
    each.join();
  }
  const auto longest =
      std::max_element(stage.calls.begin(), stage.calls.end(),
                       [](const call_plan &left, const call_plan &right) {
                         return left.pause < right.pause;
                       });
  result_.no_wait_ms += static_cast<double>(longest->pause.count());
  boost::this_fiber::sleep_for(longest->pause);
  return all;
}

bool program_player::play_call(const call_plan &call, const std::string &key) {
  ++result_.calls;
  return call.kind == call_kind::chat ? play_chat(call, key)
                                      : play_tool(call, key);
}

bool program_player::play_chat(const call_plan &call, const std::string &key) {
  std::vector<std::string> &conversation = conversations_[call.agent];
  conversation.push_back(user_message(call.text));
  json::array messages;
  for (const std::string &message : conversation) {
    messages.push_back(json::parse(message));
  }
  const bool stream = stable_hash(key) % 2 == 0;
  http::request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers["Heathtrestle-Program"] = id_;
  request.headers["Heathtrestle-Agent"] = call.agent;
  request.body = json::serialize(json::object{{"model", call.target},
                                              {"messages", std::move(messages)},
                                              {"max_tokens", call.max_tokens},
                                              {"stream", stream}});
  const auto deadline = steady::now() + options_.answer_timeout;
  while (steady::now() < deadline) {
    const auto answer = send_call(request, key);
    if (!answer.has_value() || answer->status != status_ok) {
      record_error(key + " got no answer: " +
                   (answer.has_value() ? answer->body : "timed out"));
      return false;
    }
    const auto text = stream ? text_of_stream(answer->body)
                             : std::optional(text_of_completion(answer->body));
    if (!text.has_value()) {
      // The stream broke; a retry by key returns the whole answer.
      ++result_.retries;
      continue;
    }
    const std::string expected =
        stand_ins::expected_answer(conversation, call.max_tokens);
    if (*text != expected) {
      ++result_.wrong_answers;
      record_error(fmt::format("{} was answered \"{}\", expected \"{}\"", key,
                               *text, expected));
      return false;
    }
    conversation.push_back(stand_ins::assistant_message(expected));
    return true;
  }
  record_error(key + " timed out after broken streams");
  return false;
}

bool program_player::play_tool(const call_plan &call, const std::string &key) {
  http::request request;
  request.method = "POST";
  request.path = fmt::format("/v1/programs/{}/tools/{}", id_, call.target);
  request.headers["Heathtrestle-Unrepeatable"] =
      call.unrepeatable ? "true" : "false";
  request.body = json::serialize(json::object{{"case", call.text}});
  const auto answer = send_call(std::move(request), key);
  if (answer.has_value() && answer->status == status_ok) {
    result_.bookings_confirmed += call.unrepeatable ? 1 : 0;
    return true;
  }
  const bool unknown = answer.has_value() && call.unrepeatable &&
                       error_field(answer->body, "ran") == "outcome_unknown";
  if (unknown) {
    ++result_.bookings_unknown;
    return true; // a valid final answer, so the program continues
  }
  record_error(key +
               " failed: " + (answer.has_value() ? answer->body : "timed out"));
  return false;
}

void program_player::check_history() {
  http::request request;
  request.path = "/v1/programs/" + id_;
  const auto answer = send_until_final(request);
  if (!answer.has_value() || answer->status != status_ok) {
    record_error("the history could not be read");
    return;
  }
  std::map<std::string, std::vector<std::string>> recorded;
  const json::object fields = parse_object(answer->body);
  for (const json::value &agent : fields.at("agents").as_array()) {
    std::vector<std::string> &messages =
        recorded[std::string(agent.at("name").as_string())];
    for (const json::value &message : agent.at("history").as_array()) {
      messages.push_back(json::serialize(message));
    }
  }
  result_.history_right = recorded == conversations_;
  if (!result_.history_right) {
    record_error("the recorded history differs from the conversation");
  }
}

void program_player::end() {
  http::request request;
  request.method = "DELETE";
  request.path = "/v1/programs/" + id_;
  if (const auto answer = send_until_final(request);
      !answer.has_value() || answer->status != status_ok) {
    record_error("the program could not be ended");
  }
}

std::optional<program_player::final_reply>
program_player::send_until_final(const http::request &request) {
  const auto deadline = steady::now() + options_.answer_timeout;
  while (steady::now() < deadline) {
    const std::string &daemon =
        options_.daemons[next_daemon_ % options_.daemons.size()];
    std::string streamed;
    const auto answer = client_.send(daemon, request, call_timeouts,
                                     [&streamed](std::string_view part) {
                                       streamed += part;
                                       return true;
                                     });
    if (!answer) {
      ++result_.retries;
      ++next_daemon_;
      boost::this_fiber::sleep_for(retry_pause);
      continue;
    }
    const std::uint32_t status = answer.value().status;
    const std::string &body =
        status == status_ok ? streamed : answer.value().body;
    const bool settled = error_field(body, "retry_with") == "new_key";
    const auto retry_after = answer.value().headers.find("Retry-After");
    const bool must_retry =
        retry_after != answer.value().headers.end() &&
        (status >= status_server_error || status == status_too_many);
    if (!must_retry) {
      return final_reply{status, body, false};
    }
    ++result_.refusals;
    int seconds = 1;
    std::from_chars(retry_after->second.data(),
                    retry_after->second.data() + retry_after->second.size(),
                    seconds);
    ++next_daemon_;
    boost::this_fiber::sleep_for(std::chrono::seconds(seconds));
    if (settled) {
      return final_reply{status, body, true};
    }
  }
  return std::nullopt;
}

std::optional<program_player::final_reply>
program_player::send_call(http::request request, const std::string &key) {
  const auto deadline = steady::now() + options_.answer_timeout;
  for (std::uint32_t number = 0; steady::now() < deadline; ++number) {
    request.headers["Idempotency-Key"] =
        number == 0 ? key : fmt::format("{}-again-{}", key, number);
    auto answer = send_until_final(request);
    const bool not_run = answer.has_value() && answer->settled &&
                         error_field(answer->body, "ran") == "not_run";
    if (!not_run) {
      return answer;
    }
  }
  return std::nullopt;
}

void program_player::record_error(std::string what) {
  if (result_.first_error.empty()) {
    result_.first_error = fmt::format("{}: {}", id_, what);
  }
}

std::string program_player::key_of(std::size_t stage, std::size_t call) const {
  return fmt::format("{}-{}-{}", options_.run, stage, call);
}

} // namespace heathtrestle::bench
