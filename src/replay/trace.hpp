// Recorded traces of one node: what it was, its events, and the effects that
// they had. Replaying a trace runs the same events through the real reducer.
#pragma once

#include "base/error.hpp"
#include "core/node.hpp"
#include "wire/messages.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace heathtrestle::replay {

/// The first record of a trace.
wire::TraceRecord header_record(const wire::Member &self,
                                const core::node_options &options);

/// The reducer's options that a header stands for.
core::node_options options_of(const wire::TraceHeader &header);

/// Reads all records of a trace.
/// @return `invalid_request` when the file is cut or does not begin with a
/// header.
result<std::vector<wire::TraceRecord>> read_trace(const std::string &path);

} // namespace heathtrestle::replay
