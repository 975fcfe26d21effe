// Measures what a gateway's view of the replicas costs by the number of
// replicas: a whole listing, a load report, and a choice, once among all
// replicas and once among a shortlist.
#include "forwarding/replica_selector.hpp"
#include "logging/log.hpp"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <limits>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace {

using namespace heathtrestle;

const routing::service_id engines{"engines"};
constexpr std::size_t zone_count = 5;
/// Engines that a load report names.
constexpr std::size_t reported_engines = 120;
constexpr std::size_t rounds = 200;

std::vector<routing::instance_record> make_records(std::size_t count) {
  std::vector<routing::instance_record> records;
  for (std::size_t number = 0; number < count; ++number) {
    records.push_back(
        {.id = routing::instance_id{fmt::format("i-{:08x}", number * 40503)},
         .service = engines,
         .address = "10.0.0.1:8000",
         .zone = fmt::format("zone-{}", number % zone_count),
         .slots = 6,
         .born_ms = 1000});
  }
  return records;
}

/// Returns the microseconds that `work` takes.
template <typename Work> double time_us(Work work) {
  const auto begun = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - begun)
      .count();
}

forwarding::selector_options options_with(std::size_t whole_up_to) {
  forwarding::selector_options options;
  options.places = routing::topology("zone-0");
  options.shortlist.whole_up_to = whole_up_to;
  return options;
}

wire::SharedLoads report_on(const forwarding::replica_selector &selector) {
  wire::SharedLoads shared;
  const auto &all = selector.directory().replicas_of(engines);
  for (std::size_t number = 0; number < reported_engines; ++number) {
    const auto &each = all[number * all.size() / reported_engines];
    shared.mutable_others()->add_replicas(each->load_key);
    shared.mutable_others()->add_running(2);
  }
  return shared;
}

/// Returns the microseconds of one choice, in the mean over turns of different
/// conversations.
double choice_us(forwarding::replica_selector &selector) {
  forwarding::client_request request;
  return time_us([&] {
           for (std::size_t round = 0; round < rounds; ++round) {
             request.prompt = {{.id = 7, .tokens = 12600},
                               {.id = 1000 + round, .tokens = 800}};
             const auto chosen = selector.choose(engines, {}, request, {});
             selector.record_prefix(chosen.target, request.prompt, 40);
           }
         }) /
         static_cast<double>(rounds);
}

void measure(std::size_t count) {
  asio::io_context io;
  forwarding::upstream_pool pool(io, {});
  forwarding::replica_selector whole(
      options_with(std::numeric_limits<std::size_t>::max()), pool);
  forwarding::replica_selector shortlisted(options_with(128), pool);
  const double listing_us =
      time_us([&] { shortlisted.replace_all(make_records(count)); });
  whole.replace_all(make_records(count));
  const wire::SharedLoads shared = report_on(shortlisted);
  const double report_us =
      time_us([&] {
        for (std::size_t round = 0; round < rounds; ++round) {
          shortlisted.apply_shared_loads(shared);
        }
      }) /
      static_cast<double>(rounds);
  whole.apply_shared_loads(shared);
  fmt::print("{:>8} {:>14.1f} {:>14.2f} {:>10.1f} {:>12.1f} {:>14.1f}\n", count,
             listing_us / 1000, listing_us / static_cast<double>(count),
             report_us, choice_us(whole), choice_us(shortlisted));
}

} // namespace

int main() {
  try {
    heathtrestle::logging::configure("selection-bench",
                                     heathtrestle::logging::severity::error);
    fmt::print("{:>8} {:>14} {:>14} {:>10} {:>12} {:>14}\n", "replicas",
               "listing ms", "us a record", "report us", "choice us",
               "shortlisted us");
    for (const std::size_t count : {300U, 1000U, 3000U, 10000U, 30000U}) {
      measure(count);
    }
  } catch (const std::exception &failure) {
    std::fputs(failure.what(), stderr);
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
