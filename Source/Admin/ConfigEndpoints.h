#ifndef ANVIL_ADMIN_CONFIGENDPOINTS_H
#define ANVIL_ADMIN_CONFIGENDPOINTS_H

#include "Admin/AdminServer.h"
#include "Config/ConfigPublisher.h"
#include "Config/ConfigState.h"
#include "TableService/PlatformService.h"

namespace anvil {

/// Adds the pages with which operators read and change the configuration:
/// `POST /admin/config/apply[?dry_run=1]`, `GET /admin/config`,
/// `GET /admin/config/diff?from=N` and `GET /admin/config/history`.
void addConfigEndpoints(AdminServer &Server,
                        std::shared_ptr<ConfigPublisher> Publisher,
                        std::shared_ptr<ConfigState> State,
                        std::shared_ptr<PlatformService> Platform);

} // namespace anvil

#endif // ANVIL_ADMIN_CONFIGENDPOINTS_H
