#include "stand_ins/fault_proxy/fault_proxy.hpp"

#include "support/coroutines.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include <boost/asio/write.hpp>

namespace heathtrestle::stand_ins {
namespace {

std::string address_of(const tcp::acceptor &acceptor) {
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

class fault_proxy_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fault_proxy_test);
  CPPUNIT_TEST(faults_are_spelled_as_documented);
  CPPUNIT_TEST(unknown_links_and_faults_are_refused);
  CPPUNIT_TEST(a_sound_link_passes_bytes_both_ways);
  CPPUNIT_TEST(a_held_link_delivers_when_it_is_sound_again);
  CPPUNIT_TEST(one_direction_is_held_alone);
  CPPUNIT_TEST(a_reset_ends_open_connections);
  CPPUNIT_TEST(a_refusing_link_resets_new_connections);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;
  tcp::acceptor process_{io_, {asio::ip::address_v4::loopback(), 0}};
  tcp::endpoint proxy_at_;
  fault_proxy proxy_{io_};
  tcp::socket client_{io_};
  tcp::socket served_{io_};

  /// Runs the event loop until `done` returns true, for at most 5 seconds.
  template <typename Done> bool run_until(Done done) {
    const timestamp end = steady_now() + duration_ms{5000};
    while (!done() && steady_now() < end) {
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
  }

  void settle() { io_.run_for(std::chrono::milliseconds(60)); }

  void connect() {
    bool accepted = false;
    process_.async_accept(served_, [&accepted](auto ec) { accepted = !ec; });
    client_.connect(proxy_at_);
    CPPUNIT_ASSERT(run_until([&accepted] { return accepted; }));
  }

  static std::size_t waiting(tcp::socket &socket) { return socket.available(); }

public:
  void setUp() override {
    // Binds and releases an ephemeral port for the proxy.
    tcp::acceptor probe(io_, {asio::ip::address_v4::loopback(), 0});
    proxy_at_ = probe.local_endpoint();
    const std::string listen = address_of(probe);
    probe.close();
    CPPUNIT_ASSERT(proxy_.add("store", listen, address_of(process_)));
  }

  void faults_are_spelled_as_documented() {
    CPPUNIT_ASSERT(parse_fault("sound") == link_fault{});
    CPPUNIT_ASSERT(parse_fault("refuse") == link_fault{.refuses = true});
    CPPUNIT_ASSERT(parse_fault("delay-250") ==
                   link_fault{.delay = duration_ms{250}});
    for (const char *word : {"", "delay-", "delay-x", "delay--1", "slow"}) {
      CPPUNIT_ASSERT(!parse_fault(word));
    }
  }

  void unknown_links_and_faults_are_refused() {
    CPPUNIT_ASSERT(proxy_.apply_command("/store/silent"));
    CPPUNIT_ASSERT(proxy_.apply_command("/all/sound"));
    CPPUNIT_ASSERT(!proxy_.apply_command("/store/slow"));
    CPPUNIT_ASSERT(!proxy_.apply_command("/other/silent"));
    CPPUNIT_ASSERT(!proxy_.apply_command("silent"));
    CPPUNIT_ASSERT(!proxy_.apply_command("/silent"));
  }

  void a_sound_link_passes_bytes_both_ways() {
    connect();
    asio::write(client_, asio::buffer("ask", 3));
    CPPUNIT_ASSERT(run_until([this] { return waiting(served_) == 3; }));
    asio::write(served_, asio::buffer("answer", 6));
    CPPUNIT_ASSERT(run_until([this] { return waiting(client_) == 6; }));
  }

  void a_held_link_delivers_when_it_is_sound_again() {
    connect();
    CPPUNIT_ASSERT(proxy_.apply_command("/store/silent"));
    asio::write(client_, asio::buffer("ask", 3));
    settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting(served_));
    CPPUNIT_ASSERT(proxy_.apply_command("/store/sound"));
    CPPUNIT_ASSERT(run_until([this] { return waiting(served_) == 3; }));
  }

  void one_direction_is_held_alone() {
    connect();
    CPPUNIT_ASSERT(proxy_.apply_command("/store/hold-answers"));
    asio::write(client_, asio::buffer("ask", 3));
    asio::write(served_, asio::buffer("answer", 6));
    CPPUNIT_ASSERT(run_until([this] { return waiting(served_) == 3; }));
    settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting(client_));
  }

  void a_reset_ends_open_connections() {
    connect();
    bool ended = false;
    std::array<char, 8> buf{};
    client_.async_read_some(asio::buffer(buf), [&ended](auto ec, std::size_t) {
      ended = static_cast<bool>(ec);
    });
    CPPUNIT_ASSERT(proxy_.apply_command("/store/reset"));
    CPPUNIT_ASSERT(run_until([&ended] { return ended; }));
  }

  void a_refusing_link_resets_new_connections() {
    CPPUNIT_ASSERT(proxy_.apply_command("/store/refuse"));
    client_.connect(proxy_at_);
    bool ended = false;
    std::array<char, 8> buf{};
    client_.async_read_some(asio::buffer(buf), [&ended](auto ec, std::size_t) {
      ended = static_cast<bool>(ec);
    });
    CPPUNIT_ASSERT(run_until([&ended] { return ended; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_proxy_test);

} // namespace
} // namespace heathtrestle::stand_ins
