// Case: a turn whose stream the client takes up at another gateway, after its
// gateway was killed, is kept without the events that came before. The next
// turn of the line then reaches a replica with a history that lacks them.
#include "harness.hpp"

using namespace review;

namespace {

constexpr int lines = 4;      // lines of turns that run side by side
constexpr int events = 10;    // of each stream
constexpr int event_gap = 50; // ms
constexpr int killed_after = 4;
constexpr int deadline = 4000; // ms

const char *const configuration = R"({"version":1,"routes":[
 {"name":"turns","host":"agents.example","path-prefix":"/turns/",
  "kind":"streaming","timeout-ms":4000,"target-latency-ms":200,"priority":0,
  "service":"models","max-attempts":2,"is-retained":true,"retention-s":60.0,
  "sticky-sessions":true,"resumable":true,"target-gap-ms":300}],
 "services":[{"name":"models","health-path":"/health","connection-limit":160,
  "engine":{"slots":8,"tokens-per-event":10,"kv-cache-tokens":90000}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// What a client has of one turn.
struct turn {
  std::string whole; // the attempt whose answer was whole
  std::string data;  // of all its events, each with a line feed behind
};

class line {
public:
  line(cluster &system, int number, std::atomic<int> &under_way)
      : system_(system), name_(std::to_string(number)), under_way_(under_way) {}

  void play() {
    const std::string first = "<input one of line " + name_ + ">";
    const std::string second = "<input two of line " + name_ + ">";
    const turn done = take(first, "");
    if (done.whole.empty()) {
      return;
    }
    expected = first + done.data + second;
    const turn next = take(second, done.whole);
    finished = !next.whole.empty();
  }

  std::string expected; // body of the second turn, once the first is whole
  std::vector<std::string> second_attempts;
  bool finished = false;

private:
  /// @param began the attempt that brought the first event, if any.
  std::string headers(const std::string &previous, int after,
                      const std::string &began) const {
    std::string text = "X-Program-Id: 3fa81c" + name_ + "\r\nX-Session-Id: 77d2" +
                       name_ +
                       "\r\nX-Program-Deadline-Ms: 20000\r\n"
                       "X-Token-Budget: 4600\r\nX-Token-Usage: 1840,100\r\n"
                       "X-Prompt-Prefix: 5c1e07a2:800\r\n";
    if (!previous.empty()) {
      text += "X-Previous-Turn: " + previous + "\r\n";
    }
    if (after > 0) {
      text += "Last-Event-Id: " + std::to_string(after) +
              "\r\nResumes: " + began + "\r\n";
    }
    return text;
  }

  /// Sends a turn until it is answered whole. A stream that broke is taken up
  /// at the other gateway; after a refusal the turn is sent from its start.
  turn take(const std::string &input, const std::string &previous) {
    turn one;
    int got = 0;
    std::string began;
    for (int tried = 0; tried < 6; ++tried) {
      const int gateway = previous.empty() && tried == 0 ? 1 : 2;
      const std::string attempt =
          "a" + name_ + (previous.empty() ? "1" : "2") + std::to_string(tried);
      if (!previous.empty()) {
        second_attempts.push_back(attempt);
      }
      log().line("send " + attempt + " to gateway-" + std::to_string(gateway) +
                 " after event " + std::to_string(got) + " previous " +
                 previous);
      message answer;
      const auto link = connection::to(system_.gateway_port(gateway));
      if (link) {
        link->send(request_text("/turns/x", attempt, deadline,
                                headers(previous, got, began), input));
        const bool first = gateway == 1;
        link->read(answer, deadline + 500, [&](const std::string &body) {
          if (first && count_events(body) == killed_after) {
            ++under_way_;
          }
        });
      }
      log().line("answer to " + attempt + ": " +
                 std::to_string(answer.status()) +
                 (answer.complete ? " whole, " : " broken off, ") +
                 std::to_string(count_events(answer.body)) + " events");
      if (answer.status() == 200) {
        began = got == 0 ? attempt : began;
        one.data += data_of(answer.body);
        got += count_events(answer.body);
      }
      if (answer.status() == 200 && answer.complete) {
        one.whole = attempt;
        return one;
      }
      if (answer.status() != 200) {
        one = {}; // refused: once more from its start
        began.clear();
        got = 0;
        pause_ms(300);
      }
    }
    return {};
  }

  cluster &system_;
  std::string name_;
  std::atomic<int> &under_way_;
};

[[noreturn]] void play(const arguments &given) {
  cluster system(given.folder);
  if (!system.start(configuration)) {
    finish(system, could_not_run);
  }
  runs noted;
  replica one(noted, "i-one", events, event_gap);
  replica two(noted, "i-two", events, event_gap);
  if (!one.start(system.replica_port(1), "models", system.store()) ||
      !two.start(system.replica_port(2), "models", system.store()) ||
      !system.wait_until_ready()) {
    finish(system, could_not_run);
  }
  pause_ms(1500);
  std::atomic<int> under_way{0};
  std::vector<std::unique_ptr<line>> all;
  std::vector<std::thread> threads;
  for (int number = 1; number <= lines; ++number) {
    all.push_back(std::make_unique<line>(system, number, under_way));
    threads.emplace_back([each = all.back().get()] { each->play(); });
  }
  if (given.trouble) {
    while (under_way == 0) {
      pause_ms(1);
    }
    system.signal("gateway-1", SIGKILL);
    pause_ms(2000);
    system.start_gateway(1);
  }
  for (std::thread &each : threads) {
    each.join();
  }
  int wrong = 0;
  int right = 0;
  for (const run &each : noted.all()) {
    const std::string attempt = each.request.field("x-attempt-id");
    for (const auto &of : all) {
      const auto &sent = of->second_attempts;
      if (std::find(sent.begin(), sent.end(), attempt) == sent.end()) {
        continue;
      }
      const bool same = each.request.body == of->expected;
      ++(same ? right : wrong);
      if (!same) {
        log().line("RULE BROKEN: " + attempt + " ran with \"" +
                   printable(each.request.body) + "\", due was \"" +
                   printable(of->expected) + "\"");
      }
    }
  }
  log().line("second turns with the right body " + std::to_string(right) +
             ", with a wrong one " + std::to_string(wrong));
  if (wrong > 0) {
    finish(system, broken);
  }
  finish(system, right > 0 ? held : could_not_run);
}

} // namespace

int main(int argc, char **argv) { play(begin_case(argc, argv)); }
