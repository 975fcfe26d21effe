// A node's copy of the shared configuration. It only ever moves up: a delta
// that does not continue the present revision is ignored or asked for again.
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
  gap, // changes between are missing: pull them
};

class configuration_store {
public:
  /// Takes in a delta. Objects whose document does not parse keep their last
  /// good value; `rejected` says which.
  delta_outcome apply(const wire::ConfigurationDelta &delta);

  /// All changes after `revision`, for a peer that is behind.
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
  /// False for a back end that drains, that has left the configuration, or
  /// whose machine is leaving: it gets no new work.
  [[nodiscard]] bool accepts_work(const std::string &backend) const;

private:
  void take(const wire::ConfigurationObject &changed);
  void forget(const std::string &kind, const std::string &name);

  std::uint64_t revision_ = 0;
  // Removed objects stay listed, so that peers learn of the removal.
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
