// How long an answer is awaited before its question is asked again: several
// times what answers have taken lately, within bounds. A group that is only
// slow would be slower still for being asked everything twice.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::records {

class answer_patience {
public:
  /// @param least waited in any case.
  /// @param most waited at the most, however slow answers are.
  answer_patience(duration_ms least, duration_ms most)
      : least_(least), most_(most) {}

  /// An answer took this long. Only of questions that were asked once: of
  /// others it is not known which time the answer belongs to (Karn's rule).
  void note(duration_ms taken);
  [[nodiscard]] duration_ms timeout() const;

private:
  duration_ms least_;
  duration_ms most_;
  /// Smoothed; zero before the first answer.
  duration_ms latency_{0};
};

} // namespace heathtrestle::records
