#include "storage/segment_log.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace heathtrestle::storage {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

namespace {

constexpr std::string_view name_suffix = ".log";
constexpr std::size_t number_digits = 16;
/// The first frame of a segment; its index is the size of the segment before.
constexpr std::uint64_t kind_of_segment_start = 0;

std::string name_of_segment(std::uint64_t number) {
  return fmt::format("{:0{}}{}", number, number_digits, name_suffix);
}

std::optional<std::uint64_t> number_of_segment(std::string_view name) {
  if (name.size() != number_digits + name_suffix.size() ||
      !name.ends_with(name_suffix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char *const end = name.data() + number_digits;
  const auto parsed = std::from_chars(name.data(), end, number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

std::vector<located_extent>
locate(std::uint64_t segment, std::size_t begin, std::uint32_t payload_offset,
       const std::vector<extent> &extents,
       const std::vector<std::uint64_t> &checksums) {
  std::vector<located_extent> located;
  located.reserve(extents.size());
  for (std::size_t i = 0; i < extents.size(); ++i) {
    const std::size_t offset = begin + payload_offset + extents[i].offset;
    located.push_back({.key = extents[i].key,
                       .where = {.segment = segment,
                                 .offset = static_cast<std::uint32_t>(offset),
                                 .size = extents[i].size,
                                 .checksum = checksums[i]}});
  }
  return located;
}

} // namespace

bool segment_log::is_segment_name(const std::string &name) {
  return number_of_segment(name).has_value();
}

std::uint64_t segment_log::seed_of(std::uint64_t number) const {
  return options_.salt + number;
}

result<segment_log::opened> segment_log::open(directory &files,
                                              segment_log_options options,
                                              std::uint64_t first,
                                              log_position durable,
                                              const visitor &visit) {
  std::unique_ptr<segment_log> log(new segment_log(files, options));
  BOOST_OUTCOME_TRY(log->open_segments());
  const bool used = durable.offset > 0;
  if (used && (!log->segments_.contains(first) ||
               log->segments_.rbegin()->first < durable.segment)) {
    return opened{.log = nullptr, .damage = "a segment is missing"};
  }
  const std::uint64_t last =
      log->segments_.empty() ? 0 : log->segments_.rbegin()->first;
  std::uint64_t expected = 0;
  for (auto it = log->segments_.lower_bound(first); it != log->segments_.end();
       ++it) {
    if (expected != 0 && it->first != expected) {
      return opened{.log = nullptr,
                    .damage = fmt::format("segment {} is missing", expected)};
    }
    expected = it->first + 1;
    BOOST_OUTCOME_TRY(const std::optional<std::string> damage,
                      log->scan(it->first, it->first == last, durable, visit));
    if (damage) {
      return opened{.log = nullptr, .damage = *damage};
    }
  }
  if (log->segments_.empty()) {
    BOOST_OUTCOME_TRY(log->begin_segment(std::max<std::uint64_t>(first, 1)));
  }
  return opened{.log = std::move(log), .damage = {}};
}

result<void> segment_log::open_segments() {
  BOOST_OUTCOME_TRY(const std::vector<std::string> names, files_.list());
  for (const std::string &name : names) {
    const std::optional<std::uint64_t> number = number_of_segment(name);
    if (!number) {
      continue;
    }
    BOOST_OUTCOME_TRY(std::unique_ptr<file> bytes, files_.open(name));
    BOOST_OUTCOME_TRY(const std::uint64_t size, bytes->size());
    segments_[*number] = {.bytes = std::move(bytes),
                          .size = static_cast<std::uint32_t>(size)};
  }
  return outcome::success();
}

result<std::optional<std::string>> segment_log::scan(std::uint64_t number,
                                                     bool is_last,
                                                     log_position durable,
                                                     const visitor &visit) {
  segment &scanned = segments_.at(number);
  BOOST_OUTCOME_TRY(const std::string bytes, read_all(*scanned.bytes));
  const std::uint64_t seed = seed_of(number);
  std::size_t at = 0;
  while (const std::optional<frame_view> frame = read_frame(bytes, at, seed)) {
    if (frame->labels.kind == kind_of_segment_start) {
      if (const auto damage = check_previous(number, frame->labels.index)) {
        return damage;
      }
    } else if (const auto damage =
                   visit({.at = {.segment = number,
                                 .offset = static_cast<std::uint32_t>(at)},
                          .labels = frame->labels,
                          .payload = frame->payload,
                          .extents = locate(number, at, frame->payload_offset,
                                            frame->extents,
                                            frame->extent_checksums)})) {
      return damage;
    }
    at += frame->size;
  }
  const bool cut = at < bytes.size();
  const bool was_durable =
      (cut && (!is_last || is_known_durable(bytes, at, seed))) ||
      log_position{.segment = number,
                   .offset = static_cast<std::uint32_t>(at)} < durable;
  if (was_durable && (cut || is_last)) {
    return std::optional(
        fmt::format("segment {} is damaged at byte {}", number, at));
  }
  if (cut) {
    BOOST_OUTCOME_TRY(scanned.bytes->truncate(at));
  }
  if (is_last) {
    // After a crash of the process alone, the last batch may still be in
    // memory.
    BOOST_OUTCOME_TRY(scanned.bytes->sync());
  }
  scanned.size = static_cast<std::uint32_t>(at);
  durable_ = scanned.size;
  return std::optional<std::string>();
}

std::optional<std::string>
segment_log::check_previous(std::uint64_t number, std::uint64_t size) const {
  const auto previous = segments_.find(number - 1);
  if (previous == segments_.end() || previous->second.size == size) {
    return std::nullopt;
  }
  return fmt::format("segment {} has {} bytes of {}", number - 1,
                     previous->second.size, size);
}

result<void> segment_log::begin_segment(std::uint64_t number) {
  const std::uint32_t previous =
      segments_.empty() ? 0 : segments_.rbegin()->second.size;
  BOOST_OUTCOME_TRY(std::unique_ptr<file> made,
                    files_.create(name_of_segment(number)));
  BOOST_OUTCOME_TRY(files_.sync());
  segments_[number] = {.bytes = std::move(made), .size = 0};
  durable_ = 0;
  append_frame(batch_, seed_of(number), durable_,
               {.kind = kind_of_segment_start, .index = previous}, {}, {});
  return outcome::success();
}

result<std::vector<located_extent>>
segment_log::append(const frame_labels &labels, std::string_view payload,
                    const std::vector<extent> &extents) {
  if (end().offset >= options_.segment_bytes) {
    BOOST_OUTCOME_TRY(sync());
    BOOST_OUTCOME_TRY(begin_segment(active_segment() + 1));
  }
  const std::uint64_t number = active_segment();
  const std::size_t begin = end().offset;
  const encoded_frame encoded =
      append_frame(batch_, seed_of(number), durable_, labels, payload, extents);
  return locate(number, begin, encoded.payload_offset, extents,
                encoded.extent_checksums);
}

result<void> segment_log::flush() {
  if (batch_.empty()) {
    return outcome::success();
  }
  segment &active = segments_.rbegin()->second;
  BOOST_OUTCOME_TRY(active.bytes->write(active.size, batch_));
  active.size += static_cast<std::uint32_t>(batch_.size());
  counts_.bytes_written += batch_.size();
  batch_.clear();
  return outcome::success();
}

result<void> segment_log::sync() {
  BOOST_OUTCOME_TRY(flush());
  segment &active = segments_.rbegin()->second;
  if (durable_ == active.size) {
    return outcome::success();
  }
  BOOST_OUTCOME_TRY(active.bytes->sync());
  ++counts_.syncs;
  durable_ = active.size;
  return outcome::success();
}

result<std::optional<std::string>> segment_log::read(const location &where) {
  const auto found = segments_.find(where.segment);
  if (found == segments_.end()) {
    return std::optional<std::string>();
  }
  std::string bytes(where.size, '\0');
  BOOST_OUTCOME_TRY(const std::size_t n,
                    found->second.bytes->read(where.offset, bytes));
  const bool whole = n == bytes.size() && checksum_of(bytes) == where.checksum;
  return whole ? std::optional(std::move(bytes)) : std::nullopt;
}

std::uint64_t segment_log::active_segment() const {
  return segments_.rbegin()->first;
}

log_position segment_log::end() const {
  const std::size_t size = segments_.rbegin()->second.size + batch_.size();
  return {.segment = active_segment(),
          .offset = static_cast<std::uint32_t>(size)};
}

std::map<std::uint64_t, std::uint32_t> segment_log::sizes() const {
  std::map<std::uint64_t, std::uint32_t> sizes;
  for (const auto &[number, each] : segments_) {
    sizes[number] = each.size;
  }
  return sizes;
}

std::uint64_t segment_log::total_bytes() const {
  std::uint64_t total = 0;
  for (const auto &[number, each] : segments_) {
    total += each.size;
  }
  return total;
}

result<void> segment_log::remove(std::uint64_t number) {
  BOOST_OUTCOME_TRY(files_.remove(name_of_segment(number)));
  segments_.erase(number);
  return outcome::success();
}

} // namespace heathtrestle::storage
