#include "http/message_framing.hpp"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace heathtrestle::http {

namespace beast_http = boost::beast::http;

namespace {

constexpr unsigned http_1_1 = 11;
/// A longer number does not fit into 64 bits.
constexpr std::size_t max_length_digits = 19;

bool is_plain_number(std::string_view text) {
  return !text.empty() && text.size() <= max_length_digits &&
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

template <bool is_request>
bool has_plain_framing(
    const beast_http::header<is_request, beast_http::fields> &head) {
  const std::size_t codings = head.count(beast_http::field::transfer_encoding);
  const std::size_t lengths = head.count(beast_http::field::content_length);
  if (codings + lengths > 1) {
    return false;
  }
  if (codings == 1) {
    const auto coding = head[beast_http::field::transfer_encoding];
    return head.version() >= http_1_1 &&
           boost::beast::iequals(coding, "chunked");
  }
  if (lengths == 1) {
    const auto length = head[beast_http::field::content_length];
    return is_plain_number({length.data(), length.size()});
  }
  return true;
}

template bool has_plain_framing<true>(
    const beast_http::header<true, beast_http::fields> &head);
template bool has_plain_framing<false>(
    const beast_http::header<false, beast_http::fields> &head);

bool has_folded_line(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

} // namespace heathtrestle::http
