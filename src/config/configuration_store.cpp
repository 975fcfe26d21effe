#include "config/configuration_store.hpp"

#include <variant>

namespace heathtrestle::config {

namespace {

template <typename Object>
const Object *find_in(const std::map<std::string, Object> &objects,
                      const std::string &name) {
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : &found->second;
}

} // namespace

delta_outcome
configuration_store::apply(const wire::ConfigurationDelta &delta) {
  if (delta.to_revision() <= revision_) {
    return delta_outcome::already_known;
  }
  if (delta.from_revision() > revision_) {
    return delta_outcome::gap;
  }
  for (const wire::ConfigurationObject &changed : delta.objects()) {
    // An overlapping delta may carry an older version of an object than the
    // one stored; the newer version is kept.
    const auto known = objects_.find({changed.kind(), changed.name()});
    const bool older =
        known != objects_.end() && known->second.version() >= changed.version();
    if (!older) {
      apply_object(changed);
    }
  }
  revision_ = delta.to_revision();
  return delta_outcome::applied;
}

wire::ConfigurationDelta
configuration_store::changes_after(std::uint64_t revision) const {
  wire::ConfigurationDelta delta;
  delta.set_from_revision(revision);
  delta.set_to_revision(revision_);
  for (const auto &[key, stored] : objects_) {
    if (stored.version() > revision) {
      *delta.add_objects() = stored;
    }
  }
  return delta;
}

const tenant_object *
configuration_store::tenant(const std::string &name) const {
  return find_in(tenants_, name);
}

const class_object *
configuration_store::program_class(const std::string &name) const {
  return find_in(classes_, name);
}

const model_object *configuration_store::model(const std::string &name) const {
  return find_in(models_, name);
}

const backend_object *
configuration_store::backend(const std::string &name) const {
  return find_in(backends_, name);
}

const tool_object *configuration_store::tool(const std::string &name) const {
  return find_in(tools_, name);
}

bool configuration_store::accepts_work(const std::string &name) const {
  const backend_object *configured = backend(name);
  if (configured == nullptr || configured->state == backend_state::draining) {
    return false;
  }
  const machine_object *machine = find_in(machines_, configured->machine);
  return machine == nullptr || machine->state == machine_state::live;
}

void configuration_store::apply_object(
    const wire::ConfigurationObject &changed) {
  objects_[{changed.kind(), changed.name()}] = changed;
  if (changed.removed()) {
    remove_parsed(changed.kind(), changed.name());
    return;
  }
  auto parsed =
      parse_object(changed.kind(), changed.name(), changed.document());
  if (!parsed) {
    rejected_.push_back(parsed.error().message);
    return;
  }
  const std::string &name = changed.name();
  std::visit(
      [this, &name](auto &&checked) {
        using type = std::decay_t<decltype(checked)>;
        if constexpr (std::is_same_v<type, tenant_object>) {
          tenants_[name] = checked;
        } else if constexpr (std::is_same_v<type, class_object>) {
          classes_[name] = checked;
        } else if constexpr (std::is_same_v<type, model_object>) {
          models_[name] = checked;
        } else if constexpr (std::is_same_v<type, backend_object>) {
          backends_[name] = checked;
        } else if constexpr (std::is_same_v<type, tool_object>) {
          tools_[name] = checked;
        } else {
          machines_[name] = checked;
        }
      },
      parsed.value());
}

void configuration_store::remove_parsed(const std::string &kind,
                                        const std::string &name) {
  if (kind == "tenant") {
    tenants_.erase(name);
  } else if (kind == "class") {
    classes_.erase(name);
  } else if (kind == "model") {
    models_.erase(name);
  } else if (kind == "backend") {
    backends_.erase(name);
  } else if (kind == "tool") {
    tools_.erase(name);
  } else if (kind == "machine") {
    machines_.erase(name);
  }
}

} // namespace heathtrestle::config
