#ifndef ANVIL_ADMIN_CONFIRMATIONPAGE_H
#define ANVIL_ADMIN_CONFIRMATIONPAGE_H

#include "Admin/AdminServer.h"
#include "Config/ConfigSyncService.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"

#include <memory>

namespace anvil {

/// Adds `GET /admin/config/confirmation?revision=N`: the VMs of each data
/// centre that have confirmed that they hold that revision or a higher one. For
/// an unreachable data centre, all VMs count as unconfirmed.
void addConfirmationPage(AdminServer &Server,
                         boost::asio::any_io_executor Executor,
                         const DaemonSettings &Settings,
                         std::shared_ptr<ConfigSyncService> ConfigSync,
                         std::shared_ptr<MembershipService> Members,
                         std::shared_ptr<PeerNetwork> Network);

} // namespace anvil

#endif // ANVIL_ADMIN_CONFIRMATIONPAGE_H
