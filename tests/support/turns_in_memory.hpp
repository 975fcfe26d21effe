// Turn bodies held in memory, for tests without a disk.
#pragma once

#include "records/turn_bodies.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::test_support {

class turns_in_memory : public records::turn_bodies {
public:
  void keep(const std::vector<wire::RecordTurn> &turns) {
    for (const wire::RecordTurn &turn : turns) {
      turns_.emplace(turn.id(), turn);
    }
  }
  void drop(const std::vector<std::string> &ids) {
    for (const std::string &id : ids) {
      turns_.erase(id);
    }
  }
  std::optional<wire::RecordTurn> read(const std::string &id) override {
    const auto found = turns_.find(id);
    return found == turns_.end() ? std::nullopt : std::optional(found->second);
  }
  [[nodiscard]] std::size_t size() const { return turns_.size(); }

private:
  std::map<std::string, wire::RecordTurn> turns_;
};

} // namespace heathtrestle::test_support
