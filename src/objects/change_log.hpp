// A relay's copy of one kind of objects with the latest changes, from which a
// follower is brought up to date: with the changes since its own revision, or
// with everything where those are not kept any more.
#pragma once

#include "objects/object_store.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace heathtrestle::objects {

/// What a follower has.
struct follower_revision {
  bool known = false;
  std::uint64_t revision = 0;

  bool operator==(const follower_revision &) const = default;
};

class change_log {
public:
  /// Takes in a listing; what differs from the copy counts as changes.
  void apply(const listing &listed);
  /// Takes in a change.
  /// @param revision of the store after it.
  void apply(const change &changed, std::uint64_t revision);

  /// False until the first listing.
  [[nodiscard]] bool known() const { return known_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Fills in what a follower lacks; nothing when it lacks nothing.
  void write_update(wire::CopiedKind &message,
                    const follower_revision &have) const;

private:
  struct logged {
    std::uint64_t revision = 0;
    wire::CopiedObject object;
  };

  void log(wire::CopiedObject object, std::uint64_t revision);

  bool known_ = false;
  std::uint64_t revision_ = 0;
  /// Changes after this revision are in the log.
  std::uint64_t base_ = 0;
  std::map<std::string, wire::CopiedObject> by_name_;
  std::deque<logged> changes_;
};

/// An object as it travels; a long specification is deflated.
wire::CopiedObject to_wire(const object &copied, bool deleted);
/// @return `malformed` when the specification cannot be read.
store_result<change> from_wire(const wire::CopiedObject &message);

} // namespace heathtrestle::objects
