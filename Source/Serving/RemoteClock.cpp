#include "Serving/RemoteClock.h"

#include <algorithm>

namespace anvil {

/// How long a bound is kept, and the drift of the two clocks over that time:
/// 200 parts per million, twice what server clocks may drift.
static constexpr Duration MaxBoundAge = std::chrono::seconds(100);
static constexpr Duration DriftMargin = std::chrono::milliseconds(20);

/// A call no longer than this replaces an older, tighter bound, which clock
/// drift has made worse.
static constexpr Duration MaxRenewalCall = std::chrono::milliseconds(100);

TimePoint RemoteClock::recordCall(TimePoint CalledAt,
                                  std::optional<Duration> Remote,
                                  TimePoint Now) {
  if (!Remote)
    return CalledAt;
  // A clock that went back belongs to another incarnation of the remote
  // machine.
  if (*Remote < LastRemote_)
    Zero_.reset();
  LastRemote_ = *Remote;
  TimePoint Bound = CalledAt - *Remote;
  bool IsRenewal = needsSync(Now) && Now - CalledAt <= MaxRenewalCall;
  if (IsRenewal || !Zero_ || Bound > *Zero_ || BoundAt_ + MaxBoundAge < Now) {
    Zero_ = Bound;
    BoundAt_ = Now;
  }
  TimePoint SentAt = *Zero_ + *Remote - DriftMargin;
  return std::clamp(SentAt, CalledAt, std::max(CalledAt, Now));
}

std::optional<TimePoint> RemoteClock::localTimeOf(Duration Remote,
                                                  TimePoint Now) const {
  if (!Zero_ || BoundAt_ + MaxBoundAge < Now)
    return std::nullopt;
  return std::min(Now, *Zero_ + Remote - DriftMargin);
}

bool RemoteClock::needsSync(TimePoint Now) const {
  return !Zero_ || BoundAt_ + MaxBoundAge / 2 < Now;
}

} // namespace anvil
