// Case: a client hides a request in the body of another one, whose
// Transfer-Encoding does not end in "chunked". The gateway takes the outer
// request to have no body and serves what follows as a request of its own.
#include "harness.hpp"

using namespace review;

namespace {

const char *const configuration = R"({"version":1,"routes":[
 {"name":"tools","host":"agents.example","path-prefix":"/tools/",
  "kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":200,
  "priority":2,"service":"tools","max-attempts":1}],
 "services":[{"name":"tools","health-path":"/health","connection-limit":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr int patience = 2500; // ms

[[noreturn]] void play(const arguments &given) {
  cluster system(given.folder);
  runs noted;
  replica tool(noted, "i-tool", 0, 0);
  if (!system.start(configuration) ||
      !tool.start(system.replica_port(1), "tools", system.store()) ||
      !system.wait_until_ready()) {
    finish(system, could_not_run);
  }
  pause_ms(1000);
  const std::vector<std::string> codings{"gzip", "identity", "chunked, gzip"};
  std::map<std::string, std::string> bodies; // of the outer requests
  int number = 0;
  for (const std::string &coding : codings) {
    ++number;
    const std::string outer = "outer-" + std::to_string(number);
    const std::string hidden = request_text(
        "/tools/hidden", "hidden-" + std::to_string(number), 2000, "", "");
    const std::string framing =
        given.trouble
            ? "Transfer-Encoding: " + coding + "\r\n"
            : "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    bodies[outer] = hidden;
    const auto link = connection::to(system.gateway_port(1));
    if (!link) {
      finish(system, could_not_run);
    }
    log().line("send " + outer + ", " + framing.substr(0, framing.size() - 2) +
               ", body \"" + printable(hidden) + "\"");
    link->send("POST /tools/outer HTTP/1.1\r\nHost: agents.example\r\n"
               "X-Attempt-Id: " +
               outer + "\r\nX-Deadline-Ms: 2000\r\n" + framing + "\r\n" +
               hidden);
    message answer;
    while (link->read(answer, patience)) {
      log().line("answer: " + answer.start + ", attempt " +
                 answer.field("x-attempt-id") + ", body \"" +
                 printable(answer.body) + "\"");
      if (answer.field("connection") == "close" || !given.trouble) {
        break;
      }
    }
  }
  pause_ms(500);
  int smuggled = 0;
  int changed = 0;
  int whole = 0;
  for (const run &each : noted.all()) {
    const std::string attempt = each.request.field("x-attempt-id");
    const auto outer = bodies.find(attempt);
    smuggled += outer == bodies.end() ? 1 : 0;
    changed += outer != bodies.end() && each.request.body != outer->second;
    whole += outer != bodies.end() && each.request.body == outer->second;
  }
  log().line("ran of " + std::to_string(codings.size()) +
             " outer requests: " + std::to_string(whole) +
             " with their body, " + std::to_string(changed) +
             " with another body; hidden requests that ran: " +
             std::to_string(smuggled));
  if (!given.trouble && whole == 0) {
    finish(system, could_not_run);
  }
  finish(system, smuggled > 0 ? broken : held);
}

} // namespace

int main(int argc, char **argv) { play(begin_case(argc, argv)); }
