#include "forwarding/gateway_process.hpp"

#include "forwarding/client_session.hpp"
#include "forwarding/drain_monitor.hpp"
#include "forwarding/gateway.hpp"
#include "forwarding/http_status.hpp"
#include "forwarding/peer_contacts.hpp"
#include "http/status_server.hpp"
#include "logging/log.hpp"
#include "objects/object_follower.hpp"
#include "objects/object_watch.hpp"
#include "objects/peer_listing.hpp"
#include "records/group_directory.hpp"
#include "records/partitioned_ledger.hpp"
#include "records/partitions.hpp"
#include "rpc/transport.hpp"
#include "runtime/process_signals.hpp"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <malloc.h>

namespace heathtrestle::forwarding {

namespace {

constexpr const char *record_cluster = "records";
constexpr duration_ms housekeeping_interval{1000};
constexpr duration_ms drain_check{50};
/// The load balancer at the entry needs two failed probes before it stops
/// sending new connections.
constexpr duration_ms min_drain{2600};
constexpr duration_ms exit_margin{500};
constexpr duration_ms initial_lookup_interval{250};
constexpr duration_ms contact_check{100};
/// Rounds of asking other gateways for the storage nodes before the object
/// store is asked. When the whole system starts, no gateway knows them at
/// first.
constexpr int rounds_without_store = 4;
constexpr duration_ms max_lookup_interval{4000};
/// Age of a confirmation up to which the list of replicas counts as current.
/// Spans several heartbeats of the follower.
constexpr duration_ms max_listing_age{1000};
/// The fraction of the memory that is kept for large answers.
constexpr std::size_t large_answers_part = 16;

class gateway_process {
public:
  gateway_process(
      asio::io_context &io, gateway_settings settings,
      const routing::topology &places, const gateway_binding &binding,
      const std::function<std::optional<gateway_settings>()> &reload);

  result<void> start();

private:
  void send(const std::string &address, const wire::Envelope &envelope);
  records::ledger_options make_ledger_options();
  void apply_configuration(const objects::object &object);
  objects::object_watch::handlers configuration_handlers();
  objects::object_watch::handlers instance_handlers();
  http::page peer_page(std::string_view target);
  asio::awaitable<void> housekeeping();
  asio::awaitable<void> find_record_group();
  /// Detects that the record group does not answer, and polls other gateways
  /// about it.
  asio::awaitable<void> monitor_group_contact();
  /// Looks up the storage nodes, first at other gateways to save calls to the
  /// object store.
  asio::awaitable<bool> look_up_members(bool may_ask_store);
  void on_message(const wire::Envelope &envelope);
  void on_crash_notice(const wire::CrashNotice &notice);
  [[nodiscard]] objects::relay_order relays() const;
  asio::awaitable<void> drain();
  void on_reload();

  asio::io_context &io_;
  gateway_settings settings_;
  const gateway_binding &binding_;
  const std::function<std::optional<gateway_settings>()> &reload_;
  std::vector<std::unique_ptr<objects::peer_listing>> peers_;
  std::vector<objects::listing_source *> sources_;
  peer_contacts contacts_;
  objects::object_cache cache_;
  std::unique_ptr<rpc::transport> transport_;
  records::partitioned_ledger ledger_;
  gateway gateway_;
  drain_monitor drain_monitor_;
  std::optional<objects::object_watch> configuration_watch_;
  std::optional<objects::object_watch> instance_watch_;
  /// Set only when zones may be drained.
  std::optional<objects::object_watch> drain_watch_;
  objects::object_follower follower_;
  std::optional<tcp::acceptor> acceptor_;
  std::optional<runtime::process_signals> signals_;
};

std::string advertised_rpc(const gateway_settings &settings) {
  return settings.advertised_rpc_address.empty()
             ? settings.rpc_address
             : settings.advertised_rpc_address;
}

/// Returns the seeds without this gateway.
std::vector<std::string> other_seeds(const gateway_settings &settings) {
  std::vector<std::string> others = settings.seeds;
  std::erase(others, settings.peer_address);
  return others;
}

gateway_options options_from(const gateway_settings &settings,
                             const routing::topology &places,
                             const gateway_binding &binding) {
  gateway_options options;
  options.name = settings.name;
  options.headers = binding.headers;
  const std::size_t memory = settings.memory_mb * (std::size_t{1} << 20U);
  options.held_bytes_limit = memory / 5 * 2;
  if (memory > 0) {
    options.large_answers_limit = memory / large_answers_part;
  }
  options.selection = {
      .places = places,
      .policies = policies_without(settings.disabled_policies),
      .gateway_key = stable_hash(settings.name),
      .zone_drain = settings.zone_drain,
      .drain_notice = settings.drain_notice,
      .slow_start = {.overshoot = settings.slow_start_overshoot,
                     .slack = settings.slow_start_slack}};
  const auto window = std::chrono::duration_cast<duration_ms>(
      std::chrono::duration<double>(settings.quota_window_seconds));
  options.tenants = {.key_revocation = settings.key_revocation,
                     .quota = {.window = window,
                               .overshoot = settings.quota_overshoot,
                               .slack = settings.quota_slack}};
  return options;
}

gateway_process::gateway_process(
    asio::io_context &io, gateway_settings settings,
    const routing::topology &places, const gateway_binding &binding,
    const std::function<std::optional<gateway_settings>()> &reload)
    : io_(io), settings_(std::move(settings)), binding_(binding),
      reload_(reload), contacts_(io, other_seeds(settings_)),
      ledger_(
          io, make_ledger_options(),
          records::partition_count(settings_.partitions,
                                   settings_.tolerated_losses,
                                   settings_.store_writes_per_second),
          [this](const std::string &address, const wire::Envelope &envelope) {
            send(address, envelope);
          }),
      gateway_(io, options_from(settings_, places, binding), ledger_),
      drain_monitor_(gateway_.replicas(), gateway_.metrics()),
      follower_(
          io,
          {.address = advertised_rpc(settings_),
           .further_relays =
               static_cast<std::size_t>(settings_.tolerated_losses)},
          [this] { return relays(); },
          [this](const std::string &address, const wire::Envelope &envelope) {
            send(address, envelope);
          }) {
  for (const std::string &seed : other_seeds(settings_)) {
    peers_.push_back(std::make_unique<objects::peer_listing>(io, seed));
    sources_.push_back(peers_.back().get());
  }
  gateway_.set_unconfirmed_everywhere(
      [this] { return follower_.no_relay_is_current(); });
  gateway_.set_replicas_are_current([this] {
    return steady_now() < follower_.confirmed_at() + max_listing_age;
  });
  const auto not_relayed = [this] { return !follower_.is_current(); };
  const auto no_relay_is_current = [this] {
    return follower_.no_relay_is_current();
  };
  configuration_watch_.emplace(
      io, *binding.store, sources_, cache_,
      objects::watch_options{
          .kind = binding.configuration_kind,
          .long_poll_timeout =
              objects::gateway_poll_timeout(settings_.drain_notice),
          .enabled = not_relayed,
          .store_down_for_others = no_relay_is_current,
          .confirm_interval =
              2 * objects::confirm_interval(settings_.key_revocation)},
      configuration_handlers());
  instance_watch_.emplace(
      io, *binding.store, sources_, cache_,
      objects::watch_options{
          .kind = binding.instance_kind,
          .long_poll_timeout =
              objects::gateway_poll_timeout(settings_.drain_notice),
          .min_poll_interval =
              objects::instance_poll_interval(settings_.drain_notice),
          .enabled = not_relayed,
          .store_down_for_others = no_relay_is_current},
      instance_handlers());
  follower_.add(binding.configuration_kind, *configuration_watch_);
  follower_.add(binding.instance_kind, *instance_watch_);
  if (settings_.zone_drain.count() > 0) {
    drain_watch_.emplace(
        io, *binding.store, sources_, cache_,
        objects::watch_options{
            .kind = binding.zone_drain_kind,
            // Half of the limit, so that a lost answer is noticed in time. No
            // explicit confirmation is requested, since every gateway would do
            // so during an outage of the store.
            .long_poll_timeout = settings_.zone_drain / 2,
            .enabled = not_relayed,
            .store_down_for_others = no_relay_is_current},
        drain_monitor_.handlers());
    follower_.add(binding.zone_drain_kind, *drain_watch_);
  }
}

objects::relay_order gateway_process::relays() const {
  return objects::relays_of_gateway(
      records::relay_addresses(ledger_.members()),
      static_cast<std::size_t>(settings_.tolerated_losses) + 1,
      settings_.places.zone);
}

void gateway_process::on_message(const wire::Envelope &envelope) {
  if (envelope.has_object_copies()) {
    const wire::ObjectCopies &copies = envelope.object_copies();
    follower_.on_copies(copies);
    const bool long_list =
        std::ranges::any_of(copies.kinds(), [](const wire::CopiedKind &each) {
          return each.inflated_bytes() > 0;
        });
    if (long_list) {
      // What the list took while it was decoded is given back once the message
      // is gone.
      asio::post(io_, [] { ::malloc_trim(0); });
    }
  } else if (envelope.has_crash_notice()) {
    on_crash_notice(envelope.crash_notice());
  } else {
    ledger_.on_message(envelope);
  }
}

void gateway_process::on_crash_notice(const wire::CrashNotice &notice) {
  gateway_.crashes().add(request_identity{notice.request()}, steady_now());
  if (notice.sent_to() != 0) {
    gateway_.replicas().on_isolated_elsewhere(
        notice.sent_to(), request_identity{notice.request()});
  }
  if (notice.left() != 0) {
    gateway_.replicas().on_left_elsewhere(notice.left(), notice.has_ended());
  }
}

void gateway_process::send(const std::string &address,
                           const wire::Envelope &envelope) {
  transport_->send(address, envelope);
}

records::ledger_options gateway_process::make_ledger_options() {
  records::ledger_options options;
  options.address = advertised_rpc(settings_);
  options.seen = [this] {
    wire::SeenRevisions seen;
    seen.set_configuration(configuration_watch_->newest_object_revision());
    seen.set_instances(instance_watch_->newest_object_revision());
    if (drain_watch_) {
      seen.set_zone_drains(drain_watch_->newest_object_revision());
    }
    return seen;
  };
  options.loads = [this] { return gateway_.replicas().engine_loads(); };
  options.on_loads = [this](const wire::SharedLoads &shared) {
    gateway_.metrics().set_sharing_gateways(shared.gateways());
    gateway_.replicas().apply_shared_loads(shared);
  };
  options.on_seen = [this](const wire::SeenRevisions &seen) {
    configuration_watch_->hint(seen.configuration());
    instance_watch_->hint(seen.instances());
    if (drain_watch_) {
      drain_watch_->hint(seen.zone_drains());
    }
  };
  return options;
}

objects::object_watch::handlers gateway_process::configuration_handlers() {
  return {
      .on_listing =
          [this](const objects::listing &listed) {
            for (const objects::object &each : listed.items) {
              apply_configuration(each);
            }
          },
      .on_change =
          [this](const objects::change &changed) {
            if (!changed.deleted) {
              apply_configuration(changed.changed);
            }
          },
      .on_confirmed =
          [this](timestamp moment) { gateway_.confirm_configuration(moment); }};
}

objects::object_watch::handlers gateway_process::instance_handlers() {
  return {.on_listing =
              [this](const objects::listing &listed) {
                std::vector<routing::instance_record> records;
                std::vector<routing::rejected_entry> rejected;
                for (const objects::object &each : listed.items) {
                  auto read = binding_.read_instance(
                      each.name, each.specification.parse());
                  if (read) {
                    records.push_back(std::move(read).value());
                  } else {
                    rejected.push_back(
                        {.name = each.name, .reason = describe(read.error())});
                  }
                }
                gateway_.replicas().replace_all(std::move(records), rejected);
              },
          .on_change =
              [this](const objects::change &changed) {
                const routing::instance_id id{changed.changed.name};
                if (changed.deleted) {
                  gateway_.replicas().remove(id);
                  return;
                }
                auto read = binding_.read_instance(
                    id.value(), changed.changed.specification.parse());
                if (read) {
                  gateway_.replicas().put(std::move(read).value());
                } else {
                  gateway_.replicas().reject(id, describe(read.error()));
                }
              }};
}

void gateway_process::apply_configuration(const objects::object &object) {
  if (object.name != binding_.configuration_name) {
    return;
  }
  auto read = binding_.read_configuration(object.specification.parse());
  if (!read) {
    logging::line(logging::event::routes_rejected)
        .field("object", object.name)
        .field("revision", object.revision)
        .field("reason", describe(read.error()))
        .write();
    return;
  }
  gateway_.apply_routes(std::move(read).value());
}

http::page gateway_process::peer_page(std::string_view target) {
  if (target == peer_contact_path) {
    return ledger_.failure_detector().heard_lately(steady_now())
               ? http::page{.body = "heard\n"}
               : http::page{.status = status_unavailable,
                            .body = "not heard\n"};
  }
  if (!target.starts_with(objects::peer_objects_path)) {
    return {.status = status_not_found, .body = {}};
  }
  const std::string kind(target.substr(objects::peer_objects_path.size()));
  const auto known = kind == records::member_kind
                         ? std::optional(records::to_listing(ledger_.members()))
                         : cache_.find(kind);
  if (!known) {
    return {.status = status_unavailable, .body = {}};
  }
  return {.body = objects::encode_listing(*known),
          .content_type = "application/json"};
}

result<void> gateway_process::start() {
  auto transport = rpc::transport::start(
      {.address = settings_.rpc_address, .cluster = record_cluster},
      [this](wire::Envelope envelope) {
        asio::post(io_, [this, message = std::move(envelope)] {
          on_message(message);
        });
      });
  if (!transport) {
    return transport.error();
  }
  transport_ = std::move(transport).value();
  auto acceptor = http::listen(io_, settings_.client_address);
  if (!acceptor) {
    return acceptor.error();
  }
  acceptor_.emplace(std::move(acceptor).value());
  BOOST_OUTCOME_TRY(http::serve_pages(
      io_, settings_.readiness_address, [this](std::string_view) {
        return gateway_.ready() ? http::page{.body = "ready\n"}
                                : http::page{.status = status_unavailable,
                                             .body = "not ready\n"};
      }));
  BOOST_OUTCOME_TRY(http::serve_pages(
      io_, settings_.peer_address,
      [this](std::string_view target) { return peer_page(target); }));
  BOOST_OUTCOME_TRY(http::serve_pages(
      io_, settings_.metrics_address, [this](std::string_view target) {
        gateway_.refresh_metrics();
        drain_monitor_.refresh_metrics(steady_now());
        return target == "/metrics"
                   ? http::page{.body = gateway_.metrics().text()}
                   : http::page{.status = status_not_found, .body = {}};
      }));
  for (objects::object_watch *watch :
       {&*configuration_watch_, &*instance_watch_}) {
    asio::co_spawn(io_, watch->run(), asio::detached);
    asio::co_spawn(io_, watch->relist_when_behind(), asio::detached);
  }
  asio::co_spawn(io_, configuration_watch_->confirm_periodically(),
                 asio::detached);
  if (drain_watch_) {
    asio::co_spawn(io_, drain_watch_->run(), asio::detached);
    asio::co_spawn(io_, drain_watch_->relist_when_behind(), asio::detached);
  }
  asio::co_spawn(io_, follower_.run(), asio::detached);
  asio::co_spawn(io_, find_record_group(), asio::detached);
  asio::co_spawn(io_, monitor_group_contact(), asio::detached);
  asio::co_spawn(io_, ledger_.run(), asio::detached);
  asio::co_spawn(io_, accept_clients(gateway_, *acceptor_), asio::detached);
  asio::co_spawn(io_, housekeeping(), asio::detached);
  signals_.emplace(
      io_, [this] { asio::co_spawn(io_, drain(), asio::detached); },
      [this] { on_reload(); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<void> gateway_process::housekeeping() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(housekeeping_interval);
    co_await timer.async_wait(as_result);
    gateway_.pool().close_expired(steady_now());
    drain_monitor_.check(steady_now());
    gateway_.replicas().end_slow_starts();
    gateway_.crashes().remove_expired(steady_now());
  }
}

asio::awaitable<void> gateway_process::find_record_group() {
  asio::steady_timer timer(io_);
  // A seed must not wait for gateways that are waiting for it.
  const bool is_seed = other_seeds(settings_).size() < settings_.seeds.size();
  int rounds = is_seed ? rounds_without_store : 0;
  duration_ms pause = initial_lookup_interval;
  while (true) {
    if (ledger_.is_unresponsive()) {
      const bool knew_some = ledger_.members().members_size() > 0;
      co_await look_up_members(knew_some || rounds >= rounds_without_store);
      ++rounds;
      // The nodes change rarely, so back off while some are known.
      pause = knew_some ? std::min(2 * pause, max_lookup_interval)
                        : initial_lookup_interval;
    } else {
      pause = initial_lookup_interval;
    }
    timer.expires_after(pause);
    co_await timer.async_wait(as_result);
  }
}

asio::awaitable<bool> gateway_process::look_up_members(bool may_ask_store) {
  const std::string kind(records::member_kind);
  const std::size_t before =
      static_cast<std::size_t>(ledger_.members().members_size());
  for (objects::listing_source *peer : sources_) {
    const auto listed = co_await peer->list(kind);
    if (listed && !listed.value().items.empty()) {
      ledger_.learn_members(records::members_from(listed.value()));
      const bool learnt =
          static_cast<std::size_t>(ledger_.members().members_size()) > before;
      if (learnt) {
        co_return true;
      }
    }
  }
  if (!may_ask_store) {
    co_return false;
  }
  const auto listed = co_await binding_.store->list(kind);
  if (listed) {
    ledger_.learn_members(records::members_from(listed.value()));
  }
  co_return listed.has_value();
}

asio::awaitable<void> gateway_process::monitor_group_contact() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(contact_check);
    co_await timer.async_wait(as_result);
    ledger_.check_reachability();
    if (ledger_.failure_detector().state() !=
        records::group_reachability::reachable) {
      ledger_.on_peer_reachability(co_await contacts_.poll());
    }
  }
}

asio::awaitable<void> gateway_process::drain() {
  const timestamp begun = steady_now();
  logging::line(logging::event::daemon_stopping)
      .field("open_requests", gateway_.open_requests())
      .write();
  gateway_.begin_drain();
  const auto grace = std::chrono::duration_cast<duration_ms>(
      std::chrono::duration<double>(settings_.grace_seconds));
  const timestamp last = begun + grace - exit_margin;
  asio::steady_timer timer(io_);
  while (steady_now() < last) {
    const bool idle = gateway_.open_requests() == 0 && ledger_.unsettled() == 0;
    if (steady_now() >= begun + min_drain) {
      // The entry may still send clients here if its zone has no other gateway.
      gateway_.refuse_new_requests();
      if (idle) {
        break;
      }
    }
    timer.expires_after(drain_check);
    co_await timer.async_wait(as_result);
  }
  logging::line(logging::event::daemon_stopped)
      .field("open_requests", gateway_.open_requests())
      .field("unsettled", ledger_.unsettled())
      .write();
  std::_Exit(EXIT_SUCCESS);
}

void gateway_process::on_reload() {
  const auto fresh = reload_();
  if (!fresh) {
    return; // logged where the settings are read
  }
  logging::line(logging::event::settings_reloaded)
      .field("log_level_before", settings_.log_level)
      .field("log_level", fresh->log_level)
      .field("seeds", fresh->seeds.size())
      .write();
  settings_.log_level = fresh->log_level;
  settings_.grace_seconds = fresh->grace_seconds;
  logging::set_min_severity(logging::severity_from(fresh->log_level));
}

} // namespace

int run_gateway(
    asio::io_context &io, const gateway_settings &settings,
    const gateway_binding &binding,
    const std::function<std::optional<gateway_settings>()> &reload) {
  const auto places = routing::topology::from_settings(settings.places);
  if (!places) {
    logging::write(logging::event::settings_rejected, describe(places.error()));
    return config::exit_code_bad_settings;
  }
  gateway_process process(io, settings, places.value(), binding, reload);
  const auto started = process.start();
  if (!started) {
    logging::write(logging::event::http_server_failed,
                   describe(started.error()));
    return EXIT_FAILURE;
  }
  logging::line(logging::event::daemon_started)
      .field("clients", settings.client_address)
      .field("rpc", settings.rpc_address)
      .write();
  io.run();
  return EXIT_SUCCESS;
}

} // namespace heathtrestle::forwarding
