// Talks to the platform's object API over HTTP.
//
// Every write is a compare-and-set that carries a change id. When its answer
// is lost the object is read back: the change id tells whether the write took
// effect.
#pragma once

#include "base/error.hpp"
#include "http/client.hpp"
#include "wire/messages.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace heathtrestle::platform_client {

/// An object as the platform holds it.
struct stored_object {
  std::uint64_t version = 0;
  std::string change_id; // of the write that made this version
  std::string document;
  bool removed = false;
};

struct write_request {
  std::string kind;
  std::string name;
  std::string document;               // JSON; empty removes the object
  std::uint64_t expected_version = 0; // 0: the object must not exist
  std::string change_id;
};

class platform_client {
public:
  platform_client(http::client &client, std::string address)
      : client_(client), address_(std::move(address)) {}

  /// @return nothing in the optional when the object does not exist.
  result<std::optional<stored_object>> read(const std::string &kind,
                                            const std::string &name);

  /// Writes an object and settles a lost answer by reading back.
  /// @return the new version; `conflict` when another version was found;
  /// an error with `ran` unknown when not even reading back worked.
  result<std::uint64_t> write(const write_request &request);

  /// Waits for changes of the configuration after `revision`.
  /// @return a delta, empty when `wait` passed without a change.
  result<wire::ConfigurationDelta> watch(std::uint64_t revision,
                                         std::chrono::milliseconds wait);

  [[nodiscard]] const std::string &address() const { return address_; }

private:
  result<std::uint64_t> write_once(const write_request &request);

  http::client &client_;
  std::string address_;
};

/// The kind under which the platform keeps the clusters' founding records.
inline constexpr std::string_view founding_kind = "cluster";

} // namespace heathtrestle::platform_client
