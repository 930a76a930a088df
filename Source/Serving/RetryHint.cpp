#include "Serving/RetryHint.h"

namespace anvil {

/// The part of the expected wait over which returns are spread.
static constexpr double SpreadPart = 0.5;

Duration retryHint(Duration Expected, double Random) {
  return Expected +
         std::chrono::duration_cast<Duration>(Expected * SpreadPart * Random);
}

} // namespace anvil
