#include "records/stream_origins.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// Whether the attempt is to have a version: one that it chose, or that of the
/// stream that it resumes.
bool wants_version(const wire::BeginTurn &wanted) {
  return !wanted.software_version().empty() || wanted.resumes_unnamed();
}

} // namespace

std::optional<wire::StreamOrigin>
stream_origins::record(const wire::BeginTurn &wanted, std::uint64_t now_ms) {
  std::erase_if(by_attempt_, [now_ms](const auto &entry) {
    return now_ms >= entry.second.expires_ms;
  });
  if (auto known = recorded(wanted)) {
    return known;
  }
  if (!wants_version(wanted)) {
    return std::nullopt;
  }
  origin chosen = resolve(wanted);
  if (chosen.version.empty()) {
    return std::nullopt;
  }
  chosen.expires_ms =
      now_ms + wanted.lifetime_ms() +
      static_cast<std::uint64_t>(stream_origin_retention.count());
  by_attempt_[wanted.attempt()] = chosen;
  return to_wire(chosen);
}

stream_origins::origin
stream_origins::resolve(const wire::BeginTurn &wanted) const {
  const auto continued =
      wanted.resumes_unnamed() ? only_version() : version_of(wanted.resumes());
  return {.version = continued.value_or(wanted.software_version()),
          .choice = wanted.version_choice(),
          .is_continuation = continued.has_value()};
}

std::optional<std::string>
stream_origins::version_of(const std::string &attempt) const {
  const auto known = by_attempt_.find(attempt);
  return known != by_attempt_.end() ? std::optional(known->second.version)
                                    : std::nullopt;
}

std::optional<std::string> stream_origins::only_version() const {
  if (by_attempt_.empty()) {
    return std::nullopt;
  }
  const std::string &first = by_attempt_.begin()->second.version;
  const bool is_only =
      std::ranges::all_of(by_attempt_, [&first](const auto &entry) {
        return entry.second.version == first;
      });
  return is_only ? std::optional(first) : std::nullopt;
}

std::optional<wire::StreamOrigin>
stream_origins::recorded(const wire::BeginTurn &wanted) const {
  const auto known = by_attempt_.find(wanted.attempt());
  const bool is_settled = wants_version(wanted) && known != by_attempt_.end() &&
                          known->second.choice >= wanted.version_choice();
  return is_settled ? std::optional(to_wire(known->second)) : std::nullopt;
}

wire::StreamOrigin stream_origins::to_wire(const origin &known) {
  wire::StreamOrigin message;
  message.set_version(known.version);
  message.set_is_continuation(known.is_continuation);
  return message;
}

void stream_origins::save(wire::RecordProgram &saved) const {
  for (const auto &[attempt, known] : by_attempt_) {
    wire::RecordedOrigin &origin = *saved.add_origins();
    origin.set_attempt(attempt);
    *origin.mutable_origin() = to_wire(known);
    origin.set_choice(known.choice);
    origin.set_expires_ms(known.expires_ms);
  }
}

stream_origins stream_origins::restore(const wire::RecordProgram &saved) {
  stream_origins origins;
  for (const wire::RecordedOrigin &known : saved.origins()) {
    origins.by_attempt_[known.attempt()] = {
        .version = known.origin().version(),
        .choice = known.choice(),
        .is_continuation = known.origin().is_continuation(),
        .expires_ms = known.expires_ms()};
  }
  return origins;
}

} // namespace heathtrestle::records
