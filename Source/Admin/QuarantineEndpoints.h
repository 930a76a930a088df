#ifndef ANVIL_ADMIN_QUARANTINEENDPOINTS_H
#define ANVIL_ADMIN_QUARANTINEENDPOINTS_H

#include "Admin/AdminServer.h"
#include "Routing/FleetPoisonGuard.h"

#include <memory>

namespace anvil {

/// Adds the pages that list quarantined requests and release one of them.
void addQuarantineEndpoints(AdminServer &Server,
                            std::shared_ptr<FleetPoisonGuard> Guard);

} // namespace anvil

#endif // ANVIL_ADMIN_QUARANTINEENDPOINTS_H
