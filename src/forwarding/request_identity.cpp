#include "forwarding/request_identity.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace heathtrestle::forwarding {

request_identity identity_of(const client_request &request,
                             const header_names &names,
                             const tenant_id &tenant) {
  const auto &message = request.message;
  const auto view = [](boost::beast::string_view text) {
    return std::string_view(text.data(), text.size());
  };
  const std::array parts{
      std::string_view(tenant.value()),       view(message.method_string()),
      view(message[beast_http::field::host]), view(message.target()),
      view(message[names.program_id]),        view(message[names.session_id]),
      view(message[names.previous_turn]),     view(message[names.affinity_key]),
      view(message[names.prompt_parts]),      view(message[names.token_usage]),
      std::string_view(message.body())};
  std::uint64_t hash = 0;
  for (const std::string_view part : parts) {
    hash = stable_hash(part, hash); // the seed keeps the parts apart
  }
  return request_identity{hash};
}

} // namespace heathtrestle::forwarding
