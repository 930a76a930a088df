#include "Serving/RetryHint.h"

#include <algorithm>

namespace anvil {

/// The fraction of the expected wait over which retries are spread.
static constexpr double SpreadPart = 0.5;

/// The fraction of the remaining time for which a request may wait for a retry.
static constexpr double PatiencePart = 0.25;

Duration retryPatience(Duration TimeLeft, Duration LatencyTarget) {
  auto Part = std::chrono::duration_cast<Duration>(TimeLeft * PatiencePart);
  return std::clamp<Duration>(Part, Duration::zero(), LatencyTarget);
}

Duration retryHint(Duration Expected, double Random) {
  return Expected +
         std::chrono::duration_cast<Duration>(Expected * SpreadPart * Random);
}

} // namespace anvil
