// Tests clients and replicas that read slowly or never: what the gateway holds
// for them stays within its limit, a slow client still gets its whole answer,
// and one that never reads is given up.
#include "forwarding/client_session.hpp"
#include "forwarding/gateway.hpp"
#include "support/header_names.hpp"
#include "support/open_ledger.hpp"
#include "support/scripted_replica.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>

#include <boost/asio/read.hpp>

namespace heathtrestle::forwarding {
namespace {

using test_support::chunk;
using test_support::open_ledger;
using test_support::scripted_replica;
using test_support::stream_end;
using test_support::stream_head;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;
/// More than the sockets on the way can hold.
constexpr std::size_t event_bytes = 256 * kilobyte;
constexpr int event_count = 40;
constexpr std::size_t queue_limit = 512 * kilobyte;
/// What a stream may hold besides its queue: buffers, and the events of one
/// read.
constexpr std::size_t stream_overhead = 512 * kilobyte;

std::string large_event(int id) {
  return "id: " + std::to_string(id) +
         "\ndata: " + std::string(event_bytes, 'x') + "\n\n";
}

std::string request_for(const std::string &path, std::size_t body_bytes = 8) {
  return "POST " + path + "\r\nHost: h\r\nAttempt: a\r\nDeadline: 20000\r\n" +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

class slow_clients_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slow_clients_test);
  CPPUNIT_TEST(a_slow_client_gets_its_whole_answer);
  CPPUNIT_TEST(a_client_that_never_reads_is_given_up);
  CPPUNIT_TEST(many_clients_that_never_read_stay_within_the_limit);
  CPPUNIT_TEST(a_replica_that_never_reads_ends_with_the_deadline);
  CPPUNIT_TEST(a_body_that_does_not_fit_is_refused_before_it_is_read);
  CPPUNIT_TEST(a_chunked_body_is_refused_when_it_no_longer_fits);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  open_ledger ledger_;
  std::unique_ptr<gateway> gateway_;
  std::unique_ptr<tcp::acceptor> clients_;
  std::unique_ptr<scripted_replica> replica_;

  void start(std::size_t limit, duration_ms stall_limit = duration_ms{5000}) {
    gateway_options options;
    options.headers = test_support::test_names();
    options.selection.places = routing::topology("z");
    options.held_bytes_limit = limit;
    options.client_streams = {.queue_limit = queue_limit,
                              .stall_limit = stall_limit};
    gateway_ = std::make_unique<gateway>(io_, options, ledger_);
    clients_ = std::make_unique<tcp::acceptor>(
        std::move(http::listen(io_, "127.0.0.1:0")).value());
    asio::co_spawn(io_, accept_clients(*gateway_, *clients_), asio::detached);
    replica_ = std::make_unique<scripted_replica>(io_);
    add_replica(replica_->address());
  }

  void add_replica(const std::string &address) {
    routing::configuration settings;
    settings.version = routing::configuration_version{1};
    routing::route route;
    route.name = "stream";
    route.host = "h";
    route.path_prefix = "/";
    route.kind = routing::request_kind::streaming;
    route.timeout = duration_ms{20000};
    route.services = {{routing::service_id{"s"}, 1}};
    route.max_attempts = 1;
    settings.routes = {route};
    settings.limits.body_bytes = 16 * megabyte;
    gateway_->apply_routes(settings);
    gateway_->replicas().put({.id = routing::instance_id{"r"},
                              .service = routing::service_id{"s"},
                              .address = address,
                              .zone = "z",
                              .slots = 400});
  }

  void script_large_stream() {
    std::string bytes = stream_head;
    for (int id = 1; id <= event_count; ++id) {
      bytes += chunk(large_event(id));
    }
    replica_->script.push_back({.bytes = bytes + stream_end});
  }

  /// Connects and sends a request without reading the answer.
  std::unique_ptr<tcp::socket> send(const std::string &bytes) {
    auto client = std::make_unique<tcp::socket>(io_);
    client->open(tcp::v4());
    client->set_option(asio::socket_base::receive_buffer_size(64 * kilobyte));
    client->connect(clients_->local_endpoint());
    asio::write(*client, asio::buffer(bytes));
    return client;
  }

  template <typename Condition>
  bool run_until(Condition holds, duration_ms limit = duration_ms{10000}) {
    const timestamp end = steady_now() + limit;
    while (!holds() && steady_now() < end) {
      io_.restart();
      io_.run_one_for(duration_ms{5});
    }
    return holds();
  }

  void run_for(duration_ms time) {
    run_until([] { return false; }, time);
  }

  [[nodiscard]] std::size_t held() const {
    return gateway_->held_bytes().held();
  }

  /// Reads what has arrived, for at most `most` bytes.
  static std::string read_some(tcp::socket &client, std::size_t most) {
    std::string bytes(most, '\0');
    boost::system::error_code failure;
    client.non_blocking(true);
    bytes.resize(client.read_some(asio::buffer(bytes), failure));
    return bytes;
  }

  std::string read_status(tcp::socket &client) {
    std::string answer;
    run_until([&] {
      answer += read_some(client, 4096);
      return answer.find("\r\n\r\n") != std::string::npos;
    });
    return answer.substr(0, std::string("HTTP/1.1 503").size());
  }

public:
  void tearDown() override { io_.stop(); }

  void a_slow_client_gets_its_whole_answer() {
    start(16 * megabyte);
    script_large_stream();
    const auto client = send(request_for("/ HTTP/1.1") + "question");
    std::size_t most_held = 0;
    std::string tail;
    std::size_t received = 0;
    const bool whole = run_until(
        [&] {
          most_held = std::max(most_held, held());
          const std::string bytes = read_some(*client, 64 * kilobyte);
          received += bytes.size();
          tail = (tail + bytes)
                     .substr(tail.size() + bytes.size() > 5
                                 ? tail.size() + bytes.size() - 5
                                 : 0);
          return tail == stream_end;
        },
        duration_ms{20000});
    CPPUNIT_ASSERT(whole);
    CPPUNIT_ASSERT(received > event_count * event_bytes);
    CPPUNIT_ASSERT(most_held < queue_limit + stream_overhead);
    CPPUNIT_ASSERT(run_until([&] { return held() == 0; }));
  }

  void a_client_that_never_reads_is_given_up() {
    start(16 * megabyte, duration_ms{200});
    script_large_stream();
    const auto client = send(request_for("/ HTTP/1.1") + "question");
    CPPUNIT_ASSERT(run_until([&] { return held() > queue_limit / 2; }));
    CPPUNIT_ASSERT(held() < queue_limit + stream_overhead);
    CPPUNIT_ASSERT(run_until([&] { return held() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_->open_requests());
  }

  void many_clients_that_never_read_stay_within_the_limit() {
    constexpr std::size_t limit = 4 * megabyte;
    constexpr int count = 100;
    start(limit);
    std::vector<std::unique_ptr<tcp::socket>> clients;
    std::size_t most_held = 0;
    for (int number = 0; number < count; ++number) {
      script_large_stream();
      clients.push_back(send(request_for("/ HTTP/1.1") + "question"));
      run_for(duration_ms{2});
      most_held = std::max(most_held, held());
    }
    run_until(
        [&] {
          most_held = std::max(most_held, held());
          return false;
        },
        duration_ms{500});
    // Each stream may exceed the limit by the events of one read.
    CPPUNIT_ASSERT(most_held < limit + 40 * (event_bytes + 64 * kilobyte));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"),
                         read_status(*clients.back()));
  }

  void a_replica_that_never_reads_ends_with_the_deadline() {
    start(16 * megabyte);
    tcp::acceptor silent(std::move(http::listen(io_, "127.0.0.1:0")).value());
    gateway_->replicas().remove(routing::instance_id{"r"});
    gateway_->replicas().put(
        {.id = routing::instance_id{"silent"},
         .service = routing::service_id{"s"},
         .address =
             "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
         .zone = "z",
         .slots = 4});
    std::string request = request_for("/ HTTP/1.1", 8 * megabyte);
    request.replace(request.find("20000"), 5, "1500");
    const auto client = send(request);
    client->non_blocking(true);
    const std::string body(8 * megabyte, 'x');
    std::size_t sent = 0;
    CPPUNIT_ASSERT(run_until([&] {
      boost::system::error_code failure;
      sent += client->write_some(
          asio::buffer(body.data() + sent, body.size() - sent), failure);
      return sent == body.size();
    }));
    CPPUNIT_ASSERT(run_until([&] { return held() >= 8 * megabyte; }));
    CPPUNIT_ASSERT(run_until([&] { return held() == 0; }));
  }

  void a_body_that_does_not_fit_is_refused_before_it_is_read() {
    start(megabyte);
    const auto client = send(request_for("/ HTTP/1.1", 2 * megabyte));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), read_status(*client));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held());
    CPPUNIT_ASSERT(replica_->received.empty());
  }

  void a_chunked_body_is_refused_when_it_no_longer_fits() {
    start(megabyte);
    const auto client = send("POST / HTTP/1.1\r\nHost: h\r\nAttempt: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n");
    client->non_blocking(true);
    const std::string piece = chunk(std::string(64 * kilobyte, 'x'));
    std::string pending;
    std::size_t sent = 0;
    std::size_t most_held = 0;
    run_until(
        [&] {
          pending = pending.empty() ? piece : pending;
          boost::system::error_code failure;
          const std::size_t taken =
              client->write_some(asio::buffer(pending), failure);
          pending.erase(0, taken);
          sent += taken;
          most_held = std::max(most_held, held());
          return sent > 2 * megabyte || failure == asio::error::broken_pipe;
        },
        duration_ms{2000});
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), read_status(*client));
    CPPUNIT_ASSERT(most_held <= megabyte);
    CPPUNIT_ASSERT(replica_->received.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_clients_test);

} // namespace
} // namespace heathtrestle::forwarding
