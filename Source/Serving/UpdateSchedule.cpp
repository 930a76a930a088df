#include "Serving/UpdateSchedule.h"

#include <algorithm>

namespace anvil {

/// The interval of updates among few VMs.
static constexpr Duration MinPeriod = std::chrono::milliseconds(100);

/// Added to the interval for each other VM.
static constexpr Duration PeriodPerReceiver = std::chrono::milliseconds(12);

/// The minimum time for which an update is valid.
static constexpr Duration MinValidity = std::chrono::milliseconds(1500);

/// Allowance for network latency and a busy sender.
static constexpr Duration LatencyMargin = std::chrono::milliseconds(300);

Duration updatePeriod(std::size_t Receivers) {
  return std::max<Duration>(MinPeriod,
                            PeriodPerReceiver * static_cast<int>(Receivers));
}

Duration updateValidity(Duration Period) {
  return std::max<Duration>(MinValidity, Period * 3 + LatencyMargin);
}

Duration reachabilityTimeout(Duration Period) {
  return Period * 2 + LatencyMargin;
}

} // namespace anvil
