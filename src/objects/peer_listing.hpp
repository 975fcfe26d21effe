// Lists the objects that a peer process has cached, over its control interface.
#pragma once

#include "http/call_client.hpp"
#include "objects/object_store.hpp"

#include <string>

namespace heathtrestle::objects {

/// Path under which a process serves its cached objects, followed by the kind.
inline constexpr std::string_view peer_objects_path = "/v1/objects/";

class peer_listing : public listing_source {
public:
  /// @param address "ip:port" of the peer's control interface.
  peer_listing(asio::io_context &io, std::string address);

  asio::awaitable<store_result<listing>> list(std::string kind) override;

private:
  std::string address_;
  http::call_client client_;
};

} // namespace heathtrestle::objects
