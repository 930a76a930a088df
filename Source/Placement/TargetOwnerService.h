#ifndef ANVIL_PLACEMENT_TARGETOWNERSERVICE_H
#define ANVIL_PLACEMENT_TARGETOWNERSERVICE_H

#include "Config/ConfigState.h"
#include "Placement/EngineClient.h"
#include "Placement/OwnershipService.h"
#include "Placement/PermitMessages.h"
#include "Placement/StoreGate.h"
#include "Placement/TargetOwner.h"
#include "Routing/TargetDirectory.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace anvil {

/// What `TargetOwnerService` shows of one target.
struct OwnedTargetView {
  std::string Target_;
  std::uint64_t Epoch_ = 0;
  bool Settled_ = false;
  std::size_t Permits_ = 0;
  std::size_t Waiting_ = 0;
};

/// Runs the owners of the targets that this VM owns: carries out their orders,
/// answers requests for permits and reports to the VMs of the data centre.
class TargetOwnerService : public Service {
public:
  static constexpr std::string_view Name = "target_owners";

  /// Gives this VM's own inventory.
  using InventoryHook = std::function<PermitInventoryMessage()>;

  TargetOwnerService(boost::asio::any_io_executor Executor,
                     const DaemonSettings &Settings, TimerService &Timers,
                     const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Answers a request for a permit, of this VM or another.
  boost::asio::awaitable<PermitReplyMessage>
  answer(PermitRequestMessage Request);

  void release(const PermitReleaseMessage &Given);
  void takeInventory(const std::string &From,
                     const PermitInventoryMessage &Given);

  /// The targets without an order in flight.
  std::vector<std::string> idleTargets() const;
  std::vector<OwnedTargetView> view() const;

  /// Where this VM's own inventory comes from.
  InventoryHook Inventory_;
  /// Who allows loads; the store gate unless replaced.
  StoreStartHook StoreStart_;
  StoreEndHook StoreEnd_;

private:
  /// One request of a VM that waits here for its answer.
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Executor)
        : Timer_(Executor) {}
    boost::asio::steady_timer Timer_;
    std::optional<PermitReplyMessage> Reply_;
  };
  struct Owned {
    Owned(std::string Target, EngineClient Client, TargetOwner Core)
        : Name_(std::move(Target)), Client_(std::move(Client)),
          Core_(std::move(Core)) {}

    std::string Name_;
    EngineClient Client_;
    bool ChecksFencing_ = true;
    TargetOwner Core_;
    TimePoint Began_{};
    bool Polling_ = false;
    bool Dropped_ = false;
    /// Whether late orders of earlier owners can no longer take effect.
    bool Fenced_ = false;
    bool Fencing_ = false;
    std::map<PermitKey, std::shared_ptr<Waiter>> Waiters_;
    TargetReport Last_;
    TimePoint BriefAt_{};
    TimePoint FullAt_{};
  };
  using OwnedPtr = std::shared_ptr<Owned>;

  void reconcile(TimePoint Now);
  void takeOver(const Target &Known, TimePoint Now);
  void drop(const OwnedPtr &Entry);
  bool mayOrder(const Owned &Entry) const;
  TargetOwnerOptions optionsOf(const Target &Known) const;
  void tick(TimePoint Now);
  void dropSilentVms(Owned &Entry, TimePoint Now);
  void drive(const OwnedPtr &Entry);
  void carryOut(const OwnedPtr &Entry, OwnerAction &Action);
  void reply(Owned &Entry, const PermitKey &Key, PermitReplyMessage Given);
  void noteGrant(const Owned &Entry, const GrantAction &Given);
  boost::asio::awaitable<void> fence(OwnedPtr Entry);
  OwnedPtr bestWish(TimePoint Now) const;
  boost::asio::awaitable<void> startLoads();
  boost::asio::awaitable<void> load(OwnedPtr Entry, LoadAction Order,
                                    std::string LoadName);
  boost::asio::awaitable<void> unload(OwnedPtr Entry, AdapterRef Adapter);
  boost::asio::awaitable<void> poll(OwnedPtr Entry);
  void report(Owned &Entry, bool Reachable, const EngineStatus &Status,
              TimePoint SentAt);
  void sendReport(const TargetReportItem &Item);
  void takeReport(const std::string &From, const TargetReportItem &Item);

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
  /// Own targets by the lease row, for the revision and generation below.
  std::vector<std::string> Mine_;
  std::uint64_t MineRevision_ = 0;
  std::uint64_t MineGeneration_ = 0;
  std::map<std::string, TimePoint> HeardAt_;
  std::uint64_t NextLoad_ = 1;
  bool Starting_ = false;
  /// When the weight store's budget is asked again after a no.
  TimePoint StoreAgainAt_{};
  TimerService::Subscription Tick_;
  TimerService::Subscription Poll_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_TARGETOWNERSERVICE_H
