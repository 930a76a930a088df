#ifndef ANVIL_ROUTING_LONGRUNDETECTOR_H
#define ANVIL_ROUTING_LONGRUNDETECTOR_H

#include "Kernel/Clock.h"

#include <algorithm>
#include <optional>

namespace anvil {

/// Tells when a stream has gone on for so long that its request can't be one
/// that crashes its target as the answer begins. Pauses count only in part, as
/// this VM itself may have stood still.
class LongRunDetector {
public:
  /// Records a received part of the stream. True once: when the stream is long
  /// enough.
  bool recordPart(TimePoint Now) {
    if (LastAt_)
      Counted_ += std::min<Duration>(Now - *LastAt_, MaxCountedPause);
    LastAt_ = Now;
    if (IsLong_ || Counted_ < LongRun)
      return false;
    IsLong_ = true;
    return true;
  }

  bool isLong() const { return IsLong_; }

private:
  static constexpr Duration LongRun = std::chrono::milliseconds(500);
  static constexpr Duration MaxCountedPause = std::chrono::milliseconds(150);

  std::optional<TimePoint> LastAt_;
  Duration Counted_{};
  bool IsLong_ = false;
};

} // namespace anvil

#endif // ANVIL_ROUTING_LONGRUNDETECTOR_H
