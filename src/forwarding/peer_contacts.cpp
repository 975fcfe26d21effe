#include "forwarding/peer_contacts.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::forwarding {

namespace {

/// Allows for several round trips and a peer that is short of processor time.
constexpr duration_ms answer_limit{350};

} // namespace

peer_contacts::peer_contacts(asio::io_context &io,
                             const std::vector<std::string> &addresses)
    : io_(io) {
  for (const std::string &address : addresses) {
    peers_.push_back(std::make_shared<peer>(
        peer{.address = address,
             .client = http::call_client(io, address, answer_limit)}));
  }
}

asio::awaitable<void> peer_contacts::poll_one(std::shared_ptr<peer> asked,
                                              std::shared_ptr<tally> counted) {
  const auto answer = co_await asked->client.call(
      http::get_request(asked->address, std::string(peer_contact_path)),
      answer_limit);
  if (answer) {
    ++counted->answers;
    counted->reachable +=
        answer->result() == boost::beast::http::status::ok ? 1 : 0;
  }
}

asio::awaitable<records::peer_reachability> peer_contacts::poll() {
  if (peers_.empty()) {
    co_return records::peer_reachability::no_peers;
  }
  const auto counted = std::make_shared<tally>();
  for (const auto &each : peers_) {
    asio::co_spawn(io_, poll_one(each, counted), asio::detached);
  }
  // One peer that reaches the group is enough; silence has to be waited out.
  constexpr duration_ms check_interval{20};
  const timestamp last = steady_now() + answer_limit;
  asio::steady_timer timer(io_);
  while (counted->reachable == 0 && counted->answers < peers_.size() &&
         steady_now() < last) {
    timer.expires_after(check_interval);
    co_await timer.async_wait(as_result);
  }
  if (counted->reachable > 0) {
    co_return records::peer_reachability::reachable;
  }
  co_return counted->answers > 0 ? records::peer_reachability::unreachable
                                 : records::peer_reachability::no_answer;
}

} // namespace heathtrestle::forwarding
