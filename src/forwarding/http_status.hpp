// The HTTP status codes that the gateway reads and sends.
#pragma once

#include <cstdint>

namespace heathtrestle::forwarding {

inline constexpr std::uint32_t status_ok = 200;
inline constexpr std::uint32_t status_bad_request = 400;
inline constexpr std::uint32_t status_unauthorized = 401;
inline constexpr std::uint32_t status_payment_required = 402;
inline constexpr std::uint32_t status_not_found = 404;
inline constexpr std::uint32_t status_content_too_large = 413;
inline constexpr std::uint32_t status_misdirected = 421;
inline constexpr std::uint32_t status_bad_gateway = 502;
inline constexpr std::uint32_t status_unavailable = 503;
inline constexpr std::uint32_t status_gateway_timeout = 504;
inline constexpr std::uint32_t status_too_many = 429;
/// The first code beyond the informational ones, and beyond the successes.
inline constexpr std::uint32_t status_informational_end = 200;
inline constexpr std::uint32_t status_success_end = 300;

} // namespace heathtrestle::forwarding
