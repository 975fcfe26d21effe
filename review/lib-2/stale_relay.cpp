// Case: the object store is silent towards one storage machine. The gateways
// that follow it go on with an older configuration for many seconds, although
// the store answers them: the relay calls its copy current until its watch call
// ends, and a gateway without turns hears of newer revisions from nobody else.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int contact = 3000;      // contact-ms
constexpr int config_apply = 2000; // config-apply-ms
constexpr int silence = 7000;      // ms
constexpr int changed_at = 3500;   // ms after the silence has begun
constexpr int interval = 100;      // ms between two requests at a gateway

std::string configuration(int version, int timeout,
                          const std::string &service) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"lookups\",\"host\":\"agents.example\","
         "\"path-prefix\":\"/lookups/\",\"kind\":\"idempotent\","
         "\"timeout-ms\":" +
         std::to_string(timeout) +
         ",\"target-latency-ms\":200,\"priority\":2,\"service\":\"" + service +
         "\",\"max-attempts\":2}],"
         "\"services\":[{\"name\":\"tools-a\",\"health-path\":\"/health\","
         "\"connection-limit\":110},{\"name\":\"tools-b\",\"health-path\":"
         "\"/health\",\"connection-limit\":110}],"
         "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
}

/// The storage node whose copies a gateway follows; zero when not known.
int relay_of(const cluster &system, int gateway) {
  const std::string text =
      system.output_of("gateway-" + std::to_string(gateway));
  const std::size_t chosen = text.rfind("\"name\":\"relay_chosen\"");
  if (chosen == std::string::npos) {
    return 0;
  }
  const std::string line = text.substr(chosen, text.find('\n', chosen) - chosen);
  for (int number = 1; number <= cluster::storages; ++number) {
    const std::string port = std::to_string(system.storage_rpc_port(number));
    if (line.find("\"relay\":\"127.0.0.1:" + port + "\"") !=
        std::string::npos) {
      return number;
    }
  }
  return 0;
}

int since(steady::time_point from) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                            from)
          .count());
}

[[noreturn]] void play(const std::string &folder) {
  cluster system(folder);
  runs noted;
  replica old_one(noted, "i-old", 0, 0);
  replica joins(noted, "i-joins", 0, 0);
  replica new_one(noted, "i-new", 0, 0);
  if (!system.start(configuration(1, 2000, "tools-a")) ||
      !old_one.start(system.replica_port(1), "tools-a", system.store()) ||
      !new_one.start(system.replica_port(2), "tools-b", system.store()) ||
      !system.wait_until_ready()) {
    finish(system, could_not_run);
  }
  pause_ms(6000); // all machines are in touch
  const int relay = relay_of(system, 1);
  if (relay == 0) {
    finish(system, could_not_run);
  }
  for (int number = 1; number <= cluster::gateways; ++number) {
    log().line("gateway-" + std::to_string(number) + " follows storage-" +
               std::to_string(relay_of(system, number)));
  }
  // A change of a timeout and a replica that joins, which all take over: their
  // watch calls begin anew.
  system.store().put("config", "main", configuration(2, 1900, "tools-a"));
  log().line("configuration 2 acknowledged: another timeout");
  if (!joins.start(system.replica_port(3), "tools-a", system.store())) {
    finish(system, could_not_run);
  }
  log().line("the replica i-joins registered itself");
  pause_ms(500);
  const auto begun = steady::now();
  const int port = system.storage_store_port(relay);
  if (has_trouble()) {
    system.store().set_silent(port, true);
    log().line("the object store is silent towards storage-" +
               std::to_string(relay));
  }
  steady::time_point acknowledged{};
  std::map<std::string, int> sent_at; // attempts that the rule judges
  int number = 0;
  while (since(begun) < silence + 3000) {
    if (acknowledged == steady::time_point{} && since(begun) >= changed_at) {
      system.store().put("config", "main", configuration(3, 1900, "tools-b"));
      acknowledged = steady::now();
      log().line("configuration 3 acknowledged: the route moved to tools-b");
    }
    if (has_trouble() && since(begun) >= silence) {
      system.store().set_silent(port, false);
    }
    ++number;
    for (int gateway = 1; gateway <= cluster::gateways; ++gateway) {
      const std::string attempt =
          "g" + std::to_string(gateway) + "-" + std::to_string(number);
      const int at = since(begun);
      // The machine is in touch: the disruption of the storage machine began
      // two `contact-ms` ago and has not ended.
      const bool judged = acknowledged != steady::time_point{} &&
                          since(acknowledged) > config_apply &&
                          at > 2 * contact && at < silence;
      if (judged) {
        sent_at[attempt] = at;
      }
      const auto link = connection::to(system.gateway_port(gateway));
      message answer;
      if (link) {
        link->send(request_text("/lookups/x", attempt, 1200, "", ""));
        link->read(answer, 1500);
      }
      log().line("sent " + attempt + (judged ? " (judged)" : "") +
                 ", answer: " + std::to_string(answer.status()) + " " +
                 answer.field("x-server-signature"));
    }
    pause_ms(interval);
  }
  int stale = 0;
  int last = 0;
  for (const run &each : noted.all()) {
    const auto found = sent_at.find(each.request.field("x-attempt-id"));
    if (found != sent_at.end() && each.replica != "i-new") {
      ++stale;
      last = std::max(last, found->second);
    }
  }
  log().line("judged requests " + std::to_string(sent_at.size()) +
             ", run by the old service " + std::to_string(stale) +
             ", the last of them sent at " + std::to_string(last) +
             " ms, the change at " + std::to_string(changed_at) + " ms");
  if (sent_at.empty()) {
    finish(system, could_not_run);
  }
  finish(system, stale > 0 ? broken : held);
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    return could_not_run;
  }
  log().open(argv[1]);
  play(argv[2]);
}
