// A few programs take turns that the system keeps. Then a store machine that does
// not lead loses its disk, and a moment later the operator asks to retire another
// one. Checks LOST: whether the programs can go on from their kept turns.
//
// Prints "lose N" when storage node N is to be killed and its disk emptied,
// "start N" when it is to start again, and "result R" at the end.
#include "platform_store.hpp"

#include <boost/json/src.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace review {

namespace {

constexpr int gateway_count = 2;
constexpr int storage_count = 3;
constexpr int replica_count = 2;
constexpr int program_count = 6;
constexpr int turns_before = 3;
constexpr double start_limit_s = 40;
constexpr double quiet_ms = 1500;
/// From the loss to the operator's request.
constexpr double request_after_ms = 250;
constexpr double down_ms = 1500;
/// recovery-s of the deployment, and the last 4 s, which the rule looks at.
constexpr double recovery_s = 12;
constexpr double last_s = 4;

struct shared_log {
  std::mutex mutex;
  std::vector<std::string> lines;
  std::map<std::string, int> reached; // attempts that reached a replica

  void note(const std::string &what) {
    char text[32];
    std::snprintf(text, sizeof text, "%9.4f ", seconds_now());
    const std::scoped_lock lock(mutex);
    lines.push_back(text + what);
  }
};

json::value configuration() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"turns","host":"forms.example","path-prefix":"/turns/",
     "kind":"streaming","timeout-ms":5000,"target-latency-ms":200,
     "target-gap-ms":400,"priority":0,"service":"agent-models",
     "max-attempts":2,"sticky-sessions":true,"is-retained":true,
     "retention-s":60}],
    "services":[{"name":"agent-models","health-path":"/health",
     "connection-limit":370,
     "engine":{"slots":64,"tokens-per-event":23,"kv-cache-tokens":211374}}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
     "header-timeout-ms":3000,"idle-timeout-ms":15000}})");
}

std::optional<http_message> get(int port, const std::string &target) {
  const auto opened = connection::open("127.0.0.1", port);
  if (!opened ||
      !opened->write("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")) {
    return std::nullopt;
  }
  return opened->read(1000);
}

bool is_ready(int port) {
  const auto answer = get(port, "/readiness");
  return answer && answer->status() == 200;
}

/// The value of a storage node's counter; -1 when it does not answer.
int storage_value(int base, int number, const std::string &name) {
  const auto page = get(base + 60 + number, "/metrics");
  if (!page) {
    return -1;
  }
  const std::string line = "\nheathtrestle_records_" + name + " ";
  const std::size_t found = page->body.find(line);
  return found == std::string::npos
             ? -1
             : std::atoi(page->body.c_str() + found + line.size());
}

int find_leader(int base) {
  for (int number = 1; number <= storage_count; ++number) {
    if (storage_value(base, number, "leader") == 1) {
      return number;
    }
  }
  return 0;
}

void run_replica(const std::string &id, connection_ptr gateway,
                 shared_log &log) {
  constexpr int events = 5;
  while (const auto request = gateway->read(3600 * 1000)) {
    const std::string attempt = request->header("X-Attempt-Id");
    const std::string expected = request->header("X-Expect-Instance");
    if (!expected.empty() && expected != id) {
      gateway->write(to_text("HTTP/1.1 421 Misdirected",
                             {{"X-Attempt-Id", attempt}}, ""));
      continue;
    }
    {
      const std::scoped_lock lock(log.mutex);
      ++log.reached[attempt];
    }
    log.note(id + " runs " + attempt);
    gateway->write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                   "\r\nX-Server-Signature: " + id +
                   ".signed\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= events; ++number) {
      pause_ms(10);
      const std::string event = "id: " + std::to_string(number) +
                                "\ndata: word " + std::to_string(number) +
                                "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!gateway->write(size + event + "\r\n")) {
        return;
      }
    }
    gateway->write("0\r\n\r\n");
  }
}

/// Asks for one turn on a new connection.
/// @return the status, 0 when the answer was not whole.
int take_turn(int port, const std::string &program, const std::string &attempt,
              const std::string &previous, shared_log &log) {
  headers head{{"Host", "forms.example"},
               {"X-Attempt-Id", attempt},
               {"X-Deadline-Ms", "5000"},
               {"X-Program-Id", program},
               {"X-Session-Id", program + "-line"},
               {"X-Program-Deadline-Ms", "60000"},
               {"X-Token-Budget", "100000"},
               {"X-Token-Usage", "200,115"},
               {"X-Model", "m"}};
  if (!previous.empty()) {
    head["X-Previous-Turn"] = previous;
  }
  int status = 0;
  const auto gateway = connection::open("127.0.0.1", port);
  if (gateway && gateway->write(to_text("POST /turns/next HTTP/1.1", head,
                                        "input of " + attempt + "\n"))) {
    const auto answer = gateway->read(6000);
    status = answer ? answer->status() : 0;
  }
  log.note(program + " asked " + attempt + " after " +
           (previous.empty() ? "none" : previous) + ", got " +
           std::to_string(status));
  return status;
}

struct program {
  std::string name;
  std::string last; // the last turn that was answered whole
  int asked = 0;

  std::string next_attempt() {
    char text[32];
    std::snprintf(text, sizeof text, "%s-%04d", name.c_str(), ++asked);
    return text;
  }
};

bool take_turns(std::vector<program> &programs, int base, int turns,
                shared_log &log) {
  for (int turn = 0; turn < turns; ++turn) {
    for (program &each : programs) {
      bool taken = false;
      for (int tries = 0; tries < 10 && !taken; ++tries) {
        const std::string attempt = each.next_attempt();
        taken = take_turn(base + 11 + each.asked % gateway_count, each.name,
                          attempt, each.last, log) == 200;
        each.last = taken ? attempt : each.last;
        pause_ms(taken ? 20 : 300);
      }
      if (!taken) {
        return false;
      }
    }
  }
  return true;
}

void say(const std::string &line) { std::cout << line << std::endl; }

int play(int base, bool trouble, const std::string &record) {
  // Threads that serve connections use these until the process ends.
  static platform_store store;
  static shared_log log;
  if (!store.start(base)) {
    return 2;
  }
  for (int number = 1; number <= replica_count; ++number) {
    const std::string id = "engine-" + std::to_string(number);
    const int port = base + 80 + number;
    if (!serve(port, [id](connection_ptr gateway) {
          run_replica(id, std::move(gateway), log);
        })) {
      return 2;
    }
    store.put("servers", id,
              json::object{{"service", "agent-models"},
                           {"address", "127.0.0.1:" + std::to_string(port)},
                           {"zone", "zone-" + std::to_string(number)},
                           {"version", "v1"},
                           {"slots", 64},
                           {"state", "ready"},
                           {"cold-remaining-ms", 0},
                           {"sequence", 1}});
  }
  store.put("config", "main", configuration());
  const auto is_whole = [base] {
    const int leader = find_leader(base);
    return leader != 0 &&
           storage_value(base, leader, "voters") == storage_count &&
           is_ready(base + 21) && is_ready(base + 22);
  };
  while (!is_whole()) {
    if (seconds_now() > start_limit_s) {
      return 2;
    }
    pause_ms(100);
  }
  pause_ms(3000);

  std::vector<program> programs;
  for (int number = 1; number <= program_count; ++number) {
    programs.push_back({.name = "program-" + std::to_string(number), .last = {}});
  }
  if (!take_turns(programs, base, turns_before, log)) {
    return 2;
  }
  pause_ms(quiet_ms);

  const int leader = find_leader(base);
  if (leader == 0) {
    return 2;
  }
  const int lost = leader % storage_count + 1;
  const int retired = lost % storage_count + 1;
  const std::string retired_name = "storage-" + std::to_string(retired);
  log.note("storage-" + std::to_string(leader) + " leads");
  if (trouble) {
    log.note("storage-" + std::to_string(lost) + " loses its disk");
    say("lose " + std::to_string(lost));
  }
  pause_ms(request_after_ms);
  log.note("the operator asks to retire " + retired_name);
  store.put("retirements", retired_name, json::object{{"duration-s", 8.0}});
  pause_ms(down_ms);
  if (trouble) {
    log.note("storage-" + std::to_string(lost) + " starts with an empty disk");
    say("start " + std::to_string(lost));
  }

  const double back = seconds_now();
  const double end = back + recovery_s + last_s;
  int reached_last = 0;
  int asked_last = 0;
  int went_on = 0;
  std::map<std::string, bool> has_gone_on;
  while (seconds_now() < end) {
    for (program &each : programs) {
      const std::string attempt = each.next_attempt();
      const bool in_last = seconds_now() >= end - last_s;
      const int status =
          take_turn(base + 11 + each.asked % gateway_count, each.name, attempt,
                    each.last, log);
      const std::scoped_lock lock(log.mutex);
      const bool reached = log.reached.count(attempt) != 0;
      asked_last += in_last ? 1 : 0;
      reached_last += in_last && reached ? 1 : 0;
      went_on += reached && !has_gone_on[each.name] ? 1 : 0;
      has_gone_on[each.name] = has_gone_on[each.name] || reached;
      each.last = status == 200 ? attempt : each.last;
    }
    pause_ms(300);
  }
  const std::string retirement =
      json::serialize(store.status_of("retirements", retired_name));

  const std::scoped_lock lock(log.mutex);
  std::ofstream out(record);
  out << (asked_last > 0 && reached_last == 0 ? "LOST" : "held") << ": in the "
      << "last " << last_s << " s, " << reached_last << " of " << asked_last
      << " turns that go on from a kept turn reached a replica\n";
  out << went_on << " of " << program_count
      << " programs went on after the machines were back\n";
  out << "status of the retirement of " << retired_name << ": " << retirement
      << "\n";
  for (int number = 1; number <= storage_count; ++number) {
    out << "storage-" << number << " leader "
        << storage_value(base, number, "leader") << " voters "
        << storage_value(base, number, "voters") << "\n";
  }
  out << "\nwhat was sent, answered and run (s, who, what)\n";
  for (const std::string &line : log.lines) {
    out << line << "\n";
  }
  return asked_last == 0 ? 2 : reached_last == 0 ? 1 : 0;
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
  std::cout << "result " << outcome << std::endl;
  std::_Exit(0);
}
