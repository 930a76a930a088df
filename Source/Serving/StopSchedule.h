#ifndef ANVIL_SERVING_STOPSCHEDULE_H
#define ANVIL_SERVING_STOPSCHEDULE_H

#include "Kernel/Clock.h"

#include <algorithm>

namespace anvil {

/// The steps of a planned stop, as times after the request to stop. Late
/// requests are either certain to be answered before the process ends, or
/// refused while the caller can still go elsewhere.
class StopSchedule {
public:
  /// `Grace` is the time from the request to stop until the process is killed.
  explicit StopSchedule(Duration Grace)
      : IdleClose_(std::min(BalancerDetectionTime, Grace / 2)),
        FinalReplies_(Grace - StopMargin - FinalReplyTime) {}

  /// From when requests are refused whose deadline is after the final replies.
  /// Earlier than the idle close, since the platform excuses a cut only for
  /// requests that were sent before that time, and the request to stop may be
  /// noticed late.
  Duration refuseLong() const { return IdleClose_ - IdleClose_ / 6; }

  /// When connections without a request are closed and no new ones accepted.
  Duration idleClose() const { return IdleClose_; }

  /// When requests that still run get their final reply.
  Duration finalReplies() const { return FinalReplies_; }

  /// How long sending the final replies to running requests may take.
  static constexpr Duration FinalReplyTime = std::chrono::milliseconds(200);

private:
  /// How long the balancer may need to detect that a VM is not ready: two
  /// checks one second apart, plus their replies.
  static constexpr Duration BalancerDetectionTime =
      std::chrono::milliseconds(3000);

  /// Time reserved at the end of the grace period, after which the process is
  /// killed.
  static constexpr Duration StopMargin = std::chrono::milliseconds(400);

  Duration IdleClose_;
  Duration FinalReplies_;
};

} // namespace anvil

#endif // ANVIL_SERVING_STOPSCHEDULE_H
