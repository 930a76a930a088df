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

private:
  /// The least local time at which the remote clock can have shown zero.
  std::optional<TimePoint> Zero_;
  Duration LastRemote_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_REMOTECLOCK_H
