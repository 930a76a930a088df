#include "Telemetry/LogBudget.h"

#include <algorithm>
#include <utility>

namespace anvil {

/// The minimum interval between reports of dropped lines.
static constexpr Duration ReportInterval = std::chrono::seconds(1);

bool LogBudget::take(bool IsFailure, TimePoint Now) {
  double Elapsed = std::max(0.0, toSeconds(Now - Updated_));
  Updated_ = std::max(Updated_, Now);
  Tokens_ =
      std::min(Options_.Burst_, Tokens_ + Elapsed * Options_.LinesPerSecond_);
  double Reserved = IsFailure ? 0 : Options_.Burst_ * Options_.FailureShare_;
  if (Tokens_ < Reserved + 1) {
    ++Dropped_;
    return false;
  }
  Tokens_ -= 1;
  return true;
}

std::uint64_t LogBudget::takeDropped(TimePoint Now) {
  if (Dropped_ == 0 || Now < LastReport_ + ReportInterval)
    return 0;
  LastReport_ = Now;
  return std::exchange(Dropped_, 0);
}

} // namespace anvil
