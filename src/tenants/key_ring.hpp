// Looks up the tenant that owns an API key. Immutable; each configuration gets
// a new key ring.
#pragma once

#include "base/error.hpp"
#include "tenants/tenant.hpp"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace heathtrestle::tenants {

/// Validates the configured tenants.
/// @return `invalid_request` naming the tenant if a name or key is empty or not
/// unique, or if a quota is negative or not finite.
result<void> validate_tenants(const std::vector<tenant> &tenants);

class key_ring {
public:
  key_ring() = default;
  explicit key_ring(std::vector<tenant> tenants);

  /// Finds the tenant of a key. Keys are looked up by a seeded digest, so that
  /// the lookup time reveals nothing about existing keys.
  /// @return null if no tenant owns the key.
  [[nodiscard]] const tenant *find(std::string_view key) const;
  /// True if no tenants are configured; clients then need no key.
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
  /// Indices into `tenants_`.
  std::unordered_map<digest, std::size_t, digest_hash> by_digest_;
};

/// Extracts the key from the value of a credential header field.
/// @param field "SCHEME KEY"; the case of the scheme is ignored.
/// @return an empty view if the field has any other form.
std::string_view parse_credential(std::string_view field,
                                  std::string_view scheme);

} // namespace heathtrestle::tenants
