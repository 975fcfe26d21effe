// The software version whose replicas may serve one stream. Events of two
// versions do not fit together, so the version may only change until the first
// event was forwarded, and never for a stream that another attempt began.
#pragma once

#include "base/software_version.hpp"

#include <optional>
#include <utility>

namespace heathtrestle::forwarding {

class stream_version {
public:
  /// The version that is required of a replica; nothing while none is chosen.
  [[nodiscard]] const std::optional<software_version> &required() const {
    return required_;
  }
  /// Whether the version can no longer change.
  [[nodiscard]] bool is_final() const { return is_final_; }

  /// Sets the version for as long as the stream has no event.
  void choose(software_version version) { required_ = std::move(version); }
  /// Withdraws the choice: which version is recorded is not known.
  void withdraw() { required_.reset(); }
  /// Sets the version for good.
  void fix(software_version version) {
    choose(std::move(version));
    is_final_ = true;
  }
  /// Keeps the present version for good, as an event was forwarded.
  void on_event() { is_final_ = true; }

private:
  std::optional<software_version> required_;
  bool is_final_ = false;
};

} // namespace heathtrestle::forwarding
