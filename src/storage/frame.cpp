#include "storage/frame.hpp"

#include <xxhash.h>

namespace heathtrestle::storage {

namespace {

constexpr std::size_t alignment = 8;
constexpr std::size_t header_size = 56;
constexpr std::size_t extent_size = 32;
/// The first byte that the header's checksum covers.
constexpr std::size_t checked_from = 8;
constexpr unsigned bits_per_byte = 8;

// Offsets in the header.
constexpr std::size_t at_payload_size = 8;
constexpr std::size_t at_extent_count = 12;
constexpr std::size_t at_index = 16;
constexpr std::size_t at_term = 24;
constexpr std::size_t at_generation = 32;
constexpr std::size_t at_durable = 36;
constexpr std::size_t at_payload_checksum = 40;
constexpr std::size_t at_kind = 48;

// Offsets in an extent.
constexpr std::size_t at_key_high = 0;
constexpr std::size_t at_key_low = 8;
constexpr std::size_t at_extent_offset = 16;
constexpr std::size_t at_extent_size = 20;
constexpr std::size_t at_extent_checksum = 24;

template <typename Number> void put(char *to, Number value) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    to[i] = static_cast<char>(
        static_cast<unsigned char>(value >> (i * bits_per_byte)));
  }
}

template <typename Number> Number get(const char *from) {
  Number value = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    value |= static_cast<Number>(static_cast<unsigned char>(from[i]))
             << (i * bits_per_byte);
  }
  return value;
}

std::size_t padded(std::size_t size) {
  return (size + alignment - 1) / alignment * alignment;
}

std::uint64_t header_checksum(std::string_view header, std::uint64_t seed) {
  const std::string_view checked = header.substr(checked_from);
  return XXH3_64bits_withSeed(checked.data(), checked.size(), seed);
}

bool is_within(const extent &part, std::size_t payload_size) {
  return std::size_t{part.offset} + part.size <= payload_size;
}

/// Reads the header and the extents; the payload is not checked.
std::optional<frame_view> read_header(std::string_view bytes,
                                      std::size_t offset, std::uint64_t seed) {
  if (offset > bytes.size() || bytes.size() - offset < header_size) {
    return std::nullopt;
  }
  const std::string_view rest = bytes.substr(offset);
  const char *const header = rest.data();
  const std::size_t payload_size = get<std::uint32_t>(header + at_payload_size);
  const std::size_t count = get<std::uint32_t>(header + at_extent_count);
  const std::size_t payload_offset = header_size + count * extent_size;
  const bool fits = payload_offset + payload_size <= rest.size();
  if (!fits || header_checksum(rest.substr(0, payload_offset), seed) !=
                   get<std::uint64_t>(header)) {
    return std::nullopt;
  }
  frame_view frame;
  frame.labels = {.kind = get<std::uint64_t>(header + at_kind),
                  .index = get<std::uint64_t>(header + at_index),
                  .term = get<std::uint64_t>(header + at_term),
                  .generation = get<std::uint32_t>(header + at_generation)};
  frame.durable = get<std::uint32_t>(header + at_durable);
  frame.payload = rest.substr(payload_offset, payload_size);
  frame.payload_offset = static_cast<std::uint32_t>(payload_offset);
  frame.size = padded(payload_offset + payload_size);
  for (std::size_t i = 0; i < count; ++i) {
    const char *const at = header + header_size + i * extent_size;
    const extent part{.key = {.high = get<std::uint64_t>(at + at_key_high),
                              .low = get<std::uint64_t>(at + at_key_low)},
                      .offset = get<std::uint32_t>(at + at_extent_offset),
                      .size = get<std::uint32_t>(at + at_extent_size)};
    if (!is_within(part, payload_size)) {
      return std::nullopt;
    }
    frame.extents.push_back(part);
    frame.extent_checksums.push_back(
        get<std::uint64_t>(at + at_extent_checksum));
  }
  return frame;
}

} // namespace

extent_key make_extent_key(std::string_view name) {
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return {.high = hash.high64, .low = hash.low64};
}

std::uint64_t checksum_of(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

encoded_frame append_frame(std::string &out, std::uint64_t seed,
                           std::uint32_t durable, const frame_labels &labels,
                           std::string_view payload,
                           const std::vector<extent> &extents) {
  encoded_frame encoded;
  const std::size_t payload_offset = header_size + extents.size() * extent_size;
  encoded.payload_offset = static_cast<std::uint32_t>(payload_offset);
  const std::size_t begin = out.size();
  out.resize(begin + payload_offset);
  char *const header = out.data() + begin;
  put(header + at_payload_size, static_cast<std::uint32_t>(payload.size()));
  put(header + at_extent_count, static_cast<std::uint32_t>(extents.size()));
  put(header + at_index, labels.index);
  put(header + at_term, labels.term);
  put(header + at_generation, labels.generation);
  put(header + at_durable, durable);
  put(header + at_payload_checksum, checksum_of(payload));
  put(header + at_kind, labels.kind);
  for (std::size_t i = 0; i < extents.size(); ++i) {
    const extent &part = extents[i];
    const std::uint64_t checksum =
        checksum_of(payload.substr(part.offset, part.size));
    char *const at = header + header_size + i * extent_size;
    put(at + at_key_high, part.key.high);
    put(at + at_key_low, part.key.low);
    put(at + at_extent_offset, part.offset);
    put(at + at_extent_size, part.size);
    put(at + at_extent_checksum, checksum);
    encoded.extent_checksums.push_back(checksum);
  }
  put(header, header_checksum({header, payload_offset}, seed));
  out.append(payload);
  out.resize(begin + padded(payload_offset + payload.size()));
  return encoded;
}

std::optional<frame_view> read_frame(std::string_view segment_bytes,
                                     std::size_t offset, std::uint64_t seed) {
  std::optional<frame_view> frame = read_header(segment_bytes, offset, seed);
  const bool whole = frame && offset + frame->size <= segment_bytes.size();
  if (!whole || checksum_of(frame->payload) !=
                    get<std::uint64_t>(segment_bytes.data() + offset +
                                       at_payload_checksum)) {
    return std::nullopt;
  }
  return frame;
}

bool is_known_durable(std::string_view segment_bytes, std::size_t offset,
                      std::uint64_t seed) {
  for (std::size_t at = padded(offset); at < segment_bytes.size();
       at += alignment) {
    const std::optional<frame_view> frame =
        read_header(segment_bytes, at, seed);
    if (frame && frame->durable > offset) {
      return true;
    }
  }
  return false;
}

} // namespace heathtrestle::storage
