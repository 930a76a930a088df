#include "Serving/RetryAfter.h"

#include <algorithm>

namespace anvil {

/// The fraction of the expected wait over which retries are spread.
static constexpr double SpreadShare = 0.5;

/// The fraction of the remaining time for which a request may wait for a retry.
static constexpr double WaitShare = 0.25;

Duration maxRetryWait(Duration TimeLeft, Duration LatencyTarget) {
  auto Wait = std::chrono::duration_cast<Duration>(TimeLeft * WaitShare);
  return std::clamp<Duration>(Wait, Duration::zero(), LatencyTarget);
}

Duration retryAfter(Duration Expected, double Random) {
  return Expected +
         std::chrono::duration_cast<Duration>(Expected * SpreadShare * Random);
}

} // namespace anvil
