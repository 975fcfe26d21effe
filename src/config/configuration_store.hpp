// A node's copy of the shared configuration at one revision. The revision only
// increases: known deltas are ignored, and a delta that starts at a later
// revision is reported as a gap, so that the caller pulls what is missing.
#pragma once

#include "config/objects.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathtrestle::config {

enum class delta_outcome : std::uint8_t {
  applied,
  already_known,
  gap, // earlier changes are missing and must be pulled
};

class configuration_store {
public:
  /// Applies a delta. Objects whose document does not parse keep their last
  /// valid value and are reported by `rejected`.
  delta_outcome apply(const wire::ConfigurationDelta &delta);

  /// Returns all changes after `revision`, for a peer that is behind.
  [[nodiscard]] wire::ConfigurationDelta
  changes_after(std::uint64_t revision) const;

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] const std::vector<std::string> &rejected() const {
    return rejected_;
  }

  [[nodiscard]] const tenant_object *tenant(const std::string &name) const;
  [[nodiscard]] const class_object *
  program_class(const std::string &name) const;
  [[nodiscard]] const model_object *model(const std::string &name) const;
  [[nodiscard]] const backend_object *backend(const std::string &name) const;
  [[nodiscard]] const tool_object *tool(const std::string &name) const;

  [[nodiscard]] const std::map<std::string, backend_object> &backends() const {
    return backends_;
  }
  /// Returns whether a back end may get new work: it is configured, it is not
  /// draining, and its machine is not leaving.
  [[nodiscard]] bool accepts_work(const std::string &backend) const;

private:
  void apply_object(const wire::ConfigurationObject &changed);
  void remove_parsed(const std::string &kind, const std::string &name);

  std::uint64_t revision_ = 0;
  // Removed objects are kept as tombstones, so that deltas for peers include
  // the removal.
  std::map<std::pair<std::string, std::string>, wire::ConfigurationObject>
      objects_;
  std::map<std::string, tenant_object> tenants_;
  std::map<std::string, class_object> classes_;
  std::map<std::string, model_object> models_;
  std::map<std::string, backend_object> backends_;
  std::map<std::string, tool_object> tools_;
  std::map<std::string, machine_object> machines_;
  std::vector<std::string> rejected_;
};

} // namespace heathtrestle::config
