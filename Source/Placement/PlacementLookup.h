#ifndef ANVIL_PLACEMENT_PLACEMENTLOOKUP_H
#define ANVIL_PLACEMENT_PLACEMENTLOOKUP_H

#include "Http/Endpoint.h"
#include "Objects/ObjectSet.h"
#include "Requests/RequestContext.h"

#include <string>

namespace anvil {

/// Where a target listens.
Endpoint endpointOf(const Target &Where);

/// Where the weights of an adapter version are; empty when it is unknown.
std::string weightsOf(const ConfigSnapshot &Snapshot, const AdapterRef &Ref);

} // namespace anvil

#endif // ANVIL_PLACEMENT_PLACEMENTLOOKUP_H
