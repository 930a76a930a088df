#ifndef ANVIL_PLACEMENT_TARGETOWNERSERVICE_H
#define ANVIL_PLACEMENT_TARGETOWNERSERVICE_H

#include "Config/ConfigState.h"
#include "Placement/EngineClient.h"
#include "Placement/OwnershipService.h"
#include "Placement/PermitMessages.h"
#include "Placement/StoreBudgetService.h"
#include "Placement/TargetOwner.h"
#include "Routing/TargetDirectory.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace anvil {

/// The status of one owned target, for the status page.
struct OwnedTargetView {
  std::string Target_;
  std::uint64_t Epoch_ = 0;
  bool HasAllInventories_ = false;
  std::size_t Permits_ = 0;
  std::size_t Waiting_ = 0;
};

/// Runs a `TargetOwner` for each target that this VM owns: executes its
/// actions, replies to permit requests and reports to the VMs of the data
/// centre.
class TargetOwnerService : public Service {
public:
  static constexpr std::string_view Name = "target_owners";

  /// Returns this VM's own inventory.
  using InventoryHook = std::function<PermitInventoryMessage()>;

  TargetOwnerService(boost::asio::any_io_executor Executor,
                     const DaemonSettings &Settings, TimerService &Timers,
                     const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Replies to a permit request of this VM or another.
  boost::asio::awaitable<PermitReplyMessage>
  handleRequest(PermitRequestMessage Request);

  void release(const PermitReleaseMessage &Message);
  void applyInventory(const std::string &From,
                      const PermitInventoryMessage &Message);

  /// The targets without an order in flight.
  std::vector<std::string> idleTargets() const;
  std::vector<OwnedTargetView> view() const;

  /// Source of this VM's own inventory.
  InventoryHook Inventory_;
  /// Allow and end loads; the store gate unless replaced.
  StoreStartHook StoreStart_;
  StoreEndHook StoreEnd_;

private:
  /// A permit request that waits for its reply.
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Executor)
        : Timer_(Executor) {}
    boost::asio::steady_timer Timer_;
    std::optional<PermitReplyMessage> Reply_;
  };
  struct Owned {
    Owned(std::string Target, EngineClient Client, TargetOwner Owner)
        : Name_(std::move(Target)), Client_(std::move(Client)),
          Owner_(std::move(Owner)) {}

    std::string Name_;
    EngineClient Client_;
    bool ChecksFencing_ = true;
    TargetOwner Owner_;
    TimePoint AdoptedAt_{};
    bool Polling_ = false;
    bool Stopped_ = false;
    /// Whether late orders of earlier owners can no longer take effect.
    bool Fenced_ = false;
    bool Fencing_ = false;
    std::map<PermitKey, std::shared_ptr<Waiter>> Waiters_;
    TargetReport LastReport_;
    TimePoint BriefSentAt_{};
    TimePoint FullSentAt_{};
  };
  using OwnedPtr = std::shared_ptr<Owned>;

  void reconcile(TimePoint Now);
  void adoptTarget(const Target &TargetObject, TimePoint Now);
  void stopOwning(const OwnedPtr &Entry);
  bool mayOrder(const Owned &Entry) const;
  TargetOwnerOptions optionsOf(const Target &TargetObject) const;
  void tick(TimePoint Now);
  void expireVms(Owned &Entry, TimePoint Now);
  void drive(const OwnedPtr &Entry);
  void execute(const OwnedPtr &Entry, OwnerAction &Action);
  void reply(Owned &Entry, const PermitKey &Key, PermitReplyMessage Message);
  void recordGrant(const Owned &Entry, const GrantAction &Grant);
  boost::asio::awaitable<void> fence(OwnedPtr Entry);
  OwnedPtr nextLoadTarget(TimePoint Now) const;
  boost::asio::awaitable<void> startLoads();
  boost::asio::awaitable<void> load(OwnedPtr Entry, LoadAction Order,
                                    std::string LoadName);
  boost::asio::awaitable<void> unload(OwnedPtr Entry, AdapterRef Adapter);
  boost::asio::awaitable<void> poll(OwnedPtr Entry);
  void report(Owned &Entry, bool Reachable, const EngineStatus &Status,
              TimePoint SentAt);
  void sendReport(const TargetReportItem &Item);
  void applyReport(const std::string &From, const TargetReportItem &Item);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<OwnershipService> Ownership_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::shared_ptr<Metrics> Metrics_;
  std::map<std::string, OwnedPtr> Owned_;
  /// The targets that the lease row assigns to this VM, as of the revision and
  /// generation below.
  std::vector<std::string> OwnTargets_;
  std::uint64_t OwnTargetsRevision_ = 0;
  std::uint64_t OwnTargetsGeneration_ = 0;
  std::map<std::string, TimePoint> LastReceivedAt_;
  std::uint64_t NextLoad_ = 1;
  bool StartingLoads_ = false;
  /// When the weight store's budget is requested again after a refusal.
  TimePoint StoreRetryAt_{};
  TimerService::Subscription Tick_;
  TimerService::Subscription Poll_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_TARGETOWNERSERVICE_H
