// Polls other gateways, over their peer interface, on whether they can reach
// the record group. The answers distinguish a failure of this gateway's network
// from an outage of the group.
#pragma once

#include "http/call_client.hpp"
#include "records/group_failure_detector.hpp"
#include "runtime/asio.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

/// The path under which a gateway reports whether it can reach the record
/// group.
inline constexpr std::string_view peer_contact_path = "/v1/record-group";

class peer_contacts {
public:
  /// @param addresses "ip:port" of other gateways' peer interfaces.
  peer_contacts(asio::io_context &io,
                const std::vector<std::string> &addresses);

  /// Polls all peers concurrently. Returns within half a second.
  asio::awaitable<records::peer_reachability> poll();

private:
  struct tally {
    std::size_t answers = 0;
    std::size_t reachable = 0;
  };
  struct peer {
    std::string address;
    http::call_client client;
  };

  static asio::awaitable<void> poll_one(std::shared_ptr<peer> asked,
                                        std::shared_ptr<tally> counted);

  asio::io_context &io_;
  std::vector<std::shared_ptr<peer>> peers_;
};

} // namespace heathtrestle::forwarding
