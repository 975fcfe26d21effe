// The version of a replica's software.
#pragma once

#include "base/typed_id.hpp"

#include <string>

namespace heathtrestle {

/// Opaque: versions are only compared for equality. Empty when not known.
using software_version = typed_id<std::string, struct software_version_tag>;

} // namespace heathtrestle
