#include "Telemetry/LogBudget.h"

#include <algorithm>
#include <utility>

namespace anvil {

/// How often dropped lines are told of.
static constexpr Duration SayPeriod = std::chrono::seconds(1);

bool LogBudget::take(bool IsFailure, TimePoint Now) {
  double Passed = std::max(0.0, toSeconds(Now - Updated_));
  Updated_ = std::max(Updated_, Now);
  Tokens_ =
      std::min(Options_.Burst_, Tokens_ + Passed * Options_.LinesPerSecond_);
  double Kept = IsFailure ? 0 : Options_.Burst_ * Options_.FailurePart_;
  if (Tokens_ < Kept + 1) {
    ++Dropped_;
    return false;
  }
  Tokens_ -= 1;
  return true;
}

std::uint64_t LogBudget::takeDropped(TimePoint Now) {
  if (Dropped_ == 0 || Now < Said_ + SayPeriod)
    return 0;
  Said_ = Now;
  return std::exchange(Dropped_, 0);
}

} // namespace anvil
