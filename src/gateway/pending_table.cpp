#include "gateway/pending_table.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathtrestle::gateway {

namespace {

/// A copy of the request without the content of its call.
wire::ClientRequest make_reminder(const wire::ClientRequest &request) {
  wire::ClientRequest reminder;
  reminder.set_request_id(request.request_id());
  reminder.set_partition(request.partition());
  wire::SubmitCall &submit = *reminder.mutable_submit_call();
  submit.set_program(request.submit_call().program());
  submit.mutable_call()->set_key(request.submit_call().call().key());
  submit.set_reminder(true);
  return reminder;
}

} // namespace

pending_table::pending_table(gateway_options options) : options_(options) {}

void pending_table::on_arrived(gateway_view &view,
                               const wire::ClientArrived &arrived) {
  pending &waiting = pending_[arrived.request().request_id()];
  waiting.request = arrived.request();
  waiting.arrived = view.step.now();
  waiting.key_is_fresh = arrived.key_is_fresh();
  const duration_ms limit =
      arrived.time_limit_ms() == 0
          ? options_.default_time_limit
          : duration_ms{static_cast<std::int64_t>(arrived.time_limit_ms())};
  waiting.deadline = view.step.now() + limit;
  waiting.resend_delay = options_.resend_interval;
  send(view, waiting);
}

void pending_table::on_gone(const wire::ClientGone &gone) {
  pending_.erase(gone.request_id());
}

void pending_table::on_reply(gateway_view &view,
                             const wire::ClientReply &reply) {
  const auto found = pending_.find(reply.request_id());
  if (found == pending_.end()) {
    return; // already answered, or the client has disconnected
  }
  if (reply.has_redirect()) {
    if (view.members.merge(reply.redirect())) {
      send(view, found->second);
    }
    return;
  }
  if (reply.send_whole()) {
    found->second.full_request_term = 0;
    send(view, found->second);
    return;
  }
  wire::ReplyToClient &effect = *view.step.add().mutable_reply_to_client();
  effect.set_request_id(reply.request_id());
  *effect.mutable_reply() = reply;
  pending_.erase(found);
}

void pending_table::on_chunk(gateway_view &view,
                             const wire::StreamChunk &chunk) {
  const auto found = pending_.find(chunk.request_id());
  if (found == pending_.end()) {
    return;
  }
  pending &waiting = found->second;
  if (waiting.engine_request != chunk.engine_request()) {
    waiting.engine_request = chunk.engine_request();
    waiting.attempt_text.clear();
  }
  if (chunk.offset() > waiting.attempt_text.size()) {
    return; // a chunk is missing; the final reply has the complete text
  }
  const std::size_t known = waiting.attempt_text.size() - chunk.offset();
  if (known >= chunk.text().size()) {
    return;
  }
  waiting.attempt_text += chunk.text().substr(known);
  // A retried attempt may generate different text. Only text that continues
  // what the client has already received is streamed.
  const bool continues = waiting.attempt_text.starts_with(waiting.streamed);
  if (!continues || waiting.attempt_text.size() == waiting.streamed.size()) {
    return;
  }
  wire::StreamToClient &effect = *view.step.add().mutable_stream_to_client();
  effect.set_request_id(chunk.request_id());
  effect.set_offset(waiting.streamed.size());
  effect.set_text(waiting.attempt_text.substr(waiting.streamed.size()));
  waiting.streamed = waiting.attempt_text;
}

void pending_table::tick(gateway_view &view) {
  const timestamp now = view.step.now();
  std::vector<std::string> given_up;
  for (auto &[request_id, waiting] : pending_) {
    const bool never_sent =
        !waiting.ever_sent && now - waiting.arrived >= options_.not_ready_limit;
    if (now >= waiting.deadline || never_sent) {
      give_up(view, request_id, waiting);
      given_up.push_back(request_id);
    } else if (now - waiting.last_sent >= waiting.resend_delay) {
      waiting.resend_delay =
          std::min(2 * waiting.resend_delay, options_.max_resend_interval);
      send(view, waiting);
    }
  }
  for (const std::string &request_id : given_up) {
    pending_.erase(request_id);
  }
}

void pending_table::give_up_all(gateway_view &view) {
  for (const auto &[request_id, waiting] : pending_) {
    give_up(view, request_id, waiting);
  }
  pending_.clear();
}

void pending_table::send(gateway_view &view, pending &waiting) {
  waiting.last_sent = view.step.now();
  const auto leader =
      view.members.leader_of(partition_id{waiting.request.partition()});
  node_id target;
  if (leader.has_value()) {
    target = node_id{leader->node()};
  } else {
    // A random member may be the leader, or redirect to it.
    const auto running = view.members.running();
    if (running.size() < 2 || view.members.partitions() == 0) {
      return;
    }
    target = node_id{running[view.step.draw_below(running.size())]->node()};
  }
  waiting.ever_sent = true;
  wire::Envelope envelope;
  wire::ClientRequest &request = *envelope.mutable_client_request();
  const bool has_full_request =
      leader.has_value() && waiting.full_request_term == leader->term();
  if (waiting.request.has_submit_call() && has_full_request) {
    // The leader of this term should have the full request. Sending only the
    // key keeps resends from adding to the load of a slow leader.
    request = make_reminder(waiting.request);
  } else {
    request = waiting.request;
    waiting.full_request_term = leader.has_value() ? leader->term() : 0;
  }
  view.step.send(target, std::move(envelope));
}

void pending_table::give_up(gateway_view &view, const std::string &request_id,
                            const pending &waiting) {
  const error_code code =
      waiting.ever_sent ? error_code::deadline_exceeded : error_code::not_ready;
  wire::ReplyToClient &effect = *view.step.add().mutable_reply_to_client();
  effect.set_request_id(request_id);
  effect.mutable_reply()->set_request_id(request_id);
  wire::Failure &failure = *effect.mutable_reply()->mutable_failure();
  failure.set_code(std::string(name_of(code)));
  failure.set_http_status(http_status_of(code));
  failure.set_step("route");
  failure.set_peer(fmt::format("partition {}", waiting.request.partition()));
  failure.set_message(
      waiting.ever_sent
          ? "no answer in time; ask again with the same key for the outcome"
          : "the partition has no leader yet; nothing was sent");
  // Another gateway may have sent a request with a key chosen by the client.
  const bool known_not_run = !waiting.ever_sent && waiting.key_is_fresh;
  failure.set_ran(known_not_run ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN);
  failure.set_retry_after_ms(options_.retry_after_ms);
  view.step.log(logging::event::gateway_gave_up, request_id);
}

} // namespace heathtrestle::gateway
