#include "records/store_process.hpp"

#include "base/random.hpp"
#include "http/status_server.hpp"
#include "logging/log.hpp"
#include "objects/object_follower.hpp"
#include "objects/object_relay.hpp"
#include "objects/object_watch.hpp"
#include "objects/peer_listing.hpp"
#include "records/group_directory.hpp"
#include "records/record_runtime.hpp"
#include "records/retirement_watch.hpp"
#include "runtime/process_signals.hpp"

#include <cstdlib>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace heathtrestle::records {

namespace {

constexpr std::uint32_t status_not_found = 404;

/// Watch options of the objects relayed to gateways.
std::vector<objects::watch_options>
relayed_kinds(const store_settings &settings, const store_binding &binding) {
  const duration_ms relay_wait =
      objects::relay_poll_timeout(settings.drain_notice);
  std::vector<objects::watch_options> watches{
      {.kind = binding.configuration_kind,
       .long_poll_timeout = relay_wait,
       .confirm_interval = objects::confirm_interval(settings.key_revocation)},
      {.kind = binding.instance_kind,
       .long_poll_timeout = relay_wait,
       .min_poll_interval =
           objects::instance_poll_interval(settings.drain_notice)}};
  if (settings.zone_drain.count() > 0) {
    watches.push_back({.kind = binding.zone_drain_kind,
                       .long_poll_timeout = relay_wait,
                       .confirm_interval = objects::drain_confirm_interval(
                           settings.zone_drain)});
  }
  return watches;
}

} // namespace

void describe_settings(config::settings_schema &schema,
                       store_settings &settings) {
  constexpr std::uint64_t most_lines = 100000;
  constexpr std::uint64_t longest_drain_notice = 60000;
  constexpr std::uint64_t longest_zone_drain = 600000;
  constexpr std::uint64_t longest_revocation = 600000;
  schema.text("node.name", settings.name,
              "name of this process, unique among the storage nodes", true);
  routing::describe_places(schema, settings.places);
  schema.address("listen.rpc", settings.rpc_address,
                 "where gateways and storage nodes reach this one", true);
  schema.address("advertise.rpc", settings.advertised_rpc_address,
                 "the address that is told to others in place of listen.rpc, "
                 "where a relay stands before it");
  schema.address("listen.metrics", settings.metrics_address,
                 "where counters are served at /metrics", true);
  schema.text("data.directory", settings.data_directory,
              "folder on the machine's disk, for this process alone", true);
  schema.flag("cluster.first_start", settings.first_start,
              "whether the whole system starts for the first time, with empty "
              "disks");
  schema.integer("cluster.tolerated_losses", settings.tolerated_losses, 0,
                 max_tolerated_losses,
                 "storage nodes that may be lost at once, disks and all: the "
                 "group has twice as many voters and one more, three at least");
  describe_partitions(schema, settings.partitions,
                      settings.store_writes_per_second);
  schema.texts("cluster.seeds", settings.seeds,
               "peer addresses to ask while the object store is down; they "
               "may be stale");
  schema.address("store.address", settings.store_address,
                 "the platform's object store", true);
  schema.milliseconds("timing.drain_notice_ms", settings.drain_notice, 1,
                      longest_drain_notice,
                      "milliseconds for which a replica may get new work after "
                      "its leaving was recorded");
  schema.milliseconds("timing.zone_drain_ms", settings.zone_drain, 0,
                      longest_zone_drain,
                      "milliseconds from the operator's request to drain a "
                      "zone until its replicas get nothing more; the zones "
                      "that are drained are watched for gateways; 0 for not "
                      "at all");
  schema.milliseconds("tenants.key_revocation_ms", settings.key_revocation, 0,
                      longest_revocation,
                      "milliseconds within which a key that was taken away "
                      "stops working; the copies that gateways follow are "
                      "confirmed several times as often; 0 for no such "
                      "promise");
  schema.choice("log.level", settings.log_level,
                {"debug", "info", "warning", "error"},
                "least severity that is logged");
  schema.integer("log.lines_per_second", settings.log_lines, 1, most_lines,
                 "lines a second that are logged at most, and as many again "
                 "of warnings; the rest is counted");
}

namespace {

/// Forwards a gateway's notice to the followers of this node. Some of them are
/// storage nodes, which the gateway has told itself.
void forward_to_gateways(const wire::CrashNotice &notice,
                         objects::object_relay &relay) {
  if (notice.forwarded()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_crash_notice() = notice;
  envelope.mutable_crash_notice()->set_forwarded(true);
  relay.broadcast(envelope);
}

} // namespace

int run_store(asio::io_context &io, const store_settings &settings,
              const store_binding &binding) {
  const auto places = routing::topology::from_settings(settings.places);
  if (!places) {
    logging::write(logging::event::settings_rejected, describe(places.error()));
    return config::exit_code_bad_settings;
  }
  const std::size_t partitions =
      partition_count(settings.partitions, settings.tolerated_losses,
                      settings.store_writes_per_second);
  auto disks = open_partitions(settings.data_directory, partitions,
                               draw_system_random());
  if (!disks) {
    logging::write(logging::event::record_storage_failed,
                   describe(disks.error()));
    return EXIT_FAILURE;
  }
  for (std::size_t number = 0; number < partitions; ++number) {
    const recovered_state &found = disks.value()[number].recovered;
    logging::line(logging::event::record_log_recovered)
        .field("partition", number)
        .field("identity", fmt::format("{:016x}", found.identity.value()))
        .field("new_disk", found.is_new)
        .field("base", found.replica.base.index)
        .field("entries", found.replica.entries.size())
        .field("bytes", disks.value()[number].disk->log_bytes())
        .field("term", found.replica.hard.term)
        .write();
  }
  wire::RecordMember self;
  self.set_name(settings.name);
  self.set_address(settings.advertised_rpc_address.empty()
                       ? settings.rpc_address
                       : settings.advertised_rpc_address);
  self.set_zone(places.value().zone());
  self.set_region(places.value().region());
  const record_node_options options{
      .size = group_size::tolerating(settings.tolerated_losses, partitions)};
  record_runtime runtime(io, self, std::move(disks).value(), options);
  const auto started = runtime.start(settings.rpc_address);
  if (!started) {
    logging::write(logging::event::http_server_failed,
                   describe(started.error()));
    return EXIT_FAILURE;
  }
  std::vector<std::unique_ptr<objects::peer_listing>> peers;
  std::vector<objects::listing_source *> sources;
  for (const std::string &seed : settings.seeds) {
    peers.push_back(std::make_unique<objects::peer_listing>(io, seed));
    sources.push_back(peers.back().get());
  }
  group_directory directory(io, *binding.store, sources, runtime,
                            settings.first_start);
  asio::co_spawn(io, directory.run(), asio::detached);
  const auto send = [&runtime](const std::string &address,
                               const wire::Envelope &envelope) {
    runtime.send_to(address, envelope);
  };
  const auto watchers = static_cast<std::size_t>(settings.tolerated_losses) + 1;
  objects::object_follower upstream(
      io, {.address = runtime.self().address()},
      [&runtime, &settings, watchers] {
        return objects::relays_of_node(relay_addresses(runtime.members()),
                                       watchers, settings.name);
      },
      send);
  objects::object_relay relay(io, *binding.store, runtime.self().address(),
                              relayed_kinds(settings, binding), send);
  relay.follow(upstream);
  runtime.on_copies([&upstream](const wire::ObjectCopies &copies) {
    upstream.on_copies(copies);
  });
  runtime.on_follow(
      [&relay](const wire::FollowObjects &follow) { relay.on_follow(follow); });
  runtime.on_crash_notice([&relay](const wire::CrashNotice &notice) {
    forward_to_gateways(notice, relay);
  });
  relay.start();
  retirement_watch retirements(io, binding, runtime);
  retirements.start();
  const auto pages = http::serve_pages(
      io, settings.metrics_address, [&runtime](std::string_view target) {
        return target == "/metrics"
                   ? http::page{.body = runtime.metrics()}
                   : http::page{.status = status_not_found, .body = {}};
      });
  if (!pages) {
    logging::write(logging::event::http_server_failed, describe(pages.error()));
  }
  runtime::process_signals signals(
      io,
      [] {
        // All acknowledged state is durable, so nothing has to be finished
        // before exiting; the group elects another leader.
        logging::line(logging::event::daemon_stopped).write();
        std::_Exit(EXIT_SUCCESS);
      },
      [] { logging::line(logging::event::settings_reloaded).write(); });
  logging::line(logging::event::daemon_started)
      .field("rpc", settings.rpc_address)
      .field("first_start", settings.first_start)
      .write();
  io.run();
  return EXIT_SUCCESS;
}

} // namespace heathtrestle::records
