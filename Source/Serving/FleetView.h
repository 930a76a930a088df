#ifndef ANVIL_SERVING_FLEETVIEW_H
#define ANVIL_SERVING_FLEETVIEW_H

#include "Capacity/SpeedReport.h"
#include "Routing/PartReport.h"
#include "Routing/TargetLimits.h"
#include "Serving/CustomerBudget.h"
#include "Serving/EngineController.h"
#include "Serving/LoadLearning.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// The requests that one VM runs on one target.
struct RunningShare {
  int Requests_ = 0;
  /// The tokens that these requests take in the target's memory.
  std::int64_t Tokens_ = 0;
  /// Requests by adapter.
  std::map<std::string, int> Adapters_;
};

/// Running requests by target.
using RunningShares = std::map<std::string, RunningShare>;

/// Adds running requests to sums.
void addRunningShares(RunningShares &Sums, const RunningShares &Running);

/// An engine's inventory as its owner reports it.
struct EngineInventory {
  std::int64_t Incarnation_ = 0;
  bool HasModel_ = false;
  /// An adapter's version and the time from now until it is usable.
  struct Item {
    std::uint64_t Version_ = 0;
    Duration ReadyIn_{};
    /// The time since its load was ordered; zero if it isn't in transit or the
    /// time isn't known.
    Duration LoadingFor_{};
    LoadSource Source_ = LoadSource::Store;
  };
  std::map<std::string, Item> Adapters_;
  /// The interval at which the owner repeats the report.
  Duration RepeatPeriod_{};
  /// The VM that sent the report.
  std::string Owner_{};
  /// The requested adapters whose load isn't ordered yet, and the time until
  /// each is expected to be usable.
  std::map<std::string, Duration> Queued_{};
};

/// The state update that one VM sends to the others.
struct VmStateUpdate {
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::string DataCentre_;
  /// `address:port` for messages to this VM.
  std::string PeerAddress_;
  /// The time until the next update.
  Duration Period_{};
  std::uint64_t Revision_ = 0;
  bool ShuttingDown_ = false;
  SpentTokens Spent_;
  /// The time that this VM's budget covers, and the customers' balances.
  /// Balances are sent only while a newly started VM is reachable.
  Duration BudgetCoverage_{};
  TokenBalances Balances_;
  RunningShares Running_;
  /// Prompt tokens sent to each target since the previous update.
  std::map<std::string, std::int64_t> PromptTokens_;
  std::map<std::string, EngineInventory> Inventories_;
  /// A request that was running on a target's incarnation when it crashed.
  struct Crash {
    std::string Digest_;
    std::string Target_;
    std::int64_t Incarnation_ = 0;
  };
  std::vector<Crash> Crashes_;
  /// Targets that are about to leave, with their incarnation.
  std::map<std::string, std::int64_t> LeavingTargets_;
  /// Limits that targets recently declared or withdrew.
  AdvertisedLimits Limits_;
  LoadingReport Loads_;
  /// The speeds of targets that this VM measured since its last report.
  SpeedReports Speeds_;
  /// The highest era of the store that the VM has seen; zero if none.
  std::uint64_t StoreEra_ = 0;
  PartReport Parts_;
  /// By service, the rejections per second that its targets survive, as they
  /// recently stated or ceased to state.
  AdvertisedLimits Brittle_;
};

/// The summary of its own data centre that one VM sends to other data centres:
/// sums over the VMs there that it can reach, itself included.
struct DataCentreSummary {
  std::string DataCentre_;
  std::string Sender_;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  /// The time until this VM's next summary.
  Duration Period_{};
  std::uint64_t Vms_ = 0;
  /// As in `VmStateUpdate`, for the VM that sends the summary.
  Duration BudgetCoverage_{};
  TokenBalances Balances_;
  TokenTotals Spent_;
  RunningShares Running_;
  std::vector<VmStateUpdate::Crash> Crashes_;
  std::map<std::string, std::int64_t> LeavingTargets_;
  AdvertisedLimits Limits_;
  /// The estimated speeds of targets that are slow or fast for their service.
  SpeedReports Speeds_;
  /// One report for each VM that has something to tell.
  std::vector<PartReport> Parts_;
  AdvertisedLimits Brittle_;
};

/// An adapter on an engine in this VM's view.
struct AdapterView {
  std::uint64_t Version_ = 0;
  TimePoint ReadyAt_{};
  /// When it was first reported as present or in transit.
  TimePoint Since_{};
  /// When its load was ordered, if known, and from where it is loaded.
  std::optional<TimePoint> OrderedAt_{};
  LoadSource Source_ = LoadSource::Store;
};

/// An engine's inventory in this VM's view.
struct EngineView {
  std::int64_t Incarnation_ = 0;
  bool HasModel_ = false;
  std::map<std::string, AdapterView> Adapters_;
  /// Requested adapters whose load isn't ordered yet, and when each is expected
  /// to be usable.
  std::map<std::string, TimePoint> Queued_;
  /// Recently held adapters, which load fast, and when each was last held.
  std::map<std::string, TimePoint> Warm_;
  /// Until when the owner's report takes precedence over the engine's own
  /// entry.
  TimePoint ReportValidUntil_{};
  /// The VM that sent the report, and until when it is assumed to be reachable.
  std::string Owner_;
  TimePoint OwnedUntil_{};
};

/// Combines the state updates of the other VMs into this VM's fleet view: what
/// runs where, and what each engine holds.
class FleetView {
public:
  /// Sets the number of recently held adapters that load fast on an engine.
  void setWarmAdapters(std::size_t Count) { WarmAdapters_ = Count; }

  /// Applies a VM's update. False when it is older than the known one.
  bool apply(const VmStateUpdate &Update, TimePoint Now);

  /// Applies the summary of another data centre, which replaces the previous
  /// one from any VM there. False when it is older than the known one of its
  /// sender.
  bool apply(const DataCentreSummary &Summary, TimePoint Now);

  /// Applies the inventory that an engine's owner reports.
  void applyInventory(const std::string &Engine,
                      const EngineInventory &Inventory, TimePoint Now);

  /// Applies an engine's own registry entry.
  void applyRegistryEntry(const RegisteredTarget &Entry,
                          const std::string &Model, TimePoint Now);

  /// Drops the running requests of VMs and data centres whose updates have
  /// expired.
  void expire(TimePoint Now);

  /// What the other VMs run on a target.
  const RunningShare &peersRunningOn(const std::string &Target) const;

  /// Adds the VMs whose state updates are valid to a summary: their number,
  /// running requests, crashes, leaving targets and parts of prompts.
  void addLocalUpdates(DataCentreSummary &Sums, TimePoint Now) const;

  /// The requests that the other VMs run with an adapter, on all targets.
  int peerRequestsWith(const std::string &Adapter) const;

  /// An engine's inventory, or null when it is not known.
  const EngineView *engine(const std::string &Engine) const;

  /// Records that an engine refused a request for an adapter that it was
  /// assumed to hold. If a load has only just become due, its expected end is
  /// postponed. Returns true when the view was wrong otherwise.
  bool recordMissingAdapter(const std::string &Engine,
                            const std::string &Adapter, TimePoint Now);

  /// The number of known engines.
  std::size_t engineCount() const { return Engines_.size(); }

  /// The number of adapters in transit to all engines.
  int inTransit(TimePoint Now) const;

  /// The number of adapters, over all engines with an owner, that were
  /// requested and whose load isn't ordered yet.
  std::size_t queuedLoads(TimePoint Now) const;

  /// The number of other VMs whose state updates are valid; `reachableVms` adds
  /// the VMs that valid summaries of other data centres count.
  std::size_t reachableLocalVms(TimePoint Now) const;
  std::size_t reachableVms(TimePoint Now) const;

  /// Whether a VM has a valid update and is not about to stop.
  bool isServing(const std::string &Vm, TimePoint Now) const;

private:
  void updateWarm(EngineView &View, TimePoint Now) const;
  void addRunning(const RunningShares &Running, int Sign);

  struct KnownVm {
    VmStateUpdate Update_;
    TimePoint Until_{};
    /// Whether its running requests are in the sums.
    bool Counted_ = false;
  };
  struct KnownDataCentre {
    struct Sender {
      std::string Incarnation_;
      std::uint64_t Sequence_ = 0;
      std::uint64_t Vms_ = 0;
      TimePoint Until_{};
      TimePoint ReachableUntil_{};
    };
    std::map<std::string, Sender> Senders_;
    /// From the latest summary.
    RunningShares Running_;
    TimePoint Until_{};
  };

  std::map<std::string, KnownVm> Vms_;
  std::map<std::string, KnownDataCentre> DataCentres_;
  /// Sums over all valid updates and summaries, by target and by adapter.
  RunningShares RunningOnTarget_;
  std::map<std::string, int> RunningWithAdapter_;
  std::map<std::string, EngineView> Engines_;
  std::size_t WarmAdapters_ = 1;
  /// Adapters that were not ready when expected, by engine and name, and when
  /// they are expected now.
  std::map<std::pair<std::string, std::string>, TimePoint> PostponedReadyAt_;
};

} // namespace anvil

#endif // ANVIL_SERVING_FLEETVIEW_H
