#include "sim/sim_platform.hpp"

namespace heathtrestle::sim {

std::optional<std::uint64_t> sim_platform::put(const std::string &kind,
                                               const std::string &name,
                                               const std::string &document,
                                               std::uint64_t expected_version) {
  if (version_of(kind, name) != expected_version) {
    return std::nullopt;
  }
  wire::ConfigurationObject &object = objects_[{kind, name}];
  object.set_kind(kind);
  object.set_name(name);
  object.set_document(document);
  object.set_removed(document.empty());
  object.set_version(++revision_);
  if (changed) {
    changed();
  }
  return revision_;
}

std::uint64_t sim_platform::version_of(const std::string &kind,
                                       const std::string &name) const {
  const auto found = objects_.find({kind, name});
  const bool exists = found != objects_.end() && !found->second.removed();
  return exists ? found->second.version() : 0;
}

wire::ConfigurationDelta
sim_platform::changes_after(std::uint64_t revision) const {
  wire::ConfigurationDelta delta;
  delta.set_from_revision(revision);
  delta.set_to_revision(revision_);
  for (const auto &[key, object] : objects_) {
    if (object.version() > revision) {
      *delta.add_objects() = object;
    }
  }
  return delta;
}

const wire::Founding &
sim_platform::propose_founding(const wire::Founding &proposal) {
  if (!founding_.has_value()) {
    founding_ = proposal;
  }
  return *founding_;
}

} // namespace heathtrestle::sim
