// Reads recorded traces of a node. A trace has a header with the member record
// and options of the node, then its events, each with the resulting effects.
#pragma once

#include "base/error.hpp"
#include "core/node.hpp"
#include "wire/messages.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace heathtrestle::replay {

/// Builds the header, which is the first record of a trace.
wire::TraceRecord header_record(const wire::Member &self,
                                const core::node_options &options);

/// Restores the reducer's options from a header.
core::node_options options_of(const wire::TraceHeader &header);

/// Reads all records of a trace, decompressing files that end in ".gz".
/// @return `invalid_request` when the file is truncated, damaged or does not
/// begin with a header.
result<std::vector<wire::TraceRecord>> read_trace(const std::string &path);

} // namespace heathtrestle::replay
