#ifndef ANVIL_SERVING_SLOTWAIT_H
#define ANVIL_SERVING_SLOTWAIT_H

#include "Kernel/Clock.h"

#include <map>
#include <string>

namespace anvil {

/// Estimates how long a request that is sent to a target now would wait there
/// for a slot, from the number of requests ahead of it and the time for which
/// requests occupy a slot. Covers bursts that fill the queues of targets, in
/// which a request would begin only after its adapter's version has become
/// outdated.
class SlotWait {
public:
  /// Records for how long a request of a service occupied a slot.
  void recordRun(const std::string &Service, Duration Took);

  /// Records the number of waiting requests that a target stated.
  void recordQueue(const std::string &Target, int Waiting, TimePoint Now);

  /// The mean time for which requests of a service occupy a slot; zero if
  /// unknown.
  Duration meanRun(const std::string &Service) const;

  /// The expected wait at a target that has `Slots` slots and `Running`
  /// requests, waiting ones included, and on which each takes `RunTime`. Zero
  /// while a slot is free.
  Duration expectedWait(const std::string &Target, int Running, int Slots,
                        Duration RunTime, TimePoint Now) const;

private:
  struct StatedQueue {
    int Waiting_ = 0;
    TimePoint At_{};
  };

  std::map<std::string, Duration> MeanRuns_;
  std::map<std::string, StatedQueue> Queues_;
};

/// How long a request is held back before it is sent to a target with this
/// expected wait, so that it waits there no longer than `MaxWait`; zero to send
/// it now. The target is chosen anew after that.
Duration holdBeforeSend(Duration ExpectedWait, Duration MaxWait);

} // namespace anvil

#endif // ANVIL_SERVING_SLOTWAIT_H
