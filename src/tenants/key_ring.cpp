#include "tenants/key_ring.hpp"

#include "base/random.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <xxhash.h>

namespace heathtrestle::tenants {

namespace {

bool is_finite_non_negative(double number) {
  return std::isfinite(number) && number >= 0;
}

auto invalid_tenant(const tenant &of, const std::string &reason) {
  return fail(error_code::invalid_request,
              "tenant \"" + of.id.value() + "\": " + reason, "check tenants");
}

} // namespace

result<void> validate_tenants(const std::vector<tenant> &tenants) {
  std::set<tenant_id> names;
  std::set<api_key> keys;
  for (const tenant &each : tenants) {
    if (each.id.value().empty()) {
      return invalid_tenant(each, "the name is empty");
    }
    if (!names.insert(each.id).second) {
      return invalid_tenant(each, "the name is used more than once");
    }
    if (!is_finite_non_negative(each.quota.rate_per_second) ||
        !is_finite_non_negative(each.quota.burst)) {
      return invalid_tenant(each,
                            "rate and burst must be finite and not negative");
    }
    for (const api_key &key : each.keys) {
      if (key.value().empty()) {
        return invalid_tenant(each, "one of its keys is empty");
      }
      if (!keys.insert(key).second) {
        return invalid_tenant(each, "one of its keys is used more than once");
      }
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

key_ring::key_ring(std::vector<tenant> tenants)
    : tenants_(std::move(tenants)), seed_(draw_system_random()) {
  for (std::size_t place = 0; place < tenants_.size(); ++place) {
    for (const api_key &key : tenants_[place].keys) {
      by_digest_.emplace(digest_of(key.value()), place);
    }
  }
}

key_ring::digest key_ring::digest_of(std::string_view key) const {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), seed_);
  return {.low = hash.low64, .high = hash.high64};
}

const tenant *key_ring::find(std::string_view key) const {
  if (by_digest_.empty()) {
    return nullptr; // no tenants are configured, or none has a key
  }
  const auto found = by_digest_.find(digest_of(key));
  return found == by_digest_.end() ? nullptr : &tenants_[found->second];
}

std::string_view parse_credential(std::string_view field,
                                  std::string_view scheme) {
  const bool has_scheme =
      field.size() > scheme.size() && field[scheme.size()] == ' ' &&
      boost::beast::iequals(field.substr(0, scheme.size()), scheme);
  if (!has_scheme) {
    return {};
  }
  std::string_view key = field.substr(scheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  key = key.substr(0, key.find_last_not_of(" \t") + 1);
  const bool single_token = key.find_first_of(" \t,") == std::string_view::npos;
  return single_token ? key : std::string_view{};
}

} // namespace heathtrestle::tenants
