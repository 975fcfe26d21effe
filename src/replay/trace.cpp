#include "replay/trace.hpp"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <fstream>

namespace heathtrestle::replay {

namespace {

std::uint64_t count_of(duration_ms duration) {
  return static_cast<std::uint64_t>(duration.count());
}

duration_ms duration_of(std::uint64_t milliseconds) {
  return duration_ms{static_cast<std::int64_t>(milliseconds)};
}

} // namespace

wire::TraceRecord header_record(const wire::Member &self,
                                const core::node_options &options) {
  wire::TraceRecord record;
  wire::TraceHeader &header = *record.mutable_header();
  *header.mutable_self() = self;
  header.set_partitions(options.partition_count);
  header.set_replication(options.replication);
  header.set_founding_members(
      static_cast<std::uint32_t>(options.founding_members));
  for (const std::string &seed : options.seeds) {
    header.add_seeds(seed);
  }
  header.set_heartbeat_ms(count_of(options.partitions.raft.heartbeat_interval));
  header.set_election_ms(count_of(options.partitions.raft.election_timeout));
  header.set_probe_ms(count_of(options.detector.probe_interval));
  header.set_suspicion_ms(count_of(options.detector.suspicion_timeout));
  header.set_drain_ms(count_of(options.drain_limit));
  header.set_idle_ms(count_of(options.partitions.programs.idle_limit));
  header.set_stall_ms(count_of(options.partitions.programs.stall_limit));
  header.set_placement(options.partitions.programs.placement);
  header.set_scheduling(options.dispatch.scheduling);
  return record;
}

core::node_options options_of(const wire::TraceHeader &header) {
  core::node_options options;
  options.partition_count = header.partitions();
  options.replication = header.replication();
  options.founding_members = header.founding_members();
  options.seeds = {header.seeds().begin(), header.seeds().end()};
  options.partitions.raft.heartbeat_interval =
      duration_of(header.heartbeat_ms());
  options.partitions.raft.election_timeout = duration_of(header.election_ms());
  options.detector.probe_interval = duration_of(header.probe_ms());
  options.detector.suspicion_timeout = duration_of(header.suspicion_ms());
  options.drain_limit = duration_of(header.drain_ms());
  options.partitions.programs.idle_limit = duration_of(header.idle_ms());
  options.partitions.programs.stall_limit = duration_of(header.stall_ms());
  options.partitions.programs.placement = header.placement();
  options.dispatch.scheduling = header.scheduling();
  return options;
}

result<std::vector<wire::TraceRecord>> read_trace(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  google::protobuf::io::IstreamInputStream plain(&file);
  google::protobuf::io::GzipInputStream unpacked(&plain);
  google::protobuf::io::ZeroCopyInputStream *input = &plain;
  if (path.ends_with(".gz")) {
    input = &unpacked;
  }
  std::vector<wire::TraceRecord> records;
  bool clean_end = false;
  while (!clean_end) {
    wire::TraceRecord record;
    const bool read = google::protobuf::util::ParseDelimitedFromZeroCopyStream(
        &record, input, &clean_end);
    if (read) {
      records.push_back(std::move(record));
    } else if (!clean_end) {
      return fail(error_code::invalid_request,
                  fmt::format("{}: record {} is truncated or damaged", path,
                              records.size() + 1),
                  "read trace");
    }
  }
  if (records.empty() || !records.front().has_header()) {
    return fail(error_code::invalid_request,
                path + ": not a trace: the first record is not a header",
                "read trace");
  }
  return records;
}

} // namespace heathtrestle::replay
