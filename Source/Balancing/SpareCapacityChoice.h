#ifndef ANVIL_BALANCING_SPARECAPACITYCHOICE_H
#define ANVIL_BALANCING_SPARECAPACITYCHOICE_H

#include "Serving/DispatchCost.h"

#include <cstddef>
#include <vector>

namespace anvil {

/// Chooses a target at random, in proportion to its free slots and its
/// speed. Many VMs that
/// choose by the same outdated loads spread their requests this way, while the
/// cheapest target would get all of them. Targets that cost much more than the
/// best for another reason than their load, such as failures, are left out, and
/// those that need a permit while others remain.
/// `Random` is in [0, 1). Returns the index of the candidate, or the size of
/// the list when none can run the request.
std::size_t
selectBySpareCapacity(const std::vector<DispatchCandidate> &Candidates,
                      const RequestShape &Shape, double Random);

} // namespace anvil

#endif // ANVIL_BALANCING_SPARECAPACITYCHOICE_H
