#include "Serving/RetryHint.h"

#include <algorithm>

namespace anvil {

/// The part of the expected wait over which returns are spread.
static constexpr double SpreadPart = 0.5;

/// The part of the time left for which a request may wait for a retry.
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
