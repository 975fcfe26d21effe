#include "stand_ins/engine/engine.hpp"

#include "stand_ins/answer.hpp"
#include "stand_ins/replies.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <mutex>

namespace heathtrestle::stand_ins {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds generation_retention{300};
constexpr std::uint32_t default_max_tokens = 64;

std::string format_event(const json::object &data) {
  return fmt::format("data: {}\n\n", json::serialize(data));
}

} // namespace

engine::engine(engine_settings settings, runtime::fiber_pool &fibers)
    : settings_(std::move(settings)), cache_(settings_.cache_blocks) {
  fibers.spawn([this] { run(); });
}

void engine::handle(http::exchange &exchange) {
  const http::request &request = exchange.incoming();
  const bool post = request.method == "POST";
  if (post && request.path == "/v1/chat/completions") {
    complete(exchange);
  } else if (post && request.path == "/v1/cancel") {
    cancel(exchange);
  } else if (post && request.path == "/v1/cache/release") {
    release(exchange);
  } else if (post && request.path == "/v1/cache/export") {
    export_cache(exchange);
  } else if (post && request.path == "/v1/cache/import") {
    import_cache(exchange);
  } else if (post && request.path == "/v1/fence") {
    if (check_epoch(exchange)) {
      respond_ok(exchange, {{"fenced", true}});
    }
  } else if (post && request.path == "/v1/drain") {
    start_drain(exchange);
  } else if (request.path == "/v1/load") {
    report_load(exchange);
  } else if (request.path == "/v1/cache/events") {
    report_events(exchange);
  } else if (request.path == "/v1/cache/programs") {
    report_programs(exchange);
  } else {
    respond_error(exchange, 404, "no such path");
  }
}

void engine::complete(http::exchange &exchange) {
  if (!check_epoch(exchange)) {
    return;
  }
  const http::request &request = exchange.incoming();
  const std::string id = request.header("X-Request-Id");
  const std::size_t offset = parse_number(request.header("X-Resume-Offset"));
  std::shared_ptr<generation> target;
  {
    std::unique_lock lock(mutex_);
    const auto known = generations_.find(id);
    if (known != generations_.end()) {
      target = known->second;
    }
  }
  if (target == nullptr) {
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (request.header("X-Start-Allowed") == "false") {
      respond_error(exchange, 404, "no such request");
      return;
    }
    if (failure || !body.is_object() ||
        !body.as_object().contains("messages")) {
      respond_error(exchange, 400, "expected an object with messages");
      return;
    }
    const json::object &fields = body.as_object();
    if (fields.contains("model") &&
        fields.at("model") != json::value(settings_.model)) {
      respond_error(exchange, 422, "another model is loaded here");
      return;
    }
    std::vector<std::string> messages;
    auto made = std::make_shared<generation>();
    for (const json::value &message : fields.at("messages").as_array()) {
      messages.push_back(json::serialize(message));
      made->prompt += messages.back();
      made->prompt_tokens += count_tokens(messages.back());
    }
    const json::value *limit = fields.if_contains("max_tokens");
    const auto max_tokens =
        limit != nullptr && limit->is_number()
            ? static_cast<std::uint32_t>(limit->to_number<std::uint64_t>())
            : default_max_tokens;
    made->id = id;
    made->program = request.header("X-Program");
    made->priority =
        static_cast<std::uint32_t>(parse_number(request.header("X-Priority")));
    made->answer = expected_answer(messages, max_tokens);
    made->message = assistant_message(made->answer);
    std::unique_lock lock(mutex_);
    if (draining_) {
      lock.unlock();
      respond_error(exchange, 503, "draining");
      return;
    }
    target = generations_.emplace(id, made).first->second;
    if (target == made) {
      waiting_.push_back(made);
      changed_.notify_all();
    }
  }
  stream(exchange, target, offset);
}

void engine::stream(http::exchange &exchange,
                    const std::shared_ptr<generation> &from,
                    std::size_t offset) {
  exchange.start_stream(200, {{"Content-Type", "text/event-stream"}});
  std::size_t sent = offset;
  while (true) {
    std::string piece;
    bool done = false;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [&] {
        return from->done || from->cancelled || from->produced > sent;
      });
      if (from->cancelled) {
        break;
      }
      if (from->produced > sent) {
        piece = from->answer.substr(sent, from->produced - sent);
      }
      done = from->done;
    }
    if (!piece.empty()) {
      const bool written =
          exchange.write(format_event({{"offset", sent}, {"text", piece}}));
      if (!written) {
        return;
      }
      sent += piece.size();
    }
    if (done) {
      json::object usage;
      usage["prompt_tokens"] = from->prompt_tokens;
      usage["cached_tokens"] = from->cached_tokens;
      usage["completion_tokens"] = count_tokens(from->answer);
      exchange.write(format_event({{"usage", std::move(usage)}}));
      break;
    }
  }
  exchange.finish_stream();
}

void engine::cancel(http::exchange &exchange) {
  if (!check_epoch(exchange)) {
    return;
  }
  {
    const std::scoped_lock lock(mutex_);
    const auto found =
        generations_.find(exchange.incoming().header("X-Request-Id"));
    if (found != generations_.end() && !found->second->done) {
      const auto cancelled = found->second;
      cancelled->cancelled = true;
      std::erase(waiting_, cancelled);
      std::erase(running_, cancelled);
      changed_.notify_all();
    }
  }
  respond_ok(exchange, {{"cancelled", true}});
}

void engine::release(http::exchange &exchange) {
  if (!check_epoch(exchange)) {
    return;
  }
  {
    const std::scoped_lock lock(mutex_);
    cache_.release(exchange.incoming().header("X-Program"));
  }
  respond_ok(exchange, {{"released", true}});
}

void engine::report_load(http::exchange &exchange) {
  load_sample reported{};
  {
    const std::scoped_lock lock(mutex_);
    const auto lag = std::chrono::milliseconds(settings_.load_lag_ms);
    for (const load_sample &sample : load_) {
      if (sample.taken <= steady::now() - lag) {
        reported = sample;
      }
    }
  }
  respond_ok(exchange, {{"running", reported.running},
                        {"waiting", reported.waiting},
                        {"cached_blocks", reported.blocks}});
}

void engine::report_events(http::exchange &exchange) {
  const auto &query = exchange.incoming().query;
  const auto given = query.find("after");
  const std::uint64_t after =
      given == query.end() ? 0 : parse_number(given->second);
  json::array events;
  {
    const std::scoped_lock lock(mutex_);
    const auto &all = cache_.events();
    const std::size_t visible =
        all.size() > settings_.event_lag ? all.size() - settings_.event_lag : 0;
    for (std::size_t index = after; index < visible; ++index) {
      const bool dropped = settings_.event_gap > 0 &&
                           all[index].number % settings_.event_gap == 0;
      if (!dropped) {
        events.push_back(json::object{{"number", all[index].number},
                                      {"stored", all[index].stored},
                                      {"block", all[index].block}});
      }
    }
  }
  respond_ok(exchange, {{"events", std::move(events)}});
}

void engine::report_programs(http::exchange &exchange) {
  json::array programs;
  std::size_t used = 0;
  {
    const std::scoped_lock lock(mutex_);
    for (const std::string &program : cache_.programs()) {
      programs.push_back(json::object{
          {"program", program}, {"blocks", cache_.blocks_of(program).size()}});
    }
    used = cache_.used();
  }
  respond_ok(exchange, {{"programs", std::move(programs)},
                        {"used_blocks", used},
                        {"capacity_blocks", cache_.capacity()}});
}

void engine::export_cache(http::exchange &exchange) {
  if (!check_epoch(exchange)) {
    return;
  }
  json::array blocks;
  {
    const std::scoped_lock lock(mutex_);
    for (const std::uint64_t block :
         cache_.blocks_of(exchange.incoming().header("X-Program"))) {
      blocks.emplace_back(block);
    }
  }
  respond_ok(exchange, {{"blocks", std::move(blocks)}});
}

void engine::import_cache(http::exchange &exchange) {
  if (!check_epoch(exchange)) {
    return;
  }
  boost::system::error_code failure;
  const json::value body = json::parse(exchange.incoming().body, failure);
  const json::value *list =
      body.is_object() ? body.as_object().if_contains("blocks") : nullptr;
  if (list == nullptr || !list->is_array()) {
    respond_error(exchange, 400, "expected an object with blocks");
    return;
  }
  std::vector<std::uint64_t> blocks;
  for (const json::value &block : list->as_array()) {
    blocks.push_back(block.to_number<std::uint64_t>(failure));
  }
  {
    const std::scoped_lock lock(mutex_);
    cache_.import(exchange.incoming().header("X-Program"), blocks);
  }
  respond_ok(exchange, {{"imported", blocks.size()}});
}

void engine::start_drain(http::exchange &exchange) {
  {
    const std::scoped_lock lock(mutex_);
    draining_ = true;
  }
  respond_ok(exchange, {{"draining", true}});
}

bool engine::check_epoch(http::exchange &exchange) {
  const std::uint64_t epoch =
      parse_number(exchange.incoming().header("X-Epoch"));
  bool stale = false;
  {
    const std::scoped_lock lock(mutex_);
    stale = epoch < epoch_;
    epoch_ = std::max(epoch_, epoch);
  }
  if (stale) {
    respond_error(exchange, 409, "an order of a later epoch has been seen");
  }
  return !stale;
}

void engine::run() {
  while (true) {
    std::chrono::duration<double, std::milli> took{};
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock,
                    [this] { return !waiting_.empty() || !running_.empty(); });
      took = step();
      changed_.notify_all();
    }
    boost::this_fiber::sleep_for(
        std::chrono::duration_cast<std::chrono::microseconds>(took));
  }
}

std::chrono::duration<double, std::milli> engine::step() {
  double prefill_ms = 0;
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [](const auto &left, const auto &right) {
                     return left->priority < right->priority;
                   });
  while (running_.size() < settings_.batch && !waiting_.empty()) {
    const auto admitted = waiting_.front();
    waiting_.erase(waiting_.begin());
    admitted->cached_tokens = std::min(cache_.cached_tokens(admitted->prompt),
                                       admitted->prompt_tokens);
    prefill_ms +=
        settings_.prefill_token_ms *
        static_cast<double>(admitted->prompt_tokens - admitted->cached_tokens);
    cache_.store(admitted->program, admitted->prompt);
    running_.push_back(admitted);
  }
  const double step_ms =
      settings_.step_base_ms +
      settings_.step_request_ms * static_cast<double>(running_.size());
  for (const auto &each : running_) {
    each->produced =
        std::min(each->answer.size(), each->produced + bytes_per_token);
    if (each->produced == each->answer.size()) {
      finish(*each);
    }
  }
  std::erase_if(running_, [](const auto &each) { return each->done; });
  load_.push_back({.taken = steady::now(),
                   .running = running_.size(),
                   .waiting = waiting_.size(),
                   .blocks = cache_.used()});
  const auto lag = std::chrono::milliseconds(settings_.load_lag_ms);
  while (load_.size() > 1 && load_[1].taken <= steady::now() - lag) {
    load_.pop_front();
  }
  expire_generations();
  return std::chrono::duration<double, std::milli>(prefill_ms + step_ms);
}

void engine::finish(generation &done) {
  done.done = true;
  done.finished = steady::now();
  cache_.store(done.program, done.prompt + done.message);
}

void engine::expire_generations() {
  std::erase_if(generations_, [](const auto &entry) {
    const generation &held = *entry.second;
    return held.done && steady::now() - held.finished > generation_retention;
  });
}

} // namespace heathtrestle::stand_ins
