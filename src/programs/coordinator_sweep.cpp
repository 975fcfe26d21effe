// The coordinator's periodic work: repeating dispatch requests, detecting
// stalled calls, expiring idle programs and releasing engine memory. Also
// builds the status rows for operators.
#include "programs/coordinator.hpp"

namespace heathtrestle::programs {

namespace {

/// Adds a status row with the columns that describe the program.
wire::CallRow &add_row(const wire::ProgramRecord &program,
                       wire::StatusReply &reply) {
  wire::CallRow &row = *reply.add_calls();
  row.set_program(program.id());
  row.set_tenant(program.tenant());
  row.set_program_class(program.program_class());
  row.set_name(program.name());
  row.set_spent(program.spent());
  row.set_budget(program.budget());
  row.set_turns(count_turns(program));
  return row;
}

} // namespace

void coordinator::tick(coordinator_view &view) {
  tick_attempts(view);
  tick_programs(view);
}

void coordinator::tick_attempts(coordinator_view &view) {
  for (auto &[id, state] : attempts_) {
    const wire::ProgramRecord *program = view.store.find(program_id{id.first});
    const wire::CallRecord *call =
        program == nullptr ? nullptr : find_call(*program, id.second);
    if (call == nullptr || call->state() != wire::CALL_RUNNING) {
      continue;
    }
    const bool silent =
        view.step.now() - state.last_progress >= options_.stall_limit;
    if (silent && !state.stalled) {
      state.stalled = true;
      view.step.log(
          logging::event::call_stalled,
          fmt::format("{} {} at {}", id.first, id.second, call->backend()));
    }
    const bool due =
        view.step.now() - state.last_sent >= options_.resend_interval;
    if (due && call->request().kind() == wire::CALL_CHAT) {
      send_dispatch(view, *program, *call, state);
    }
  }
}

void coordinator::tick_programs(coordinator_view &view) {
  for (const auto &[id, program] : view.store.programs()) {
    const auto seen = last_activity_.try_emplace(id.value(), view.step.now());
    const auto idle = view.step.now() - seen.first->second;
    if (!program.ended()) {
      if (idle >= options_.idle_limit) {
        view.step.log(logging::event::program_expired, id.value());
        seen.first->second = view.step.now();
        wire::Command command;
        command.mutable_end_program()->set_program(id.value());
        command.mutable_end_program()->set_reason("idle for too long");
        propose(view, std::move(command));
      }
      continue;
    }
    if (program.unreleased_backends_size() > 0) {
      release_memory(view, program);
    } else if (idle >= options_.ended_retention) {
      seen.first->second = view.step.now();
      wire::Command command;
      command.mutable_forget_program()->set_program(id.value());
      propose(view, std::move(command));
    }
  }
  std::erase_if(last_activity_, [&view](const auto &entry) {
    return view.store.find(program_id{entry.first}) == nullptr;
  });
  std::erase_if(release_sent_, [&view](const auto &entry) {
    return view.store.find(program_id{entry.first}) == nullptr;
  });
}

void coordinator::cancel_running_calls(coordinator_view &view,
                                       const wire::ProgramRecord &program) {
  for (const wire::CallRecord &call : program.calls()) {
    const bool cancels = call.state() == wire::CALL_RUNNING &&
                         call.request().kind() == wire::CALL_CHAT;
    const auto dispatcher = view.members.leader_of(
        partition_of(call.backend(), view.members.partitions()));
    if (!cancels || !dispatcher.has_value()) {
      continue;
    }
    wire::Envelope envelope;
    wire::CancelDispatch &cancel = *envelope.mutable_cancel_dispatch();
    cancel.set_backend(call.backend());
    cancel.set_engine_request(fmt::format(
        "{}/{}/{}", program.id(), call.request().key(), call.attempt()));
    view.step.send(node_id{dispatcher->node()}, std::move(envelope));
  }
}

void coordinator::release_memory(coordinator_view &view,
                                 const wire::ProgramRecord &program) {
  for (const wire::CallRecord &call : program.calls()) {
    if (call.state() == wire::CALL_RUNNING) {
      return; // the running call still uses the memory
    }
  }
  const auto sent = release_sent_.find(program.id());
  const bool recently =
      sent != release_sent_.end() &&
      view.step.now() - sent->second < options_.release_interval;
  if (recently) {
    return;
  }
  release_sent_[program.id()] = view.step.now();
  for (const std::string &backend : program.unreleased_backends()) {
    if (view.configuration.backend(backend) == nullptr) {
      wire::MemoryReleaseDone gone;
      gone.set_program(program.id());
      gone.set_backend(backend);
      on_memory_released(view, gone);
      continue;
    }
    const auto dispatcher = view.members.leader_of(
        partition_of(backend, view.members.partitions()));
    if (!dispatcher.has_value()) {
      continue;
    }
    wire::Envelope envelope;
    wire::ReleaseMemory &release = *envelope.mutable_release_memory();
    release.set_backend(backend);
    release.set_program(program.id());
    release.set_program_partition(view.partition.value());
    view.step.send(node_id{dispatcher->node()}, std::move(envelope));
  }
}

void coordinator::on_memory_released(coordinator_view &view,
                                     const wire::MemoryReleaseDone &done) {
  wire::Command command;
  command.mutable_memory_released()->set_program(done.program());
  command.mutable_memory_released()->set_backend(done.backend());
  view.step.log(logging::event::memory_released,
                fmt::format("{} at {}", done.program(), done.backend()));
  propose(view, std::move(command));
}

void coordinator::describe(const program_store &store, timestamp now,
                           std::uint32_t limit,
                           wire::StatusReply &reply) const {
  for (const auto &entry : store.programs()) {
    if (static_cast<std::uint32_t>(reply.calls_size()) >= limit) {
      return;
    }
    if (!entry.second.ended()) {
      describe_program(entry.second, now, reply);
    }
  }
}

void coordinator::describe_program(const wire::ProgramRecord &program,
                                   timestamp now,
                                   wire::StatusReply &reply) const {
  bool has_unfinished = false;
  for (const wire::CallRecord &call : program.calls()) {
    if (is_final(call.state())) {
      continue;
    }
    has_unfinished = true;
    wire::CallRow &row = add_row(program, reply);
    row.set_agent(call.request().agent());
    row.set_key(call.request().key());
    row.set_target(call.request().target());
    row.set_backend(call.backend());
    const auto followed = attempts_.find({program.id(), call.request().key()});
    if (followed == attempts_.end()) {
      row.set_state("waiting");
      continue;
    }
    row.set_state(followed->second.stalled ? "stalled" : "running");
    row.set_age_ms(
        static_cast<std::uint64_t>((now - followed->second.started).count()));
  }
  if (!has_unfinished) {
    wire::CallRow &row = add_row(program, reply);
    row.set_state("idle");
    const auto seen = last_activity_.find(program.id());
    if (seen != last_activity_.end()) {
      row.set_age_ms(static_cast<std::uint64_t>((now - seen->second).count()));
    }
  }
}

} // namespace heathtrestle::programs
