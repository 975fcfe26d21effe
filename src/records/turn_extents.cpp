#include "records/turn_extents.hpp"

#include "wire/messages.hpp"

#include <cstdint>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace heathtrestle::records {

namespace {

using google::protobuf::internal::WireFormatLite;

/// Calls `visit` with the bytes of each occurrence of a length-delimited field.
template <typename Visit>
void for_each_field(std::string_view message, int wanted, Visit visit) {
  google::protobuf::io::CodedInputStream in(
      reinterpret_cast<const std::uint8_t *>(message.data()),
      static_cast<int>(message.size()));
  while (const std::uint32_t tag = in.ReadTag()) {
    const bool matches = WireFormatLite::GetTagFieldNumber(tag) == wanted &&
                         WireFormatLite::GetTagWireType(tag) ==
                             WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
    if (!matches) {
      if (!WireFormatLite::SkipField(&in, tag)) {
        return;
      }
      continue;
    }
    std::uint32_t size = 0;
    if (!in.ReadVarint32(&size)) {
      return;
    }
    const auto offset = static_cast<std::size_t>(in.CurrentPosition());
    if (!in.Skip(static_cast<int>(size))) {
      return;
    }
    visit(message.substr(offset, size));
  }
}

} // namespace

std::vector<storage::extent> find_turns(std::string_view entry) {
  std::vector<storage::extent> turns;
  const auto add = [&turns, entry](std::string_view turn) {
    std::string_view id;
    for_each_field(turn, wire::RecordTurn::kIdFieldNumber,
                   [&id](std::string_view found) { id = found; });
    if (id.empty()) {
      return;
    }
    const auto offset = static_cast<std::size_t>(turn.data() - entry.data());
    turns.push_back({.key = storage::make_extent_key(id),
                     .offset = static_cast<std::uint32_t>(offset),
                     .size = static_cast<std::uint32_t>(turn.size())});
  };
  const auto add_of_change = [&add](std::string_view change) {
    for_each_field(change, wire::RecordChange::kEndFieldNumber,
                   [&add](std::string_view end) {
                     for_each_field(end, wire::EndTurn::kKeptFieldNumber, add);
                   });
    for_each_field(change, wire::RecordChange::kKeepFieldNumber,
                   [&add](std::string_view keep) {
                     for_each_field(keep, wire::KeepTurns::kTurnsFieldNumber,
                                    add);
                   });
  };
  for_each_field(entry, wire::LogEntry::kCommandFieldNumber,
                 [&add_of_change](std::string_view command) {
                   for_each_field(
                       command, wire::Command::kRecordBatchFieldNumber,
                       [&add_of_change](std::string_view batch) {
                         for_each_field(batch,
                                        wire::RecordBatch::kChangesFieldNumber,
                                        add_of_change);
                       });
                 });
  return turns;
}

} // namespace heathtrestle::records
