// SWIM-style failure detection. At each interval one member is probed, directly
// and then through others; a member that does not answer becomes suspected and
// later dead. The cost per node does not depend on the cluster's size.
#pragma once

#include "membership/member_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace heathtrestle::membership {

struct detector_options {
  duration_ms probe_interval{1000};
  duration_ms direct_timeout{300};
  duration_ms probe_timeout{900};
  duration_ms suspicion_timeout{3000};
  /// Interval between full syncs with a random member: grows from the first
  /// value to the second.
  duration_ms first_sync_interval{1000};
  duration_ms sync_interval{60000};
  duration_ms join_interval{500};
  duration_ms dead_retention{600000};
  std::size_t indirect_probes = 3;
  /// One probe in this many goes to a dead member, so that the halves of a
  /// partitioned cluster find each other again.
  std::size_t probes_per_dead_probe = 8;
};

class failure_detector {
public:
  failure_detector(detector_options options, std::vector<std::string> seeds);

  void tick(member_table &members, effects::step &step);
  void handle(const wire::Envelope &from, const wire::Ping &ping,
              const member_table &members, effects::step &step);
  void handle(const wire::Ack &ack, member_table &members, effects::step &step);
  void handle(const wire::Envelope &from, const wire::PingRequest &request,
              effects::step &step);
  void handle(const wire::Envelope &from, const wire::MembershipSync &sync,
              member_table &members, effects::step &step);

private:
  struct probe {
    node_id target;
    timestamp sent{};
    bool indirect_sent = false;
  };
  struct relayed_probe {
    node_id requester;
    std::uint64_t requester_sequence = 0;
    timestamp sent{};
  };

  void join(member_table &members, effects::step &step);
  void start_probe(const member_table &members, effects::step &step);
  void check_probes(member_table &members, effects::step &step);
  void check_suspects(member_table &members, effects::step &step);
  void tick_sync(const member_table &members, effects::step &step);
  void sync(const member_table &members, effects::step &step);

  detector_options options_;
  std::vector<std::string> seeds_;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, probe> probes_;
  std::map<std::uint64_t, relayed_probe> relayed_;
  timestamp next_probe_{};
  timestamp next_sync_{};
  duration_ms sync_pause_;
  timestamp next_join_{};
};

} // namespace heathtrestle::membership
