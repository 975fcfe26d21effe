#include "sim/caller.hpp"

#include "base/ids.hpp"
#include "stand_ins/answer.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace heathtrestle::sim {

namespace {

std::string user_message(const std::string &text) {
  return boost::json::serialize(
      boost::json::object{{"content", text}, {"role", "user"}});
}

std::string text_of(const std::string &assistant_message) {
  boost::system::error_code failure;
  const auto value = boost::json::parse(assistant_message, failure);
  const bool usable = !failure && value.is_object() &&
                      value.as_object().contains("content") &&
                      value.at("content").is_string();
  return usable ? std::string(value.at("content").as_string())
                : assistant_message;
}

} // namespace

caller::caller(world &cluster, const bench::program_plan &plan,
               std::size_t number, caller_options options)
    : world_(cluster), plan_(plan), number_(number), options_(options),
      id_(fmt::format("program-{}", number)) {}

void caller::start() {
  world_.clock().after(static_cast<microseconds>(plan_.arrival.count()) *
                           per_millisecond,
                       [self = shared_from_this()] {
                         self->began_ = self->world_.clock().now();
                         ++self->world_.seen().programs_started;
                         self->create();
                       });
}

void caller::create() {
  wire::ClientRequest request;
  request.set_partition(partition());
  wire::CreateProgram &command = *request.mutable_create_program();
  command.set_id(id_);
  command.set_tenant(plan_.tenant);
  command.set_program_class(plan_.program_class);
  command.set_name(plan_.name);
  command.set_budget(4000000);
  command.set_turn_limit(400);
  send_program_request(
      request, [self = shared_from_this()](const wire::ClientReply &reply) {
        if (reply.has_program()) {
          self->created_ = true;
          self->next_stage();
        } else {
          self->world_.seen().errors.push_back(
              fmt::format("creation of {} was refused: {}", self->id_,
                          reply.failure().ShortDebugString()));
        }
      });
}

void caller::next_stage() {
  if (stage_ >= plan_.stages.size()) {
    latency_ms_ = static_cast<double>(elapsed()) / per_millisecond;
    end();
    return;
  }
  const bench::stage_plan &stage = plan_.stages[stage_];
  std::vector<call_pointer> calls;
  for (std::size_t index = 0; index < stage.calls.size(); ++index) {
    calls.push_back(make_call(stage.calls[index], index));
  }
  const auto alone_on_main = [](const bench::stage_plan &which) {
    return which.calls.size() == 1 &&
           which.calls.front().kind == bench::call_kind::chat &&
           which.calls.front().agent == "main";
  };
  const bool could_pipeline = stage_ + 1 < plan_.stages.size() &&
                              alone_on_main(stage) &&
                              alone_on_main(plan_.stages[stage_ + 1]);
  const double drawn = static_cast<double>(world_.random()() % 1000) / 1000.0;
  if (could_pipeline && drawn < options_.pipelining) {
    ++stage_;
    const call_pointer second =
        make_call(plan_.stages[stage_].calls.front(), 0);
    second->after = calls.front();
    calls.front()->next = second;
    second->append = true;
    calls.front()->append = true;
    calls.push_back(second);
  }
  pause_ = 0;
  for (const call_pointer &call : calls) {
    pause_ =
        std::max(pause_, static_cast<microseconds>(call->plan.pause.count()) *
                             per_millisecond);
  }
  no_wait_ms_ += static_cast<double>(pause_) / per_millisecond;
  ++stage_;
  open_calls_ = calls.size();
  for (const call_pointer &call : calls) {
    send(call);
  }
}

caller::call_pointer caller::make_call(const bench::call_plan &plan,
                                       std::size_t call) {
  auto made = std::make_shared<open_call>();
  made->plan = plan;
  made->base_key = fmt::format("s{}-{}", stage_, call);
  made->key = made->base_key;
  return made;
}

void caller::send(const call_pointer &call) {
  const std::size_t node = pick_node();
  wire::ClientRequest request;
  request.set_partition(partition());
  request.mutable_submit_call()->set_program(id_);
  wire::CallRequest &fields = *request.mutable_submit_call()->mutable_call();
  fields.set_key(call->key);
  fields.set_agent(call->plan.agent);
  fields.set_target(call->plan.target);
  fields.set_unrepeatable(call->plan.unrepeatable);
  if (call->after != nullptr) {
    fields.set_after(call->after->key);
  }
  if (call->plan.kind == bench::call_kind::tool) {
    fields.set_kind(wire::CALL_TOOL);
    fields.set_arguments("{}");
  } else {
    fields.set_kind(wire::CALL_CHAT);
    fields.set_max_output_tokens(call->plan.max_tokens);
    if (call->append) {
      fields.set_history_mode(wire::HISTORY_APPEND);
    } else {
      for (const std::string &message : conversations_[call->plan.agent]) {
        fields.add_messages(message);
      }
    }
    fields.add_messages(user_message(call->plan.text));
  }
  const auto self = shared_from_this();
  const auto again = [self, call] {
    call->connection.clear();
    self->world_.clock().after(self->options_.retry_pause, [self, call] {
      if (!call->answered && call->connection.empty()) {
        self->send(call);
      }
    });
  };
  const std::string connection = world_.send_request(
      node, std::move(request), 0,
      [self, call](const wire::ClientReply &reply) {
        self->on_reply(call, reply);
      },
      again);
  call->connection = connection;
  world_.clock().after(options_.reply_timeout, [self, call, connection, again] {
    if (!call->answered && call->connection == connection) {
      self->world_.close_connection(connection);
      again();
    }
  });
}

void caller::on_reply(const call_pointer &call,
                      const wire::ClientReply &reply) {
  if (call->answered) {
    return;
  }
  if (reply.has_outcome() &&
      reply.outcome().call().state() == wire::CALL_COMPLETED) {
    on_completed(call, reply.outcome().call());
    return;
  }
  if (reply.has_program()) {
    world_.seen().errors.push_back(
        fmt::format("{} {} got the answer of another request", id_, call->key));
    call->answered = true;
    return;
  }
  on_refused(call, reply.has_failure() ? reply.failure()
                                       : reply.outcome().call().failure());
}

void caller::on_completed(const call_pointer &call,
                          const wire::CallRecord &record) {
  if (call->after != nullptr && !call->after->answered) {
    call->early = record; // processed after the predecessor's answer
    return;
  }
  call->answered = true;
  final_answer answer;
  answer.program = id_;
  answer.key = call->key;
  answer.agent = call->plan.agent;
  answer.unrepeatable = call->plan.unrepeatable;
  answer.tool = call->plan.kind == bench::call_kind::tool;
  answer.completed = true;
  answer.ran = wire::RAN_RAN;
  if (answer.tool) {
    answer.text = record.answer();
    answer.expected =
        fmt::format("{{\"invocation\":\"{}/{}\"}}", id_, call->key);
  } else {
    std::vector<std::string> &conversation = conversations_[answer.agent];
    conversation.push_back(user_message(call->plan.text));
    answer.expected =
        stand_ins::expected_answer(conversation, call->plan.max_tokens);
    answer.text = text_of(record.answer());
    conversation.push_back(stand_ins::assistant_message(answer.expected));
  }
  world_.seen().answers.push_back(std::move(answer));
  if (call->next != nullptr && call->next->early.has_value()) {
    on_completed(call->next, *call->next->early);
  }
  call_done();
}

void caller::on_refused(const call_pointer &call,
                        const wire::Failure &failure) {
  final_answer answer;
  answer.program = id_;
  answer.key = call->key;
  answer.agent = call->plan.agent;
  answer.unrepeatable = call->plan.unrepeatable;
  answer.tool = call->plan.kind == bench::call_kind::tool;
  answer.ran = failure.ran();
  answer.code = failure.code();
  world_.seen().answers.push_back(std::move(answer));

  const bool gives_up = call->plan.unrepeatable &&
                        failure.ran() == wire::RAN_UNKNOWN && failure.settled();
  if (gives_up) {
    call->answered = true; // the outcome stays unknown; no retry
    if (call->next != nullptr) {
      call->next->after.reset();
    }
    call_done();
    return;
  }
  if (failure.retry_after_ms() == 0 && failure.settled() &&
      failure.ran() == wire::RAN_NOT_RUN) {
    call->answered = true;
    world_.seen().errors.push_back(fmt::format(
        "{} {} refused: {}", id_, call->key, failure.ShortDebugString()));
    call_done();
    return;
  }
  if (failure.settled()) {
    call->key = fmt::format("{}-again-{}", call->base_key, ++call->renamed);
  }
  call->connection.clear();
  const auto self = shared_from_this();
  const microseconds pause = std::max<microseconds>(
      failure.retry_after_ms() * per_millisecond, options_.retry_pause);
  world_.clock().after(pause, [self, call] {
    if (!call->answered && call->connection.empty()) {
      self->send(call);
    }
  });
}

void caller::call_done() {
  if (--open_calls_ > 0) {
    return;
  }
  world_.clock().after(pause_,
                       [self = shared_from_this()] { self->next_stage(); });
}

void caller::end() {
  wire::ClientRequest request;
  request.set_partition(partition());
  request.mutable_end_program()->set_program(id_);
  request.mutable_end_program()->set_reason("done");
  send_program_request(
      request, [self = shared_from_this()](const wire::ClientReply &) {
        self->ended_ = true;
        ++self->world_.seen().programs_finished;
        self->world_.seen().latencies_ms.push_back(self->latency_ms_);
      });
}

void caller::send_program_request(const wire::ClientRequest &request,
                                  reply_action done) {
  auto pending = std::make_shared<pending_request>();
  pending->request = request;
  pending->done = std::move(done);
  send_attempt(pending);
}

void caller::send_attempt(const std::shared_ptr<pending_request> &pending) {
  const auto self = shared_from_this();
  const std::uint32_t attempt = ++pending->attempt;
  // The first of reply, broken connection and timeout that ends an attempt
  // starts the next one; the others then see a higher number and do nothing.
  const auto next_attempt = [self, pending, attempt] {
    if (pending->attempt == attempt && !pending->answered) {
      ++pending->attempt;
      self->world_.clock().after(self->options_.retry_pause, [self, pending] {
        self->send_attempt(pending);
      });
    }
  };
  const std::string connection = world_.send_request(
      pick_node(), pending->request, 0,
      [pending, next_attempt](const wire::ClientReply &reply) {
        const bool must_retry =
            reply.has_failure() && reply.failure().retry_after_ms() > 0;
        if (must_retry) {
          next_attempt();
        } else if (!pending->answered) {
          pending->answered = true;
          pending->done(reply);
        }
      },
      next_attempt);
  world_.clock().after(options_.reply_timeout,
                       [self, connection, next_attempt] {
                         self->world_.close_connection(connection);
                         next_attempt();
                       });
}

std::size_t caller::pick_node() {
  // Dead and draining daemons refuse connections; a frozen daemon accepts them,
  // as it can't be distinguished from a slow one.
  const std::size_t first = world_.random()() % world_.node_count();
  for (std::size_t step = 0; step < world_.node_count(); ++step) {
    const std::size_t node = (first + step) % world_.node_count();
    if (world_.accepting(node)) {
      return node;
    }
  }
  return first;
}

std::uint32_t caller::partition() const {
  return partition_of(id_, world_.options().node.partition_count).value();
}

microseconds caller::elapsed() const { return world_.clock().now() - began_; }

} // namespace heathtrestle::sim
