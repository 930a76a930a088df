#ifndef ANVIL_ENTRY_FLEETSTATE_H
#define ANVIL_ENTRY_FLEETSTATE_H

#include "Entry/FleetLimits.h"
#include "Entry/FleetLink.h"
#include "Entry/FleetLoads.h"
#include "Entry/FleetPromptParts.h"
#include "Entry/FleetSpeeds.h"
#include "Entry/PlanService.h"
#include "Entry/TargetListService.h"
#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Routing/CrashTracker.h"
#include "Serving/BudgetBootstrap.h"
#include "Serving/CustomerBudget.h"
#include "Serving/FleetView.h"
#include "Serving/PrefillBacklog.h"
#include "Settings/EntrySettings.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The fleet-wide state of an entry VM, exchanged with the other VMs: what
/// runs where, what engines have loaded, what customers have spent, which
/// targets limit their rate, and which requests crash targets.
class FleetState : public Service {
public:
  static constexpr std::string_view Name = "fleet_state";

  FleetState(const EntrySettings &Settings, std::string Self,
             std::string Incarnation, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  FleetView &view() { return View_; }
  CustomerBudget &budget() { return Budget_; }

  /// Sets the store's era that the state updates carry.
  void setStoreEra(std::uint64_t Era) { StoreEra_ = Era; }

  /// Records that a request starts or ends at a target. `Tokens` is the sum of
  /// prompt and expected output.
  void recordStart(const std::string &Target, const std::string &Adapter,
                   std::int64_t Tokens, std::int64_t PromptTokens);
  void recordEnd(const std::string &Target, const std::string &Adapter,
                 std::int64_t Tokens);

  /// The requests of this VM that run on a target.
  const RunningShare &ownShareOn(const std::string &Target) const;

  /// The number of requests of all VMs that run on a target.
  int runningOn(const std::string &Target) const {
    return ownShareOn(Target).Requests_ +
           View_.peersRunningOn(Target).Requests_;
  }

  /// The number of requests of all VMs that run with an adapter.
  int requestsUsing(const std::string &Adapter) const;

  const PrefillBacklog &prefill() const { return Prefill_; }

  TargetSpeeds &speeds() { return Speeds_.speeds(); }

  /// The expected times of loads.
  const LoadTimeEstimate &loadTimes() const {
    return Loads_.learning().times();
  }

  /// The loads of all engines from the weight store.
  StoreQueue storeQueue(TimePoint Now) const { return Loads_.storeQueue(Now); }

  /// Records what a request of this VM found that had waited for a load.
  void recordLoad(LoadSource Source, Duration Age, bool WasMissing,
                  TimePoint Now) {
    Loads_.recordOwn(Source, Age, WasMissing, Now);
  }

  /// Records that a request was running when a target crashed, and reports it
  /// to the other VMs. `Parts` are the parts of its prompt that may have caused
  /// the crash.
  void recordCrash(const std::string &Digest, const std::vector<PartId> &Parts,
                   const std::string &Target, std::int64_t Incarnation,
                   TimePoint Now);

  /// Whether requests with this digest are refused because they crash targets.
  bool isRefusedDigest(const std::string &Digest, TimePoint Now) const {
    return Crashes_.isQuarantined(Digest, Now);
  }

  /// Finds and refuses prompts with a part that crashes targets.
  PromptPartGuard &promptParts() { return PromptParts_.guard(); }

  /// Records that a target announced in a reply that it is about to stop.
  void recordDraining(const std::string &Target, std::int64_t Incarnation,
                      TimePoint Now);

  /// What targets state that they take.
  FleetLimits &limits() { return Limits_; }

  /// Sets the number of VMs, unresponsive ones included.
  void setVms(std::size_t Count, TimePoint Now);

  /// Sets the function that collects the inventories of the engines that this
  /// VM owns.
  void onCollectInventories(
      std::function<std::map<std::string, EngineInventory>()> Hook) {
    CollectInventories_ = std::move(Hook);
  }

  /// The VMs that send their state updates directly to this VM and aren't
  /// about to stop.
  std::vector<std::string> servingPeers(TimePoint Now) const;

  /// The fraction of all VMs that this VM receives state updates from
  /// directly, itself included; zero before the number of VMs is known.
  double reachableShare(TimePoint Now) const;

  /// The same among the VMs with which this VM exchanges state updates
  /// directly.
  double reachablePeerShare(TimePoint Now) const;

  /// The number of VMs, unresponsive ones included; at least one.
  std::size_t knownVms() const { return std::max<std::size_t>(1, KnownVms_); }

  /// Whether the fleet is so large that VMs exchange state updates within their
  /// data centre only.
  bool isSplit() const;

  /// The interval at which the VMs of this data centre send state updates.
  Duration peerUpdatePeriod() const;

  /// The time within which the inventory of an engine is sent again to every
  /// VM.
  Duration inventoryPeriod() const;

  /// Marks this VM as about to stop in its state updates.
  void markStopping() { Stopping_ = true; }
  bool isStopping() const { return Stopping_; }

  /// Fired when this or another VM saw a target's incarnation crash, also for
  /// repeated reports.
  Hook<const std::string &, std::int64_t> TargetCrashed_;

private:
  VmStateUpdate composeUpdate(Duration Period);
  std::optional<DataCentreSummary> composeSummary(Duration Period);
  void addInventories(VmStateUpdate &Update, TimePoint Now);
  std::vector<VmStateUpdate::Crash> recentCrashes(TimePoint Now);
  std::map<std::string, std::int64_t> recentlyDraining(TimePoint Now);
  TokenBalances balancesForNewVms(TimePoint Now);
  void receive(const FleetMessage &Message);
  void receiveUpdate(const VmStateUpdate &Update, TimePoint Now);
  void receiveSummary(const DataCentreSummary &Summary, TimePoint Now);
  void applyDraining(const std::map<std::string, std::int64_t> &DrainingTargets,
                     const std::string &Source);
  void applyEntries(const std::vector<RegisteredTarget> &Fresh);
  void applyCrash(const VmStateUpdate::Crash &Observed, TimePoint Now);
  void updateReachableShare(TimePoint Now);
  /// The fraction of so many VMs that this VM receives state updates from.
  double reachableShareOf(std::size_t Vms, TimePoint Now) const;
  void applyPeerBudget(const std::string &Vm, Duration BudgetAge,
                       const TokenBalances &Balances, TimePoint Now);

  const EntrySettings &Settings_;
  std::string Self_;
  std::string Incarnation_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<Metrics> Metrics_;
  FleetView View_;
  CustomerBudget Budget_;
  BudgetBootstrap BudgetBootstrap_;
  TimePoint StartedAt_ = BootClock::now();
  /// When a newly started VM last sent a state update.
  TimePoint NewVmSeenAt_{};
  CrashTracker Crashes_;
  FleetLimits Limits_;
  FleetPromptParts PromptParts_;
  FleetLoads Loads_;
  PrefillBacklog Prefill_;
  FleetSpeeds Speeds_;
  /// Own running requests by adapter, and prompts sent since the last state
  /// update.
  std::map<std::string, int> OwnUses_;
  std::map<std::string, std::int64_t> NewPrompts_;
  RunningShares Running_;
  std::vector<std::pair<TimePoint, VmStateUpdate::Crash>> RecentCrashes_;
  /// Targets recently seen draining, with their incarnation.
  std::map<std::string, std::pair<TimePoint, std::int64_t>> RecentlyDraining_;
  std::function<std::map<std::string, EngineInventory>()> CollectInventories_;
  TimePoint InventorySentAt_{};
  TimePoint RemoteInventorySentAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t StoreEra_ = 0;
  std::uint64_t SummarySequence_ = 0;
  /// Zero before the rows of the VMs were read for the first time.
  std::size_t KnownVms_ = 0;
  bool Stopping_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETSTATE_H
