// Asks other gateways whether they hear the record group, over the product's
// own peer interface.
#pragma once

#include "http/call_client.hpp"
#include "records/group_failure_detector.hpp"
#include "runtime/asio.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

/// Path under which a gateway says whether it hears the record group.
inline constexpr std::string_view peer_contact_path = "/v1/record-group";

class peer_contacts {
public:
  /// @param addresses "ip:port" of other gateways' peer interfaces.
  peer_contacts(asio::io_context &io,
                const std::vector<std::string> &addresses);

  /// Asks all of them at the same time. Returns within half a second.
  asio::awaitable<records::peer_reachability> ask();

private:
  struct tally {
    std::size_t answers = 0;
    std::size_t hear_it = 0;
  };
  struct peer {
    std::string address;
    http::call_client client;
  };

  static asio::awaitable<void> ask_one(std::shared_ptr<peer> asked,
                                       std::shared_ptr<tally> counted);

  asio::io_context &io_;
  std::vector<std::shared_ptr<peer>> peers_;
};

} // namespace heathtrestle::forwarding
