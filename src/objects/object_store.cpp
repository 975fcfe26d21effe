#include "objects/object_store.hpp"

#include <array>

namespace heathtrestle::objects {

std::string_view name_of(store_error error) {
  constexpr std::array<std::string_view, 7> names{
      "unavailable", "no_answer",    "throttled", "conflict",
      "not_found",   "history_gone", "malformed"};
  return names.at(static_cast<std::size_t>(error));
}

} // namespace heathtrestle::objects
