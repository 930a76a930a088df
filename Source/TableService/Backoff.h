#ifndef ANVIL_PLATFORM_BACKOFF_H
#define ANVIL_PLATFORM_BACKOFF_H

#include "Kernel/Clock.h"

namespace anvil {

/// The waits between tries: doubling from a least to a most, each shortened by
/// a random part so that many clients don't come back together.
class Backoff {
public:
  Backoff(Duration Least, Duration Most) : Least_(Least), Most_(Most) {}

  /// The wait after one more failure. `Random` is in [0, 1).
  Duration next(double Random);

  /// Starts again from the least wait.
  void reset() { Failures_ = 0; }

private:
  Duration Least_;
  Duration Most_;
  int Failures_ = 0;
};

} // namespace anvil

#endif // ANVIL_PLATFORM_BACKOFF_H
