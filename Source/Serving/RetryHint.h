#ifndef ANVIL_SERVING_RETRYHINT_H
#define ANVIL_SERVING_RETRYHINT_H

#include "Kernel/Clock.h"

namespace anvil {

/// When a refused caller should come back: about `Expected` from now, spread by
/// `Random` in [0, 1) over a part of that time, so that callers who were
/// refused together don't return together. Never sooner than expected. Answers
/// the load of many callers refused at once by an outage or a burst.
Duration retryHint(Duration Expected, double Random);

/// How long a request that no target has run may wait until the retry budget
/// allows another try: no longer than its latency target, and with time left
/// for the try and for the caller's own. Answers the load of engines that
/// refuse many requests at once while a VM has just started and earned no
/// retries.
Duration retryPatience(Duration TimeLeft, Duration LatencyTarget);

} // namespace anvil

#endif // ANVIL_SERVING_RETRYHINT_H
