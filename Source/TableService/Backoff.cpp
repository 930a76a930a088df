#include "TableService/Backoff.h"

#include <algorithm>

namespace anvil {

/// Beyond this many doublings every sensible wait has reached its most.
static constexpr int MostDoublings = 30;

Duration Backoff::next(double Random) {
  int Doublings = std::min(Failures_, MostDoublings);
  ++Failures_;
  Duration Whole = std::min(Most_, Least_ * (std::int64_t(1) << Doublings));
  // Half of the wait is kept, so that a zero from `Random` still waits.
  auto Part = static_cast<double>(Whole.count()) * (0.5 + Random / 2);
  return Duration(static_cast<std::int64_t>(Part));
}

} // namespace anvil
