// What the operator is told of machines that are to be emptied: pure, with no
// clock and no calls of its own.
//
// A node is emptied once every partition bears its losses without it. From then
// on its machine may be gone at any moment, so that report is final: it is
// repeated until the store has it, and never taken back, neither because a
// partition loses a voter later nor by a reporter that has just begun.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathtrestle::records {

/// What is to be written of one machine.
struct retirement_report {
  std::string node;
  bool completed = false;

  bool operator==(const retirement_report &) const = default;
};

class retirement_reports {
public:
  /// The operator wants the node emptied, or its status was read.
  /// @param revision of the store at the object's last change; what is older
  /// than what is known changes nothing.
  /// @param recorded whether the status says completed; nothing for no status.
  void on_request(const std::string &node, std::uint64_t revision,
                  std::optional<bool> recorded);
  void on_withdrawn(const std::string &node) { requests_.erase(node); }
  /// All requests that the store has: those not among them are withdrawn.
  void keep_only(const std::set<std::string> &nodes);
  /// Nodes that hold nothing any more which the others lack.
  void on_emptied(const std::set<std::string> &nodes);

  /// Reports that the store lacks. Each counts as tried, and comes again after
  /// a pause until it is recorded.
  std::vector<retirement_report> take_due(timestamp now);
  /// True while the store is not known to have this, or something later.
  [[nodiscard]] bool is_wanted(const retirement_report &report) const;

  [[nodiscard]] std::set<std::string> requested() const;

private:
  struct request {
    bool emptied = false;
    /// What the store says, and its revision.
    std::optional<bool> recorded;
    std::uint64_t revision = 0;
    timestamp next_try{};
  };

  std::map<std::string, request> requests_;
};

} // namespace heathtrestle::records
