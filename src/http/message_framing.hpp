// Checks that every reader of a message sees the same end of it. A request that
// another reader takes for a part of the message before it would reach a
// replica unasked.
#pragma once

#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace heathtrestle::http {

/// Returns whether a head leaves no doubt about the length of its body: it has
/// a single plain number as its length, or "chunked" as the only transfer
/// coding (RFC 9112, 6.3), or neither.
template <bool is_request>
[[nodiscard]] bool has_plain_framing(
    const boost::beast::http::header<is_request, boost::beast::http::fields>
        &head);

/// Returns whether a field of a head goes on in the next line, which readers
/// treat differently (RFC 9112, 5.2).
[[nodiscard]] bool has_folded_line(std::string_view head);

} // namespace heathtrestle::http
