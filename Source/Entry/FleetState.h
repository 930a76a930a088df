#ifndef ANVIL_ENTRY_FLEETSTATE_H
#define ANVIL_ENTRY_FLEETSTATE_H

#include "Entry/FleetLink.h"
#include "Entry/PlanService.h"
#include "Entry/TargetListService.h"
#include "Kernel/ServiceRegistry.h"
#include "Routing/CrashTracker.h"
#include "Routing/TargetLimits.h"
#include "Serving/BudgetStart.h"
#include "Serving/CustomerBudget.h"
#include "Serving/FleetBook.h"
#include "Serving/PrefillBacklog.h"
#include "Serving/StoreCapacity.h"
#include "Settings/EntrySettings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// What this VM knows together with the others: what runs where, what engines
/// hold, what customers have spent and which requests crash targets.
class FleetState : public Service {
public:
  static constexpr std::string_view Name = "fleet_state";

  FleetState(const EntrySettings &Settings, std::string Self,
             std::string Incarnation, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  FleetBook &view() { return View_; }
  CustomerBudget &budget() { return Budget_; }

  /// Notes that a request begins or ends at a target. `Tokens` are prompt and
  /// expected output together.
  void recordStart(const std::string &Target, const std::string &Adapter,
                   std::int64_t Tokens, std::int64_t PromptTokens);
  void recordEnd(const std::string &Target, const std::string &Adapter,
                 std::int64_t Tokens);

  /// What this VM runs on a target.
  const RunningShare &ownShareOn(const std::string &Target) const;

  /// The requests of all VMs that run with an adapter.
  int requestsUsing(const std::string &Adapter) const;

  const PrefillBacklog &prefill() const { return Prefill_; }

  /// By how much loads of adapters take longer than usual, since many are in
  /// transit; below one while the fleet's limit is not reached.
  double transitFactor(TimePoint Now) const;

  /// Notes that a load for which a request of this VM waited was there when
  /// expected, or was late.
  void recordLoad(bool WasLate, TimePoint Now);

  /// Notes that a request was running when a target crashed, and tells the
  /// others.
  void recordCrash(const std::string &Digest, const std::string &Target,
                   std::int64_t Incarnation, TimePoint Now);

  /// Whether a request crashes the targets that run it.
  bool isRefusedDigest(const std::string &Digest, TimePoint Now) const {
    return Crashes_.isQuarantined(Digest, Now);
  }

  /// Takes in that a target said in its answer that it is about to stop.
  void recordDraining(const std::string &Target, std::int64_t Incarnation,
                      TimePoint Now);

  /// Takes in the limit that a target names in its answer to a request which
  /// was sent at `SentAt`; nothing where it names none.
  void recordLimit(const std::string &Target, std::int64_t Incarnation,
                   std::optional<double> RatePerSecond, TimePoint SentAt,
                   TimePoint Now);

  const TargetLimits &limits() const { return Limits_; }

  /// Sets how many VMs there are, silent ones included.
  void setVms(std::size_t Count, TimePoint Now);

  /// Sets what adds the holdings of the engines that this VM owns.
  void onCollectInventories(
      std::function<std::map<std::string, EngineHoldings>()> Hook) {
    CollectInventories_ = std::move(Hook);
  }

  /// The VMs that this VM hears directly and that aren't about to stop.
  std::vector<std::string> servingPeers(TimePoint Now) const;

  /// The part of all VMs that this VM hears directly, itself included; zero
  /// before the number of VMs is known.
  double reachableShare(TimePoint Now) const;

  /// Within which the holdings of an engine are told again to every VM.
  Duration inventoryPeriod() const;

  /// Marks this VM as leaving in its news.
  void markLeaving() { Leaving_ = true; }
  bool isLeaving() const { return Leaving_; }

private:
  double transitLimit() const;
  void applyPeerLoads(const VmNews &Update, TimePoint Now);
  void updateCapacity(const LoadCounts &Ended, TimePoint Now);
  VmNews composeUpdate(Duration Period);
  std::optional<DataCentreNews> composeSummary(Duration Period);
  void addInventories(VmNews &Update, TimePoint Now);
  std::vector<VmNews::Crash> recentCrashes(TimePoint Now);
  std::map<std::string, std::int64_t> recentlyDraining(TimePoint Now);
  TokenBalances balancesForNewVms(TimePoint Now);
  void receive(const FleetMessage &Message);
  void receiveUpdate(const VmNews &Update, TimePoint Now);
  void receiveSummary(const DataCentreNews &Update, TimePoint Now);
  void applyDraining(const std::map<std::string, std::int64_t> &DrainingTargets,
                     const std::string &Source);
  void applyLimits(const NamedLimits &Limits, const std::string &Source,
                   TimePoint Now);
  void applyEntries(const std::vector<RegisteredTarget> &Fresh);
  void applyCrash(const VmNews::Crash &Seen, TimePoint Now);
  void updateReachableShare(TimePoint Now);
  void applyPeerBudget(const std::string &Vm, Duration Seen,
                       const TokenBalances &Balances, TimePoint Now);

  const EntrySettings &Settings_;
  std::string Self_;
  std::string Incarnation_;
  std::shared_ptr<FleetLink> Link_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  FleetBook View_;
  CustomerBudget Budget_;
  BudgetStart BudgetStart_;
  TimePoint StartedAt_ = BootClock::now();
  /// When a VM was last heard whose budget has just started.
  TimePoint NewVmSeenAt_{};
  CrashTracker Crashes_;
  TargetLimits Limits_;
  StoreCapacity Capacity_;
  LoadCounts OwnLoads_;
  /// What other VMs have told of their loads, with their incarnation.
  std::map<std::string, std::pair<std::string, LoadCounts>> PeerLoads_;
  PrefillBacklog Prefill_;
  /// Own running requests by adapter, and prompts sent since the last news.
  std::map<std::string, int> OwnUses_;
  std::map<std::string, std::int64_t> NewPrompts_;
  RunningShares Running_;
  std::vector<std::pair<TimePoint, VmNews::Crash>> RecentCrashes_;
  /// Targets lately seen leaving, with their incarnation.
  std::map<std::string, std::pair<TimePoint, std::int64_t>> RecentlyDraining_;
  std::function<std::map<std::string, EngineHoldings>()> CollectInventories_;
  TimePoint InventorySentAt_{};
  TimePoint RemoteInventorySentAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t SummarySequence_ = 0;
  /// Zero before the first rows were read.
  std::size_t KnownVms_ = 0;
  bool Leaving_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETSTATE_H
