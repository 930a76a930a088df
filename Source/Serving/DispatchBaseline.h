#ifndef ANVIL_SERVING_DISPATCHBASELINE_H
#define ANVIL_SERVING_DISPATCHBASELINE_H

#include "Serving/DispatchCost.h"
#include "Serving/DispatchPolicy.h"

#include <cstddef>
#include <vector>

namespace anvil {

/// The index of the candidate that a simple policy chooses, or the size of the
/// list when none can run the request: any at random, the one with the fewest
/// requests, or the adapter's home whatever its load. An adapter that isn't
/// there is loaded, and the engine drops another. For comparison with
/// `cheapest`.
std::size_t baseline(const std::vector<DispatchCandidate> &Candidates,
                     DispatchPolicy Policy, double Random);

} // namespace anvil

#endif // ANVIL_SERVING_DISPATCHBASELINE_H
