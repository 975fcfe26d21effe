#include "core/table_locks.hpp"

namespace heathtrestle::core {

namespace {

table_set set_of(std::initializer_list<table> tables) {
  table_set set;
  for (const table member : tables) {
    set.set(static_cast<std::size_t>(member));
  }
  return set;
}

} // namespace

table_set tables_needed(const wire::Event &event) {
  // Configuration and membership are always needed to complete outgoing
  // messages with the configuration revision, gossip and the receiver's
  // address.
  static const table_set base =
      set_of({table::configuration, table::membership});
  static const table_set with_gateway = base | set_of({table::gateway});
  static const table_set with_partitions = base | set_of({table::partitions});
  static const table_set with_dispatch =
      with_partitions | set_of({table::dispatch});
  static const table_set all = with_dispatch | with_gateway;

  switch (event.body_case()) {
  case wire::Event::kTick:
  case wire::Event::kStatusAsked:
  case wire::Event::kDrainAsked:
    return all;
  case wire::Event::kClientArrived:
  case wire::Event::kClientGone:
    return with_gateway;
  case wire::Event::kEngineProgress:
  case wire::Event::kEngineFinished:
  case wire::Event::kEngineMemoryReleased:
  case wire::Event::kEngineFenced:
  case wire::Event::kEngineLoad:
    return with_dispatch;
  case wire::Event::kToolFinished:
  case wire::Event::kFoundingRead:
    return with_partitions;
  case wire::Event::kConfigurationRead:
    return base;
  case wire::Event::kReceived:
    break;
  case wire::Event::BODY_NOT_SET:
    return base;
  }
  switch (event.received().body_case()) {
  case wire::Envelope::kPing:
  case wire::Envelope::kAck:
  case wire::Envelope::kPingRequest:
  case wire::Envelope::kConfigurationDelta:
  case wire::Envelope::kConfigurationPull:
    return base;
  case wire::Envelope::kClientReply:
  case wire::Envelope::kStreamChunk:
    return with_gateway;
  case wire::Envelope::kDispatchRequest:
  case wire::Envelope::kCancelDispatch:
  case wire::Envelope::kReleaseMemory:
    return with_dispatch;
  case wire::Envelope::kStatusQuery:
    return all;
  default:
    return with_partitions;
  }
}

table_guard::table_guard(std::array<std::mutex, table_count> &locks,
                         table_set needed)
    : locks_(locks), held_(needed) {
  for (std::size_t index = 0; index < table_count; ++index) {
    if (held_.test(index)) {
      locks_.at(index).lock();
    }
  }
}

table_guard::~table_guard() {
  for (std::size_t index = table_count; index > 0; --index) {
    if (held_.test(index - 1)) {
      locks_.at(index - 1).unlock();
    }
  }
}

} // namespace heathtrestle::core
