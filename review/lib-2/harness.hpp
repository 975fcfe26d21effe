// Stand-ins and process control for the cases of the second review. Blocking
// sockets and one thread for each connection; loopback addresses only.
//
// The object store keeps to the platform's protocol: linearizable, with a
// history for watches. Replicas answer one request at a time on a connection,
// check `X-Expect-Instance`, go on after `Last-Event-Id`, and write down what
// they ran.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using steady = std::chrono::steady_clock;

inline void pause_ms(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------- record ---

/// Writes what was sent, answered and run to record.txt.
class record {
public:
  void open(const std::string &path) { out_.open(path, std::ios::trunc); }
  void line(const std::string &text) {
    const std::scoped_lock lock(mutex_);
    const double at =
        std::chrono::duration<double>(steady::now() - begun_).count();
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", at);
    out_ << stamp << text << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream out_;
  steady::time_point begun_ = steady::now();
};

inline record &log() {
  static record one;
  return one;
}

/// Replaces control characters, so that a text fits on one line.
inline std::string printable(const std::string &text) {
  std::string shown;
  for (const char c : text) {
    if (c == '\n') {
      shown += "\\n";
    } else if (c == '\r') {
      shown += "\\r";
    } else {
      shown += c;
    }
  }
  return shown;
}

// ------------------------------------------------------------------ HTTP ---

using headers = std::map<std::string, std::string>; // names in lower case

struct message {
  std::string start; // the request line or the status line
  headers fields;
  std::string body;
  bool complete = false; // false when the connection broke before the end

  [[nodiscard]] std::string field(const std::string &name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  [[nodiscard]] std::string method() const {
    return start.substr(0, start.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
  [[nodiscard]] int status() const {
    const std::size_t space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space);
  }
};

class connection {
public:
  explicit connection(int descriptor) : fd_(descriptor) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static std::unique_ptr<connection> to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address),
                  sizeof address) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<connection>(fd);
  }

  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }

  bool send(const std::string &bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + done, bytes.size() - done,
                            MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads what has arrived. Returns false at the end or after `ms`.
  bool receive(int ms) {
    pollfd waits{fd_, POLLIN, 0};
    if (::poll(&waits, 1, ms) <= 0) {
      return false;
    }
    char buffer[16384];
    const auto n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n <= 0) {
      return false;
    }
    bytes_.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  /// Reads one message; `ms` bounds each wait for bytes. `on_body` is called
  /// with the body so far whenever it has grown.
  bool read(message &into, int ms,
            const std::function<void(const std::string &)> &on_body = {}) {
    into = {};
    std::size_t end = 0;
    while ((end = bytes_.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(ms)) {
        return false;
      }
    }
    parse_head(bytes_.substr(0, end + 2), into);
    bytes_.erase(0, end + 4);
    if (into.fields.contains("content-length")) {
      const std::size_t size = std::stoul(into.field("content-length"));
      while (bytes_.size() < size) {
        if (!receive(ms)) {
          into.body = bytes_;
          return false;
        }
      }
      into.body = bytes_.substr(0, size);
      bytes_.erase(0, size);
    } else if (into.field("transfer-encoding") == "chunked") {
      if (!read_chunks(into, ms, on_body)) {
        return false;
      }
    }
    into.complete = true;
    return true;
  }

private:
  static void parse_head(const std::string &text, message &into) {
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, line);
    into.start = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of("\r ") + 1);
      into.fields[name] = value;
    }
  }

  bool read_chunks(message &into, int ms,
                   const std::function<void(const std::string &)> &on_body) {
    while (true) {
      std::size_t end = 0;
      while ((end = bytes_.find("\r\n")) == std::string::npos) {
        if (!receive(ms)) {
          return false;
        }
      }
      const std::size_t size = std::stoul(bytes_.substr(0, end), nullptr, 16);
      while (bytes_.size() < end + 2 + size + 2) {
        if (!receive(ms)) {
          return false;
        }
      }
      into.body += bytes_.substr(end + 2, size);
      bytes_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
      if (on_body) {
        on_body(into.body);
      }
    }
  }

  int fd_;
  std::string bytes_;
};

/// Accepts connections on a port until the process ends.
class server {
public:
  using handler = std::function<void(connection &)>;

  bool start(int port, handler handle) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) !=
            0 ||
        ::listen(fd, 128) != 0) {
      return false;
    }
    std::thread([fd, handle = std::move(handle)] {
      while (true) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          continue;
        }
        std::thread([accepted, handle] {
          connection one(accepted);
          handle(one);
        }).detach();
      }
    }).detach();
    return true;
  }
};

inline std::string answer_text(int status, const std::string &extra,
                               const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------- object store ---

/// The value of a field of a JSON object, as text; strings keep their quotes.
/// Fields are searched at the first level only.
inline std::string json_field(const std::string &text,
                              const std::string &name) {
  std::size_t at = text.find('{');
  int depth = 0;
  for (; at < text.size(); ++at) {
    const char c = text[at];
    if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      --depth;
    } else if (c == '"') {
      std::size_t end = at + 1;
      while (text[end] != '"') {
        end += text[end] == '\\' ? 2 : 1;
      }
      std::size_t next = end + 1;
      while (next < text.size() && text[next] == ' ') {
        ++next;
      }
      const bool is_name = next < text.size() && text[next] == ':';
      if (depth == 1 && is_name && text.substr(at + 1, end - at - 1) == name) {
        std::size_t from = next + 1;
        while (text[from] == ' ') {
          ++from;
        }
        std::size_t to = from;
        int inner = 0;
        bool quoted = false;
        for (; to < text.size(); ++to) {
          const char each = text[to];
          if (quoted) {
            to += each == '\\' ? 1 : 0;
            quoted = each != '"';
            continue;
          }
          quoted = each == '"';
          inner += each == '{' || each == '[' ? 1 : 0;
          if ((each == ',' && inner == 0) ||
              ((each == '}' || each == ']') && inner-- == 0)) {
            break;
          }
        }
        return text.substr(from, to - from);
      }
      at = end;
    }
  }
  return {};
}

inline std::string unquoted(const std::string &text) {
  return text.size() >= 2 && text.front() == '"'
             ? text.substr(1, text.size() - 2)
             : text;
}

class object_store {
public:
  /// Serves one more address. Each process has its own, so that the store can
  /// be silent towards some of them.
  bool start(int port) {
    return server_.start(port, [this, port](connection &one) {
      message request;
      while (one.read(request, 60000)) {
        if (is_silent(port)) {
          stay_silent(one);
          return;
        }
        const auto [status, body] = handle(request, port);
        if (is_silent(port)) {
          stay_silent(one);
          return;
        }
        if (!one.send(answer_text(
                status, "Content-Type: application/json\r\n", body))) {
          return;
        }
      }
    });
  }

  /// Stops or starts answering the calls that come to a port.
  void set_silent(int port, bool silent) {
    const std::scoped_lock lock(silent_mutex_);
    silent ? (void)silent_.insert(port) : (void)silent_.erase(port);
  }

  /// When the last watch of a kind was asked for at a port.
  steady::time_point last_watch(int port, const std::string &kind) {
    const std::scoped_lock lock(mutex_);
    return watches_[{port, kind}];
  }

  /// Writes an object as the operator or a replica does.
  void put(const std::string &kind, const std::string &name,
           const std::string &specification) {
    const std::scoped_lock lock(mutex_);
    write(kind, name, &specification, nullptr);
  }

private:
  struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string specification = "null";
    std::string status = "null";
  };
  struct change {
    std::uint64_t revision;
    std::string kind;
    std::string event;
  };
  using answer = std::pair<int, std::string>;

  bool is_silent(int port) {
    const std::scoped_lock lock(silent_mutex_);
    return silent_.contains(port);
  }

  /// A connection on which an answer is lost says nothing more.
  static void stay_silent(connection &one) {
    message ignored;
    while (one.read(ignored, 60000)) {
    }
  }

  static std::string document(const std::string &name, const object &each) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(each.revision) +
           ",\"created\":" + std::to_string(each.created) +
           ",\"finalizers\":[],\"is-deleting\":false},\"specification\":" +
           each.specification + ",\"status\":" + each.status + "}";
  }

  object &write(const std::string &kind, const std::string &name,
                const std::string *specification, const std::string *status) {
    object &each = kinds_[kind][name];
    each.revision = ++revision_;
    each.created = each.created == 0 ? revision_ : each.created;
    each.specification = specification ? *specification : each.specification;
    each.status = status ? *status : each.status;
    note(kind, "{\"deleted\":false,\"object\":" + document(name, each) + "}");
    return each;
  }

  void note(const std::string &kind, const std::string &event) {
    history_.push_back({revision_, kind, event});
    changed_.notify_all();
  }

  static std::string query_value(const std::string &query,
                                 const std::string &name) {
    std::istringstream parts(query);
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.starts_with(name + "=")) {
        return part.substr(name.size() + 1);
      }
    }
    return {};
  }

  answer watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
               std::uint64_t since, int wait_ms) {
    const auto until = steady::now() + std::chrono::milliseconds(wait_ms);
    while (true) {
      std::string events;
      for (const change &each : history_) {
        if (each.kind == kind && each.revision > since) {
          events += (events.empty() ? "" : ",") + each.event;
        }
      }
      const bool late = steady::now() >= until;
      if (!events.empty() || late) {
        return {200, "{\"events\":[" + events + "],\"timestamp\":" +
                         std::to_string(revision_) + "}"};
      }
      changed_.wait_until(lock, until);
    }
  }

  answer handle(const message &request, int port) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string query =
        path.size() < target.size() ? target.substr(path.size() + 1) : "";
    const std::string prefix = "/objects/";
    if (!path.starts_with(prefix)) {
      return {404, "{}"};
    }
    std::string kind = path.substr(prefix.size());
    std::string name;
    bool is_status = false;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
      if (name.ends_with("/status")) {
        is_status = true;
        name.resize(name.size() - std::strlen("/status"));
      }
    }
    std::unique_lock lock(mutex_);
    auto &objects = kinds_[kind];
    const std::string method = request.method();
    if (method == "GET" && !query_value(query, "watch").empty()) {
      const std::string wait = query_value(query, "wait-ms");
      watches_[{port, kind}] = steady::now();
      return watch(lock, kind, std::stoull(query_value(query, "watch")),
                   wait.empty() ? 0 : std::stoi(wait));
    }
    if (method == "GET" && name.empty()) {
      std::string items;
      for (const auto &[each, stored] : objects) {
        if (each > query_value(query, "after")) {
          items += (items.empty() ? "" : ",") + document(each, stored);
        }
      }
      return {200, "{\"items\":[" + items + "],\"has-more\":false," +
                       "\"timestamp\":" + std::to_string(revision_) + "}"};
    }
    if (method == "POST") {
      name = unquoted(json_field(json_field(request.body, "metadata"), "name"));
    }
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (method == "POST" && exists) {
      return {409, document(name, found->second)};
    }
    if (method != "POST" && !exists) {
      return {404, "{}"};
    }
    if (method == "GET") {
      return {200, document(name, found->second)};
    }
    if (method == "DELETE") {
      const std::string last = document(name, found->second);
      objects.erase(found);
      ++revision_;
      note(kind, "{\"deleted\":true,\"object\":" + last + "}");
      return {200, last};
    }
    const std::string wanted =
        json_field(json_field(request.body, "metadata"), "revision");
    if (method == "PUT" && !wanted.empty() &&
        std::stoull(wanted) != found->second.revision) {
      return {409, document(name, found->second)};
    }
    const std::string part =
        json_field(request.body, is_status ? "status" : "specification");
    const std::string value = part.empty() ? "null" : part;
    const object &written = write(kind, name, is_status ? nullptr : &value,
                                  is_status ? &value : nullptr);
    return {200, document(name, written)};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::map<std::pair<int, std::string>, steady::time_point> watches_;
  std::mutex silent_mutex_;
  std::set<int> silent_;
  server server_;
};

// -------------------------------------------------------------- replicas ---

/// One request that a replica ran.
struct run {
  std::string replica;
  message request;
};

/// What all replicas ran, in order.
class runs {
public:
  void add(run one) {
    const std::scoped_lock lock(mutex_);
    log().line("run at " + one.replica + ": " + one.request.start +
               " attempt " + one.request.field("x-attempt-id") + " after " +
               one.request.field("last-event-id") + " body \"" +
               printable(one.request.body) + "\"");
    all_.push_back(std::move(one));
  }
  [[nodiscard]] std::vector<run> all() {
    const std::scoped_lock lock(mutex_);
    return all_;
  }

private:
  std::mutex mutex_;
  std::vector<run> all_;
};

/// A replica. `events` above zero: it answers with a stream of so many events.
class replica {
public:
  replica(runs &noted, std::string id, int events, int gap_ms)
      : noted_(noted), id_(std::move(id)), events_(events), gap_ms_(gap_ms) {}

  bool start(int port, const std::string &service, object_store &store) {
    const bool listens =
        server_.start(port, [this](connection &one) { serve(one); });
    store.put("servers", id_,
              "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" +
                  std::to_string(port) +
                  "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":8,"
                  "\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1}");
    return listens;
  }

private:
  void serve(connection &one) {
    message request;
    while (one.read(request, 60000)) {
      const std::string attempt = request.field("x-attempt-id");
      const std::string known = "X-Attempt-Id: " + attempt + "\r\n";
      const std::string expected = request.field("x-expect-instance");
      if (!expected.empty() && expected != id_) {
        one.send(answer_text(421, known, ""));
        continue;
      }
      if (attempt.empty()) {
        one.send(answer_text(400, "X-Not-Executed: 1\r\n", ""));
        continue;
      }
      noted_.add({.replica = id_, .request = request});
      const std::string head = known + "X-Server-Signature: " + id_ + "." +
                               std::to_string(++answered_) + "\r\n";
      const bool sent = events_ > 0
                            ? stream(one, request, head)
                            : one.send(answer_text(200, head, "done " + attempt));
      if (!sent) {
        return;
      }
    }
  }

  bool stream(connection &one, const message &request,
              const std::string &head) const {
    bool sent = one.send("HTTP/1.1 200 OK\r\n" + head +
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
    const std::string after = request.field("last-event-id");
    for (int id = (after.empty() ? 0 : std::stoi(after)) + 1;
         sent && id <= events_; ++id) {
      pause_ms(gap_ms_);
      const std::string number = std::to_string(id);
      const std::string event =
          "id: " + number + "\ndata: piece-" + number + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      sent = one.send(size + event + "\r\n");
    }
    return sent && one.send("0\r\n\r\n");
  }

  runs &noted_;
  std::string id_;
  int events_;
  int gap_ms_;
  std::atomic<int> answered_{0};
  server server_;
};

// --------------------------------------------------------------- cluster ---

/// Gateways, storage nodes and the object store on loopback addresses, with
/// the settings that the templates give on a small deployment.
class cluster {
public:
  explicit cluster(std::string folder)
      : folder_(std::move(folder)), base_(free_ports()) {}
  ~cluster() { end(); }
  cluster(const cluster &) = delete;
  cluster &operator=(const cluster &) = delete;

  static constexpr int gateways = 2;
  static constexpr int storages = 3;

  [[nodiscard]] int gateway_port(int number) const { return port(10 + number); }
  [[nodiscard]] int replica_port(int number) const { return port(80 + number); }
  /// The addresses at which the object store serves each process.
  [[nodiscard]] int gateway_store_port(int number) const {
    return port(number);
  }
  [[nodiscard]] int storage_store_port(int number) const {
    return port(5 + number);
  }
  [[nodiscard]] int storage_rpc_port(int number) const {
    return port(60 + number);
  }
  [[nodiscard]] std::string output_of(const std::string &name) const {
    std::ifstream in(folder_ + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  object_store &store() { return store_; }

  bool start(const std::string &configuration) {
    for (int number = 1; number <= gateways; ++number) {
      if (!store_.start(gateway_store_port(number))) {
        return false;
      }
    }
    for (int number = 1; number <= storages; ++number) {
      if (!store_.start(storage_store_port(number))) {
        return false;
      }
    }
    store_.put("config", "main", configuration);
    for (int number = 1; number <= storages; ++number) {
      start_storage(number, true);
    }
    for (int number = 1; number <= gateways; ++number) {
      start_gateway(number);
    }
    return true;
  }

  /// Waits until all gateways are ready and all storage nodes vote.
  bool wait_until_ready() {
    const auto until = steady::now() + std::chrono::seconds(30);
    while (steady::now() < until) {
      bool ready = true;
      for (int number = 1; number <= gateways; ++number) {
        ready = ready && get(port(20 + number), "/readiness").status() == 200;
      }
      bool whole = false;
      for (int number = 1; number <= storages; ++number) {
        const std::string page = get(port(70 + number), "/metrics").body;
        whole = whole ||
                (page.find("heathtrestle_records_leader 1\n") !=
                     std::string::npos &&
                 page.find("heathtrestle_records_voters 3\n") !=
                     std::string::npos);
      }
      if (ready && whole) {
        return true;
      }
      pause_ms(100);
    }
    return false;
  }

  void start_gateway(int number) {
    const std::string name = "gateway-" + std::to_string(number);
    std::ofstream out(settings_of(name));
    out << "[node]\nname = \"" << name << "\"\n"
        << place(number) << "[listen]\nclients = " << address(10 + number)
        << "\nreadiness = " << address(20 + number)
        << "\npeers = " << address(30 + number)
        << "\nrpc = " << address(40 + number)
        << "\nmetrics = " << address(50 + number) << "\n"
        << common(number, "") << "grace_seconds = 8\ndrain_notice_ms = 2000\n"
        << "[warmup]\n[limits]\nmemory_mb = 220\n[tenants]\n";
    out.close();
    launch(name, "heathtrestle-gateway");
  }

  void start_storage(int number, bool first_start) {
    const std::string name = "storage-" + std::to_string(number);
    std::ofstream out(settings_of(name));
    out << "[node]\nname = \"" << name << "\"\n"
        << place(number) << "[listen]\nrpc = " << address(60 + number)
        << "\nmetrics = " << address(70 + number) << "\n[data]\ndirectory = \""
        << folder_ << "/data-" << number << "\"\n"
        << common(5 + number, first_start ? "first_start = true\n"
                                          : "first_start = false\n")
        << "drain_notice_ms = 2000\n[tenants]\n";
    out.close();
    launch(name, "heathtrestle-store");
  }

  void signal(const std::string &name, int number) {
    log().line("signal " + std::to_string(number) + " to " + name);
    ::kill(processes_.at(name), number);
  }

  /// Whether a process that was started is still there.
  bool runs(const std::string &name) {
    return ::waitpid(processes_.at(name), nullptr, WNOHANG) == 0;
  }

  void end() {
    for (const auto &[name, process] : processes_) {
      ::kill(process, SIGKILL);
    }
    for (const auto &[name, process] : processes_) {
      ::waitpid(process, nullptr, 0);
    }
    processes_.clear();
  }

  static message get(int port, const std::string &target) {
    message answer;
    if (const auto one = connection::to(port)) {
      one->send("GET " + target + " HTTP/1.1\r\nHost: status\r\n\r\n");
      one->read(answer, 1000);
    }
    return answer;
  }

private:
  [[nodiscard]] int port(int offset) const { return base_ + offset; }
  [[nodiscard]] std::string address(int offset) const {
    return "\"127.0.0.1:" + std::to_string(port(offset)) + "\"";
  }
  [[nodiscard]] std::string settings_of(const std::string &name) const {
    return folder_ + "/" + name + ".toml";
  }
  static std::string place(int number) {
    return "zone = \"zone-" + std::to_string(number) + "\"\nregion = \"one\"\n";
  }
  [[nodiscard]] std::string common(int store, const std::string &more) const {
    return "[cluster]\nseeds = [" + address(31) + "," + address(32) + "]\n" +
           more +
           "tolerated_losses = 1\n"
           "zones = [\"zone-1=one\",\"zone-2=one\",\"zone-3=one\"]\n"
           "[store]\naddress = " +
           address(store) + "\nwrites_per_second = 400\n[timing]\n";
  }

  void launch(const std::string &name, const std::string &program) {
    const std::string path = "target/platform/" + program;
    const std::string settings = settings_of(name);
    const std::string output = folder_ + "/" + name + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program
      const int fd =
          ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl(path.c_str(), program.c_str(), "--config", settings.c_str(),
              nullptr);
      ::_exit(127);
    }
    processes_[name] = process;
    log().line("start " + name + ": " + path + " --config " + settings);
  }

  /// The first of a hundred free ports.
  static int free_ports() {
    std::mt19937 random{std::random_device{}()};
    for (int tried = 0; tried < 200; ++tried) {
      const int base = 20000 + static_cast<int>(random() % 100) * 100;
      bool free = true;
      for (int each = base; free && each < base + 100; ++each) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(each));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        free = ::bind(fd, reinterpret_cast<sockaddr *>(&address),
                      sizeof address) == 0;
        ::close(fd);
      }
      if (free) {
        return base;
      }
    }
    return 20000;
  }

  std::string folder_;
  int base_;
  object_store store_;
  std::map<std::string, pid_t> processes_;
};

/// A request with a body of known length.
inline std::string request_text(const std::string &path,
                                const std::string &attempt, int deadline_ms,
                                const std::string &extra,
                                const std::string &body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: agents.example\r\nX-Attempt-Id: " + attempt +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The number of complete events in the body of a stream.
inline int count_events(const std::string &body) {
  int count = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

/// The data of the events of a stream, each with a line feed behind.
inline std::string data_of(const std::string &body) {
  std::string data;
  std::istringstream lines(body);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("data: ")) {
      data += line.substr(6) + "\n";
    }
  }
  return data;
}

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

/// Ends the processes of the cluster and this one. Threads of the stand-ins may
/// still be at work, so nothing is destroyed.
[[noreturn]] inline void finish(cluster &system, int code) {
  system.end();
  log().line("exit " + std::to_string(code));
  std::_Exit(code);
}

/// The arguments of a case: the record's path, the folder for temporary files,
/// and whether the disruption is played.
struct arguments {
  std::string record;
  std::string folder;
  bool trouble = true;
};

/// Opens the record. Ends the process when the arguments are wrong.
inline arguments begin_case(int argc, char **argv) {
  const std::string mode = argc == 4 ? argv[3] : "";
  if (mode != "with-trouble" && mode != "without-trouble") {
    std::fprintf(stderr, "usage: %s RECORD FOLDER "
                         "with-trouble|without-trouble\n", argv[0]);
    std::_Exit(could_not_run);
  }
  std::signal(SIGPIPE, SIG_IGN);
  log().open(argv[1]);
  log().line("the case is played " + mode);
  return {.record = argv[1],
          .folder = argv[2],
          .trouble = mode == "with-trouble"};
}

} // namespace review
