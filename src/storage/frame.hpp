// The unit in which the record log is written: a header, a payload, and the
// extents of the payload that can be read alone later. Header and payload have
// checksums, so a frame that a loss of power cut short or mixed with older
// bytes is recognized.
//
// Layout, little-endian, each frame at a multiple of 8 bytes:
//
//   0  checksum of the header from byte 8 on and of the extents
//   8  payload size
//  12  number of extents
//  16  index
//  24  term
//  32  generation
//  36  bytes of this segment that were durable when the frame was written
//  40  checksum of the payload
//  48  kind
//  56  extents, then the payload, then padding
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::storage {

/// Names an extent: a 128-bit hash of what the caller calls it.
struct extent_key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const extent_key &) const = default;
};

extent_key make_extent_key(std::string_view name);

/// A part of a payload.
struct extent {
  extent_key key;
  /// Offset in the payload, and length, in bytes.
  std::uint32_t offset = 0;
  std::uint32_t size = 0;

  bool operator==(const extent &) const = default;
};

/// What a frame says besides its payload. The log gives no meaning to these
/// fields.
struct frame_labels {
  std::uint64_t kind = 0;
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint32_t generation = 0;

  bool operator==(const frame_labels &) const = default;
};

/// A frame as found in a segment; refers to the bytes it was read from.
struct frame_view {
  frame_labels labels;
  std::vector<extent> extents;
  /// Checksums of the extents, in their order.
  std::vector<std::uint64_t> extent_checksums;
  std::string_view payload;
  /// Offset of the payload from the beginning of the frame, in bytes.
  std::uint32_t payload_offset = 0;
  /// Bytes of the segment that were durable when the frame was written.
  std::uint32_t durable = 0;
  /// Size of the whole frame, in bytes.
  std::size_t size = 0;
};

/// Checksum of a payload or an extent.
std::uint64_t checksum_of(std::string_view bytes);

/// Where an encoded frame has its payload, and the checksums of its extents.
struct encoded_frame {
  std::uint32_t payload_offset = 0;
  std::vector<std::uint64_t> extent_checksums;
};

/// Appends an encoded frame to `out`.
/// @param seed of the checksum of the header, different for each segment: a
/// frame is not valid in any other.
/// @param durable bytes of the segment that are durable by now.
encoded_frame append_frame(std::string &out, std::uint64_t seed,
                           std::uint32_t durable, const frame_labels &labels,
                           std::string_view payload,
                           const std::vector<extent> &extents);

/// Reads the frame at `offset`.
/// @return nothing when there is no whole, undamaged frame.
std::optional<frame_view> read_frame(std::string_view segment_bytes,
                                     std::size_t offset, std::uint64_t seed);

/// True when a valid frame at or after `offset` says that the bytes up to
/// beyond `offset` were durable before it was written.
bool is_known_durable(std::string_view segment_bytes, std::size_t offset,
                      std::uint64_t seed);

} // namespace heathtrestle::storage
