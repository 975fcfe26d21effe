#include "bench/driver.hpp"

#include "bench/program_player.hpp"
#include "bench/statistics.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <future>
#include <mutex>
#include <set>

namespace heathtrestle::bench {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::string_view booking_tool = "booking";
constexpr std::chrono::seconds release_timeout{20};
constexpr std::chrono::milliseconds release_poll_interval{200};

json::object get_object(http::client &client, const std::string &address,
                        const std::string &path) {
  http::request request;
  request.path = path;
  const auto answer = client.send(address, request);
  boost::system::error_code failure;
  json::value value =
      answer ? json::parse(answer.value().body, failure) : json::value();
  return value.is_object() ? std::move(value.as_object()) : json::object();
}

void count_bookings(http::client &client, const driver_options &options,
                    run_report &report) {
  const json::object counts =
      get_object(client, options.platform,
                 fmt::format("/v1/tools/{}/counts", booking_tool));
  const std::string marker = fmt::format("/{}-", options.run);
  for (const json::key_value_pair &entry : counts) {
    const std::string key(entry.key());
    if (key.find(marker) == std::string::npos) {
      continue; // a booking of another run
    }
    const auto runs = entry.value().to_number<std::uint32_t>();
    report.bookings_run += runs > 0 ? 1 : 0;
    report.bookings_repeated += runs > 1 ? 1 : 0;
  }
}

/// Counts the programs of this run that still have engine memory.
std::uint32_t count_programs_in_caches(http::client &client,
                                       const driver_options &options,
                                       const std::set<std::string> &own) {
  std::set<std::string> cached_programs;
  for (const std::string &engine : options.engines) {
    const json::object held = get_object(client, engine, "/v1/cache/programs");
    const json::value *programs = held.if_contains("programs");
    if (programs == nullptr) {
      continue;
    }
    for (const json::value &program : programs->as_array()) {
      const std::string id(program.at("program").as_string());
      if (own.contains(id)) {
        cached_programs.insert(id);
      }
    }
  }
  return static_cast<std::uint32_t>(cached_programs.size());
}

void wait_for_release(http::client &client, const driver_options &options,
                      run_report &report) {
  std::set<std::string> own;
  for (const program_result &program : report.programs) {
    own.insert(program.id);
  }
  const auto deadline = steady::now() + release_timeout;
  do {
    report.programs_holding_memory =
        count_programs_in_caches(client, options, own);
    if (report.programs_holding_memory == 0) {
      return;
    }
    boost::this_fiber::sleep_for(release_poll_interval);
  } while (steady::now() < deadline);
}

std::vector<double> latencies_of(const run_report &report,
                                 const std::string &program_class) {
  std::vector<double> latencies;
  for (const program_result &program : report.programs) {
    if (program.finished && program.program_class == program_class) {
      latencies.push_back(program.latency_ms);
    }
  }
  return latencies;
}

} // namespace

std::uint32_t run_report::finished() const {
  return static_cast<std::uint32_t>(
      std::count_if(programs.begin(), programs.end(),
                    [](const program_result &each) { return each.finished; }));
}

bool run_report::succeeded() const {
  std::uint32_t confirmed = 0;
  std::uint32_t unknown = 0;
  bool programs_right = true;
  for (const program_result &program : programs) {
    programs_right =
        programs_right && program.finished && program.history_right;
    confirmed += program.bookings_confirmed;
    unknown += program.bookings_unknown;
  }
  const bool bookings_right = bookings_repeated == 0 &&
                              bookings_run >= confirmed &&
                              bookings_run <= confirmed + unknown;
  return programs_right && bookings_right && programs_holding_memory == 0;
}

run_report run_workload(http::client &client, runtime::fiber_pool &fibers,
                        const driver_options &options,
                        const std::vector<program_plan> &programs) {
  run_report report;
  report.programs.resize(programs.size());
  std::mutex mutex;
  std::size_t left = programs.size();
  std::promise<void> all_played;
  const auto began = steady::now();
  for (std::size_t number = 0; number < programs.size(); ++number) {
    fibers.spawn([&, number] {
      // Open loop: the arrival does not wait for earlier programs.
      boost::this_fiber::sleep_until(began + programs[number].arrival);
      program_player player(client, options, programs[number], number);
      program_result result = player.play();
      const std::scoped_lock lock(mutex);
      report.programs[number] = std::move(result);
      if (--left == 0) {
        all_played.set_value();
      }
    });
  }
  if (!programs.empty()) {
    all_played.get_future().wait();
  }
  std::promise<void> checked;
  fibers.spawn([&] {
    count_bookings(client, options, report);
    wait_for_release(client, options, report);
    checked.set_value();
  });
  checked.get_future().wait();
  return report;
}

std::string format_report(const run_report &report) {
  std::uint32_t histories = 0;
  std::uint32_t confirmed = 0;
  std::uint32_t unknown = 0;
  std::uint32_t retries = 0;
  std::uint32_t refusals = 0;
  std::uint32_t calls = 0;
  std::set<std::string> classes;
  std::string errors;
  for (const program_result &program : report.programs) {
    histories += program.history_right ? 1 : 0;
    confirmed += program.bookings_confirmed;
    unknown += program.bookings_unknown;
    retries += program.retries;
    refusals += program.refusals;
    calls += program.calls;
    classes.insert(program.program_class);
    if (!program.first_error.empty()) {
      errors += "  " + program.first_error + "\n";
    }
  }
  std::string text = fmt::format(
      "programs finished      {} of {}, {} calls\n"
      "histories checked      {} right of {}\n"
      "bookings               {} confirmed, {} unknown, {} ran, {} ran twice\n"
      "engine memory held     by {} ended programs\n"
      "callers' repeats       {} after broken connections, {} after refusals\n",
      report.finished(), report.programs.size(), calls, histories,
      report.programs.size(), confirmed, unknown, report.bookings_run,
      report.bookings_repeated, report.programs_holding_memory, retries,
      refusals);
  for (const std::string &each : classes) {
    const std::vector<double> latencies = latencies_of(report, each);
    text += fmt::format("latency of {:<12} p50 {:.0f} ms, p95 {:.0f} ms, "
                        "p99 {:.0f} ms\n",
                        each, quantile(latencies, 0.50),
                        quantile(latencies, 0.95), quantile(latencies, 0.99));
  }
  if (!errors.empty()) {
    text += "what went wrong:\n" + errors;
  }
  return text;
}

std::string report_lines(const run_report &report) {
  std::string lines;
  for (const program_result &program : report.programs) {
    lines +=
        json::serialize(json::object{{"name", program.name},
                                     {"class", program.program_class},
                                     {"tenant", program.tenant},
                                     {"finished", program.finished},
                                     {"history_right", program.history_right},
                                     {"latency_ms", program.latency_ms},
                                     {"no_wait_ms", program.no_wait_ms},
                                     {"calls", program.calls},
                                     {"retries", program.retries},
                                     {"refusals", program.refusals}}) +
        "\n";
  }
  return lines;
}

} // namespace heathtrestle::bench
