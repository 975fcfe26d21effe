#include "stand_ins/platform/platform.hpp"

#include "stand_ins/replies.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

namespace heathtrestle::stand_ins {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::hours hang_time{1};

std::vector<std::string> segments_of(const std::string &path) {
  std::vector<std::string> segments;
  std::size_t start = 1;
  while (start < path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

std::string query_of(const http::request &request, const std::string &key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? std::string() : found->second;
}

} // namespace

platform::platform(platform_settings settings, runtime::fiber_pool &fibers)
    : settings_(std::move(settings)), fibers_(fibers) {}

void platform::handle(http::exchange &exchange) {
  const http::request &request = exchange.incoming();
  const std::vector<std::string> path = segments_of(request.path);
  const bool post = request.method == "POST";
  const auto part = [&path](std::size_t index) {
    return index < path.size() ? path[index] : std::string();
  };
  // The routes above `apply_fault`, controls and tools, never fail by
  // injection.
  if (post && request.path == "/v1/faults") {
    set_fault(exchange);
  } else if (part(1) == "tools" && part(3) == "mode") {
    set_tool_mode(exchange, part(2));
  } else if (part(1) == "tools" && part(3) == "counts") {
    count_invocations(exchange, part(2));
  } else if (part(1) == "tools" && part(3) == "invocations") {
    post ? invoke_tool(exchange, part(2)) : query_invocation(exchange, part(2));
  } else if (!apply_fault(exchange)) {
    return;
  } else if (part(1) == "objects" && path.size() == 4) {
    handle_object(exchange, {part(2), part(3)});
  } else if (request.path == "/v1/watch") {
    watch(exchange);
  } else if (post && part(1) == "machines") {
    set_machine(exchange, part(2));
  } else if (part(1) == "weights") {
    read_weights(exchange, part(2));
  } else {
    respond_error(exchange, 404, "no such path");
  }
}

void platform::handle_object(http::exchange &exchange, const object_key &key) {
  const std::string &method = exchange.incoming().method;
  if (method == "GET") {
    read_object(exchange, key);
  } else if (method == "PUT" || method == "DELETE") {
    write_object(exchange, key);
  } else {
    respond_error(exchange, 405, "GET, PUT or DELETE");
  }
}

void platform::read_object(http::exchange &exchange, const object_key &key) {
  json::object body;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = objects_.find(key);
    if (found != objects_.end()) {
      body = {{"version", found->second.version},
              {"change_id", found->second.change_id},
              {"document", found->second.document},
              {"removed", found->second.removed}};
    }
  }
  if (body.empty()) {
    respond_error(exchange, 404, "no such object");
    return;
  }
  respond_ok(exchange, body);
}

void platform::write_object(http::exchange &exchange, const object_key &key) {
  const http::request &request = exchange.incoming();
  const std::uint64_t expected = parse_number(request.header("If-Match"));
  std::uint64_t found_version = 0;
  std::uint64_t new_version = 0;
  bool lose_answer = false;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = objects_.find(key);
    const bool exists = found != objects_.end() && !found->second.removed;
    found_version = exists ? found->second.version : 0;
    if (found_version == expected) {
      new_version = put(key, {.version = 0,
                              .change_id = request.header("X-Change-Id"),
                              .document = request.body,
                              .removed = request.method == "DELETE"});
    }
    lose_answer = fault_ == fault::lose_answers;
  }
  if (lose_answer) {
    respond_error(exchange, 500, "the answer was lost");
    return;
  }
  if (new_version == 0) {
    exchange.respond(http::json_response(
        409, json::serialize(json::object{{"version", found_version}})));
    return;
  }
  respond_ok(exchange, {{"version", new_version}});
}

void platform::watch(http::exchange &exchange) {
  const http::request &request = exchange.incoming();
  const std::uint64_t after = parse_number(query_of(request, "after"));
  const auto deadline =
      steady::now() +
      std::chrono::milliseconds(parse_number(query_of(request, "wait_ms")));
  json::array changed;
  std::uint64_t revision = 0;
  {
    std::unique_lock lock(mutex_);
    if (watchers_ >= settings_.watcher_limit) {
      lock.unlock();
      respond_error(exchange, 429, "too many watches");
      return;
    }
    ++watchers_;
    changed_.wait_until(lock, deadline, [&] {
      return revision_ > after || fault_ == fault::down;
    });
    --watchers_;
    revision = revision_;
    for (const auto &[key, object] : objects_) {
      if (object.version > after) {
        changed.push_back(json::object{{"kind", key.first},
                                       {"name", key.second},
                                       {"version", object.version},
                                       {"document", object.document},
                                       {"removed", object.removed}});
      }
    }
  }
  if (!apply_fault(exchange)) {
    return;
  }
  respond_ok(exchange,
             {{"revision", revision}, {"objects", std::move(changed)}});
}

void platform::set_fault(http::exchange &exchange) {
  const std::string mode = query_of(exchange.incoming(), "mode");
  {
    const std::scoped_lock lock(mutex_);
    fault_ = mode == "down"           ? fault::down
             : mode == "slow"         ? fault::slow
             : mode == "lose_answers" ? fault::lose_answers
                                      : fault::none;
    slow_ms_ = parse_number(query_of(exchange.incoming(), "delay_ms"));
    changed_.notify_all();
  }
  respond_ok(exchange, {{"mode", mode}});
}

void platform::set_machine(http::exchange &exchange, const std::string &name) {
  const std::string document = exchange.incoming().body;
  fibers_.spawn([this, name, document] {
    boost::this_fiber::sleep_for(
        std::chrono::milliseconds(settings_.machine_lag_ms));
    const std::scoped_lock lock(mutex_);
    put({"machine", name},
        {.version = 0, .change_id = {}, .document = document});
  });
  respond_ok(exchange, {{"machine", name}});
}

void platform::invoke_tool(http::exchange &exchange, const std::string &tool) {
  const http::request &request = exchange.incoming();
  const std::string key = request.header("Idempotency-Key");
  bool hangs = false;
  {
    const std::scoped_lock lock(mutex_);
    hangs = tool_modes_[tool] == "hang";
    if (!hangs) {
      // Not deduplicated by the idempotency key, so that tests detect a second
      // run of a call that must not be repeated.
      boost::system::error_code failure;
      const json::value echo = json::parse(request.body, failure);
      invocation &made = invocations_[tool][key];
      ++made.runs;
      made.result = json::serialize(
          json::object{{"tool", tool},
                       {"invocation", key},
                       {"echo", failure ? json::value(nullptr) : echo}});
    }
  }
  boost::this_fiber::sleep_for(
      hangs ? std::chrono::milliseconds(hang_time)
            : std::chrono::milliseconds(settings_.tool_delay_ms));
  std::string answer;
  {
    const std::scoped_lock lock(mutex_);
    answer = invocations_[tool][key].result;
  }
  exchange.respond(http::json_response(200, answer));
}

void platform::query_invocation(http::exchange &exchange,
                                const std::string &tool) {
  std::string answer;
  {
    const std::scoped_lock lock(mutex_);
    const auto &made = invocations_[tool];
    const auto found = made.find(exchange.incoming().header("Idempotency-Key"));
    if (found != made.end()) {
      answer = found->second.result;
    }
  }
  if (answer.empty()) {
    respond_error(exchange, 404, "no such invocation");
    return;
  }
  exchange.respond(http::json_response(200, answer));
}

void platform::set_tool_mode(http::exchange &exchange,
                             const std::string &tool) {
  const std::string mode = query_of(exchange.incoming(), "mode");
  {
    const std::scoped_lock lock(mutex_);
    tool_modes_[tool] = mode;
  }
  respond_ok(exchange, {{"tool", tool}, {"mode", mode}});
}

void platform::count_invocations(http::exchange &exchange,
                                 const std::string &tool) {
  json::object counts;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto &[key, made] : invocations_[tool]) {
      counts[key] = made.runs;
    }
  }
  respond_ok(exchange, counts);
}

void platform::read_weights(http::exchange &exchange,
                            const std::string &model) {
  bool allowed = false;
  {
    const std::scoped_lock lock(mutex_);
    if (steady::now() - weight_window_ >= std::chrono::seconds(1)) {
      weight_window_ = steady::now();
      weight_reads_ = 0;
    }
    allowed = weight_reads_ < settings_.weight_rate;
    weight_reads_ += allowed ? 1 : 0;
  }
  if (!allowed) {
    http::response answer = http::json_response(429, "{}\n");
    answer.headers["Retry-After"] = "1";
    exchange.respond(std::move(answer));
    return;
  }
  respond_ok(exchange, {{"model", model}, {"weights", "stand-in"}});
}

bool platform::apply_fault(http::exchange &exchange) {
  fault present = fault::none;
  std::uint64_t delay_ms = 0;
  {
    const std::scoped_lock lock(mutex_);
    present = fault_;
    delay_ms = slow_ms_;
  }
  if (present == fault::down) {
    respond_error(exchange, 503, "down");
    return false;
  }
  if (present == fault::slow) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(delay_ms));
  }
  return true;
}

std::uint64_t platform::put(const object_key &key, stored object) {
  object.version = ++revision_;
  objects_[key] = std::move(object);
  changed_.notify_all();
  return revision_;
}

} // namespace heathtrestle::stand_ins
