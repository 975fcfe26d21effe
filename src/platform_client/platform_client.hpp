// HTTP client for the platform's object API.
//
// Every write is a compare-and-set that carries a change id. If its response is
// lost, the object is read back, and its change id shows whether the write took
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

/// An object as stored by the platform.
struct stored_object {
  std::uint64_t version = 0;
  std::string change_id; // of the write that created this version
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

  /// @return an empty optional if the object does not exist.
  result<std::optional<stored_object>> read(const std::string &kind,
                                            const std::string &name);

  /// Writes an object. If the response is lost, reads the object back to find
  /// out whether the write took effect, and retries it if not.
  /// @return the new version; `conflict` if the object has another version than
  /// expected; an error with `ran` unknown if the outcome stays unknown.
  result<std::uint64_t> write(const write_request &request);

  /// Waits up to `wait` for configuration changes after `revision` (long poll).
  /// @return the changes; empty if there were none in that time.
  result<wire::ConfigurationDelta> watch(std::uint64_t revision,
                                         std::chrono::milliseconds wait);

  [[nodiscard]] const std::string &address() const { return address_; }

private:
  result<std::uint64_t> write_once(const write_request &request);

  http::client &client_;
  std::string address_;
};

/// The object kind of the clusters' founding records.
inline constexpr std::string_view founding_kind = "cluster";

} // namespace heathtrestle::platform_client
