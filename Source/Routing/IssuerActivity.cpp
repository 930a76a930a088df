#include "Routing/IssuerActivity.h"

#include <algorithm>

namespace anvil {

/// The interruption after which other VMs may have replaced this one as issuer:
/// less than the time for which its reports are valid.
static constexpr Duration MinInterruption = std::chrono::seconds(1);

/// Added to the period of reports: the time until the others have received one.
static constexpr Duration ReportMargin = std::chrono::milliseconds(100);

bool IssuerActivity::record(Duration Period, TimePoint Now) {
  bool WasAway =
      !ActiveAt_ || Now - *ActiveAt_ > std::max(MinInterruption, Period * 2);
  // A VM that has just started learns of most others at once.
  bool IsNewToOthers = Period >= Period_ * 2;
  if (WasAway || IsNewToOthers)
    HeldUntil_ = Now + Period + ReportMargin;
  ActiveAt_ = Now;
  Period_ = Period;
  return WasAway;
}

bool IssuerActivity::recordRequest(TimePoint Now) {
  return ActiveAt_ && Now - *ActiveAt_ > MinInterruption &&
         record(Period_, Now);
}

} // namespace anvil
