#include "stand_ins/replies.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace heathtrestle::stand_ins {

namespace json = boost::json;

std::uint64_t parse_number(const std::string &text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void respond_error(http::exchange &exchange, std::uint32_t status,
                   std::string_view why) {
  exchange.respond(http::json_response(
      status, json::serialize(json::object{{"error", why}}) + "\n"));
}

void respond_ok(http::exchange &exchange, const json::object &body) {
  exchange.respond(http::json_response(200, json::serialize(body) + "\n"));
}

} // namespace heathtrestle::stand_ins
