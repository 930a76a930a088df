#include "Serving/RemoteClock.h"

#include <algorithm>

namespace anvil {

/// What the two clocks may drift apart over the time that one bound is kept.
static constexpr Duration DriftMargin = std::chrono::milliseconds(20);

TimePoint RemoteClock::note(TimePoint AskedAt, std::optional<Duration> Remote,
                            TimePoint Now) {
  if (!Remote)
    return AskedAt;
  // A clock that went back belongs to another life of the other machine.
  if (*Remote < LastRemote_)
    Zero_.reset();
  LastRemote_ = *Remote;
  TimePoint Bound = AskedAt - *Remote;
  Zero_ = Zero_ ? std::max(*Zero_, Bound) : Bound;
  TimePoint GivenAt = *Zero_ + *Remote - DriftMargin;
  return std::clamp(GivenAt, AskedAt, std::max(AskedAt, Now));
}

} // namespace anvil
