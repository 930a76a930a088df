#ifndef ANVIL_OBJECTS_OBJECTVALIDATOR_H
#define ANVIL_OBJECTS_OBJECTVALIDATOR_H

#include "Kernel/Error.h"
#include "Objects/ObjectSet.h"

#include <vector>

namespace anvil {

/// Checks a whole set: every name it refers to exists, digests and prefixes are
/// unique, routes and targets are complete. All the errors come back together.
std::vector<Error> validateObjects(const ObjectSet &Objects);

} // namespace anvil

#endif // ANVIL_OBJECTS_OBJECTVALIDATOR_H
