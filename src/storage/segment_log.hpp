// An append-only log of frames in numbered files, the segments. Frames are
// written in batches with one write and made durable with one sync. A segment
// is never written again once the next one exists; it is deleted as a whole
// when nothing in it is needed.
//
// Opening reads the segments from a given one on. What a loss of power left of
// the last batch is cut off at its first incomplete frame. An incomplete frame
// that was durable once is damage and not cut off.
#pragma once

#include "storage/directory.hpp"
#include "storage/frame.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::storage {

/// Where an extent lies, and the checksum of its bytes.
struct location {
  std::uint64_t segment = 0;
  /// Offset in the segment, and length, in bytes.
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
  std::uint64_t checksum = 0;

  bool operator==(const location &) const = default;
};

/// An extent of the log.
struct located_extent {
  extent_key key;
  location where;
};

/// A position in the log.
struct log_position {
  std::uint64_t segment = 0;
  /// Bytes of the segment before the position.
  std::uint32_t offset = 0;

  auto operator<=>(const log_position &) const = default;
};

/// A frame found when the log is opened.
struct found_frame {
  log_position at;
  frame_labels labels;
  /// Valid during the call only.
  std::string_view payload;
  std::vector<located_extent> extents;
};

struct segment_log_options {
  /// A segment that has reached this size is followed by a new one.
  std::uint32_t segment_bytes = 4U << 20U;
  /// Different for each log, so that a payload cannot contain a frame that is
  /// valid by chance or by intent.
  std::uint64_t salt = 0;
};

/// Counts since the log was opened.
struct segment_log_counts {
  std::uint64_t bytes_written = 0;
  std::uint64_t syncs = 0;
};

class segment_log {
public:
  /// Returns a description of the damage if the frame contradicts what is
  /// known, and nothing otherwise.
  using visitor =
      std::function<std::optional<std::string>(const found_frame &)>;

  /// What opening found.
  struct opened {
    /// Null if the log is damaged.
    std::unique_ptr<segment_log> log;
    /// Why the log cannot be used; empty if it can.
    std::string damage;
  };

  /// Opens the log in `files` and reads it in order.
  /// @param first the segment to read from; earlier ones are kept unread.
  /// @param durable the log is known to reach this position at least.
  static result<opened> open(directory &files, segment_log_options options,
                             std::uint64_t first, log_position durable,
                             const visitor &visit);
  /// True for the names of files that belong to a log.
  static bool is_segment_name(const std::string &name);

  segment_log(const segment_log &) = delete;
  segment_log &operator=(const segment_log &) = delete;

  /// Adds a frame to the current batch. Kind 0 is reserved.
  /// @return where its extents will lie.
  result<std::vector<located_extent>>
  append(const frame_labels &labels, std::string_view payload,
         const std::vector<extent> &extents);
  /// Writes the current batch. Its extents can be read from then on.
  result<void> flush();
  /// Writes the current batch and makes everything written durable.
  result<void> sync();

  /// Reads an extent.
  /// @return nothing if its segment is gone or its bytes are damaged.
  result<std::optional<std::string>> read(const location &where);

  /// Number of the segment that is written to.
  [[nodiscard]] std::uint64_t active_segment() const;
  /// The end of the log. It is durable after `sync`.
  [[nodiscard]] log_position end() const;
  /// Sizes in bytes by segment number.
  [[nodiscard]] std::map<std::uint64_t, std::uint32_t> sizes() const;
  /// Bytes in all segments.
  [[nodiscard]] std::uint64_t total_bytes() const;
  /// Deletes a segment other than the active one.
  result<void> remove(std::uint64_t number);
  [[nodiscard]] const segment_log_counts &counts() const { return counts_; }

private:
  struct segment {
    std::unique_ptr<file> bytes;
    std::uint32_t size = 0;
  };

  segment_log(directory &files, segment_log_options options)
      : files_(files), options_(options) {}
  [[nodiscard]] std::uint64_t seed_of(std::uint64_t number) const;
  result<void> open_segments();
  /// Reads one segment.
  /// @param is_last nothing was written after it.
  /// @return the damage found, if any.
  result<std::optional<std::string>> scan(std::uint64_t number, bool is_last,
                                          log_position durable,
                                          const visitor &visit);
  result<void> begin_segment(std::uint64_t number);
  /// Checks the size that a segment states of the one before.
  [[nodiscard]] std::optional<std::string>
  check_previous(std::uint64_t number, std::uint64_t size) const;

  directory &files_;
  segment_log_options options_;
  std::map<std::uint64_t, segment> segments_;
  /// The frames of the current batch, to be written at the end of the last
  /// segment.
  std::string batch_;
  /// Bytes of the last segment that are durable.
  std::uint32_t durable_ = 0;
  segment_log_counts counts_;
};

} // namespace heathtrestle::storage
