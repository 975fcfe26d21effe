#include "records/stream_origins.hpp"

namespace heathtrestle::records {

std::optional<wire::StreamOrigin>
stream_origins::record(const wire::BeginTurn &wanted, std::uint64_t now_ms) {
  std::erase_if(by_attempt_, [now_ms](const auto &entry) {
    return now_ms >= entry.second.expires_ms;
  });
  if (auto known = recorded(wanted)) {
    return known;
  }
  if (wanted.software_version().empty()) {
    return std::nullopt;
  }
  origin chosen = resolve(wanted);
  chosen.expires_ms =
      now_ms + wanted.lifetime_ms() +
      static_cast<std::uint64_t>(stream_origin_retention.count());
  by_attempt_[wanted.attempt()] = chosen;
  return to_wire(chosen);
}

stream_origins::origin
stream_origins::resolve(const wire::BeginTurn &wanted) const {
  const auto first = by_attempt_.find(wanted.resumes());
  if (first != by_attempt_.end()) {
    return {.version = first->second.version,
            .choice = wanted.version_choice(),
            .is_continuation = true};
  }
  return {.version = wanted.software_version(),
          .choice = wanted.version_choice()};
}

std::optional<wire::StreamOrigin>
stream_origins::recorded(const wire::BeginTurn &wanted) const {
  const auto known = by_attempt_.find(wanted.attempt());
  const bool is_settled = !wanted.software_version().empty() &&
                          known != by_attempt_.end() &&
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
