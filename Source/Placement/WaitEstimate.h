#ifndef ANVIL_PLACEMENT_WAITESTIMATE_H
#define ANVIL_PLACEMENT_WAITESTIMATE_H

#include "Kernel/Clock.h"

namespace anvil {

/// How long permits and loads of one target took of late, to foresee waits.
class WaitEstimate {
public:
  /// A permit was held that long.
  void noteHold(Duration Held);

  /// Requests waited that long until the load of their adapter began.
  void noteLoadWait(Duration Waited, TimePoint Now);

  Duration meanHold() const { return MeanHold_; }

  /// How long the next load may wait to begin. It fades, since those who are
  /// refused for it bring no new waits to learn from.
  Duration loadWait(TimePoint Now) const;

private:
  Duration MeanHold_{0};
  Duration LoadWait_{0};
  TimePoint LoadWaitAt_{};
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_WAITESTIMATE_H
