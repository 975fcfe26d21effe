// In-memory stand-in for the platform's versioned object store.
#pragma once

#include "wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathtrestle::sim {

class sim_platform {
public:
  enum class fault : std::uint8_t { none, down, lose_answers };

  /// Writes an object; an empty document removes it.
  /// @return the new version, or nothing when the current version differs from
  /// `expected_version`.
  std::optional<std::uint64_t> put(const std::string &kind,
                                   const std::string &name,
                                   const std::string &document,
                                   std::uint64_t expected_version);

  [[nodiscard]] std::uint64_t version_of(const std::string &kind,
                                         const std::string &name) const;
  [[nodiscard]] wire::ConfigurationDelta
  changes_after(std::uint64_t revision) const;
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Stores the founding record unless one exists.
  /// @return the stored record, which is that of the first proposal.
  const wire::Founding &propose_founding(const wire::Founding &proposal);

  fault current_fault = fault::none;
  /// Called after every accepted change.
  std::function<void()> changed;

private:
  std::uint64_t revision_ = 0;
  std::map<std::pair<std::string, std::string>, wire::ConfigurationObject>
      objects_;
  std::optional<wire::Founding> founding_;
};

} // namespace heathtrestle::sim
