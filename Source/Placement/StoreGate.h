#ifndef ANVIL_PLACEMENT_STOREGATE_H
#define ANVIL_PLACEMENT_STOREGATE_H

#include "Config/ConfigState.h"
#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Placement/StoreBudget.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace anvil {

/// Asks for one load of the weight store's budget, by the load's name.
using StoreStartHook =
    std::function<boost::asio::awaitable<bool>(std::string Load)>;

/// Gives it back.
using StoreEndHook = std::function<void(const std::string &Load)>;

/// Splits the weight store's budget over the VMs of all data centres. VMs
/// without a part ask those that have one.
class StoreGate : public Service {
public:
  static constexpr std::string_view Name = "store_gate";

  StoreGate(const DaemonSettings &Settings, TimerService &Timers,
            std::shared_ptr<ConfigState> State,
            std::shared_ptr<MembershipService> Members,
            std::shared_ptr<PeerNetwork> Network);

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override { Period_.cancel(); }

  /// Whether the load may start now. With no weight store named, always.
  boost::asio::awaitable<bool> startLoad(std::string Load);

  void endLoad(const std::string &Load);

private:
  std::vector<std::string> vms() const;
  StoreLimits whole() const;
  void reshape(TimePoint Now);

  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  StoreBudget Budget_;
  /// Which VM's part a load of this VM counts against.
  std::map<std::string, std::string> Lenders_;
  TimerService::Subscription Period_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_STOREGATE_H
