#include "objects/peer_listing.hpp"

#include "objects/object_cache.hpp"

#include <utility>

namespace heathtrestle::objects {

namespace {

constexpr duration_ms connect_timeout{300};
constexpr duration_ms call_timeout{600};

} // namespace

peer_listing::peer_listing(asio::io_context &io, std::string address)
    : address_(std::move(address)), client_(io, address_, connect_timeout) {}

asio::awaitable<store_result<listing>> peer_listing::list(std::string kind) {
  const auto answer = co_await client_.call(
      http::get_request(address_, std::string(peer_objects_path) + kind),
      call_timeout);
  if (!answer) {
    co_return store_error::no_answer;
  }
  if (answer->result() != boost::beast::http::status::ok) {
    co_return store_error::unavailable;
  }
  co_return decode_listing(answer->body());
}

} // namespace heathtrestle::objects
