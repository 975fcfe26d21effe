// This process's copy of some kinds of objects. Another process that starts
// while the store is down may ask for it.
#pragma once

#include "objects/object_store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heathtrestle::objects {

class object_cache {
public:
  /// Replaces all objects of a kind, unless the copy is newer already.
  /// @return false when the listing is older than what is known.
  bool replace(const std::string &kind, listing objects);
  /// Takes in changes that follow what is known, unless they are known already.
  /// @return false when the copy is as new as they are.
  bool apply(const std::string &kind, const change_list &changes);

  /// True when the copy has this object with a later revision. An object whose
  /// revision could not be read is never older.
  [[nodiscard]] bool has_newer(const std::string &kind,
                               const object &told) const;
  /// @return nothing when the kind was never listed.
  [[nodiscard]] std::optional<listing> find(const std::string &kind) const;

private:
  struct kind_copy {
    std::map<std::string, object> by_name;
    std::uint64_t revision = 0;
  };
  std::map<std::string, kind_copy> kinds_;
};

/// A listing as this product's processes exchange it.
std::string encode_listing(const listing &objects);
/// An item that cannot be read is given by its name alone, or left out.
/// @return `malformed` when the text is no such listing.
store_result<listing> decode_listing(const std::string &text);

} // namespace heathtrestle::objects
