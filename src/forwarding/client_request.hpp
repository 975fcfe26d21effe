// A client's request, with the header values that determine its routing and
// admission.
#pragma once

#include "balance/prefix_view.hpp"
#include "base/time.hpp"
#include "forwarding/header_names.hpp"
#include "tenants/tenant.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace heathtrestle::forwarding {

namespace beast_http = boost::beast::http;

/// The header values of a program's turn.
struct turn_header {
  std::string program;
  std::string session;
  std::uint64_t budget = 0;      // tokens, for the whole program
  std::uint64_t most_tokens = 0; // tokens that this turn may generate
  std::string previous;          // attempt id of the previous turn, if any
};

struct client_request {
  beast_http::request<beast_http::string_body> message;
  timestamp arrived{};

  std::string attempt_id; // empty when the client sent none
  tenants::api_key key;   // empty when the client sent no well-formed one
  std::string program;    // empty for requests of no program
  std::optional<duration_ms> client_deadline;
  std::string object; // affinity key for plain replicas, if any
  /// The prompt's parts in order; empty for requests without a prompt.
  std::vector<balance::prompt_part> prompt;
  /// Present on turns of programs that name a budget.
  std::optional<turn_header> turn;
  std::string previous_turn; // may be empty
  /// The attempt that brought the first event of the stream that this request
  /// resumes; empty when the client names none.
  std::string resumes;
  /// Whether the client asks for what follows an event that it already has.
  bool resumes_after_event = false;

  /// Time until the program's deadline, if the client sent it; negative when
  /// the deadline has passed.
  std::optional<duration_ms> program_deadline;
};

/// Parses the header values of a request.
client_request interpret(beast_http::request<beast_http::string_body> message,
                         timestamp arrived, const header_names &names);

/// Returns a client's name in the tenant's namespace. The separator is
/// unambiguous, because tenant names travel in header fields and cannot contain
/// a line feed.
std::string scoped_name(const tenant_id &tenant, const std::string &name);

/// Returns whether a header field applies to a single connection and must not
/// be forwarded.
/// @param connection the value of the message's Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

/// Parses "id:tokens,id:tokens" with hexadecimal ids.
/// @return the parts before the first malformed one.
std::vector<balance::prompt_part> parse_prompt(std::string_view text);

/// Parses an unsigned integer.
/// @return nothing when the text is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace heathtrestle::forwarding
