#include "forwarding/drain_monitor.hpp"

#include "base/time.hpp"
#include "logging/log.hpp"
#include "runtime/asio.hpp"

#include <vector>

namespace heathtrestle::forwarding {

namespace {

/// Returns the age of the drain list in milliseconds; -1 if it was never
/// confirmed.
std::int64_t age_ms(const routing::zone_drains &drains, timestamp now) {
  const auto age = drains.age(now);
  return age ? age->count() : -1;
}

} // namespace

objects::object_watch::handlers drain_monitor::handlers() {
  return {.on_listing =
              [this](const objects::listing &listed) {
                // A drain request that is being deleted still counts; the drain
                // ends only once the object is gone.
                std::set<std::string> zones;
                for (const objects::object &each : listed.items) {
                  zones.insert(each.name);
                }
                apply_listing(zones, steady_now());
              },
          .on_change =
              [this](const objects::change &changed) {
                if (changed.deleted) {
                  end(changed.changed.name, steady_now());
                } else {
                  begin(changed.changed.name, steady_now());
                }
              },
          .on_confirmed =
              [this](timestamp moment) { replicas_.drains().confirm(moment); }};
}

void drain_monitor::apply_listing(const std::set<std::string> &zones,
                                  timestamp now) {
  std::vector<std::string> ended;
  for (const auto &[zone, drain] : replicas_.drains().all()) {
    if (!zones.contains(zone)) {
      ended.push_back(zone);
    }
  }
  for (const std::string &zone : ended) {
    end(zone, now);
  }
  for (const std::string &zone : zones) {
    begin(zone, now);
  }
  replicas_.drains().set_known();
}

void drain_monitor::begin(const std::string &zone, timestamp now) {
  routing::zone_drains &drains = replicas_.drains();
  const std::int64_t age = age_ms(drains, now);
  if (!drains.put(zone, now)) {
    return;
  }
  const routing::zone_shift &shift = drains.all().at(zone).shift;
  logging::line(logging::event::zone_drain_begun)
      .field("zone", zone)
      .field("known_age_ms", age)
      .field("moves_for_ms", (shift.end - shift.begin).count())
      .field("running", replicas_.running_in(zone))
      .write();
}

void drain_monitor::end(const std::string &zone, timestamp now) {
  routing::zone_drains &drains = replicas_.drains();
  const auto found = drains.all().find(zone);
  if (found == drains.all().end()) {
    return;
  }
  const duration_ms heard_for = now - found->second.heard;
  drains.remove(zone, now);
  logging::line(logging::event::zone_drain_ended)
      .field("zone", zone)
      .field("drained_for_ms", heard_for.count())
      .write();
}

void drain_monitor::check(timestamp now) {
  std::vector<std::string> quiet;
  for (const auto &[zone, drain] : replicas_.drains().all()) {
    const bool moved = now >= drain.shift.end;
    if (!drain.idle && moved && replicas_.running_in(zone) == 0) {
      quiet.push_back(zone);
    }
  }
  for (const std::string &zone : quiet) {
    const duration_ms taken = now - replicas_.drains().all().at(zone).heard;
    replicas_.drains().set_idle(zone);
    logging::line(logging::event::zone_quiet)
        .field("zone", zone)
        .field("after_ms", taken.count())
        .write();
  }
}

void drain_monitor::refresh_metrics(timestamp now) {
  const routing::zone_drains &drains = replicas_.drains();
  std::uint32_t running = 0;
  for (const auto &[zone, drain] : drains.all()) {
    running += replicas_.running_in(zone);
  }
  const auto age = drains.age(now);
  metrics_.set_zone_drains(drains.all().size(), running,
                           age ? std::chrono::duration<double>(*age).count()
                               : -1);
}

} // namespace heathtrestle::forwarding
