#include "Serving/NewsSchedule.h"

#include <algorithm>

namespace anvil {

/// The interval of updates among few VMs.
static constexpr Duration LeastPeriod = std::chrono::milliseconds(100);

/// Added to the interval for each other VM.
static constexpr Duration PeriodPerListener = std::chrono::milliseconds(12);

/// The minimum time for which an update is valid.
static constexpr Duration LeastTime = std::chrono::milliseconds(1500);

/// Allowance for network latency and a busy sender.
static constexpr Duration Travel = std::chrono::milliseconds(300);

Duration newsPeriod(std::size_t Listeners) {
  return std::max<Duration>(LeastPeriod,
                            PeriodPerListener * static_cast<int>(Listeners));
}

Duration newsTime(Duration Period) {
  return std::max<Duration>(LeastTime, Period * 3 + Travel);
}

Duration reachTime(Duration Period) { return Period * 2 + Travel; }

} // namespace anvil
