#ifndef ANVIL_OBJECTS_OBJECTVALIDATOR_H
#define ANVIL_OBJECTS_OBJECTVALIDATOR_H

#include "Kernel/Error.h"
#include "Objects/ObjectSet.h"

#include <vector>

namespace anvil {

/// Validates a whole set: references resolve, key digests and path prefixes are
/// unique, routes and targets are complete. Returns all errors.
std::vector<Error> validateObjects(const ObjectSet &Objects);

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTVALIDATOR_H
