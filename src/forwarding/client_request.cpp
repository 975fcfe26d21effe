#include "forwarding/client_request.hpp"

#include "tenants/key_ring.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace heathtrestle::forwarding {

namespace {

std::string_view to_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Parses a signed number of milliseconds; a negative one is in the past.
std::optional<duration_ms> signed_duration(std::string_view text) {
  const bool over = text.starts_with('-');
  const auto number = parse_number(over ? text.substr(1) : text);
  if (!number) {
    return std::nullopt;
  }
  const auto count = static_cast<std::int64_t>(*number);
  return duration_ms{over ? -count : count};
}

/// Returns the maximum number of output tokens: the second number of "in,out".
std::uint64_t most_tokens_of(std::string_view usage) {
  const std::size_t comma = usage.find(',');
  if (comma == std::string_view::npos) {
    return 0;
  }
  return parse_number(usage.substr(comma + 1)).value_or(0);
}

} // namespace

std::vector<balance::prompt_part> parse_prompt(std::string_view text) {
  constexpr int hexadecimal = 16;
  std::vector<balance::prompt_part> parts;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) {
      break;
    }
    balance::prompt_part part;
    const char *end = item.data() + colon;
    const auto read = std::from_chars(item.data(), end, part.id, hexadecimal);
    const auto tokens = parse_number(item.substr(colon + 1));
    if (read.ec != std::errc{} || read.ptr != end || !tokens) {
      break;
    }
    part.tokens = *tokens;
    parts.push_back(part);
  }
  return parts;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  while (text.ends_with(' ')) {
    text.remove_suffix(1);
  }
  std::uint64_t number = 0;
  const char *end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

client_request interpret(beast_http::request<beast_http::string_body> message,
                         timestamp arrived, const header_names &names) {
  client_request request;
  request.arrived = arrived;
  const auto field = [&message](const std::string &name) {
    return to_view(message[name]);
  };
  const auto duration =
      [&field](const std::string &name) -> std::optional<duration_ms> {
    const auto number = parse_number(field(name));
    if (!number) {
      return std::nullopt;
    }
    return duration_ms{static_cast<std::int64_t>(*number)};
  };
  request.attempt_id = field(names.attempt_id);
  if (message.count(names.credential) == 1) {
    request.key = tenants::api_key{std::string(tenants::parse_credential(
        field(names.credential), names.credential_scheme))};
  }
  request.program = field(names.program_id);
  request.client_deadline = duration(names.deadline_ms);
  request.program_deadline = signed_duration(field(names.program_deadline));
  request.object = field(names.affinity_key);
  request.prompt = parse_prompt(field(names.prompt_parts));
  request.previous_turn = field(names.previous_turn);
  request.resumes = field(names.resumes);
  request.resumes_after_event = message.count(names.last_event_id) > 0;
  const auto budget = parse_number(field(names.token_budget));
  if (budget && !request.program.empty()) {
    request.turn = turn_header{
        .program = request.program,
        .session = std::string(field(names.session_id)),
        .budget = *budget,
        .most_tokens = most_tokens_of(field(names.token_usage)),
        .previous = request.previous_turn,
    };
  }
  request.message = std::move(message);
  return request;
}

std::string scoped_name(const tenant_id &tenant, const std::string &name) {
  const bool plain = tenant.value().empty() || name.empty();
  return plain ? name : tenant.value() + '\n' + name;
}

bool is_hop_by_hop(std::string_view name, std::string_view connection) {
  constexpr std::array fixed{"connection",
                             "keep-alive",
                             "proxy-connection",
                             "proxy-authenticate",
                             "proxy-authorization",
                             "te",
                             "trailer",
                             "transfer-encoding",
                             "upgrade",
                             "content-length"};
  const boost::beast::string_view wanted(name.data(), name.size());
  for (const char *each : fixed) {
    if (boost::beast::iequals(wanted, each)) {
      return true;
    }
  }
  const beast_http::token_list named(
      boost::beast::string_view(connection.data(), connection.size()));
  for (const auto token : named) {
    if (boost::beast::iequals(wanted, token)) {
      return true;
    }
  }
  return false;
}

} // namespace heathtrestle::forwarding
