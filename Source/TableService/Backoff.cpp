#include "TableService/Backoff.h"

#include <algorithm>

namespace anvil {

/// Keeps the shift in range; any practical maximum delay is reached before.
static constexpr int MaxDoublings = 30;

Duration Backoff::next(double Random) {
  int Doublings = std::min(Failures_, MaxDoublings);
  ++Failures_;
  Duration FullDelay = std::min(Max_, Min_ * (std::int64_t(1) << Doublings));
  // At least half of the delay remains, so that it is not zero for `Random` 0.
  auto Jittered = static_cast<double>(FullDelay.count()) * (0.5 + Random / 2);
  return Duration(static_cast<std::int64_t>(Jittered));
}

} // namespace anvil
