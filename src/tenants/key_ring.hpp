// Finds the tenant of a key. Immutable, made anew with each configuration.
#pragma once

#include "base/error.hpp"
#include "tenants/tenant.hpp"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathtrestle::tenants {

/// Checks what the operator wrote.
/// @return `invalid_request` naming the tenant: an empty or repeated name, an
/// empty key, a key that two tenants hold, or a quota that is no number.
result<void> validate_tenants(const std::vector<tenant> &tenants);

class key_ring {
public:
  key_ring() = default;
  explicit key_ring(std::vector<tenant> tenants);

  /// Keys are looked up by a keyed digest, so that the time that it takes tells
  /// nothing about the keys that exist.
  /// @return null when nobody holds the key.
  [[nodiscard]] const tenant *find(std::string_view key) const;
  /// True when no tenants are configured: then nobody needs a key.
  [[nodiscard]] bool empty() const { return tenants_.empty(); }
  [[nodiscard]] const std::vector<tenant> &tenants() const { return tenants_; }

private:
  struct digest {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const digest &) const = default;
  };
  struct digest_hash {
    std::size_t operator()(const digest &of) const {
      return static_cast<std::size_t>(of.low);
    }
  };
  [[nodiscard]] digest digest_of(std::string_view key) const;

  std::vector<tenant> tenants_;
  std::uint64_t seed_ = 0;
  /// Places in `tenants_`.
  std::unordered_map<digest, std::size_t, digest_hash> by_digest_;
};

/// The key in a header field that holds a credential.
/// @param field "SCHEME KEY"; the scheme's case is ignored.
/// @return an empty view when the field is anything else.
std::string_view parse_credential(std::string_view field,
                                  std::string_view scheme);

} // namespace heathtrestle::tenants
