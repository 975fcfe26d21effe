// The status reports on nodes that the operator wants to retire. Performs no
// I/O and reads no clock.
//
// A node is emptied once every partition tolerates its losses without it. Its
// machine may then be removed at any moment, so that this report is final: it
// is repeated until it is stored and never withdrawn, neither because a
// partition loses a voter later nor by a new reporter.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathtrestle::records {

/// The status to store for one node.
struct retirement_report {
  std::string node;
  bool completed = false;

  bool operator==(const retirement_report &) const = default;
};

class retirement_reports {
public:
  /// Applies a retirement request or its status as read from the store.
  /// @param revision the store's revision of the object; older revisions than
  /// the last one are ignored.
  /// @param recorded whether the status says completed; nothing without a
  /// status.
  void on_request(const std::string &node, std::uint64_t revision,
                  std::optional<bool> recorded);
  void on_withdrawn(const std::string &node) { requests_.erase(node); }
  /// Drops the requests that are not among all those in the store.
  void keep_only(const std::set<std::string> &nodes);
  /// Marks nodes that hold nothing that the others lack.
  void on_emptied(const std::set<std::string> &nodes);

  /// Returns the reports that are not stored yet. Each is returned again after
  /// a delay until it is recorded.
  std::vector<retirement_report> take_due(timestamp now);
  /// True while neither this report nor a later one is known to be stored.
  [[nodiscard]] bool is_wanted(const retirement_report &report) const;

  [[nodiscard]] std::set<std::string> requested() const;

private:
  struct request {
    bool emptied = false;
    /// The stored status and its revision.
    std::optional<bool> recorded;
    std::uint64_t revision = 0;
    timestamp next_try{};
  };

  std::map<std::string, request> requests_;
};

} // namespace heathtrestle::records
