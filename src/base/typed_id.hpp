// Strong identifier types: two ids of different kinds never convert into each
// other, every id hashes and prints through fmt.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle {

/// An identifier holding a `Value`, distinguished from other kinds by its
/// `Tag`.
template <typename Value, typename Tag> class typed_id {
public:
  using value_type = Value;

  typed_id() = default;
  explicit typed_id(Value value) : value_(std::move(value)) {}

  [[nodiscard]] const Value &value() const { return value_; }

  auto operator<=>(const typed_id &) const = default;

private:
  Value value_{};
};

} // namespace heathtrestle

template <typename Value, typename Tag>
struct std::hash<heathtrestle::typed_id<Value, Tag>> {
  std::size_t operator()(const heathtrestle::typed_id<Value, Tag> &id) const {
    return std::hash<Value>{}(id.value());
  }
};

template <typename Value, typename Tag>
struct fmt::formatter<heathtrestle::typed_id<Value, Tag>>
    : fmt::formatter<Value> {
  template <typename Context>
  auto format(const heathtrestle::typed_id<Value, Tag> &id,
              Context &context) const {
    return fmt::formatter<Value>::format(id.value(), context);
  }
};
