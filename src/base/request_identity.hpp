// The identity that a request keeps over all the attempts of its client.
#pragma once

#include "base/typed_id.hpp"

#include <cstdint>

namespace heathtrestle {

/// A hash of what the request asks for.
using request_identity = typed_id<std::uint64_t, struct request_identity_tag>;

} // namespace heathtrestle
