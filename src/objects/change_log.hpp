// Keeps a relay's copy of one kind of objects with a bounded log of recent
// changes. A follower is brought up to date with the changes since its
// revision, or with all objects when the log does not reach back that far. A
// long list of all objects is encoded once for all followers.
#pragma once

#include "objects/object_store.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace heathtrestle::objects {

/// The revision of a follower's copy; `known` is false before its first
/// listing.
struct follower_revision {
  bool known = false;
  std::uint64_t revision = 0;

  bool operator==(const follower_revision &) const = default;
};

class change_log {
public:
  /// Applies a listing and logs its differences from the copy as changes.
  /// Ignores a listing older than the copy.
  void apply(const listing &listed);
  /// Applies and logs a change.
  /// @param revision the store's revision after the change.
  void apply(const change &changed, std::uint64_t revision);

  /// False until the first listing.
  [[nodiscard]] bool known() const { return known_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::size_t size() const { return by_name_.size(); }

  /// True when a follower at `have` is best sent all objects, because the log
  /// does not reach back that far or holds many changes since, and the objects
  /// are many.
  [[nodiscard]] bool needs_packed_objects(const follower_revision &have) const;
  /// Writes the changes that a follower at `have` has not seen, or all objects
  /// when the log does not reach back to its revision.
  void write_update(wire::CopiedKind &message, const follower_revision &have);

private:
  struct log_entry {
    std::uint64_t revision = 0;
    wire::CopiedObject object;
  };

  void append(wire::CopiedObject object, std::uint64_t revision);
  /// True when the log has all changes since the follower's revision.
  [[nodiscard]] bool reaches(const follower_revision &have) const {
    return have.known && have.revision >= base_;
  }
  /// True when the changes since `have` are more than a large part of all
  /// objects.
  [[nodiscard]] bool is_far_behind(const follower_revision &have) const;
  void write_packed(wire::CopiedKind &message);

  bool known_ = false;
  std::uint64_t revision_ = 0;
  /// The log holds all changes after this revision.
  std::uint64_t base_ = 0;
  std::map<std::string, wire::CopiedObject> by_name_;
  std::deque<log_entry> changes_;
  /// All objects, deflated; empty when they have changed since they were
  /// packed.
  std::string packed_;
  std::size_t inflated_bytes_ = 0;
};

/// Returns the objects of a message, whether they are packed or not.
/// @return `malformed` when they cannot be unpacked.
store_result<wire::CopiedObjects> objects_of(const wire::CopiedKind &message);

/// Encodes an object for the wire; compresses a long specification.
wire::CopiedObject to_wire(const object &copied, bool deleted);
/// Whether the specification of a received object is parsed to check it.
enum class specification_check : std::uint8_t { parse, trust };
/// @return `malformed` when the specification cannot be decompressed or parsed.
store_result<change>
from_wire(const wire::CopiedObject &message,
          specification_check check = specification_check::parse);

} // namespace heathtrestle::objects
