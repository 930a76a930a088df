#ifndef ANVIL_TABLESERVICE_BACKOFF_H
#define ANVIL_TABLESERVICE_BACKOFF_H

#include "Kernel/Clock.h"

namespace anvil {

/// Exponential back-off with jitter: delays double from `Min` to `Max`, and
/// each is shortened by a random part so that clients don't retry
/// simultaneously.
class Backoff {
public:
  Backoff(Duration Min, Duration Max) : Min_(Min), Max_(Max) {}

  /// The delay after one more failure. `Random` is in [0, 1).
  Duration next(double Random);

  /// Starts again from the minimum delay.
  void reset() { Failures_ = 0; }

private:
  Duration Min_;
  Duration Max_;
  int Failures_ = 0;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_BACKOFF_H
