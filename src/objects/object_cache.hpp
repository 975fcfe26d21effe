// Caches the latest known objects of several kinds. The process serves this
// copy to peers that start while the store is unavailable.
#pragma once

#include "objects/object_store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heathtrestle::objects {

class object_cache {
public:
  /// Replaces all objects of a kind unless the copy is newer.
  /// @return false when the listing is older than the copy.
  bool replace(const std::string &kind, listing objects);
  /// Applies changes unless the copy already has their revision.
  /// @return false when the copy is at least as new.
  bool apply(const std::string &kind, const change_list &changes);

  /// True when the copy has this object at a later revision than `candidate`.
  /// False when the revision of `candidate` could not be read (0).
  [[nodiscard]] bool has_newer(const std::string &kind,
                               const object &candidate) const;
  /// @return nothing when the kind is unknown.
  [[nodiscard]] std::optional<listing> find(const std::string &kind) const;

private:
  struct kind_copy {
    std::map<std::string, object> by_name;
    std::uint64_t revision = 0;
  };
  std::map<std::string, kind_copy> kinds_;
};

/// Encodes a listing as JSON for other processes of this product.
std::string encode_listing(const listing &objects);
/// Decodes a listing. An item with a malformed revision or specification keeps
/// only its name; an item without a name is left out.
/// @return `malformed` when the text is not a listing.
store_result<listing> decode_listing(const std::string &text);

} // namespace heathtrestle::objects
