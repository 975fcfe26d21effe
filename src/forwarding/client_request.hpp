// A client's request as the gateway reads it, and the few values in its header
// that decide what becomes of it.
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

/// A turn of a program: its place and its budget.
struct turn_header {
  std::string program;
  std::string session;
  std::uint64_t budget = 0;      // tokens, for the whole program
  std::uint64_t most_tokens = 0; // tokens that this turn may generate
  std::string previous;          // attempt id of the turn before; may be empty
};

struct client_request {
  beast_http::request<beast_http::string_body> message;
  timestamp arrived{};

  std::string attempt_id; // empty when the client sent none
  tenants::api_key key;   // empty when the client sent none that can be read
  std::string program;    // empty for requests of no program
  std::optional<duration_ms> client_deadline;
  std::string object; // what a plain replica may know already; may be empty
  /// The prompt's parts in order; empty for requests without a prompt.
  std::vector<balance::prompt_part> prompt;
  /// Present on turns of programs that name a budget.
  std::optional<turn_header> turn;
  std::string previous_turn; // may be empty

  /// Time until the program should end, where the client told; negative when
  /// it should have ended.
  std::optional<duration_ms> program_deadline;
};

/// Reads the values of the header.
client_request interpret(beast_http::request<beast_http::string_body> message,
                         timestamp arrived, const header_names &names);

/// True for fields that concern one connection only, which are not passed on.
/// @param connection the value of the message's Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

/// Reads "id:tokens,id:tokens" with hexadecimal ids. @return what can be read
/// before the first part that is malformed.
std::vector<balance::prompt_part> parse_prompt(std::string_view text);

/// Reads a whole number. @return nothing when the text is anything else.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace heathtrestle::forwarding
