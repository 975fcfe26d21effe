// A file that is replaced as a whole: after a loss of power it has the old or
// the new contents.
#pragma once

#include "storage/directory.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace heathtrestle::storage {

/// What the file holds.
struct checkpoint_contents {
  /// Set unless the file does not exist or is damaged.
  std::optional<std::string> bytes;
  /// True when the file exists and its checksum is wrong.
  bool damaged = false;
};

/// True for the names of the files that these functions use.
bool is_checkpoint_name(std::string_view name);
result<checkpoint_contents> read_checkpoint(directory &files);
/// The new contents are durable when it returns.
result<void> write_checkpoint(directory &files, std::string_view bytes);

} // namespace heathtrestle::storage
