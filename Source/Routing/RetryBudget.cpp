#include "Routing/RetryBudget.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

void RetryBudget::setVmCount(double Count) {
  Vms_ = Count;
  if (Options_.FleetBurst_ <= 0)
    return;
  Options_.Burst_ = std::max(1.0, Options_.FleetBurst_ / Count);
  Tokens_ = std::min(Tokens_, Options_.Burst_);
}

void RetryBudget::recordRequest() {
  Tokens_ = std::min(Options_.Burst_, Tokens_ + Options_.Ratio_);
}

bool RetryBudget::take(TimePoint Now) {
  // Nothing accumulates before the first call.
  if (Updated_ == TimePoint{})
    Updated_ = Now;
  double Passed = std::max(0.0, toSeconds(Now - Updated_));
  Updated_ = std::max(Updated_, Now);
  double Earned = Passed * Options_.FloorPerSecond_ / Vms_;
  Tokens_ = std::min(Options_.Burst_, Tokens_ + Earned);
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  checkInvariant(Tokens_ >= 0, "the retry budget is negative");
  return true;
}

} // namespace anvil
