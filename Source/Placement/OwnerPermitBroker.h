#ifndef ANVIL_PLACEMENT_OWNERPERMITBROKER_H
#define ANVIL_PLACEMENT_OWNERPERMITBROKER_H

#include "Placement/TargetOwnerService.h"
#include "Requests/HandoverParticipant.h"
#include "Requests/PermitBroker.h"

#include <map>
#include <memory>
#include <set>

namespace anvil {

/// Gets permits from the owners of targets in all data centres. When no owner
/// can be reached it lets requests proceed to adapters that are known to be
/// resident.
class OwnerPermitBroker : public PermitBroker, public HandoverParticipant {
public:
  OwnerPermitBroker(boost::asio::any_io_executor Executor,
                    const DaemonSettings &Settings, TimerService &Timers,
                    std::string Incarnation, const ServiceRegistry &Services);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  boost::asio::awaitable<Outcome<Permit>>
  acquire(const RequestContext &Request, std::string TargetName) override;
  void release(const Permit &Held, PermitOutcome End) override;
  boost::asio::awaitable<void> handOver() override;

private:
  struct Entry {
    std::string Target_;
    AdapterRef Adapter_;
    bool Pending_ = true;
  };

  Outcome<Permit> acquireService(const Target &Destination);
  boost::asio::awaitable<Outcome<Permit>>
  acquireEngine(const RequestContext &Request, const Target &Destination,
                std::uint64_t Id);
  boost::asio::awaitable<Result<PermitReplyMessage>>
  requestPermit(std::string Owner, PermitRequestMessage Message);
  /// Pauses once while a new owner becomes ready. False, without a pause, when
  /// the wait limit or deadline leaves no time or the adapter is known to be
  /// resident.
  boost::asio::awaitable<bool> waitForOwner(const RequestContext &Request,
                                            const Target &Destination,
                                            TimePoint Since);
  bool isResident(const RequestContext &Request,
                  const Target &Destination) const;
  Outcome<Permit> grantWithoutOwner(const RequestContext &Request,
                                    const Target &Destination, Permit Granted);
  std::string firstOwner(const Target &Destination) const;
  void sendRelease(const std::string &Owner, const std::string &TargetName,
                   std::uint64_t Id, PermitOutcome End);
  PermitInventoryMessage inventory() const;
  void sendInventories(TimePoint Now);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::string Incarnation_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<OwnershipService> Ownership_;
  std::shared_ptr<TargetOwnerService> Owners_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::shared_ptr<Metrics> Metrics_;
  std::uint64_t NextId_ = 1;
  std::map<std::uint64_t, Entry> Entries_;
  std::map<std::string, std::int64_t> ServiceSlots_;
  /// VMs of remote data centres that granted permits, and when they last did.
  std::map<std::string, TimePoint> RemoteOwners_;
  TimerService::Subscription InventoryTimer_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_OWNERPERMITBROKER_H
