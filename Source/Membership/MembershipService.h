#ifndef ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
#define ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/TimerService.h"
#include "Peer/PeerNetwork.h"
#include "Platform/PlatformService.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvil {

/// Another VM as this one knows it.
struct Member {
  std::string Name_;
  std::string DataCentre_;
  Endpoint Address_;
  VmState State_ = VmState::Live;
};

/// Knows the other VMs: those of the settings and of the platform's list.
class MembershipService : public Service {
public:
  static constexpr std::string_view Name = "membership";

  MembershipService(boost::asio::any_io_executor Executor,
                    const DaemonSettings &Settings, TimerService &Timers,
                    std::shared_ptr<PlatformService> Platform,
                    std::shared_ptr<PeerNetwork> Network);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Every known VM but this one.
  const std::map<std::string, Member> &members() const { return Members_; }

  /// The names of the live VMs of a data centre, this one included.
  std::vector<std::string> liveIn(const std::string &DataCentre) const;

private:
  boost::asio::awaitable<void> refresh();
  void adopt(const std::vector<VmRecord> &Listed);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<PeerNetwork> Network_;
  std::map<std::string, Member> Members_;
  TimerService::Subscription Refresh_;
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERSHIPSERVICE_H
