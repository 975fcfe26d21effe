#include "objects/change_log.hpp"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include <zlib.h>

namespace heathtrestle::objects {

namespace {

/// The log holds at least this many changes, and as many as there are objects
/// when these are more: a longer one would exceed a list of all objects.
constexpr std::size_t min_log_capacity = 2000;
/// Fewer objects are sent one by one.
constexpr std::size_t packed_above_objects = 64;
/// Compressing shorter specifications saves nothing.
constexpr std::size_t deflate_above_bytes = 1000;
/// Bounds the buffer that a message can make its receiver allocate; the store's
/// objects are far smaller.
constexpr std::size_t max_inflated_bytes = 16U << 20U;

std::string deflated(const std::string &text) {
  uLongf size = compressBound(text.size());
  std::string packed(size, '\0');
  const int done = compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
                             reinterpret_cast<const Bytef *>(text.data()),
                             text.size(), Z_BEST_SPEED);
  packed.resize(done == Z_OK ? size : 0);
  return packed;
}

/// @return an empty string when `packed` is damaged or `size` is wrong.
std::string inflated(const std::string &packed, std::size_t size) {
  std::string text(size, '\0');
  uLongf written = size;
  const int done =
      uncompress(reinterpret_cast<Bytef *>(text.data()), &written,
                 reinterpret_cast<const Bytef *>(packed.data()), packed.size());
  return done == Z_OK && written == size ? text : std::string();
}

} // namespace

wire::CopiedObject to_wire(const object &copied, bool deleted) {
  wire::CopiedObject message;
  message.set_name(copied.name);
  message.set_revision(copied.revision);
  message.set_deleted(deleted);
  if (deleted) {
    return message;
  }
  std::string text(copied.specification.text());
  if (text.size() > deflate_above_bytes) {
    std::string packed = deflated(text);
    if (!packed.empty()) {
      message.set_inflated_bytes(static_cast<std::uint32_t>(text.size()));
      text = std::move(packed);
    }
  }
  message.set_specification(std::move(text));
  return message;
}

store_result<change> from_wire(const wire::CopiedObject &message,
                               specification_check check) {
  change read;
  read.changed.name = message.name();
  read.changed.revision = message.revision();
  read.deleted = message.deleted();
  if (read.deleted) {
    return read;
  }
  if (message.inflated_bytes() > max_inflated_bytes) {
    return store_error::malformed;
  }
  read.changed.specification = document::from_text(
      message.inflated_bytes() > 0
          ? inflated(message.specification(), message.inflated_bytes())
          : message.specification());
  const document &specification = read.changed.specification;
  const bool malformed = check == specification_check::parse &&
                         specification.text() != "null" &&
                         specification.parse().is_null();
  if (malformed) {
    return store_error::malformed;
  }
  return read;
}

store_result<wire::CopiedObjects> objects_of(const wire::CopiedKind &message) {
  wire::CopiedObjects all;
  if (message.inflated_bytes() == 0) {
    *all.mutable_objects() = message.objects();
    return all;
  }
  if (message.inflated_bytes() > max_inflated_bytes) {
    return store_error::malformed;
  }
  const std::string text =
      inflated(message.packed_objects(), message.inflated_bytes());
  if (text.empty() || !all.ParseFromString(text)) {
    return store_error::malformed;
  }
  return all;
}

void change_log::apply(const listing &listed) {
  if (known_ && listed.revision < revision_) {
    return;
  }
  std::set<std::string> names;
  for (const object &each : listed.items) {
    names.insert(each.name);
    const auto before = by_name_.find(each.name);
    const bool same =
        before != by_name_.end() && before->second.revision() == each.revision;
    if (!same) {
      append(to_wire(each, false), listed.revision);
    }
  }
  std::vector<std::string> gone;
  for (const auto &[name, copied] : by_name_) {
    if (!names.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const std::string &name : gone) {
    append(to_wire({.name = name, .revision = listed.revision}, true),
           listed.revision);
  }
  if (!known_) {
    changes_.clear(); // no follower has a state from before the first listing
    base_ = listed.revision;
  }
  known_ = true;
  revision_ = listed.revision;
}

void change_log::apply(const change &changed, std::uint64_t revision) {
  append(to_wire(changed.changed, changed.deleted), revision);
  revision_ = std::max(revision_, revision);
}

void change_log::append(wire::CopiedObject object, std::uint64_t revision) {
  if (object.deleted()) {
    by_name_.erase(object.name());
  } else {
    by_name_[object.name()] = object;
  }
  packed_.clear();
  changes_.push_back({.revision = revision, .object = std::move(object)});
  const std::size_t capacity = std::max(min_log_capacity, by_name_.size());
  while (changes_.size() > capacity) {
    base_ = changes_.front().revision;
    changes_.pop_front();
  }
}

bool change_log::needs_packed_objects(const follower_revision &have) const {
  return by_name_.size() > packed_above_objects &&
         (!reaches(have) || is_far_behind(have));
}

bool change_log::is_far_behind(const follower_revision &have) const {
  // Changes take some four times the bytes of packed objects.
  const std::size_t most = by_name_.size() / 4;
  return changes_.size() > most &&
         (changes_.rbegin() + static_cast<std::ptrdiff_t>(most))->revision >
             have.revision;
}

void change_log::write_packed(wire::CopiedKind &message) {
  if (packed_.empty()) {
    wire::CopiedObjects all;
    for (const auto &[name, copied] : by_name_) {
      *all.add_objects() = copied;
    }
    const std::string text = all.SerializeAsString();
    packed_ = deflated(text);
    inflated_bytes_ = text.size();
  }
  message.set_packed_objects(packed_);
  message.set_inflated_bytes(static_cast<std::uint32_t>(inflated_bytes_));
}

void change_log::write_update(wire::CopiedKind &message,
                              const follower_revision &have) {
  message.set_revision(revision_);
  message.set_since(have.revision);
  if (needs_packed_objects(have)) {
    message.set_whole(true);
    write_packed(message);
    return;
  }
  if (!reaches(have)) {
    message.set_whole(true);
    for (const auto &[name, copied] : by_name_) {
      *message.add_objects() = copied;
    }
    return;
  }
  for (const log_entry &each : changes_) {
    if (each.revision > have.revision) {
      *message.add_objects() = each.object;
    }
  }
}

} // namespace heathtrestle::objects
