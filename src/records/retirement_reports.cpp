#include "records/retirement_reports.hpp"

namespace heathtrestle::records {

namespace {

/// Delay before a report that was not stored is repeated. The operator waits
/// for it, but a store that is down must not be called on every check.
constexpr duration_ms repeat_after{1000};

} // namespace

void retirement_reports::on_request(const std::string &node,
                                    std::uint64_t revision,
                                    std::optional<bool> recorded) {
  request &known = requests_[node];
  if (revision < known.revision) {
    return;
  }
  if (known.recorded && !recorded) {
    known = {}; // withdrawn and created again under the same name
  }
  known.revision = revision;
  known.recorded = recorded;
  known.emptied = known.emptied || recorded.value_or(false);
}

void retirement_reports::keep_only(const std::set<std::string> &nodes) {
  std::erase_if(requests_, [&nodes](const auto &entry) {
    return !nodes.contains(entry.first);
  });
}

void retirement_reports::on_emptied(const std::set<std::string> &nodes) {
  for (auto &[node, known] : requests_) {
    if (!known.emptied && nodes.contains(node)) {
      known.emptied = true;
      known.next_try = {}; // reported at once, even just after another report
    }
  }
}

std::vector<retirement_report> retirement_reports::take_due(timestamp now) {
  std::vector<retirement_report> due;
  for (auto &[node, known] : requests_) {
    if (known.recorded == known.emptied || now < known.next_try) {
      continue;
    }
    known.next_try = now + repeat_after;
    due.push_back({.node = node, .completed = known.emptied});
  }
  return due;
}

bool retirement_reports::is_wanted(const retirement_report &report) const {
  const auto found = requests_.find(report.node);
  return found != requests_.end() &&
         found->second.emptied == report.completed &&
         found->second.recorded != report.completed;
}

std::set<std::string> retirement_reports::requested() const {
  std::set<std::string> nodes;
  for (const auto &[node, known] : requests_) {
    nodes.insert(node);
  }
  return nodes;
}

} // namespace heathtrestle::records
