#include "forwarding/peer_contacts.hpp"

#include "http/status_server.hpp"
#include "support/coroutines.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace heathtrestle::forwarding {
namespace {

using records::peer_reachability;
using test_support::await_result;

constexpr std::uint32_t status_unavailable = 503;

class peer_contacts_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_contacts_test);
  CPPUNIT_TEST(nobody_is_known);
  CPPUNIT_TEST(nobody_answers);
  CPPUNIT_TEST(one_that_hears_the_group_decides);
  CPPUNIT_TEST(one_that_answers_hears_nothing);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context io_;

  /// Returns a loopback address on which nothing listens.
  std::string free_address() {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  /// Starts a peer that reports whether it reaches the group.
  std::string serve(bool hears) {
    const std::string address = free_address();
    const auto served =
        http::serve_pages(io_, address, [hears](std::string_view target) {
          const bool found = target == peer_contact_path && hears;
          return found ? http::page{.body = "heard\n"}
                       : http::page{.status = status_unavailable, .body = {}};
        });
    CPPUNIT_ASSERT(served);
    return address;
  }

  peer_reachability ask(const std::vector<std::string> &addresses) {
    peer_contacts contacts(io_, addresses);
    return await_result(io_, contacts.poll());
  }

public:
  void tearDown() override { io_.stop(); }

  void nobody_is_known() {
    CPPUNIT_ASSERT(ask({}) == peer_reachability::no_peers);
  }

  void nobody_answers() {
    CPPUNIT_ASSERT(ask({free_address(), free_address()}) ==
                   peer_reachability::no_answer);
  }

  void one_that_hears_the_group_decides() {
    CPPUNIT_ASSERT(ask({free_address(), serve(false), serve(true)}) ==
                   peer_reachability::reachable);
  }

  void one_that_answers_hears_nothing() {
    CPPUNIT_ASSERT(ask({free_address(), serve(false)}) ==
                   peer_reachability::unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_contacts_test);

} // namespace
} // namespace heathtrestle::forwarding
