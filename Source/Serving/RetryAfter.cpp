#include "Serving/RetryAfter.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The fraction of the expected wait over which retries are spread.
static constexpr double SpreadShare = 0.5;

/// The fraction of the remaining time for which a request may wait for a retry.
static constexpr double WaitShare = 0.25;

/// The shortest wait after a refused send, and the first wait as a fraction of
/// the latency target.
static constexpr Duration MinRefusedPause = std::chrono::milliseconds(25);
static constexpr double FirstRefusedPauseShare = 0.125;

Duration maxRetryWait(Duration TimeLeft, Duration LatencyTarget) {
  auto Wait = std::chrono::duration_cast<Duration>(TimeLeft * WaitShare);
  return std::clamp<Duration>(Wait, Duration::zero(), LatencyTarget);
}

Duration retryAfter(Duration Expected, double Random) {
  return Expected +
         std::chrono::duration_cast<Duration>(Expected * SpreadShare * Random);
}

Duration refusedSendPause(int Refusals, Duration LatencyTarget,
                          Duration TimeLeft) {
  constexpr int MaxDoublings = 8;
  double Doubled = std::exp2(std::clamp(Refusals - 1, 0, MaxDoublings));
  auto Wait = std::chrono::duration_cast<Duration>(
      LatencyTarget * (FirstRefusedPauseShare * Doubled));
  auto Most = std::chrono::duration_cast<Duration>(TimeLeft * WaitShare);
  return std::max(MinRefusedPause, std::min(Wait, Most));
}

} // namespace anvil
