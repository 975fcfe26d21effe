#include "records/retirement_watch.hpp"

#include "logging/log.hpp"

#include <set>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::records {

namespace {

/// Interval at which the emptied nodes are checked.
constexpr duration_ms check_interval{200};
/// Bounds the time for which a lost answer goes unnoticed.
constexpr duration_ms poll_timeout{2000};

} // namespace

retirement_watch::retirement_watch(asio::io_context &io,
                                   const store_binding &binding,
                                   record_runtime &runtime)
    : io_(io), binding_(binding), runtime_(runtime),
      watch_(
          io, *binding.store, {}, cache_,
          // Only leaders act on the requests.
          {.kind = binding.retirement_kind,
           .long_poll_timeout = poll_timeout,
           .enabled = [this] { return runtime_.leads_any(); }},
          {.on_listing =
               [this](const objects::listing &listed) { on_listing(listed); },
           .on_change =
               [this](const objects::change &changed) {
                 on_change(changed);
               }}) {}

void retirement_watch::start() {
  asio::co_spawn(io_, watch_.run(), asio::detached);
  asio::co_spawn(io_, report(), asio::detached);
}

void retirement_watch::apply_request(const objects::object &request) {
  reports_.on_request(request.name, request.revision,
                      binding_.retirement_completed(request.status.parse()));
}

void retirement_watch::on_listing(const objects::listing &listed) {
  std::set<std::string> names;
  for (const objects::object &each : listed.items) {
    names.insert(each.name);
    apply_request(each);
  }
  reports_.keep_only(names);
  runtime_.set_retiring(reports_.requested());
}

void retirement_watch::on_change(const objects::change &changed) {
  if (changed.deleted) {
    reports_.on_withdrawn(changed.changed.name);
  } else {
    apply_request(changed.changed);
  }
  runtime_.set_retiring(reports_.requested());
}

asio::awaitable<void> retirement_watch::report() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(check_interval);
    co_await timer.async_wait(as_result);
    if (!runtime_.is_retirement_reporter()) {
      continue;
    }
    reports_.on_emptied(runtime_.removable_nodes());
    for (retirement_report &due : reports_.take_due(steady_now())) {
      co_await report_one(std::move(due));
    }
  }
}

asio::awaitable<void> retirement_watch::report_one(retirement_report due) {
  if (!due.completed) {
    // The cache of a node that led nothing for a while is stale: another leader
    // may have reported the completion already.
    const auto present =
        co_await binding_.store->get(binding_.retirement_kind, due.node);
    if (!present) {
      co_return; // tried again after a pause
    }
    apply_request(present.value());
  }
  if (!reports_.is_wanted(due)) {
    co_return;
  }
  const auto written = co_await binding_.store->put_status(
      binding_.retirement_kind, due.node,
      binding_.retirement_status(due.completed));
  if (!written) {
    co_return; // tried again after a pause
  }
  reports_.on_request(due.node, written.value().revision, due.completed);
  logging::line(logging::event::retirement_progress)
      .field("node", due.node)
      .field("completed", due.completed)
      .write();
}

} // namespace heathtrestle::records
