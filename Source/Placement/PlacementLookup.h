#ifndef ANVIL_PLACEMENT_PLACEMENTLOOKUP_H
#define ANVIL_PLACEMENT_PLACEMENTLOOKUP_H

#include "Http/Endpoint.h"
#include "Objects/ObjectSet.h"
#include "Requests/RequestContext.h"

#include <string>

namespace anvil {

/// The address on which a target listens.
Endpoint endpointOf(const Target &Destination);

/// The path of an adapter version's weights in the weight store; empty when the
/// version is unknown.
std::string weightsOf(const ConfigSnapshot &Snapshot, const AdapterRef &Ref);

} // namespace anvil

#endif // ANVIL_PLACEMENT_PLACEMENTLOOKUP_H
