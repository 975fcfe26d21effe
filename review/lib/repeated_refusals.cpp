// Non-idempotent requests through two gateways to four replicas that are full
// now and then. Twice for 5 s half of the replicas repeat a few of their
// answers late. Checks TWICE and REFUSED.
#include "platform_store.hpp"
#include "replica.hpp"

#include <boost/json/src.hpp>

#include <cstdio>
#include <fstream>
#include <set>

namespace review {

namespace {

constexpr int replica_count = 4;
constexpr int gateway_count = 2;
constexpr int storage_count = 3;
constexpr int clients_per_gateway = 65;
constexpr double start_limit_s = 30;
constexpr double calm_s = 3;
constexpr double trouble_s = 5;
constexpr int troubles = 2;

struct client_log {
  std::mutex mutex;
  std::vector<std::string> lines;
  std::map<std::string, int> status_of;
  std::map<int, int> statuses;
};

json::value configuration() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"receipts","host":"desk.example","path-prefix":"/receipts/",
     "kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":200,
     "priority":2,"service":"ensam-app","max-attempts":1}],
    "services":[{"name":"ensam-app","health-path":"/health",
     "connection-limit":110}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
     "header-timeout-ms":3000,"idle-timeout-ms":15000}})");
}

bool is_ready(int port) {
  const auto probe = connection::open("127.0.0.1", port);
  if (!probe || !probe->write("GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")) {
    return false;
  }
  const auto answer = probe->read(1000);
  return answer && answer->status() == 200;
}

void run_client(int number, int port, std::atomic<bool> &stop,
                client_log &log) {
  std::minstd_rand random(static_cast<unsigned>(number) * 7919U + 1U);
  connection_ptr gateway;
  for (int request = 0; !stop; ++request) {
    char id[32];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(number),
                  static_cast<unsigned>(request));
    if (!gateway || gateway->closed_by_peer()) {
      gateway = connection::open("127.0.0.1", port);
    }
    const headers head{{"Host", "desk.example"},
                       {"X-Attempt-Id", id},
                       {"X-Deadline-Ms", "2000"}};
    const std::string text = to_text("POST /receipts/issue HTTP/1.1", head,
                                     "receipt " + std::string(id) + "\n");
    const double sent = seconds_now();
    int status = 0;
    std::string signature;
    if (gateway && gateway->write(text)) {
      if (const auto answer = gateway->read(2500)) {
        status = answer->status();
        signature = answer->header("X-Server-Signature");
        if (answer->header("Connection") == "close") {
          gateway.reset();
        }
      } else {
        gateway.reset();
      }
    }
    {
      const std::scoped_lock lock(log.mutex);
      char line[160];
      std::snprintf(line, sizeof line,
                    "%9.4f client-%d sent %s at %.4f, got %d %s", seconds_now(),
                    number, id, sent, status, signature.c_str());
      log.lines.emplace_back(line);
      log.status_of[id] = status;
      ++log.statuses[status];
    }
    if (status == 503 || status == 0) {
      pause_ms(100 + random() % 100); // as Retry-After asks
    }
  }
}

int play(int base, bool trouble, const std::string &record) {
  // Threads that serve connections use these until the process ends.
  static platform_store store;
  static replica_log served;
  static std::atomic<bool> faulty = false;
  static std::vector<std::unique_ptr<replica>> replicas;
  if (!store.start(base)) {
    return 2;
  }
  for (int number = 1; number <= replica_count; ++number) {
    replica_options options;
    options.id = "app-" + std::to_string(number);
    options.port = base + 80 + number;
    options.surplus_share = number <= replica_count / 2 ? 0.03 : 0;
    replicas.push_back(
        std::make_unique<replica>(options, served, faulty));
    if (!replicas.back()->start()) {
      return 2;
    }
    store.put("servers", options.id,
              json::object{
                  {"service", "ensam-app"},
                  {"address", "127.0.0.1:" + std::to_string(options.port)},
                  {"zone", "zone-" + std::to_string(number % storage_count + 1)},
                  {"version", "v1"},
                  {"slots", options.slots},
                  {"state", "ready"},
                  {"cold-remaining-ms", 0},
                  {"sequence", 1}});
  }
  store.put("config", "main", configuration());
  for (int number = 1; number <= gateway_count; ++number) {
    while (!is_ready(base + 20 + number)) {
      if (seconds_now() > start_limit_s) {
        return 2;
      }
      pause_ms(100);
    }
  }
  pause_ms(1000);

  client_log asked;
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < gateway_count * clients_per_gateway; ++number) {
    clients.emplace_back(run_client, number + 1,
                         base + 11 + number % gateway_count, std::ref(stop),
                         std::ref(asked));
  }
  std::vector<std::pair<double, double>> windows;
  for (int number = 0; number < troubles; ++number) {
    pause_ms(calm_s * 1000);
    const double from = seconds_now();
    faulty = trouble;
    pause_ms(trouble_s * 1000);
    faulty = false;
    windows.emplace_back(from, seconds_now());
  }
  pause_ms(calm_s * 1000);
  stop = true;
  for (std::thread &each : clients) {
    each.join();
  }
  pause_ms(500);

  const std::scoped_lock held(served.mutex);
  std::ofstream out(record);
  int twice = 0;
  int refused = 0;
  for (const auto &[id, count] : served.runs) {
    if (count > 1) {
      ++twice;
      out << "TWICE " << id << " ran " << count << " times\n";
    }
    const auto found = asked.status_of.find(id);
    if (found == asked.status_of.end()) {
      continue;
    }
    const int status = found->second;
    if (status == 429 || status == 503 || status == 408 || status == 421) {
      ++refused;
      out << "REFUSED " << id << " ran, and its client got " << status << "\n";
    }
  }
  out << "requests " << asked.status_of.size() << ", ran "
      << served.runs.size() << "\n";
  for (const auto &[status, count] : asked.statuses) {
    out << "clients got " << status << ": " << count << "\n";
  }
  out << "replicas answered " << served.answered << ", refused "
      << served.refused << ", repeated " << served.surplus_answers
      << " answers and " << served.surplus_refusals << " refusals\n";
  for (const auto &[from, until] : windows) {
    out << "trouble " << (trouble ? "on" : "off") << " from " << from << " to "
        << until << " s\n";
  }
  out << "\nwhat was sent, answered and run (s, who, what, id)\n";
  for (const std::string &line : served.lines) {
    out << line << "\n";
  }
  for (const std::string &line : asked.lines) {
    out << line << "\n";
  }
  const bool loaded = served.refused > 100 && served.answered > 1000;
  if (!loaded) {
    return 2;
  }
  return twice + refused > 0 ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, char **argv) {
  if (argc != 4) {
    return 2;
  }
  review::process_start();
  const int outcome = review::play(std::atoi(argv[1]),
                                   std::string(argv[2]) != "0", argv[3]);
  std::_Exit(outcome);
}
