// How long an answer is awaited before its question is asked again: several
// times what answers have taken lately, within bounds. A group that is only
// slow would be slower still for being asked everything twice.
//
// Only answers to questions that were asked once tell how long answers take
// (Karn's rule). Once all take longer than the time-out, every question is
// asked twice and none tells anything: so the time-out grows with each question
// that it ran out for, until an answer to a question asked once is there.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::records {

class retry_timeout {
public:
  /// @param least waited in any case.
  /// @param most waited at the most, however slow answers are.
  retry_timeout(duration_ms minimum, duration_ms maximum)
      : minimum_(minimum), maximum_(maximum) {}

  /// An answer took this long. Only of questions that were asked once: of
  /// others it is not known which time the answer belongs to.
  void record_response_time(duration_ms response_time);
  /// The time-out ran out for a question, which is asked again, though whom it
  /// was sent to answers others.
  /// @param sent when it was asked last. Questions from before the time-out
  /// grew last say nothing about the longer one.
  void on_timeout(timestamp sent, timestamp now);
  [[nodiscard]] duration_ms timeout() const;

private:
  duration_ms minimum_;
  duration_ms maximum_;
  /// Smoothed; zero before the first answer.
  duration_ms smoothed_response_time_{0};
  /// What the time-out is multiplied by.
  int backoff_ = 1;
  timestamp last_backoff_{};
};

} // namespace heathtrestle::records
