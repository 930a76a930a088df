#ifndef ANVIL_SERVING_DISPATCHBASELINE_H
#define ANVIL_SERVING_DISPATCHBASELINE_H

#include "Serving/DispatchCost.h"
#include "Serving/DispatchPolicy.h"

#include <cstddef>
#include <vector>

namespace anvil {

/// Chooses a target by a simple policy, as a baseline for `selectCheapest`: at
/// random, the fewest requests, or the adapter's home whatever its load.
/// Returns the index of the candidate, or the size of the list when none can
/// run the request. An absent adapter is loaded, and the engine evicts another.
std::size_t selectByPolicy(const std::vector<DispatchCandidate> &Candidates,
                           DispatchPolicy Policy, double Random);

} // namespace anvil

#endif // ANVIL_SERVING_DISPATCHBASELINE_H
