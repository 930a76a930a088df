#ifndef ANVIL_SERVING_REMOTECLOCK_H
#define ANVIL_SERVING_REMOTECLOCK_H

#include "Kernel/Clock.h"

#include <optional>

namespace anvil {

/// Relates another machine's steady clock to this one's, so that an answer
/// that was awaited for long can be dated by when it was given rather than by
/// when it was asked for. Each call bounds the relation: its answer was not
/// given before it was asked for.
class RemoteClock {
public:
  /// Notes a call asked at `AskedAt` whose answer carries `Remote`, and came at
  /// `Now`. Returns a moment before which the answer was certainly not given.
  TimePoint note(TimePoint AskedAt, std::optional<Duration> Remote,
                 TimePoint Now);

  /// A moment that was certainly not after the one at which the remote clock
  /// showed `Remote`; nothing while no recent call relates the clocks.
  std::optional<TimePoint> dateOf(Duration Remote, TimePoint Now) const;

  /// Whether a call should be made to go on relating the clocks.
  bool needsCall(TimePoint Now) const;

private:
  /// The least local time at which the remote clock can have shown zero.
  std::optional<TimePoint> Zero_;
  /// When the call was made that gave it.
  TimePoint BoundAt_{};
  Duration LastRemote_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_REMOTECLOCK_H
