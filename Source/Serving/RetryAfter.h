#ifndef ANVIL_SERVING_RETRYAFTER_H
#define ANVIL_SERVING_RETRYAFTER_H

#include "Kernel/Clock.h"

namespace anvil {

/// When a refused caller should retry: after `Expected`, plus a delay that
/// `Random` in [0, 1) spreads over a fraction of that time, so that callers
/// refused together do not return together. Never sooner than expected. Covers
/// many callers refused at once by an outage or a burst.
Duration retryAfter(Duration Expected, double Random);

/// How long a request that no target has run may wait until the retry budget
/// allows another attempt: no longer than its latency target, and with time
/// left for the attempt and for a retry by the caller. Covers engines that
/// refuse many requests at once while a newly started VM has earned no retries.
Duration maxRetryWait(Duration TimeLeft, Duration LatencyTarget);

/// How long a request waits after a target has refused it for the `Refusals`-th
/// time without running it. The waits double, so that a request outlasts a
/// short overload of all targets, and leave three quarters of the remaining
/// time.
Duration refusedSendPause(int Refusals, Duration LatencyTarget,
                          Duration TimeLeft);

} // namespace anvil

#endif // ANVIL_SERVING_RETRYAFTER_H
