#ifndef ANVIL_SERVING_REMOTECLOCK_H
#define ANVIL_SERVING_REMOTECLOCK_H

#include "Kernel/Clock.h"

#include <optional>

namespace anvil {

/// Relates another machine's steady clock to the local one, so that the reply
/// to a long poll can be dated by when it was sent rather than by when it was
/// requested. Each call bounds the offset of the clocks: its reply was not sent
/// before the request.
class RemoteClock {
public:
  /// Records a call made at `CalledAt` whose reply carries `Remote` and arrived
  /// at `Now`. Returns a time before which the reply was certainly not sent.
  TimePoint recordCall(TimePoint CalledAt, std::optional<Duration> Remote,
                       TimePoint Now);

  /// A time certainly not later than the moment when the remote clock showed
  /// `Remote`; nothing without a recent call that relates the clocks.
  std::optional<TimePoint> localTimeOf(Duration Remote, TimePoint Now) const;

  /// Whether a call is needed to keep the clocks related.
  bool needsSync(TimePoint Now) const;

private:
  /// The earliest local time at which the remote clock can have shown zero.
  std::optional<TimePoint> Zero_;
  /// When the call was made that gave this bound.
  TimePoint BoundAt_{};
  Duration LastRemote_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_REMOTECLOCK_H
