#ifndef ANVIL_PLACEMENT_OWNERSHIPSERVICE_H
#define ANVIL_PLACEMENT_OWNERSHIPSERVICE_H

#include "Kernel/Hook.h"
#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Placement/OwnerLease.h"
#include "Placement/PermitMessages.h"
#include "Settings/DaemonSettings.h"
#include "TableService/PlatformService.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace anvil {

/// Maintains this VM's lease on targets of its data centre. One VM of the data
/// centre writes the renewals of all VMs in batches; a VM that can't reach it
/// writes its own.
class OwnershipService : public Service {
public:
  static constexpr std::string_view Name = "ownership";

  OwnershipService(boost::asio::any_io_executor Executor,
                   const DaemonSettings &Settings, TimerService &Timers,
                   std::string Incarnation,
                   std::shared_ptr<PlatformService> Platform,
                   std::shared_ptr<MembershipService> Members,
                   std::shared_ptr<PeerNetwork> Network,
                   std::shared_ptr<Metrics> Registry);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override { RenewTimer_.cancel(); }

  const OwnerLease &lease() const { return Lease_; }

  /// Whether this VM has released its lease for good.
  bool hasReleasedLease() const { return LeaseReleased_; }

  /// Releases the lease and notifies the other VMs. `Idle` are the targets
  /// without an order in flight.
  boost::asio::awaitable<void> releaseLease(std::vector<std::string> Idle);

  /// Notifies the other VMs that this VM gives no more orders for targets that
  /// the row assigns to others, and has none in flight.
  void announceHandover(std::vector<std::string> Targets);

  /// Called after the local copy of the row has changed.
  Hook<> Changed_;

private:
  /// A batch of renewals in one write.
  struct Batch {
    explicit Batch(const boost::asio::any_io_executor &Executor);
    boost::asio::steady_timer Done_;
    bool Written_ = false;
  };

  boost::asio::awaitable<void> renew();
  boost::asio::awaitable<LeaseRowMessage> writeBatched(LeaseClaim Claim);
  boost::asio::awaitable<bool> write(std::vector<LeaseClaim> Claims);
  boost::asio::awaitable<bool> readRow();
  void adopt(const std::string &Text, std::uint64_t Version);
  void broadcastRow(const OwnershipHandoverMessage &Notice);
  std::string rowKey() const { return "owners/" + Settings_.DataCentre_; }
  std::string writer() const;

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<Metrics> Metrics_;
  std::string Incarnation_;
  OwnerLease Lease_;
  std::uint64_t Version_ = 0;
  /// Claims for the next write, and the batch that its callers wait for.
  std::vector<LeaseClaim> Claims_;
  std::shared_ptr<Batch> Batch_;
  bool Renewing_ = false;
  bool HasRead_ = false;
  bool LeaseReleased_ = false;
  TimerService::Subscription RenewTimer_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_OWNERSHIPSERVICE_H
