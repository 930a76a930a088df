#ifndef ANVIL_PLACEMENT_STOREBUDGETSERVICE_H
#define ANVIL_PLACEMENT_STOREBUDGETSERVICE_H

#include "Config/ConfigState.h"
#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Placement/StoreBudget.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace anvil {

/// Requests one load from the weight store's budget, by the load's name.
using StoreStartHook =
    std::function<boost::asio::awaitable<bool>(std::string Load)>;

/// Returns the load to the budget.
using StoreEndHook = std::function<void(const std::string &Load)>;

/// Divides the weight store's budget among the VMs of all data centres. VMs
/// without a share request loads from those that have one.
class StoreBudgetService : public Service {
public:
  static constexpr std::string_view Name = "store_gate";

  StoreBudgetService(const DaemonSettings &Settings, TimerService &Timers,
                     std::shared_ptr<ConfigState> State,
                     std::shared_ptr<MembershipService> Members,
                     std::shared_ptr<PeerNetwork> Network);

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override { UpdateTimer_.cancel(); }

  /// Whether the load may start now; always true when no weight store is
  /// configured.
  boost::asio::awaitable<bool> startLoad(std::string Load);

  void endLoad(const std::string &Load);

private:
  std::vector<std::string> vms() const;
  StoreLimits totalLimits() const;
  void updateShare(TimePoint Now);

  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  StoreBudget Budget_;
  /// The VM whose share a load of this VM counts against.
  std::map<std::string, std::string> LoadHolders_;
  TimerService::Subscription UpdateTimer_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_STOREBUDGETSERVICE_H
